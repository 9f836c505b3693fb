"""Rule 'No cold replica is pushed over': a zone is lost for 5 s and returns cold; one class keeps to its zone."""
import json
import os
import sys
import time
import traceback

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import CannotRun, Proxy, World, dispatch_settings, now  # noqa: E402

ZONES = ("akl-east", "akl-south", "akl-west")
LOST_S = 5.0                          # FLEET.md: "a zone is lost for 5 s ... and returns cold"
LISTED_AFTER_S = (0.3, 1.0, 1.7, 2.4)  # akl-dispatch.toml, [discovery] add_s = [0.2, 2.5]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def main():
    # route-quote keeps to the proxy's zone, the other classes may go to every zone. 12 replicas of 10 requests a
    # second; 6 proxies send 0.58 of that, with the shares of the site file.
    world = World(os.path.join(HERE, "record.txt"), dispatch_settings(ZONES, 6, home_only=(True, False, False)))
    world.late_s, world.fails_to_eject, world.avoid_s, world.deadline_s = 0.3, 8, 4.0, 4.0
    try:
        for zone in ZONES:
            for n in range(4):
                world.add_replica("s-%s%d" % (zone[4:], n), zone, rate=10)
        world.start()
        for number in range(6):
            zone = ZONES[number % 3]
            table = {r.name: 1.0 for r in world.replicas.values() if r.zone == zone}
            rates = {"route-quote": 7.5, "rider-update": 2.2, "job-book": 1.9}
            world.proxies.append(Proxy(world, number, zone, rates, table))
        for proxy in world.proxies:
            proxy.start()
        world.start_reports()
        time.sleep(8)
        lost = [r for r in world.replicas.values() if r.zone == "akl-east"]
        at = now()
        if TROUBLE:
            world.record.add("trouble", event="akl-east is lost", for_s=LOST_S)
            for replica in lost:
                replica.die()
            time.sleep(1.0)  # discovery notices 0.52 to 4.8 s late
            for replica in lost:
                world.discovery.set(replica.entry("DELETED"))
            time.sleep(at + LOST_S - now())
            for replica in lost:
                replica.start(cold=True)
            for replica, listed in zip(lost, LISTED_AFTER_S):
                time.sleep(at + LOST_S + listed - now())
                world.discovery.set(replica.entry())
        time.sleep(at + LOST_S + 17 - now())
    finally:
        world.end()
    return judge(world)


def judge(world):
    """A cold replica fell over, and two thirds of what it was sent in that span came from proxies whose last message
    was sent after the instance had been told of the start."""
    world.record.close()
    events = [json.loads(line) for line in open(os.path.join(HERE, "record.txt"), encoding="utf-8")]
    broken = 0
    for replica in [r for r in world.replicas.values() if r.fallen is not None]:
        fall = replica.fall
        told = max(e["t"] for e in events if e["what"] == "told" and [replica.name, "SERVING"] in e["members"])
        span = [e for e in events if e["what"] == "request" and e["replica"] == replica.name and
                replica.fallen - fall["span"] - 0.05 < e["sent"] <= replica.fallen]
        knowing = 0
        for request in span:
            pushes = [e["t"] for e in events if e["what"] == "push" and e["proxy"] == request["proxy"] and
                      e["t"] <= request["sent"]]
            knowing += 1 if pushes and pushes[-1] >= told else 0
        print("%s fell over %.1f s after its start: sent %d requests in %.1f s, %.1f times what it could do (allowed: "
              "%.1f times); %d of %d sent by proxies that had a message with knowledge of the start" %
              (replica.name, fall["age"], fall["sent"], fall["span"], fall["sent"] / fall["capable"],
               replica.contract["tip-multiple"], knowing, len(span)))
        broken += 1 if 3 * knowing >= 2 * len(span) else 0
    print("cold replicas pushed over: %d" % broken)
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as error:
        print(error)
        sys.exit(2)
    except Exception:  # a fault of the test itself is no broken rule
        traceback.print_exc()
        sys.exit(2)
