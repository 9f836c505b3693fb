"""Stand-ins for what surrounds an instance on the operators' platform, all on loopback and in one process:
the discovery agent, the proxies with their clients, the collectors and the replicas. The instance itself is
the project's own program, started by the line `run` of deploy/balancer.toml."""

import asyncio
import collections
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
STREAM_SLACK_S = 0.3  # PROTOCOL.md: the rules' time limits are longer by 300 ms
TRY_TIMEOUT_S = 1.5  # a try is given up after this time; 40 to 100% of the abandon time


class CouldNotRun(Exception):
    pass


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered, run or told."""

    def __init__(self, folder):
        self.started = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii")

    def now(self):
        return time.time() - self.started

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.add(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def deploy_line(name):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{name} *= *"([^"]*)"', file.read(), re.M)
    if not found:
        raise CouldNotRun(f"deploy/balancer.toml has no line {name}")
    return found.group(1)


def settings(**changes):
    """Settings of a small deployment: those that WIRE shows for windhoek-telemetry, as nested JSON."""
    info = {
        "admit": "share", "bare-s": 7.9, "buffer-for-s": 0.3, "channel-rate": 10700.0, "conns-least": 94.0,
        "counted-over-s": 10.0, "default-retry": 1, "exclusive": False, "fails-to-eject": 3,
        "handover-fee": 0.01, "head": 6.0, "hears-per-s": 600.0, "home-only": [False, False],
        "in-flight-max-s": 2.52, "keeps-writing-s": 2.5, "late-s": 0.255, "line-fee": 0.02,
        "most-waiting": 21400.0, "mutating": [False, True], "per-try": 0.8, "proxy-count": 6,
        "pushes-allowed": 12, "ranges": 0, "report-every-s": 1.0, "selects-by": "round", "standing": 6,
        "transit-max-s": 0.6375, "warm-keys": False, "zonal": False}
    contract = {"ask-within-s": 10.0, "cold-from": 0.23, "cold-s": 16.0, "fall-s": 3.0,
                "stop-sending-within-s": 4.1, "tip-multiple": 2.5}
    classes = [
        {"deadline-s": 5.0, "effect": "idempotent", "group": "all", "late-value": 0.1, "name": "read-status",
         "on-time-s": 1.5, "window-s": 5.0, "worth": 2.0},
        {"deadline-s": 2.5, "effect": "at_most_once", "group": "all", "late-value": 0.2, "name": "sign-job",
         "on-time-s": 1.0, "window-s": 5.0, "worth": 5.0}]
    whole = {
        "allowed": {"connect-timeout-s": 0.25, "cpu-us-per-s": 400000, "idle-close-s": 15.0, "may-probe": False,
                    "multiplex": 32, "peers": False},
        "azs": ["klein-windhoek", "southern-ind", "eros-park"], "classes": classes, "contract": contract,
        "family": "control", "family-info": info, "me": 0, "membership-mode": "automatic", "n-instances": 1,
        "quantum-s": 0.002, "report": {"columns": [], "via": "silent"}, "skus": ["new-rack", "old-rack"],
        "weights": "silent", "worth-by": "request", "zone": 0}
    for name, value in changes.items():
        key = name.replace("_", "-")
        for place in (info, contract, whole["allowed"], whole):
            if key in place:
                place[key] = value
                break
        else:
            raise CouldNotRun(f"no setting {key}")
    return whole


class Governor:
    """One instance of the program: a process, its configuration file and its log."""

    def __init__(self, record, discovery, whole, members, revision, name="n0"):
        self.record = record
        self.discovery = discovery
        self.name = name
        self.folder = tempfile.mkdtemp(prefix="governor-")
        self.config = os.path.join(self.folder, "config.json")
        self.log_path = os.path.join(self.folder, "log")
        self.whole = whole
        self.known = {"revision": revision, "complete": True, "members": members}
        self.port = 0
        self.process = None
        self.stopped = False

    def write_config(self, discovery_port):
        text = json.dumps({
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{random.getrandbits(63):x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known, "settings": self.whole})
        with open(self.config + ".new", "w", encoding="ascii") as file:
            file.write(text)
        os.replace(self.config + ".new", self.config)

    async def start(self):
        self.write_config(self.discovery.port)
        environment = dict(os.environ, ROUTER_CONFIG=self.config, ROUTER_NAME=self.name, TMPDIR=self.folder,
                           ROUTER_LISTEN=f"127.0.0.1:{self.port}",
                           ROUTER_DISCOVERY=f"127.0.0.1:{self.discovery.port}")
        offset = os.path.getsize(self.log_path) if os.path.exists(self.log_path) else 0
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_line("run"), cwd=ROOT, env=environment, stdout=log, stderr=log)
        for _ in range(200):
            await asyncio.sleep(0.05)
            with open(self.log_path, encoding="utf-8", errors="replace") as log:
                log.seek(offset)
                found = re.search(r"serving at \S*:(\d+)", log.read())
            if found:
                self.port = int(found.group(1))
                break
            if self.process.returncode is not None:
                raise CouldNotRun("the program ended at its start: " + self.log_tail())
        else:
            raise CouldNotRun("the program does not serve")
        self.record.add(f"governor {self.name} serves, process {self.process.pid}")

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def log_tail(self, lines=5):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return " | ".join(log.read().splitlines()[-lines:])

    def signal(self, number):
        self.record.add(f"governor {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)


class Discovery:
    """The discovery agent: the list, and watches that get each change at once."""

    def __init__(self, record):
        self.record = record
        self.revision = 41
        self.members = {}
        self.history = []  # revision, changed entries
        self.watches = set()
        self.port = 0
        self.server = None
        self.closed_to = {}  # replica name: time at which it was first told to be draining or gone

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def line(self, revision, complete, entries):
        return json.dumps({"revision": revision, "complete": complete, "members": entries}) + "\n"

    def tell(self, entries):
        """Changes the list and writes the change on every watch. Returns the time at which it was told."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "DELETED":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = entry
            if entry["phase"] == "SERVING":
                self.closed_to.pop(entry["id"], None)
            else:
                self.closed_to.setdefault(entry["id"], time.time())
        self.history.append((self.revision, entries))
        text = self.line(self.revision, False, entries)
        for writer in list(self.watches):
            self.write_chunk(writer, text)
        told = ", ".join(f"{entry['id']} {entry['phase']}" for entry in entries)
        self.record.add(f"discovery tells revision {self.revision}: {told}")
        return time.time()

    @staticmethod
    def write_chunk(writer, text):
        data = text.encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            if "watch=1" not in target:
                body = self.line(self.revision, True, list(self.members.values())).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            after = re.search(r"after=(\d+)", target)
            if after:
                changed = {}
                for revision, entries in self.history:
                    if revision > int(after.group(1)):
                        for entry in entries:
                            changed[entry["id"]] = entry
                first = self.line(self.revision, False, list(changed.values()))
            else:
                first = self.line(self.revision, True, list(self.members.values()))
            self.write_chunk(writer, first)
            self.record.add(f"discovery: watch {target}")
            self.watches.add(writer)
            while True:
                await asyncio.sleep(2)
                self.write_chunk(writer, "\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Replica:
    """A server: takes requests on its address, has cores of a speed, is cold after a start, and falls over by
    the fourth rule. Work is in seconds of a core of speed 1."""

    def __init__(self, record, name, zone, contract, cores=2, speed=1.0, kind="new-rack", cell=0, size=1.0):
        self.record = record
        self.name, self.zone, self.kind, self.cell, self.size = name, zone, kind, cell, size
        self.cores, self.speed = cores, speed
        self.contract = contract
        self.port = 0
        self.server = None
        self.started = 0.0  # 0: long ago
        self.up = True
        self.down_for_good = False
        self.queue = None
        self.workers = []
        self.connections = set()
        self.sent = collections.deque()  # time, work, whether its proxy's last message knew of the start
        self.last_arrival = 0.0
        self.arrivals = 0
        self.held = 0
        self.on_request = None
        self.worst = 0.0
        self.told_at = None  # when the governor was told of the present start
        self.broken = None

    def entry(self, phase="SERVING"):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": self.kind,
                "cell": self.cell, "phase": phase, "size": self.size, "up_since_ms": round(self.started * 1000)}

    async def start(self):
        self.queue = asyncio.Queue()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.workers = [asyncio.ensure_future(self.work()) for _ in range(self.cores)]

    async def crash(self):
        """The process dies: connections are reset, new ones are refused."""
        self.up = False
        self.record.add(f"replica {self.name} dies")
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for worker in self.workers:
            worker.cancel()
        self.held = 0

    async def restart(self):
        self.up = True
        self.started = time.time()
        self.sent.clear()
        self.told_at = None
        await self.start()
        self.record.add(f"replica {self.name} starts cold")

    def fraction(self, now):
        if not self.started or now >= self.started + self.contract["cold-s"]:
            return 1.0
        share = self.contract["cold-from"]
        return share + (1 - share) * (now - self.started) / self.contract["cold-s"]

    def is_cold(self, now):
        return bool(self.started) and now < self.started + self.contract["cold-s"]

    def capacity(self, now):
        return self.cores * self.speed * self.fraction(now)

    def account(self, work, knows):
        """The fourth rule as a budget over any span of fall-s, with one tenth of slack for chance."""
        now = time.time()
        span = self.contract["fall-s"]
        self.sent.append((now, work, knows))
        while self.sent and self.sent[0][0] < now - span:
            self.sent.popleft()
        if not self.is_cold(now):
            return
        total = sum(item[1] for item in self.sent)
        budget = self.contract["tip-multiple"] * self.capacity(now) * span
        self.worst = max(self.worst, total / budget)
        if total > budget * 1.1 and not self.down_for_good:
            known = sum(item[1] for item in self.sent if item[2])
            self.broken = (now - self.started, total / budget, known / total)
            self.down_for_good = True
            self.record.say(f"replica {self.name} falls over {now - self.started:.1f} s after its start: sent "
                            f"{total:.1f} s of work in {span} s, {total / budget:.2f} of the budget, "
                            f"{known / total:.0%} of it with knowledge of the start")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line = (await reader.readline()).decode()
                if not line:
                    break
                if line.startswith("GET "):
                    await self.answer_probe(reader, writer)
                    break
                request, name, work, knows = line.split()
                self.last_arrival = time.time()
                self.arrivals += 1
                if self.on_request:
                    self.on_request(self, request, name)
                self.account(float(work), knows == "1")
                self.record.add(f"replica {self.name} takes request {request} ({name})")
                if self.down_for_good:
                    continue
                if self.held >= self.cores * 10:
                    writer.write(f"{request} refused\n".encode())
                    continue
                self.held += 1
                self.queue.put_nowait((request, float(work), time.time(), writer))
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer_probe(self, reader, writer):
        while (await reader.readline()).strip():
            pass
        body = f"TEXT util={min(1.0, self.held / self.cores):.2f}"
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode())
        await writer.drain()

    async def work(self):
        while True:
            request, work, came, writer = await self.queue.get()
            if time.time() - came < TRY_TIMEOUT_S:  # an operation whose time-out has passed is not begun
                await asyncio.sleep(work / (self.speed * self.fraction(time.time())))
                if not writer.is_closing() and not self.down_for_good:
                    writer.write(f"{request} done\n".encode())
            self.held -= 1


