"""Stand-ins of the users' platform for the cases of the third review: the store, runners, the advice service and clients, in one event loop.

They follow PROTOCOL.md; where it is silent they behave like a sound platform. The daemons are separate processes. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "bulrushloftd")
PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def wall_ms():
    return int(time.time() * 1000)


class Cannot(Exception):
    """The case could not run."""


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0") or 0)
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


class HttpServer:
    """Calls handle(method, path, query, headers, body), which returns (status, bytes or JSON), or None for no answer."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, reuse_address=True, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
                result = await self.handle(method, path, query, headers, body)
                if result is None:
                    return
                status, content = result
                if not isinstance(content, bytes):
                    content = json.dumps(content, separators=(",", ":")).encode()
                head = "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, PHRASES.get(status, "X"), len(content))
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def drop(self):
        """Ends at once, as a process that is killed: closes the listener and resets all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None


async def call(address, method, path, headers=None, body=b"", timeout=3.0):
    """Returns (status, body) or (None, reason)."""
    host, port = address
    writer = None
    try:
        async def run():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, port)
            lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % pair for pair in (headers or {}).items()]
            lines += ["Content-Length: %d" % len(body), "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), content
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, "connection: %s" % type(error).__name__
    finally:
        if writer:
            writer.close()


# ---------------------------------------------------------------- the store

class Partition:
    def __init__(self):
        self.end = 0
        self.records = []  # (offset, content)
        self.newest = {}  # key -> (value, offset)
        self.producers = {}  # name -> [epoch, sequence, {sequence: answer}]
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, content):
        self.records.append((self.end, content))
        length = content[0]
        key, value = content[1:1 + length].decode("latin-1"), content[1 + length:]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.end += 1

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    latency = 0.004
    append_s = 0.002

    def __init__(self, host):
        self.partitions = {}
        self.http = HttpServer(host, 0, self.handle)
        self.gate = None  # Called with (method, path, query, headers); may return an answer, or "silent".

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """What the operator and the runners write."""
        partition = self.partition(topic, 0)
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        partition.add(bytes([len(key)]) + key.encode() + data)
        partition.notify()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.latency)
        if self.gate:
            verdict = self.gate(method, path, query, headers)
            if verdict is not None:
                if verdict == "silent":
                    await asyncio.sleep(3600)
                return verdict
        name = path.rsplit("/", 1)[-1]
        if name == "log-append":
            return await self.append(query, body)
        if name == "log-read":
            return await self.read(query)
        if name == "log-newest":
            return self.list_newest(query)
        return 404, {}

    async def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition = self.partition(query["topic"], query["part"])
        async with partition.lock:
            await asyncio.sleep(self.append_s)
            if "as_of" in query and int(query["as_of"]) != partition.end:
                return 412, {"end": partition.end}
            sequence = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known = partition.producers.get(query["producer"])
                if known and epoch < known[0]:
                    return 409, {"reason": "fenced"}
                if known and epoch == known[0]:
                    if sequence in known[2]:
                        return 200, known[2][sequence]
                    if known[1] is not None and sequence != known[1] + 1:
                        return 409, {"reason": "seq", "sequence": known[1] + 1}
                else:
                    partition.producers[query["producer"]] = [epoch, None, {}]
            records, at = [], 0
            while at < len(body):
                length = struct.unpack(">I", body[at:at + 4])[0]
                records.append(body[at + 4:at + 4 + length])
                at += 4 + length
            answer = {"offset": partition.end}
            for record in records:
                partition.add(record)
            answer["end"] = partition.end
            if sequence is not None and records:
                known = partition.producers[query["producer"]]
                known[1] = sequence
                known[2][sequence] = answer
                known[2].pop(sequence - 5, None)
            if records:
                partition.notify()
            return 200, answer

    async def read(self, query):
        partition = self.partition(query["topic"], query["part"])
        start, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        if partition.end <= start and wait > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        out, size = [struct.pack(">QQ", partition.end, 0)], 0
        for offset, content in partition.records[start:]:
            if size and size + len(content) > 1024 * int(query.get("max_kb", "1024")):
                break
            size += len(content)
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def list_newest(self, query):
        partition = self.partition(query["topic"], query["part"])
        after = unquote(query.get("after", ""))
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = partition.newest[key]
            if items and size + len(value) > 1 << 20:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys), "end": partition.end}


def unquote(text):
    from urllib.parse import unquote_to_bytes
    return unquote_to_bytes(text).decode("latin-1")


# ---------------------------------------------------------------- runners

class Runner:
    """A runner of a service. Its lists are lost when it crashes; the same object may start again under its id."""

    def __init__(self, world, name, service, capacity, labels, host):
        self.world, self.name, self.service, self.capacity, self.labels, self.host = world, name, service, capacity, labels, host
        self.http = None
        self.port = 0
        self.state = "ready"
        self.sequence = 0
        self.timers = []
        self.life = 0
        self.drop_answers = None  # Called with (path, body); True if the call is carried out and not answered.

    async def start(self):
        self.life += 1
        self.born = wall_ms()
        self.began = time.monotonic()
        self.token = 0
        self.runs = {}  # task -> dict
        self.barred = {}
        self.ends = []
        self.last_end = 0
        self.lease = 0
        self.changed = asyncio.Event()
        self.sequence = 0
        self.state = "ready"
        self.http = await HttpServer(self.host, self.port, self.handle).open()
        self.port = self.http.port
        self.timers = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]
        self.world.note("runner-up", runner=self.name, life=self.life)
        self.announce()

    def clock(self):
        return 1 + int((time.monotonic() - self.began) * 1000)

    def announce(self):
        self.sequence += 1
        self.world.store.put("keyed.servers", self.name, {"service": self.service, "addr": "%s:%d" % (self.host, self.port), "zone": self.world.zone, "version": "1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                                                          "sequence": self.sequence, "born": self.born, "capacity": self.capacity, "labels": self.labels})

    def withdraw(self):
        """The entry is removed, as the runner has left or has been silent for three intervals."""
        self.world.store.put("keyed.servers", self.name, b"")

    def crash(self):
        """Ends at once; what runs on it ends with it."""
        if not self.http:
            return
        for timer in self.timers:
            timer.cancel()
        self.http.drop()
        self.http = None
        self.world.note("runner-down", runner=self.name, running=",".join("%s/%d" % (task, run["attempt"]) for task, run in self.runs.items()))
        self.runs = {}

    def is_up(self):
        return self.http is not None

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            self.announce()

    async def work(self):
        """Ends the runs whose time has come, and all of them when the lease runs out."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.runs and self.clock() > self.lease:
                for task in list(self.runs):
                    self.finish(task, "lapsed")
            for task, run in list(self.runs.items()):
                run["worked"] += (now - before) * run["pace"] / 100
                if run["stop_at"] and now >= run["stop_at"]:
                    self.finish(task, "stopped")
                elif run["worked"] >= run["length"]:
                    self.finish(task, run["how"])

    def finish(self, task, how):
        run = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.world.on_end(self, task, run["attempt"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def take_lease(self, body):
        deadline = body.get("deadline_ms")
        if deadline is not None:
            self.lease = max(self.lease, min(int(deadline), self.clock() + self.world.hold_max_ms))

    async def handle(self, method, path, query, headers, raw):
        await asyncio.sleep(0.0005)
        body = json.loads(raw) if raw else {}
        if headers.get("expected-instance") not in (None, self.name):
            return 421, {"clock_ms": self.clock()}
        token = int(body.get("fencing_token", 0))
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        name = path.rsplit("/", 1)[-1]
        if name == "run-start":
            result = self.run_start(body)
        elif name == "run-stop":
            result = self.run_stop(body)
        elif name == "hold":
            result = await self.hold(body)
        else:
            result = self.pace(body)
        if self.drop_answers and self.drop_answers(name, body):
            return None
        return result

    def run_start(self, body):
        task, attempt = body["task"], int(body["attempt"])
        refusal = None
        if int(body["deadline_ms"]) < self.clock():
            refusal = "late"
        elif task in self.runs and self.runs[task]["attempt"] == attempt:
            self.take_lease(body)
            return 200, {"clock_ms": self.clock()}
        elif attempt <= self.barred.get(task, 0):
            refusal = "old"
        elif self.world.advice and not self.world.advice.accepts(self, task, body.get("ticket", "")):
            refusal = "ticket"
        if refusal:
            if refusal == "old":
                self.take_lease(body)
            self.world.on_refused(self, task, attempt, refusal)
            return 409, {"clock_ms": self.clock(), "reason": refusal}
        self.take_lease(body)
        length, how = self.world.length_of(task, attempt, body["spec"])
        self.runs[task] = {"attempt": attempt, "worked": 0.0, "pace": 100, "length": length, "how": how, "stop_at": None}
        self.world.on_start(self, task, attempt, body)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task, attempt = body["task"], int(body["attempt"])
        run = self.runs.get(task)
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        if run and run["attempt"] <= attempt and not run["stop_at"]:
            run["stop_at"] = time.monotonic() + 0.05
        return 200, {"clock_ms": self.clock()}

    def pace(self, body):
        run = self.runs.get(body["task"])
        if run and run["attempt"] == int(body["attempt"]):
            run["pace"] = int(body["percent"])
            self.world.note("pace", runner=self.name, task=body["task"], percent=run["pace"])
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        ack = int(body.get("ack_seq", 0))
        self.ends = [end for end in self.ends if end[0] > ack]
        self.take_lease(body)
        wait = int(body.get("wait_ms", 0)) / 1000
        if not self.ends and wait > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.runs.items():
            percent = min(99, int(100 * run["worked"] / max(run["length"], 0.001)))
            running.append([task, run["attempt"], "", percent, self.world.load_of(self, task)])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.ends[:500]}


class Advice:
    """The service that approves runners for steps: all of them, by tickets that are valid for a time."""

    def __init__(self, world, host, valid_ms):
        self.world, self.valid_ms = world, valid_ms
        self.tickets = {}
        self.queues = set()  # Job ids whose queue requires tickets.
        self.http = HttpServer(host, 0, self.handle)
        self.calls = 0

    async def handle(self, method, path, query, headers, raw):
        body = json.loads(raw)
        await asyncio.sleep(0.013 + 0.0002 * len(body["workers"]))
        self.calls += 1
        approved = []
        for worker in body["workers"]:
            runner = self.world.runners.get(worker)
            if runner and runner.is_up():
                ticket = "%016x" % random.getrandbits(64)
                self.tickets[ticket] = (body["step"], worker, runner.life, time.monotonic() + self.valid_ms / 1000)
                approved.append([worker, ticket])
        return 200, {"approved": approved}

    def accepts(self, runner, task, ticket):
        if task.split(".")[0] not in self.queues:
            return True
        known = self.tickets.get(ticket)
        return bool(known) and known[0] == task.rsplit(".", 1)[0] and known[1] == runner.name and known[2] == runner.life and time.monotonic() <= known[3]


# ---------------------------------------------------------------- the deployment

class Daemon:
    def __init__(self, world, index):
        self.world, self.index = world, index
        self.name = "edge-%d" % index
        self.host = world.hosts[index + 1]
        self.front, self.ready, self.control = (self.host, 8149), (self.host, 8141), (self.host, 8144)
        self.process = None
        self.starts = 0
        self.exits = []

    def start(self):
        self.starts += 1
        path = os.path.join(self.world.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(self.world.render(self))
        log = open(os.path.join(self.world.folder, self.name + ".log"), "a")
        # The run line of deploy/system.toml, with the file in a temporary folder.
        self.process = subprocess.Popen([DAEMON, "--cell", "--config", path], stdout=log, stderr=log, cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder})
        log.close()
        self.world.note("daemon-start", daemon=self.name)

    def kill(self, sig=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.world.note("daemon-signal", daemon=self.name, signal=signal.Signals(sig).name)
            self.process.send_signal(sig)
            if sig == signal.SIGKILL:
                self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1000 * 1.024
        except OSError:
            pass
        return 0

    async def is_leading(self):
        status, body = await call((self.host, 9464), "GET", "/metrics", timeout=1.0)
        return status == 200 and b'bulrush_cell{kind="leading"} 1' in body


class World:
    """A small deployment on loopback addresses: three VMs, a store, runners, the advice service."""

    def __init__(self, case, vms=3, hold_max_ms=6000, seed=0):
        self.case_folder = case
        self.began = time.monotonic()
        self.record = open(os.path.join(case, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="bulrushloft-review-")
        self.zone = "sur-a"
        self.hold_max_ms = hold_max_ms
        self.runners = {}
        self.advice = None
        self.starts = []  # (time, runner, task, attempt)
        self.ends = []  # (time, runner, task, attempt, how)
        self.refusals = []
        self.lengths = {}
        rng = random.Random(os.getpid() * 1000003 + int(time.time() * 1000))
        net = "127.%d.%d" % (rng.randrange(16, 250), rng.randrange(1, 250))
        self.hosts = ["%s.%d" % (net, i) for i in range(2, 60)]
        self.store = Store(self.hosts[0])
        self.daemons = [Daemon(self, i) for i in range(vms)]
        self.settings = {"cpu_share": 0.25, "memory_mb": 260}

    def note(self, event, **fields):
        text = " ".join("%s=%s" % pair for pair in fields.items())
        self.record.write("%8.3f %s %s\n" % (time.monotonic() - self.began, event, text))
        self.record.flush()

    def length_of(self, task, attempt, spec):
        """Seconds of work and the end of a run; the spec says it: 'work SECONDS [failed]'."""
        words = spec.split()
        return float(words[1]), words[2] if len(words) > 2 else "done"

    def load_of(self, runner, task):
        """The fifth entry of a row of `running`: the tail of a serving task in milliseconds, the `cpu` in use of any other."""
        return 1

    def on_start(self, runner, task, attempt, body):
        self.starts.append((time.monotonic(), runner.name, task, attempt))
        self.note("start", runner=runner.name, service=runner.service, task=task, attempt=attempt, token=body.get("fencing_token"))

    def on_end(self, runner, task, attempt, how):
        self.ends.append((time.monotonic(), runner.name, task, attempt, how))
        self.note("end", runner=runner.name, task=task, attempt=attempt, how=how)

    def on_refused(self, runner, task, attempt, reason):
        self.refusals.append((time.monotonic(), runner.name, task, attempt, reason))
        if len(self.refusals) <= 60:  # The others are alike.
            self.note("start-refused", runner=runner.name, task=task, attempt=attempt, reason=reason)

    def render(self, daemon):
        """deploy/cell.yaml with its placeholders filled in."""
        values = {"node_name": daemon.name, "zone": self.zone, "ip": daemon.host, "seeds": ["%s:%d" % each.control for each in self.daemons[:3]],
                  "limits": {"cpu_share": self.settings["cpu_share"], "link_mbps": 1000.0, "max_fds": 4100, "memory_mb": self.settings["memory_mb"]},
                  "listen": {"front": "%s:%d" % daemon.front, "readiness": "%s:%d" % daemon.ready, "control": "%s:%d" % daemon.control},
                  "platform": {"addr": "%s:%d" % (self.hosts[0], self.store.http.port)}, "advice": "%s:%d" % (self.hosts[0], self.advice.http.port) if self.advice else None,
                  "bounds": {"hold_max_ms": self.hold_max_ms, "gang_timeout_ms": 3000, "remote_factor": 2}}
        values["bounds"].update(self.settings.get("bounds", {}))
        with open(os.path.join(ROOT, "deploy", "cell.yaml")) as file:
            return render(file.read(), values, values)

    async def open(self):
        if not os.path.exists(DAEMON):
            raise Cannot("target/bulrushloftd is missing; run the build line of deploy/system.toml")
        await self.store.http.open()
        if self.advice:
            await self.advice.http.open()

    def add_runner(self, name, service, capacity, labels):
        runner = Runner(self, name, service, capacity, labels, self.hosts[20 + len(self.runners)])
        self.runners[name] = runner
        return runner

    def configure(self, version, routes, services, tenants=None):
        self.note("config", version=version, routes=";".join("%s->%s" % (route["path_prefix"], route["service"]) for route in routes), tenants=",".join(each["name"] for each in tenants or []))
        config = {"version": version, "routes": routes, "services": services, "limits": {}}
        if tenants is not None:
            config["tenants"] = tenants
        self.store.put("keyed.op", "config", config)

    async def until(self, condition, seconds, what):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        raise Cannot("not within %s s: %s" % (seconds, what))

    async def leader(self):
        for daemon in self.daemons:
            if daemon.is_running() and await daemon.is_leading():
                return daemon
        return None

    async def request(self, method, host, path, body=None, deadline_ms=3000, daemon=None, key=None):
        """One attempt of a client at one VM."""
        daemon = daemon or random.choice([each for each in self.daemons if each.is_running()])
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": host, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Api-Key"] = key
        status, answer = await call(daemon.front, method, path, headers, data, deadline_ms / 1000 + 0.2)
        text = answer.decode(errors="replace") if isinstance(answer, bytes) else answer
        self.note("client", method=method, path=path, vm=daemon.name, status=status, answer=text[:160])
        return status, text

    async def state(self, host, path):
        for _ in range(5):
            status, text = await self.request("GET", host, path)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "unknown"
            await asyncio.sleep(0.3)
        return None

    async def close(self):
        for daemon in self.daemons:
            if daemon.is_running():
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        for runner in self.runners.values():
            if runner.is_up():
                runner.crash()
        self.store.http.drop()
        if self.advice:
            self.advice.http.drop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def lookup(path, here, values):
    for base in (here, values):
        node = base
        for part in path.split("."):
            node = node.get(part) if isinstance(node, dict) else None
        if node is not None:
            return node
    return None


def render(text, here, values):
    """The part of the platform's template language that deploy/cell.yaml uses."""
    import re
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(match.group(1), here, values)
        if value is None or value is False:
            return ""
        return render(match.group(2), {"": value}, values).replace("{{.}}", str(value))

    def fill(match):
        value = lookup(match.group(1), here, values)
        return "" if value is None else ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]*\w)\}\}", fill, section.sub(expand, text))


def job_id():
    return "%016x" % random.getrandbits(64)


def run_case(file, main):
    """Runs main(world factory, is trouble wanted); exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = os.path.dirname(os.path.abspath(file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    worlds = []

    def make(**options):
        worlds.append(World(case, **options))
        return worlds[-1]

    async def go():
        try:
            return await asyncio.wait_for(main(make, trouble), 112)
        except Cannot as error:
            print("the case could not run: %s" % error)
            return 2
        except asyncio.TimeoutError:
            print("the case could not run: it took too long")
            return 2
        finally:
            for world in worlds:
                await world.close()

    sys.exit(asyncio.run(go()))
