"""Stand-ins for one small deployment on loopback: the platform's store, runners, clients, and the daemons as processes.

They follow PROTOCOL.md. Where the page is silent they behave like a sound store, runner or client. Everything that is sent,
answered and run is written to record.txt in the folder of the case. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "bulrushloftd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# Bounds as in the settings of the site augpd-taller.
BOUNDS = {
    "hold_max_ms": 6000, "gang_timeout_ms": 3000, "remote_factor": 2, "contact_ms": 3000, "stop_ms": 900, "cancel_ms": 3000,
    "finish_s": 14, "visible_ms": 3000,
}
RECORD_BYTES = 262144
CALL_BYTES = 2097152
APPEND_S = 0.002
ANSWER_S = 0.004
HEARTBEAT_S = 1.5


class Record:
    """The file record.txt; each line has the seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.started

    def line(self, *words):
        self.file.write("%8.3f %s\n" % (self.now(), " ".join(str(word) for word in words)))
        self.file.flush()

    def note(self, *words):
        self.line("NOTE", *words)
        print("%8.3f" % self.now(), *words, flush=True)

    def breaks(self, rule, *words):
        self.broken.append(rule)
        self.line("BROKEN", rule, *words)
        if len(self.broken) <= 5:
            print("%8.3f BROKEN" % self.now(), rule, *words, flush=True)


