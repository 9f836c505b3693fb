"""Replicas are replaced one at a time while the instance stands still again and again: the order to stop
sending to a draining replica waits for the time between two messages, and then for the stall."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins  # noqa: E402

GRACE_S = 2.0  # "within the day's grace, 2 s or more"
STALL_S = 1.9  # "stand still for 1,400 to 2,000 ms again and again"
BETWEEN_STALLS_S = 2.4  # "seconds between stalls": 3.5 to 2.3
STALLS = 8  # for 20 to 35 s
ZONES = {"klein-windhoek": 2, "southern-ind": 2, "eros-park": 2}
RATES = {"read-status": 5.8, "sign-job": 4.0}  # 59 requests a second in all
WORKS = {"read-status": 0.26, "sign-job": 0.175}


async def play(record, trouble, worlds):
    world = standins.World(record, standins.settings(stop_sending_within_s=GRACE_S), 1)
    worlds.append(world)
    await world.discovery.start()
    await world.add_replicas({zone: 4 for zone in ZONES})
    governor = await world.add_governor()
    world.add_proxies(ZONES, RATES)
    for proxy in world.proxies:
        world.go(proxy.keep_joined(lambda: governor))
    for zone in ZONES:
        world.go(world.collector(zone, lambda: governor))
    world.go(world.demand_reports())
    await world.wait_for_tables()
    world.start_traffic(WORKS)
    await asyncio.sleep(4)

    async def stall():
        for _ in range(STALLS):
            await asyncio.sleep(BETWEEN_STALLS_S)
            if trouble:
                governor.signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            if trouble:
                governor.signal(signal.SIGCONT)

    async def replace():
        """One replica after the other: its successor starts, 2.2 s later the old one drains, 2 s later it ends."""
        names = [name for name in world.replicas if name.endswith(("0", "1", "4", "5", "8", "9"))]
        for number, name in enumerate(sorted(names)):
            old = world.replicas[name]
            await asyncio.sleep(0.5)
            new = standins.Replica(record, f"s-new{number}", old.zone, world.whole["contract"], cell=old.cell)
            new.started = time.time()
            await new.start()
            world.replicas[new.name] = new
            world.discovery.tell([new.entry()])
            await asyncio.sleep(BETWEEN_STALLS_S - 0.5 + 0.3)
            world.discovery.tell([old.entry("DRAINING")])
            await asyncio.sleep(STALL_S - 0.3)

    stalls = world.go(stall())
    await replace()
    await stalls
    await asyncio.sleep(3)
    served = sum(proxy.results["done"] for proxy in world.proxies)
    late = world.late_to_closed
    record.say(f"{served} requests answered; after the grace of {GRACE_S} s and the slack: {len(late)} requests "
               f"to {len({item[0] for item in late})} draining replicas, the last "
               f"{max([item[2] for item in late], default=0):.2f} s after it")
    if not governor.alive():
        raise standins.CouldNotRun("the program ended: " + governor.log_tail())
    return standins.BROKEN if late else standins.HELD


standins.run_case(FOLDER, play)
