"""Stand-ins for a small deployment of the operators' platform, on loopback and the real clock: discovery, replicas,
proxies and collectors, and the start of one instance by the `run` line of deploy/balancer.toml.

The messages follow PROTOCOL.md (RESP2 arrays of bulk strings; HTTP/1.1 for discovery), the proxies WIRE.md ("What do
the proxies do?"). Everything that is sent, answered and run is written to a record, one JSON object a line."""
import json
import os
import queue
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()
SLACK = 1.1  # the "little slack for chance" of WIRE.md's rule on cold replicas


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - T0


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def add(self, what, **fields):
        line = json.dumps({"t": round(now(), 3), "what": what, **fields})
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")

    def close(self):
        with self.lock:
            self.file.close()


class CannotRun(Exception):
    pass


# --- RESP

def encode(words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        raw = str(word).encode()
        out += b"$%d\r\n%s\r\n" % (len(raw), raw)
    return out


class RespReader:
    """Reads whole messages from a blocking socket; returns None at the end of the stream."""

    def __init__(self, sock):
        self.file = sock.makefile("rb")

    def next(self):
        head = self.file.readline()
        if not head:
            return None
        words = []
        for _ in range(int(head[1:])):
            size = int(self.file.readline()[1:])
            words.append(self.file.read(size).decode())
            self.file.read(2)
        return words


def listen(port=0, backlog=256):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(backlog)
    return sock


def shut(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def thread(run, *args):
    made = threading.Thread(target=run, args=args, daemon=True)
    made.start()
    return made


# --- discovery

class Discovery:
    """GET /registry/instances, as a whole list or as a watch. An empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.sock = listen()
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.cond = threading.Condition()
        self.revision = 40
        self.members = {}  # id -> entry; a removed replica stays with the phase DELETED
        self.changed = {}  # id -> revision of its last change
        self.told = {}     # (id, phase) -> time at which the line was written to a watch
        thread(self.accept)

    def set(self, entry):
        with self.cond:
            self.revision += 1
            self.members[entry["id"]] = dict(entry)
            self.changed[entry["id"]] = self.revision
            self.cond.notify_all()

    def listed(self):
        return [m for m in self.members.values() if m["phase"] != "DELETED"]

    def complete_list(self):
        with self.cond:
            return {"revision": self.revision, "complete": True, "members": self.listed()}

    def accept(self):
        while True:
            try:
                client, _ = self.sock.accept()
            except OSError:
                return
            thread(self.serve, client)

    def serve(self, client):
        try:
            request = b""
            while b"\r\n\r\n" not in request:
                part = client.recv(4096)
                if not part:
                    return
                request += part
            target = request.split(b" ", 2)[1].decode()
            self.record.add("discovery_request", target=target)
            if "watch=1" not in target:
                body = json.dumps(self.complete_list()).encode()
                client.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                               len(body) + body)
                return
            client.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                           b"Transfer-Encoding: chunked\r\n\r\n")
            after = re.search(r"after=(\d+)", target)
            known = int(after.group(1)) if after else None
            while True:
                with self.cond:
                    if known is not None and known >= self.revision:
                        self.cond.wait(2.0)
                    if known is None:
                        line = {"revision": self.revision, "complete": True, "members": self.listed()}
                    elif known < self.revision:
                        ids = [i for i, r in self.changed.items() if r > known]
                        line = {"revision": self.revision, "complete": False,
                                "members": [self.members[i] for i in ids]}
                    else:
                        line = None
                    known = self.revision
                raw = (json.dumps(line) if line else "").encode() + b"\n"
                client.sendall(b"%x\r\n%s\r\n" % (len(raw), raw))
                if line:
                    for member in line["members"]:
                        self.told.setdefault((member["id"], member["phase"]), now())
                    self.record.add("told", revision=line["revision"], complete=line["complete"],
                                    members=[(m["id"], m["phase"]) for m in line["members"]])
        except OSError:
            pass
        finally:
            client.close()


# --- replicas

class Replica:
    """Answers one request a connection. `rate`: requests a second when warm. A cold replica starts at `cold_from` of
    that and grows evenly to all of it in `cold_s`. It falls over, and stays down, when it is sent more than `multiple`
    times what it can do for `fall_s` (both counted over every span of that length)."""

    def __init__(self, record, name, zone, rate, contract):
        self.record, self.name, self.zone, self.rate, self.contract = record, name, zone, rate, contract
        self.lock = threading.Lock()
        self.arrivals = []    # times at which a request was sent here
        self.started = None   # time of the last cold start; None: long ago
        self.up = False
        self.fallen = None
        self.free_at = 0.0
        self.port = 0
        self.sock = None
        self.start()

    def start(self, cold=False):
        self.sock = listen(self.port)
        self.port = self.sock.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.started = now() if cold else None
        self.started_unix_ms = int(time.time() * 1000) if cold else 0
        self.up = True
        self.record.add("replica_up", replica=self.name, cold=cold)
        thread(self.accept, self.sock)

    def die(self):
        self.up = False
        shut(self.sock)
        self.record.add("replica_down", replica=self.name)

    def entry(self, phase="SERVING"):
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "rack", "cell": 0,
                "phase": phase, "size": 1.0, "up_since_ms": self.started_unix_ms}

    def capacity(self, at):
        """Requests a second that the replica can do."""
        if self.started is None:
            return self.rate
        age = max(0.0, at - self.started)
        part = self.contract["cold-from"] + (1 - self.contract["cold-from"]) * age / self.contract["cold-s"]
        return self.rate * min(1.0, part)

    def accept(self, sock):
        while True:
            try:
                client, _ = sock.accept()
            except OSError:
                return
            thread(self.serve, client)

    def serve(self, client):
        try:
            client.settimeout(5)
            line = client.recv(200)
            if not line:
                return
            with self.lock:
                at = now()
                self.arrivals.append(at)
                if self.started is not None and self.fallen is None:
                    self.check_fall(at)
                if self.fallen is not None:
                    return
                self.free_at = max(at, self.free_at) + 1 / self.capacity(at)
                wait = self.free_at - at
            if wait > 1.0:  # the queue is full
                self.free_at -= 1 / self.capacity(at)
                client.sendall(b"full\n")
                return
            time.sleep(wait)
            client.sendall(b"done\n")
        except OSError:
            pass
        finally:
            client.close()

    def check_fall(self, at):
        span, age = self.contract["fall-s"], at - self.started
        if age < span or age > self.contract["cold-s"]:
            return
        sent = sum(1 for t in self.arrivals if at - span < t <= at)
        capable = span * (self.capacity(at - span) + self.capacity(at)) / 2
        if sent > self.contract["tip-multiple"] * capable * SLACK:
            self.fallen = at
            self.fall = {"age": age, "sent": sent, "span": span, "capable": capable}
            self.record.add("replica_fell", replica=self.name, **{k: round(v, 2) for k, v in self.fall.items()})


# --- proxies

class Proxy:
    """A plain proxy: keeps to its tables, and sends the requests of its clients."""

    def __init__(self, world, number, zone, rates, table, new=1):
        self.world, self.number, self.zone, self.rates = world, number, zone, rates
        self.lock = threading.RLock()
        self.tables = {c: dict(table) for c in world.classes}  # class -> replica -> weight
        self.credit = {c: {} for c in world.classes}
        self.levels = {}
        self.ejected = set()
        self.failures, self.shunned = {}, {}
        self.new = new
        self.ordered = False        # whether a table was ordered on any stream
        self.joined_at = None       # time of the last joining; None while there is no stream
        self.dials = 0
        self.messages = []          # times of the messages on this stream
        self.sock = None
        self.stop = False
        self.pause_s = 0.0
        self.demand = {c: [0, 0] for c in world.classes}
        self.random = random.Random(number)

    def start(self):
        thread(self.stream)
        for cls in self.world.classes:
            if self.rates.get(cls):
                thread(self.clients, cls)

    # the stream

    def stream(self):
        while not self.stop:
            try:
                sock = socket.create_connection(self.world.governor.address, timeout=2)
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.world.record.add("hello", proxy=self.number, site=self.zone, new=self.new)
                sock.sendall(encode(["hello", "id", self.number, "site", self.zone, "rps",
                                     sum(self.rates.values()), "new", self.new]))
                with self.lock:
                    self.sock, self.joined_at, self.messages = sock, now(), []
                    self.dials += 1
                self.read(sock)
            except (OSError, ValueError) as error:
                self.world.record.add("stream_error", proxy=self.number, error=str(error))
            with self.lock:
                if self.joined_at is not None:
                    self.world.record.add("stream_ended", proxy=self.number)
                self.joined_at, self.sock = None, None
            if not self.stop:
                time.sleep(self.pause_s + self.world.redial_s)
                self.pause_s = 0.0

    def read(self, sock):
        reader = RespReader(sock)
        parts = []
        arriving = queue.Queue()  # messages reach the proxy in order, each `late_s` after it was written
        thread(self.apply_in_order, sock, arriving)
        try:
            self.read_messages(sock, reader, parts, arriving)
        finally:
            arriving.put(None)

    def apply_in_order(self, sock, arriving):
        for due, parts in iter(arriving.get, None):
            time.sleep(max(0.0, due - now()))
            self.apply(sock, parts)

    def read_messages(self, sock, reader, parts, arriving):
        while True:
            words = reader.next()
            if words is None:
                return
            if words[0] != "push":
                self.world.record.add("message", proxy=self.number, words=words)
                continue
            fields = dict(zip(words[1::2], words[2::2]))
            parts.append(fields)
            if fields.get("continued") == "1":
                continue
            with self.lock:
                self.messages.append(now())
            self.world.record.add("push", proxy=self.number, parts=parts)
            taken, parts = parts, []
            arriving.put((now() + self.world.late_s, taken))

    def apply(self, sock, parts):
        with self.lock:
            if self.sock is not sock:
                return  # the stream has ended: what was on its way is lost
            for fields in parts:
                classes = fields["routes"].split("+") if "routes" in fields else self.world.classes
                for cls in classes:
                    if fields.get("full") == "1":
                        self.tables[cls] = {}
                        self.levels.pop(cls, None)
                    for item in filter(None, fields.get("endpoints", "").split(",")):
                        name, weight = item.rsplit(":", 1)
                        if float(weight) > 0:
                            self.tables[cls][name] = float(weight)
                        else:
                            self.tables[cls].pop(name, None)
                    if "admit" in fields:
                        self.levels[cls] = float(fields["admit"])
                self.ejected |= set(filter(None, fields.get("eject", "").split(",")))
                self.ejected -= set(filter(None, fields.get("restore", "").split(",")))
                self.ordered, self.new = True, 0
                if "nonce_out" in fields:
                    try:
                        sock.sendall(encode(["ack", "id", self.number, "seq", fields["nonce_out"], "ms",
                                             round(self.world.late_s * 1000, 1)]))
                    except OSError:
                        pass

    def report_usage(self):
        with self.lock:
            sock = self.sock
            counts, self.demand = self.demand, {c: [0, 0] for c in self.world.classes}
        if sock is None:
            return
        try:
            for cls, (count, fail) in counts.items():
                sock.sendall(encode(["demand", "id", self.number, "lane", cls, "count", count, "fail", fail, "over",
                                     1000.0]))
        except OSError:
            pass

    def break_stream(self, noticed_after=0.0):
        """Breaks the stream, as a network fault does: the instance sees a reset. The proxy notices after a while, and
        dials again `redial_s` later; it keeps its tables."""
        with self.lock:
            sock = self.sock
            self.pause_s = noticed_after
        if sock is not None:
            self.world.record.add("stream_broken", proxy=self.number, noticed_after_s=noticed_after)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            shut(sock)

    # requests

    def pick(self, cls):
        """Evenly by weight; keeps away for some seconds from a replica at which 3 tries in a row failed."""
        at = now()
        with self.lock:
            lines = {r: w for r, w in self.tables[cls].items() if r not in self.ejected}
            lines = {r: w for r, w in lines.items() if self.shunned.get(r, 0) <= at}
            if not lines:
                return None
            credit, total = self.credit[cls], sum(lines.values())
            for replica, weight in lines.items():
                credit[replica] = credit.get(replica, 0.0) + weight / total
            best = max(lines, key=lambda r: (credit[r], r))
            credit[best] -= 1
            return best

    def clients(self, cls):
        gap = 1 / self.rates[cls]
        due = now() + self.random.random() * gap
        while not self.stop:
            time.sleep(max(0.0, due - now()))
            due += gap
            thread(self.request, cls)

    def request(self, cls):
        with self.lock:
            self.demand[cls][0] += 1
            level = self.levels.get(cls, 1.0)
        if level < 1 and self.random.random() >= level:
            return
        replica = self.pick(cls)
        at, answer = now(), "refused"
        if replica is not None:
            answer = self.world.send(replica, cls, self.world.deadline_s)
        took = now() - at
        with self.lock:
            if answer != "done":
                self.demand[cls][1] += 1
            if replica is not None:
                self.failures[replica] = 0 if answer == "done" else self.failures.get(replica, 0) + 1
                if self.failures[replica] >= self.world.fails_to_eject:
                    self.failures[replica] = 0
                    self.shunned[replica] = now() + self.world.avoid_s
        if replica is not None:
            self.world.outcome(self.zone, replica, answer == "done", took)
        self.world.sent(self.number, self.zone, cls, replica, at, answer)


# --- the instance

class Governor:
    """One instance, started by the `run` line of the deploy file from the repository's root."""

    def __init__(self, record, folder, config):
        self.record, self.folder = record, folder
        deploy = open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8").read()
        self.command = re.search(r'^run = "([^"]*)"', deploy, re.M).group(1)
        if not os.path.exists(os.path.join(ROOT, "build", "ospreypost")):
            raise CannotRun("build/ospreypost is missing: run the build line of deploy/balancer.toml first")
        self.config, self.path = config, os.path.join(folder, "config.json")
        self.process, self.address = None, None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = dict(os.environ, ROUTER_CONFIG=self.path, ROUTER_NAME=self.config["name"],
                           ROUTER_LISTEN=self.config["listen"], ROUTER_DISCOVERY=self.config["discovery"],
                           TMPDIR=self.folder)
        self.log_path = os.path.join(self.folder, "governor.log")
        self.record.add("run", command=self.command)
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        until = now() + 20
        while now() < until:
            found = re.search(r"serving at ([0-9.]+):(\d+)", self.log())
            if found:
                self.address = (found.group(1), int(found.group(2)))
                if self.alive() == "alive":
                    return
            if self.process.poll() is not None:
                break
            time.sleep(0.05)
        raise CannotRun("the instance was not ready within 20 s:\n" + self.log())

    def log(self):
        return open(self.log_path, encoding="utf-8", errors="replace").read()

    def alive(self, timeout=3.0):
        """Sends `probe` on a new connection. Returns the first word of the answer, or what happened instead."""
        try:
            with socket.create_connection(self.address, timeout=timeout) as sock:
                sock.settimeout(timeout)
                sock.sendall(encode(["probe"]))
                words = RespReader(sock).next()
                return words[0] if words else "closed"
        except socket.timeout:
            return "silence"
        except OSError as error:
            return error.strerror or str(error)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(3)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for line in self.log().splitlines():
            self.record.add("governor_log", line=line)


class World:
    """One deployment: a discovery, an instance, replicas, proxies, and one collector for each zone."""

    late_s = 0.2          # way of a message from the instance to a proxy
    redial_s = 0.6
    deadline_s = 2.5
    fails_to_eject = 3
    avoid_s = 5.0

    def __init__(self, record_path, settings, sockets=256):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.classes = [c["name"] for c in settings["classes"]]
        self.zones = settings["azs"]
        self.settings, self.sockets = settings, sockets
        self.discovery = Discovery(self.record)
        self.replicas, self.proxies = {}, []
        self.lock = threading.Lock()
        self.outcomes = {}
        self.on_sent = None
        self.ending = False
        self.governor = None

    def start(self):
        config = {"name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address,
                  "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "known": self.discovery.complete_list(), "settings": self.settings}
        self.governor = Governor(self.record, self.folder, config)
        self.governor.start()

    def add_replica(self, name, zone, rate):
        replica = Replica(self.record, name, zone, rate, self.settings["contract"])
        self.replicas[name] = replica
        self.discovery.set(replica.entry())
        return replica

    def start_reports(self):
        for zone in self.zones:
            thread(self.collect, zone)

    def send(self, replica, cls, timeout):
        host, port = self.replicas[replica].address.split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=0.25) as sock:
                sock.settimeout(timeout)
                sock.sendall(cls.encode() + b"\n")
                return sock.recv(100).decode().strip() or "closed"
        except socket.timeout:
            return "timeout"
        except OSError:
            return "failed"

    def outcome(self, zone, replica, good, took):
        with self.lock:
            entry = self.outcomes.setdefault(zone, {}).setdefault(replica, [0, 0, 0.0])
            entry[0] += 1
            entry[1] += 0 if good else 1
            entry[2] += took if good else 0.0

    def sent(self, proxy, zone, cls, replica, at, answer):
        self.record.add("request", proxy=proxy, cls=cls, replica=replica, sent=round(at, 3), answer=answer)
        if self.on_sent:
            self.on_sent(proxy, zone, cls, replica, at, answer)

    def collect(self, zone):
        sock = None
        while not self.ending:
            time.sleep(1.0)
            with self.lock:
                sums = self.outcomes.pop(zone, {})
            try:
                if sock is None:
                    sock = socket.create_connection(self.governor.address, timeout=2)
                    sock.sendall(encode(["agent", "site", zone]))
                for replica, (count, fail, took) in sums.items():
                    words = ["outcomes", "site", zone, "target", replica, "count", count, "fail", fail]
                    if count > fail:
                        words += ["mean", round(took / (count - fail) * 1000, 1)]
                    sock.sendall(encode(words + ["over", 1000.0]))
            except OSError:
                sock = None
            for proxy in self.proxies:
                if proxy.zone == zone:
                    proxy.report_usage()

    def end(self):
        self.ending = True
        for proxy in self.proxies:
            proxy.stop = True
        if self.governor:
            self.governor.end()
        for proxy in self.proxies:
            if proxy.sock is not None:
                shut(proxy.sock)
        for replica in self.replicas.values():
            if replica.up:
                shut(replica.sock)
        shut(self.discovery.sock)
        shutil.rmtree(self.folder, ignore_errors=True)


def windhoek_settings(zones, proxies, home_only=(False, False)):
    """The settings object of WIRE.md's example (windhoek-telemetry); `home-only` by class, as that page allows."""
    return {
        "quantum-s": 0.002, "azs": list(zones), "skus": ["rack"], "zone": 0, "me": 0, "n-instances": 1,
        "family": "control", "membership-mode": "automatic", "weights": "silent", "worth-by": "request",
        "allowed": {"connect-timeout-s": 0.25, "cpu-us-per-s": 400000, "idle-close-s": 15.0, "may-probe": False,
                    "multiplex": 32, "peers": False},
        "report": {"via": "silent", "columns": []},
        "classes": [
            {"name": "read-status", "effect": "idempotent", "group": "all", "on-time-s": 1.5, "deadline-s": 5.0,
             "late-value": 0.1, "window-s": 5.0, "worth": 2.0},
            {"name": "sign-job", "effect": "at_most_once", "group": "all", "on-time-s": 1.0, "deadline-s": 2.5,
             "late-value": 0.2, "window-s": 5.0, "worth": 5.0}],
        "contract": {"ask-within-s": 10.0, "cold-from": 0.23, "cold-s": 16.0, "fall-s": 3.0,
                     "stop-sending-within-s": 4.1, "tip-multiple": 2.5},
        "family-info": {"admit": "share", "bare-s": 7.9, "buffer-for-s": 0.3, "channel-rate": 10700.0,
                        "conns-least": 94.0, "counted-over-s": 10.0, "default-retry": 1, "exclusive": False,
                        "fails-to-eject": 3, "handover-fee": 0.01, "head": 6.0, "hears-per-s": 600.0,
                        "home-only": list(home_only), "in-flight-max-s": 2.52, "keeps-writing-s": 2.5,
                        "late-s": 0.255, "line-fee": 0.02, "most-waiting": 21400.0, "mutating": [False, True],
                        "per-try": 0.8, "proxy-count": proxies, "pushes-allowed": 12, "ranges": 0,
                        "report-every-s": 1.0, "selects-by": "round", "standing": 6, "transit-max-s": 0.6375,
                        "warm-keys": False, "zonal": False},
    }


def dispatch_settings(zones, proxies, home_only=(False, False, False)):
    """Settings with the figures of the other customer's site, akl-dispatch.toml."""
    settings = windhoek_settings(zones, proxies)
    settings["classes"] = [
        {"name": "route-quote", "effect": "idempotent", "group": "all", "on-time-s": 2.0, "deadline-s": 6.0,
         "late-value": 0.1, "window-s": 5.0, "worth": 1.0},
        {"name": "rider-update", "effect": "idempotent", "group": "all", "on-time-s": 1.2, "deadline-s": 4.0,
         "late-value": 0.1, "window-s": 5.0, "worth": 2.0},
        {"name": "job-book", "effect": "at_most_once", "group": "all", "on-time-s": 1.2, "deadline-s": 4.0,
         "late-value": 0.2, "window-s": 5.0, "worth": 3.0}]
    settings["contract"].update({"cold-from": 0.15, "cold-s": 16.0, "fall-s": 2.0, "tip-multiple": 2.5})
    settings["family-info"].update({
        "home-only": list(home_only), "mutating": [False, False, True], "selects-by": "weighted",
        "fails-to-eject": 8, "standing": 12, "channel-rate": 7500.0, "most-waiting": 7500.0, "head": 4.0,
        "pushes-allowed": 0, "late-s": 0.3, "conns-least": 170.0})
    return settings