async def read_message(reader):
    """Returns the first line, the headers in lower case and the body of an HTTP message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, body):
    kind = "application/json"
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    elif isinstance(body, bytes):
        kind = "application/octet-stream"
    return ("HTTP/1.1 %d x\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (status, kind, len(body))).encode() + body


class Server:
    """An HTTP/1.1 server. handle(method, target, headers, body) returns (status, body), or None for no answer at all."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.silent = set()  # connections that have gone silent for good
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=4 * 1024 * 1024)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message:
                    break
                if writer in self.silent:  # The process on the other side of this connection is gone: a reset.
                    writer.transport.abort()
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None or writer in self.silent:
                    await asyncio.sleep(3600)
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def lose_power(self):
        """The machine behind the server goes dark: it answers nothing on its open connections, and resets them at the next request after its return."""
        self.silent |= self.writers
        self.server.close()

    async def stop(self):
        """Ends the process behind the server: its connections are reset and its port refuses."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(host, port, method, target, headers=None, body=b"", timeout=3.0):
    """Returns (status, headers, body), or None when there was no complete answer in time."""
    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = ["%s %s HTTP/1.1" % (method, target), "Content-Length: %d" % len(body)]
            lines += ["%s: %s" % item for item in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if not message:
                return None
            return int(message[0].split()[1]), message[1], message[2]
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


class Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key -> (value, offset)
        self.writers = {}  # producer -> [epoch, sequence, {sequence: answer}]
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()


class Store:
    """The platform's store in its form `log`. Each daemon calls it at an address of its own, so that the store can tell them apart."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.mode = "up"  # "busy": 503 to all; "silent": no answer
        self.turned_away = set()  # daemons that get 503
        self.busy_topics = set()  # topics whose partition is down; calls for them get 503
        self.last_writer = None  # the daemon whose conditional or fenced append was accepted last
        self.refused_sizes = 0
        self.is_late = None  # platform_lost, late: function(arguments, body) -> whether this write is done later and not answered
        self.writes = 0  # write calls while is_late is set
        self.late_writes = 0  # those of them that were done later

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def handler_for(self, daemon):
        async def handle(method, target, _, body):
            if self.mode == "silent":
                return None
            if self.mode == "busy" or daemon in self.turned_away:
                await asyncio.sleep(ANSWER_S)
                return 503, {}
            path, _, query = target.partition("?")
            arguments = dict(part.partition("=")[::2] for part in query.split("&"))
            if arguments.get("topic") in self.busy_topics:
                await asyncio.sleep(ANSWER_S)
                return 503, {}
            if path == "/bulrushloft/log-append" and self.is_late:
                self.writes += 1
                if self.is_late(arguments, body):
                    self.late_writes += 1
                    return await self.append_late(daemon, arguments, body)
            if path == "/bulrushloft/log-append":
                return await self.append(daemon, arguments, body)
            if path == "/bulrushloft/log-read":
                return await self.read(arguments)
            if path == "/bulrushloft/log-newest":
                return await self.newest(arguments)
            return 404, {}
        return handle

    def put(self, name, key, value):
        """Writes a record on behalf of the operator or a runner."""
        self.apply(self.topic(name), [(key.encode(), value.encode())])

    def apply(self, topic, records):
        for key, value in records:
            offset = len(topic.records)
            topic.records.append((key, value))
            if value:
                topic.newest[key] = (value, offset)
            else:
                topic.newest.pop(key, None)
        if records:
            topic.changed.set()
            topic.changed = asyncio.Event()

    async def append_late(self, daemon, arguments, body):
        """The write gets no answer and is done 3 s later, if its condition still holds. (The pages: 1 to 6 s.)"""
        words = " ".join("%s=%s" % item for item in arguments.items())
        self.record.line("fault: store: this write gets no answer and is done later:", words, len(body), "bytes from", daemon)
        await asyncio.sleep(3)
        status, answer = await self.append(daemon, arguments, body)
        self.record.line("store: the late write", words, "->", status, json.dumps(answer))
        return None

    async def append(self, daemon, arguments, body):
        records = []
        at = 0
        while at < len(body):
            length = struct.unpack(">I", body[at:at + 4])[0]
            content = body[at + 4:at + 4 + length]
            at += 4 + length
            if length > RECORD_BYTES:
                self.refused_sizes += 1
                self.record.line("store refuses a record of", length, "bytes from", daemon, "for topic", arguments["topic"], "(record_bytes is %d)" % RECORD_BYTES)
                return 400, {"reason": "record_bytes"}
            records.append((content[1:1 + content[0]], content[1 + content[0]:]))
        if len(body) > CALL_BYTES:
            return 400, {"reason": "call_bytes"}
        topic = self.topic(arguments["topic"])
        async with topic.lock:
            await asyncio.sleep(APPEND_S + len(body) / 20e6)
            end = len(topic.records)
            writer = None
            if "producer" in arguments:
                epoch, sequence = int(arguments["epoch"]), int(arguments["sequence"])
                # [epoch, last sequence number of an append in it or None, answers to the last appends]
                writer = topic.writers.setdefault(arguments["producer"], [0, None, {}])
                if epoch < writer[0]:
                    return 409, {"reason": "fenced"}
                if epoch > writer[0]:  # "A higher epoch may start at any sequence."
                    writer[:] = [epoch, None, {}]
                if not records:  # "A request with an empty body appends nothing and sets the epoch."
                    return 200, {"offset": end, "end": end}
                if sequence in writer[2]:
                    return 200, writer[2][sequence]
                if writer[1] is not None and sequence != writer[1] + 1:
                    return 409, {"reason": "seq", "sequence": writer[1] + 1}
            if "as_of" in arguments and int(arguments["as_of"]) != end:
                return 412, {"end": end}
            self.apply(topic, records)
            answer = {"offset": end, "end": len(topic.records)}
            if writer is not None:
                writer[1] = int(arguments["sequence"])
                writer[2][writer[1]] = answer
                for old in sorted(writer[2])[:-5]:
                    del writer[2][old]
            if writer is not None or "as_of" in arguments:
                if self.last_writer != daemon:
                    self.record.line("store: leader's writes now come from", daemon)
                self.last_writer = daemon
            if arguments["topic"] == "keyed.jobs":
                for key, value in records:
                    self.record.line("store: keyed.jobs", key.decode(), "written" if value else "deleted", "by", daemon)
        await asyncio.sleep(ANSWER_S - APPEND_S)
        return 200, answer

    async def read(self, arguments):
        topic = self.topic(arguments["topic"])
        start = int(arguments.get("from", 0))
        until = time.monotonic() + int(arguments.get("wait_ms", 0)) / 1000
        await asyncio.sleep(ANSWER_S)
        while start >= len(topic.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.mode == "silent":
            return None
        if self.mode == "busy" or arguments["topic"] in self.busy_topics:
            return 503, {}
        size = 0
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        for key, value in topic.records[start:]:
            size += 5 + len(key) + len(value)
            if size > 1024 * int(arguments.get("max_kb", 1024)) and len(parts) > 1:
                break
            parts.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value)
        return 200, b"".join(parts)

    async def newest(self, arguments):
        topic = self.topic(arguments["topic"])
        await asyncio.sleep(ANSWER_S)
        after = re.sub("%([0-9A-F]{2})", lambda found: chr(int(found.group(1), 16)), arguments.get("after", "")).encode("latin-1")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys:
            value, offset = topic.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1000000):
                break
            size += len(value)
            items.append({"key": key.decode("latin-1"), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys), "end": len(topic.records)}