class Proxy:
    """A plain proxy with its clients: one stream to a governor, a table for each class, requests at a rate."""

    def __init__(self, world, number, zone, rates, retries=0):
        self.world, self.number, self.zone = world, number, zone
        self.rates = dict(rates)
        self.retries = retries
        self.tables = {name: {} for name in rates}
        self.levels = {name: 1.0 for name in rates}
        self.shut_out = set()
        self.credit = {name: {} for name in rates}
        self.governor = None
        self.joined_at = None  # empty unless joined
        self.messages = collections.deque()
        self.message_count = 0
        self.most_messages = 0
        self.pushed_at = 0.0
        self.on_push = None
        self.links = {}
        self.waiting = {}
        self.next_request = 0
        self.failures = collections.Counter()
        self.avoided = {}
        self.fresh = True
        self.bare_since = {}
        self.longest_bare = 0.0
        self.counts = {name: 0 for name in rates}
        self.unserved = {name: 0 for name in rates}
        self.outcomes = {}
        self.writer = None
        self.stall_until = 0.0
        self.knows_after = {}  # replica name: whether the last message was sent with knowledge of its start
        self.results = collections.Counter()
        self.spoil = None

    # --- The stream

    @staticmethod
    def message(*words):
        return b"*%d\r\n" % len(words) + b"".join(
            b"$%d\r\n%s\r\n" % (len(str(word).encode()), str(word).encode()) for word in words)

    async def read_message(self, reader):
        count = int((await reader.readline())[1:])
        words = []
        for _ in range(count):
            size = int((await reader.readline())[1:])
            words.append((await reader.readexactly(size + 2))[:-2].decode())
        return words

    async def join(self, governor):
        reader, writer = await asyncio.open_connection("127.0.0.1", governor.port)
        self.governor, self.writer = governor, writer
        self.messages.clear()
        rate = sum(self.rates.values())
        writer.write(self.message("hello", "id", self.number, "site", self.zone, "rps", f"{rate:.2f}", "new",
                                  int(self.fresh)))
        self.joined_at = time.time()
        self.fresh = False
        self.world.record.add(f"proxy {self.number} joins {governor.name}")
        try:
            parts = []
            while True:
                words = await self.read_message(reader)
                fields = dict(zip(words[1::2], words[2::2]))
                parts.append((words[0], fields))
                if fields.get("continued") == "1":
                    continue
                self.apply(parts)
                parts = []
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.joined_at = None
            self.writer = None
            writer.close()

    async def keep_joined(self, choose, redial=(0.3, 1.5)):
        """Joins the governor that `choose` names; dials again some time after a break."""
        while True:
            try:
                await self.join(choose())
                self.world.record.add(f"proxy {self.number}: its stream broke")
            except OSError:
                pass
            await asyncio.sleep(self.world.random.uniform(*redial))

    def apply(self, parts):
        now = time.time()
        self.message_count += 1
        self.messages.append(now)
        while self.messages[0] < now - 10:
            self.messages.popleft()
        self.most_messages = max(self.most_messages, len(self.messages))
        self.pushed_at = now
        shown = []
        for kind, fields in parts:
            if kind != "push":
                continue
            routes = fields["routes"].split("+") if "routes" in fields else list(self.tables)
            for name in routes:
                if fields.get("full") == "1":
                    self.tables[name] = {}
                    self.levels[name] = 1.0
                for item in filter(None, fields.get("endpoints", "").split(",")):
                    replica, weight = item.rsplit(":", 1)
                    if float(weight) > 0:
                        self.tables[name][replica] = float(weight)
                    else:
                        self.tables[name].pop(replica, None)
                if "admit" in fields:
                    self.levels[name] = float(fields["admit"])
            self.shut_out |= set(filter(None, fields.get("eject", "").split(",")))
            self.shut_out -= set(filter(None, fields.get("restore", "").split(",")))
            shown.append(" ".join(f"{key}={self.short(value)}" for key, value in fields.items()))
            if "nonce_out" in fields and self.writer:
                self.writer.write(self.message("ack", "id", self.number, "seq", fields["nonce_out"], "ms", "1.0"))
        self.world.record.add(f"proxy {self.number} is sent: " + " ; ".join(shown))
        for replica in self.world.replicas.values():
            self.knows_after[replica.name] = replica.told_at is not None
        if self.on_push:
            self.on_push(self)

    @staticmethod
    def short(value):
        items = value.split(",")
        return value if len(items) <= 12 else f"({len(items)} lines)"

    # --- Requests

    def lines(self, name):
        return [replica for replica in self.tables[name] if replica not in self.shut_out]

    def pick(self, name):
        """Evenly by weight (smooth weighted round robin), without replicas that it avoids by itself."""
        now = time.time()
        lines = self.lines(name)
        usable = [replica for replica in lines if self.avoided.get(replica, 0) < now]
        if not usable:
            return None
        credit = self.credit[name]
        for gone in [replica for replica in credit if replica not in self.tables[name]]:
            del credit[gone]
        total = sum(self.tables[name][replica] for replica in usable)
        for replica in usable:
            # A new line's first turn comes by chance, not before those of the others.
            start = credit[replica] if replica in credit else -self.world.random.random() * total
            credit[replica] = start + self.tables[name][replica]
        best = max(usable, key=lambda replica: credit[replica])
        credit[best] -= total
        return best

    async def clients(self, name, work):
        """Arrivals of one class: by chance, or on a steady day at even distances."""
        chance = self.world.random
        while True:
            rate = self.rates[name] * self.world.load
            if rate <= 0:
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(1 / rate if self.world.steady else chance.expovariate(rate))
            if time.time() < self.stall_until:
                await asyncio.sleep(self.stall_until - time.time())
            self.world.spawn(self.client(name, work))

    async def client(self, name, work):
        for attempt in range(self.retries + 1):
            if attempt:
                await asyncio.sleep(self.world.random.uniform(0.05, 0.4) * 2 ** (attempt - 1))
            result = await self.request(name, work * self.world.random.uniform(1 - self.world.spread, 1 + self.world.spread))
            self.results[result] += 1
            if result in ("done", "lost"):
                return

    async def request(self, name, work):
        self.counts[name] += 1
        if self.world.random.random() >= self.levels[name]:
            return "shed"
        target = self.pick(name)
        if target is None:
            return "no line"
        request = f"{self.number}-{self.next_request}"
        self.next_request += 1
        began = time.time()
        result = await self.send(target, request, name, work)
        self.world.record.add(f"request {request} to {target}: {result}")
        tally = self.outcomes.setdefault(target, [0, 0, 0.0])
        tally[0] += 1
        if result == "done":
            tally[2] += time.time() - began
            self.failures[target] = 0
        else:
            tally[1] += 1
            self.unserved[name] += 1
            self.failures[target] += 1
            if self.failures[target] >= self.world.whole["family-info"]["fails-to-eject"] > 0:
                self.failures[target] = 0
                self.avoided[target] = time.time() + self.world.random.uniform(3.4, 7.2)
        return result

    async def send(self, target, request, name, work):
        replica = self.world.replicas[target]
        link = self.links.get(target)
        self.world.check_drain(self, replica, request)
        try:
            if link is None or link.is_closing():
                reader, link = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", replica.port), 0.25)
                self.links[target] = link
                self.world.spawn(self.read_answers(reader, link))
            answer = asyncio.get_running_loop().create_future()
            self.waiting[request] = (answer, link)
            knows = int(self.knows_after.get(target, False) or self.known_for_grace(replica))
            link.write(f"{request} {name} {work:.4f} {knows}\n".encode())
            return await asyncio.wait_for(answer, TRY_TIMEOUT_S)
        except (asyncio.TimeoutError, TimeoutError):
            return "lost"
        except OSError:
            return "refused"
        finally:
            self.waiting.pop(request, None)

    def known_for_grace(self, replica):
        grace = self.world.whole["contract"]["stop-sending-within-s"] + STREAM_SLACK_S
        return replica.told_at is not None and time.time() > replica.told_at + grace

    async def read_answers(self, reader, link):
        try:
            while True:
                line = (await reader.readline()).decode()
                if not line:
                    break
                request, result = line.split()
                waiting = self.waiting.get(request)
                if waiting and not waiting[0].done():
                    waiting[0].set_result(result)
        except (OSError, ValueError):
            pass
        finally:
            link.close()
            for answer, other in list(self.waiting.values()):
                if other is link and not answer.done():
                    answer.set_result("lost")

    def report_demand(self):
        """Writes what came to the proxy on its stream."""
        for name in self.counts:
            count, self.counts[name] = self.counts[name], 0
            failed, self.unserved[name] = self.unserved[name], 0
            if self.writer and not self.writer.is_closing():
                self.writer.write(self.message("demand", "id", self.number, "lane", name, "count", count, "fail",
                                               failed, "over", "1000.0"))