class Run:
    def __init__(self, attempt, ends_at, outcome, cpu):
        self.attempt, self.ends_at, self.outcome, self.cpu = attempt, ends_at, outcome, cpu
        self.started_at = time.monotonic()


class History:
    """What clients sent and runners ran, and the checks of RULES.md that need nothing else."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}  # id -> the body that a client sent
        self.active = {}  # task -> set of (runner, attempt)
        self.noted_done = {}  # task -> when its end as done was taken note of
        self.ends = {}  # task -> list of how
        self.starts = 0

    def size_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)].get("cpu", 0) if job in self.jobs else 0

    def on_start(self, runner, task, attempt):
        self.starts += 1
        self.record.line("run", runner, "starts", task, "attempt", attempt)
        if task.split(".")[0] not in self.jobs:
            self.record.breaks("UNASKED", task, "starts, and no client sent its job")
        if self.active.get(task):
            self.record.breaks("TWICE", task, "attempt", attempt, "starts on", runner, "while it runs as", sorted(self.active[task]))
        if task in self.noted_done:
            self.record.breaks("TWICE", task, "attempt", attempt, "starts on", runner, "%.1f s after its end as done was taken note of" % (self.record.now() - self.noted_done[task]))
        self.active.setdefault(task, set()).add((runner, attempt))

    def on_end(self, runner, task, attempt, how):
        self.record.line("run", runner, "ends", task, "attempt", attempt, how)
        self.active.get(task, set()).discard((runner, attempt))
        self.ends.setdefault(task, []).append(how)

    def on_noted(self, runner, task, how):
        self.record.line("run", runner, "end of", task, how, "is taken note of")
        if how == "done":
            self.noted_done.setdefault(task, self.record.now())


class Runner:
    """One runner. `spec` of a task says what it does: run_ms=N;fails=M (its first M runs end as failed)."""

    def __init__(self, cell, number, capacity, service="pool"):
        self.cell, self.number, self.service = cell, number, service
        self.id = "i-%010x" % random.getrandbits(40)
        self.host, self.port = cell.host(100 + number // 200, number % 200 + 1), 7600
        self.kind = "a"
        self.last_call = ("", 0.0)
        self.rack = "r%d-%d" % (number // 10 + 1, number % 10 // 5 + 1)
        self.capacity = dict(capacity)
        self.sequence = 0
        self.server = None
        self.silent = False
        self.outcomes = {}  # task -> number of runs that ended as failed, over all lives

    def begin_life(self):
        self.origin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease = 0.0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.noted_before = 0  # ends up to it came before a lapse of the lease
        self.highest = {}
        self.ended = asyncio.Event()
        self.is_up = True

    async def start(self):
        self.begin_life()
        self.server = Server(self.handle)
        await self.server.listen(self.host, self.port)
        self.announce()

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000) + 1

    def announce(self):
        self.sequence += 1
        entry = {"service": self.service, "addr": "%s:%d" % (self.host, self.port), "zone": "a", "version": "1", "slots": 8, "state": "ready",
                 "sequence": self.sequence, "born": self.born, "machine": "m-%d" % self.number, "capacity": self.capacity, "labels": [self.kind, self.rack]}
        if not self.silent and self.cell.store.mode == "up":
            self.cell.store.put("keyed.servers", self.id, json.dumps(entry))

    async def crash(self, down_s):
        """The process ends; it starts again under its id after a time and knows nothing of before."""
        self.cell.record.line("fault: runner", self.id, "crashes; runs lost:", len(self.running))
        self.is_up = False
        await self.server.stop()
        for task, run in list(self.running.items()):
            self.cell.history.on_end(self.id, task, run.attempt, "crashed")
        await asyncio.sleep(down_s)
        await self.start()
        self.cell.record.line("fault: runner", self.id, "is up again")

    async def be_replaced(self, down_s, is_dark):
        """The process ends, or the machine falls silent; after a time a new incarnation, with another id and of another kind, answers at its address."""
        former = self.id
        self.cell.record.line("fault: runner", former, "goes dark;" if is_dark else "crashes;", "runs lost:", sorted(self.running))
        self.is_up = False
        if is_dark:
            self.server.lose_power()
        else:
            await self.server.stop()
        for task, run in list(self.running.items()):
            self.cell.history.on_end(former, task, run.attempt, "crashed")
        await asyncio.sleep(down_s)
        self.id, self.kind = "i-%010x" % random.getrandbits(40), "c"
        await self.start()
        self.cell.record.line("fault: runner", self.id, "has started at the address of", former)
        await asyncio.sleep(3 * HEARTBEAT_S - down_s)
        if self.cell.store.mode == "up":
            self.cell.store.put("keyed.servers", former, "")  # "It is removed [...] after three heartbeat intervals of silence."

    async def go_dark(self, down_s):
        """As crash(), but the machine falls silent: its connections are not reset while it is down."""
        self.cell.record.line("fault: runner", self.id, "goes dark; runs lost:", sorted(self.running))
        self.is_up = False
        self.server.lose_power()
        for task, run in list(self.running.items()):
            self.cell.history.on_end(self.id, task, run.attempt, "crashed")
        await asyncio.sleep(down_s)
        await self.start()
        self.cell.record.line("fault: runner", self.id, "is up again, born", self.born)

    def cut(self):
        """All machines lose the path to the runner, which runs on; what it has been sent before stays unanswered."""
        self.cell.record.line("fault: runner", self.id, "is cut off and runs on:", sorted(self.running))
        self.silent = True

    def heal(self):
        self.cell.record.line("fault: runner", self.id, "can be reached again")
        self.silent = False

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.last_end += 1
        self.finished.append([self.last_end, task, run.attempt, how, ""])
        self.cell.history.on_end(self.id, task, run.attempt, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self):
        now = self.clock()
        lapsed = now > self.lease
        if lapsed:
            self.noted_before = self.last_end
        for task, run in list(self.running.items()):
            if lapsed:
                self.end(task, "lapsed")
                self.noted_before = self.last_end
            elif now >= run.ends_at:
                self.end(task, run.outcome)

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS["hold_max_ms"]))

    def lists(self):
        running = [[task, run.attempt, "", min(99, int(100 * (time.monotonic() - run.started_at) * 1000 / max(1, run.ends_at - (run.started_at - self.origin) * 1000))), run.cpu] for task, run in self.running.items()]
        return {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.finished[:500]}

    async def handle(self, _, target, headers, body):
        if self.silent:
            return None
        self.last_call = (target, time.monotonic())
        if headers.get("expected-instance") != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = order.get("fencing_token", 0)
        self.tick()
        if target == "/bulrushloft/hold":
            return await self.hold(order)
        if target == "/bulrushloft/run-start":
            return self.run_start(order)
        if target == "/bulrushloft/run-stop":
            return self.run_stop(order)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, order):
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        acked = order.get("ack_seq", 0)
        for end in self.finished:
            if end[0] <= acked and end[0] > self.noted_before:
                self.cell.history.on_noted(self.id, end[1], end[3])
        self.finished = [end for end in self.finished if end[0] > acked]
        if not self.finished and order.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended.wait(), order["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if self.silent:
            return None
        return 200, self.lists()

    def run_start(self, order):
        task, attempt = order["task"], order["attempt"]
        refuse = lambda reason: (409, {"clock_ms": self.clock(), "reason": reason})
        if order["deadline_ms"] < self.clock():
            return refuse("late")
        self.extend(order["deadline_ms"])
        if task in self.running and self.running[task].attempt == attempt:
            return 200, {"clock_ms": self.clock()}
        if attempt <= self.highest.get(task, 0):
            return refuse("old")
        spec = dict(part.partition("=")[::2] for part in order["spec"].split(";") if "=" in part)
        failed = self.cell.history.ends.get(task, []).count("failed")
        outcome = "failed" if failed < int(spec.get("fails", 0)) else "done"
        cpu = self.cell.history.size_of(task)
        self.cell.history.on_start(self.id, task, attempt)
        used = sum(run.cpu for run in self.running.values()) + cpu
        if used > self.capacity["cpu"]:
            self.cell.record.breaks("LIMIT", "the start of", task, "brings", self.id, "to", used, "of", self.capacity["cpu"], "thousandths of a core")
        self.running[task] = Run(attempt, self.clock() + int(spec.get("run_ms", 300)), outcome, cpu)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, order):
        task, attempt = order["task"], order["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.running and self.running[task].attempt <= attempt:
            asyncio.get_running_loop().call_later(0.1, self.stopped, task, self.running[task].attempt)
        return 200, {"clock_ms": self.clock()}

    def stopped(self, task, attempt):
        if self.is_up and task in self.running and self.running[task].attempt == attempt:
            self.end(task, "stopped")


class Cell:
    """A small deployment: daemons, store and runners, each at loopback addresses of its own."""

    def __init__(self, case_file, daemons=3, runners=8, capacity=None, times=None):
        self.folder = os.path.dirname(os.path.abspath(case_file))
        self.record = Record(os.environ.get("RECORD") or os.path.join(self.folder, "record.txt"))
        self.history = History(self.record)
        self.times = times or {}
        self.network = self.free_network()
        self.work = tempfile.mkdtemp(prefix="review-")
        self.names = ["entry-a-%d" % (i + 1) for i in range(daemons)]
        self.processes = {}
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
        self.store = None
        self.runner_count = runners
        self.runners = []
        self.version = 0
        self.servers = []
        self.tasks = []

    def host(self, third, fourth):
        return "%s.%d.%d" % (self.network, third, fourth)

    @staticmethod
    def free_network():
        for _ in range(50):
            network = "127.%d" % random.randint(20, 250)
            try:
                for host, port in ((network + ".1.1", 8149), (network + ".1.1", 8144), (network + ".100.1", 7600), (network + ".2.1", 8142)):
                    with socket.socket() as probe:
                        probe.bind((host, port))
                return network
            except OSError:
                continue
        sys.exit(CANNOT_RUN)

    async def begin(self):
        if not os.access(DAEMON, os.X_OK):
            print("the daemon is missing: build it with the build line of deploy/system.toml", file=sys.stderr)
            sys.exit(CANNOT_RUN)
        self.store = Store(self.record)
        for number, name in enumerate(self.names):
            server = Server(self.store.handler_for(name))
            await server.listen(self.host(2, number + 1), 8142)
            self.servers.append(server)
        for number in range(self.runner_count):
            runner = Runner(self, number, self.capacity)
            self.runners.append(runner)
            await runner.start()
        self.keep(self.tick())
        self.keep(self.heartbeats())

    def keep(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for runner in self.runners:
                if runner.is_up:
                    runner.tick()

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for runner in self.runners:
                if runner.is_up and not runner.silent:
                    runner.announce()

    def configure(self, routes, max_attempts=5):
        """The operator writes the next version of the configuration; the store's answer is its acknowledgement."""
        self.version += 3
        config = {"version": self.version, "limits": {}, "services": [{"name": "pool", "admission_control": False}],
                  "routes": [{"name": "route-" + name, "host": "h.example", "path_prefix": "/" + name + "/", "service": "pool", "priority": 0, "max_attempts": max_attempts,
                              "slack_factor": 3, "target_latency_ms": 250, "timeout_ms": 3000} for name in routes]}
        self.store.put("keyed.op", "config", json.dumps(config))
        self.record.line("operator: version", self.version, "with the routes", routes)

    def settings(self, number):
        """Fills in deploy/cell.yaml, as the platform does."""
        host = self.host(1, number + 1)
        values = {
            "node_name": self.names[number], "zone": "a", "limits.cpu_share": "0.25", "limits.link_mbps": "1000", "limits.max_fds": "4100",
            "listen.front": host + ":8149", "listen.readiness": host + ":8141", "listen.control": host + ":8144", "ip": host,
            "platform.addr": self.host(2, number + 1) + ":8142", "seeds": ",".join(self.host(1, i + 1) + ":8144" for i in range(min(3, len(self.names)))),
        }
        values.update({"bounds." + key: str(value) for key, value in BOUNDS.items()})
        with open(os.path.join(ROOT, "deploy", "cell.yaml"), encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{#advice\}\}.*?\{\{/advice\}\}", "", text, flags=re.S)
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda found: values[found.group(1)], text)
        for key, value in self.times.items():
            text = re.sub(r"(\b%s: ).*" % key, r"\g<1>%s" % value, text)
        path = os.path.join(self.work, self.names[number] + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start_daemon(self, name):
        path = self.settings(self.names.index(name))
        with open(os.path.join(self.work, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen([DAEMON, "--cell", "--config", path], stdout=log, stderr=log, cwd=ROOT)
        self.record.line("daemon", name, "starts as process", self.processes[name].pid)

    def signal_daemon(self, name, number):
        self.record.line("fault: signal", signal.Signals(number).name, "to daemon", name)
        self.processes[name].send_signal(number)

    async def restart_daemon(self, name, number, down_s=1.0):
        self.signal_daemon(name, number)
        while self.processes[name].poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(down_s)
        self.start_daemon(name)

    async def wait_ready(self, limit_s=15):
        """Waits until all daemons are ready and one of them leads, that is, writes to the store."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answers = [await call(self.host(1, i + 1), 8141, "GET", "/bulrushloft/readyz", timeout=1) for i in range(len(self.names))]
            if all(answer and answer[0] == 200 for answer in answers) and self.store.last_writer:
                return
            await asyncio.sleep(0.1)
        self.record.note("the daemons did not get ready")
        await self.finish(CANNOT_RUN)

    def entry(self):
        """An address of a daemon that runs; the platform takes daemons that fail their readiness check out of rotation."""
        alive = [i for i, name in enumerate(self.names) if self.processes[name].poll() is None]
        return self.host(1, random.choice(alive) + 1)

    async def client_call(self, method, queue, job, body=None, timeout=3.0):
        host = self.entry()
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": "h.example", "Content-Type": "application/json", "Deadline-Ms": str(int(timeout * 1000))}
        answer = await call(host, 8149, method, "/%s/%s" % (queue, job), headers, data, timeout)
        status = answer[0] if answer else None
        text = answer[2].decode("latin-1")[:100] if answer else ""
        self.record.line("client", method, queue, job, "at", host, "->", status, text)
        return status, answer[2] if answer else b""

    async def submit(self, job, steps, spec, queue="q", tries=5, times=None):
        """Hands a job in; retries after a refusal or without an answer. Returns whether it was accepted."""
        body = {"spec": spec, "steps": steps}
        body.update(times or {})
        self.history.jobs[job] = body
        for _ in range(tries):
            status, _ = await self.client_call("POST", queue, job, body)
            if status is not None and 200 <= status < 300:
                return True
            if status == 404 or status == 400:
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, queue="q"):
        """The state of a job as a client sees it; "gone" for 410, None without an answer that tells it."""
        status, body = await self.client_call("GET", queue, job)
        if status == 200:
            return json.loads(body).get("state")
        return "gone" if status == 410 else None

    async def finish(self, status=None):
        """Ends all processes, writes the result and exits."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)
        if status is None:
            status = BROKEN if self.record.broken else HELD
        rules = ", ".join(sorted(set(self.record.broken)))
        self.record.note("result:", {HELD: "the rules held", BROKEN: "broken: %s (%d times)" % (rules, len(self.record.broken)), CANNOT_RUN: "could not run"}[status])
        sys.stdout.flush()
        os._exit(status)


def new_id():
    return "%016x" % random.getrandbits(64)


def play(case_file, scenario, limit_s=118, **options):
    """Runs scenario(cell) and exits with the status of the case."""
    async def run():
        cell = Cell(case_file, **options)
        for number in (signal.SIGTERM, signal.SIGINT):  # No process outlives the case.
            asyncio.get_running_loop().add_signal_handler(number, lambda: asyncio.ensure_future(cell.finish(CANNOT_RUN)))
        try:
            await cell.begin()
            await asyncio.wait_for(scenario(cell), limit_s)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:  # The case could not run; end the processes all the same.
            cell.record.note("error:", type(error).__name__, error)
            if os.environ.get("KEEP_LOGS"):
                import traceback
                traceback.print_exc()
            await cell.finish(CANNOT_RUN)
        await cell.finish()
    asyncio.run(run())