class World:
    """All stand-ins of a case."""

    def __init__(self, record, whole, seed):
        self.record = record
        self.whole = whole
        self.random = random.Random(seed)
        self.load = 1.0
        self.steady = False
        self.spread = 0.3  # of the work of a request about its class's mean
        self.discovery = Discovery(record)
        self.replicas = {}
        self.proxies = []
        self.governors = []
        self.tasks = []
        self.late_to_closed = []
        self.spawned = set()  # the loop itself keeps no task alive

    async def add_replicas(self, by_zone, **options):
        number = 0
        for zone, count in by_zone.items():
            for _ in range(count):
                name = f"s-{zone[0]}{number:02d}"
                replica = Replica(self.record, name, zone, self.whole["contract"], cell=number // 4, **options)
                await replica.start()
                self.replicas[name] = replica
                self.discovery.members[name] = replica.entry()
                number += 1

    def add_proxies(self, by_zone, rates, retries=0):
        for zone, count in by_zone.items():
            for _ in range(count):
                proxy = Proxy(self, len(self.proxies), zone, rates, retries)
                local = [name for name, replica in self.replicas.items() if replica.zone == zone]
                drawn = self.random.sample(local, min(len(local), self.whole["family-info"]["standing"]))
                for table in proxy.tables.values():
                    table.update({name: 1.0 for name in drawn})
                self.proxies.append(proxy)

    async def add_governor(self, name="n0"):
        governor = Governor(self.record, self.discovery, self.whole, list(self.discovery.members.values()),
                            self.discovery.revision, name)
        self.governors.append(governor)
        await governor.start()
        return governor

    def check_drain(self, proxy, replica, request):
        """The third rule: a joined proxy sends nothing later than the grace after the instance was told."""
        told = self.discovery.closed_to.get(replica.name)
        if told is None or proxy.joined_at is None:
            return
        grace = self.whole["contract"]["stop-sending-within-s"] + STREAM_SLACK_S
        over = time.time() - max(told, proxy.joined_at) - grace
        if over > 0:
            self.late_to_closed.append((replica.name, proxy.number, over))
            self.record.add(f"request {request} of proxy {proxy.number} goes to {replica.name} {over:.3f} s after "
                            "the grace")

    async def watch_bare(self):
        """The first rule: how long each joined proxy has no line for a class while a warm replica that is open
        to the class is listed as ready."""
        home_only = self.whole["family-info"]["home-only"]
        while True:
            now = time.time()
            for proxy in self.proxies:
                for index, name in enumerate(proxy.tables):
                    open_to = [
                        entry for entry in self.discovery.members.values()
                        if entry["phase"] == "SERVING" and (not home_only[index] or entry["locality"] == proxy.zone)
                        and entry["up_since_ms"] / 1000 + self.whole["contract"]["cold-s"] < now]
                    if proxy.joined_at is None or not open_to or proxy.lines(name):
                        proxy.bare_since.pop(name, None)
                        continue
                    since = proxy.bare_since.setdefault(name, now)
                    proxy.longest_bare = max(proxy.longest_bare, now - since)
            await asyncio.sleep(0.05)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.spawned.add(task)
        task.add_done_callback(self.spawned.discard)

    def go(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def collector(self, zone, choose, late=0.6):
        """Sums of a zone's proxies, every second, with a delay."""
        writer = None
        while True:
            await asyncio.sleep(1)
            sums = {}
            for proxy in self.proxies:
                if proxy.zone != zone or proxy.joined_at is None:
                    continue
                for target, (count, failed, seconds) in proxy.outcomes.items():
                    total = sums.setdefault(target, [0, 0, 0.0])
                    total[0] += count
                    total[1] += failed
                    total[2] += seconds
                proxy.outcomes = {}
            if late:
                await asyncio.sleep(late)
            try:
                if writer is None or writer.is_closing():
                    reader, writer = await asyncio.open_connection("127.0.0.1", choose().port)
                    writer.write(Proxy.message("agent", "site", zone))
                    self.spawn(self.close_at_end(reader, writer))
                for target, (count, failed, seconds) in sums.items():
                    words = ["outcomes", "site", zone, "target", target, "count", count, "fail", failed]
                    if count > failed:
                        words += ["mean", f"{1000 * seconds / (count - failed):.1f}"]
                    writer.write(Proxy.message(*words, "over", "1000.0"))
            except OSError:
                writer = None

    @staticmethod
    async def close_at_end(reader, writer):
        try:
            await reader.read()
        except OSError:
            pass
        writer.close()

    async def demand_reports(self):
        while True:
            await asyncio.sleep(1)
            for proxy in self.proxies:
                proxy.report_demand()

    def start_traffic(self, works):
        for proxy in self.proxies:
            for name, work in works.items():
                self.go(proxy.clients(name, work))

    async def wait_for_tables(self, seconds=10):
        until = time.time() + seconds
        while time.time() < until:
            if all(proxy.message_count > 0 for proxy in self.proxies):
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun("the proxies got no tables")

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for governor in self.governors:
            await governor.end()
        for replica in self.replicas.values():
            if replica.server:
                replica.server.close()


def run_case(folder, play, limit_s=115):
    """Plays a case and exits with its result. `play(record, trouble)` returns HELD or BROKEN."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    worlds = []

    async def main():
        task = asyncio.ensure_future(play(record, trouble, worlds))
        for number in (signal.SIGTERM, signal.SIGINT):  # so that no process is left behind
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, limit_s)
        finally:
            for world in worlds:
                await world.end()

    status = COULD_NOT_RUN
    try:
        status = asyncio.run(main())
    except CouldNotRun as error:
        record.say(f"could not run: {error}")
    except (asyncio.TimeoutError, TimeoutError):
        record.say("could not run: the case took too long")
    except asyncio.CancelledError:
        record.say("could not run: it was ended from outside")
    except Exception as error:  # whatever else goes wrong is no broken rule
        record.say(f"could not run: {type(error).__name__}: {error}")
    for world in worlds:
        for governor in world.governors:
            if os.environ.get("KEEP_LOG"):
                shutil.copy(governor.log_path, os.environ["KEEP_LOG"])
            governor.remove()
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}[status])
    record.close()
    sys.stdout.flush()
    os._exit(status)
