"""Small stand-ins for the scripts review/6 to review/10: the platform's store, runners, clients, and the processes of a cell.

They follow PROTOCOL.md: the store is a log with keyed topics, fenced producers and conditional appends; a runner keeps the highest
fencing token, holds what runs under a lease on its own clock, and lists what has ended until it is acknowledged.
"""

import base64
import http.client
import json
import os
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HEARTBEAT_S = 1.5


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class HttpServer:
    """A server of HTTP/1.1 with a thread for each connection, which can go down at once as a crashed process does."""

    def __init__(self, port, handler):
        self.handler = handler
        self.connections = set()
        self.lock = threading.Lock()
        self.open = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while self.open:
                line = stream.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while (line := stream.readline().strip()):
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", "0")))
                answer = self.handler(method, target, headers, body)
                if answer is None:  # No answer: the connection stays silent.
                    continue
                status, payload = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
                connection.sendall(head.encode() + payload)
        except (OSError, ValueError):
            return
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def crash(self):
        self.open = False
        try:  # Wakes the thread that accepts, which would keep the port otherwise.
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def owns_connection(pid, port):
    """@return Whether the process holds the socket with this local port, as the kernel's table of connections says."""
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if len(fields) > 9 and fields[1].endswith(f":{port:04X}") and fields[9] != "0":
                inode = fields[9]
    if inode is None:
        return False
    try:
        names = os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"/proc/{pid}/fd/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False


class Proxy:
    """Forwards connections to a port. While `is_cut(port of the caller)` holds, nothing passes in either direction, without a reset."""

    def __init__(self, target, is_cut):
        self.target, self.is_cut = target, is_cut
        self.port = free_port()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, (_, caller) = self.listener.accept()
            threading.Thread(target=self.serve, args=(near, caller), daemon=True).start()

    def serve(self, near, caller):
        while self.is_cut(caller):
            time.sleep(0.02)
        try:
            far = socket.create_connection((HOST, self.target), timeout=5)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for one in (near, far):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.copy, args=(near, far, caller), daemon=True).start()
        self.copy(far, near, caller)

    def copy(self, source, sink, caller):
        try:
            while data := source.recv(65536):
                while self.is_cut(caller):
                    time.sleep(0.02)
                sink.sendall(data)
        except OSError:
            pass
        for one in (source, sink):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Partition:
    def __init__(self):
        self.records = []  # Contents without the length.
        self.newest = {}  # Key: (offset, value).
        self.producers = {}  # Name: (epoch, last sequence, {sequence: answer}).


def split_records(body):
    records = []
    while body:
        (length,) = struct.unpack(">I", body[:4])
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


def reply(status, value):
    return status, json.dumps(value).encode()


class Store:
    """The platform's store."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.changed = threading.Condition()
        self.port = free_port()
        self.server = HttpServer(self.port, self.handle)

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, partition, topic, records):
        for content in records:
            partition.records.append(content)
            if topic.startswith("keyed."):
                length = content[0]
                key, value = content[1 : 1 + length].decode(), content[1 + length :]
                if value:
                    partition.newest[key] = (len(partition.records) - 1, value)
                else:
                    partition.newest.pop(key, None)
        self.changed.notify_all()

    def write(self, topic, key, value):
        """What the operator and the runners write."""
        data = json.dumps(value).encode() if value is not None else b""
        with self.changed:
            self.put(self.partition(topic, 0), topic, [bytes([len(key)]) + key.encode() + data])

    def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        if url.path == "/bulrushloft/log-append":
            return self.append(topic, part, query, body)
        if url.path == "/bulrushloft/log-read":
            return self.read(topic, part, query)
        if url.path == "/bulrushloft/log-newest":
            return self.list_newest(topic, part, query)
        return reply(404, {})

    def append(self, topic, part, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return reply(403, {})
        records = split_records(body)
        with self.changed:
            partition = self.partition(topic, part)
            if "producer" in query:
                epoch, sequence = int(query.get("epoch", "0")), int(query.get("sequence", "0"))
                last_epoch, last, answers = partition.producers.get(query["producer"], (-1, 0, {}))
                if epoch < last_epoch:
                    return reply(409, {"reason": "fenced"})
                if epoch == last_epoch and records:
                    if sequence in answers:
                        return answers[sequence]
                    if last is not None and sequence != last + 1:
                        return reply(409, {"reason": "seq", "expected": last + 1})
            if "as_of" in query and int(query["as_of"]) != len(partition.records):
                return reply(412, {"end": len(partition.records)})
            offset = len(partition.records)
            self.put(partition, topic, records)
            answer = reply(200, {"offset": offset, "end": len(partition.records)})
            if "producer" in query:
                if epoch > last_epoch:
                    answers = {}
                if records:
                    answers = dict(list(answers.items())[-4:])
                    answers[sequence] = answer
                partition.producers[query["producer"]] = (epoch, sequence if records else None, answers)
            return answer

    def read(self, topic, part, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self.changed:
            partition = self.partition(topic, part)
            while len(partition.records) <= start and (left := until - time.monotonic()) > 0:
                self.changed.wait(left)
            data = struct.pack(">QQ", len(partition.records), 0)
            for content in partition.records[start:]:
                if len(data) > int(query.get("max_kb", "1024")) * 1024:
                    break
                data += struct.pack(">I", len(content)) + content
            return 200, data

    def list_newest(self, topic, part, query):
        with self.changed:
            partition = self.partition(topic, part)
            keys = sorted(key for key in partition.newest if key > query.get("after", ""))
            items = [{"key": key, "value": base64.b64encode(partition.newest[key][1]).decode(), "offset": partition.newest[key][0]} for key in keys[:500]]
            return reply(200, {"items": items, "has_more": len(keys) > 500, "end": len(partition.records)})


class Run:
    def __init__(self, task, attempt, work_s, checkpoint):
        self.task, self.attempt, self.work_s, self.checkpoint = task, attempt, work_s, checkpoint
        self.began = time.monotonic()

    def percent(self):
        return min(100, int(100 * (time.monotonic() - self.began) / self.work_s)) if self.work_s else 100


class Runner:
    """One machine that runs tasks. Each life has a new id unless `same_id`; `work_s(task)` says how long a task takes."""

    def __init__(self, store, record, name, service, labels, cpu=32000, mem_mb=65536, gpu=0, hold_max_ms=6000, work_s=lambda task: 1.0):
        self.store, self.record, self.name, self.service, self.labels = store, record, name, service, labels
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}
        self.hold_max_s, self.work_s = hold_max_ms / 1000, work_s
        self.port = free_port()
        self.lock = threading.Condition()
        self.life = 0
        self.up = False
        self.starts = []  # (time, task, attempt, id)
        self.ends = []  # (time, task, attempt, how)
        self.on_start = None
        self.start()

    def entry(self):
        return {"service": self.service, "addr": f"{HOST}:{self.port}", "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "machine": self.name, "capacity": self.capacity, "labels": self.labels, "born": self.born, "sequence": self.sequence}

    def start(self):
        with self.lock:
            self.life += 1
            self.id = f"i-{self.name}-{self.life}"
            self.born = int(time.time() * 1000)
            self.epoch = time.monotonic()
            self.fence = 0
            self.running, self.finished, self.barred = {}, [], {}
            self.next_end = 1
            self.lease_until = None
            self.sequence = 1
            self.up = True
            self.server = HttpServer(self.port, self.handle)
        self.record.note(f"runner {self.id} is up at port {self.port}")
        self.store.write("keyed.servers", self.id, self.entry())
        threading.Thread(target=self.live, args=(self.life,), daemon=True).start()

    def live(self, life):
        next_beat = time.monotonic() + HEARTBEAT_S
        while self.up and self.life == life:
            time.sleep(0.02)
            with self.lock:
                if self.life != life or not self.up:
                    return
                self.tick()
            if time.monotonic() >= next_beat:
                next_beat += HEARTBEAT_S
                self.sequence += 1
                self.store.write("keyed.servers", self.id, self.entry())

    def crash(self):
        """The process ends at once. The store removes its entry after three heartbeats of silence."""
        with self.lock:
            self.up = False
            gone, lost = self.id, sorted(self.running)
            self.server.crash()
            self.running = {}
            self.lock.notify_all()
        self.record.note(f"runner {gone} crashes; it ran {lost}")
        timer = threading.Timer(3 * HEARTBEAT_S, lambda: self.store.write("keyed.servers", gone, None))
        timer.daemon = True
        timer.start()

    def clock_ms(self):
        return int((time.monotonic() - self.epoch) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.finished.append([self.next_end, task, run.attempt, how, run.checkpoint])
        self.next_end += 1
        self.barred[task] = max(self.barred.get(task, 0), run.attempt)
        self.ends.append((time.monotonic(), task, run.attempt, how))
        self.record.note(f"runner {self.id}: {task} run {run.attempt} ends {how}")
        self.lock.notify_all()

    def tick(self):
        now = time.monotonic()
        if self.lease_until is not None and now > self.lease_until:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run.work_s is not None and now - run.began >= run.work_s:
                self.end(task, "done")

    def take_deadline(self, body):
        if "deadline_ms" not in body:
            return
        until = min(self.epoch + body["deadline_ms"] / 1000, time.monotonic() + self.hold_max_s)
        self.lease_until = until if self.lease_until is None else max(self.lease_until, until)

    def handle(self, method, target, headers, raw):
        body = json.loads(raw) if raw else {}
        with self.lock:
            if not self.up:
                return None
            self.tick()
            if headers.get("expected-instance", self.id) != self.id:
                return reply(421, {"clock_ms": self.clock_ms()})
            token = body.get("fencing_token", 0)
            if token < self.fence:
                return reply(409, {"clock_ms": self.clock_ms(), "reason": "fence"})
            self.fence = token
            if target == "/bulrushloft/run-start":
                return self.run_start(body)
            if target == "/bulrushloft/run-stop":
                return self.run_stop(body)
            if target == "/bulrushloft/hold":
                return self.hold(body)
            if target == "/bulrushloft/pace":
                return reply(200, {"clock_ms": self.clock_ms()})
            return reply(404, {})

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.running.get(task)
        if run and run.attempt == attempt:
            return reply(200, {"clock_ms": self.clock_ms()})
        if body["deadline_ms"] <= self.clock_ms():
            return reply(409, {"clock_ms": self.clock_ms(), "reason": "late"})
        self.take_deadline(body)
        if attempt <= self.barred.get(task, 0) or run:
            return reply(409, {"clock_ms": self.clock_ms(), "reason": "old"})
        self.running[task] = Run(task, attempt, self.work_s(task), body.get("checkpoint", ""))
        self.starts.append((time.monotonic(), task, attempt, self.id))
        self.record.note(f"runner {self.id}: {task} run {attempt} starts, token {self.fence}")
        if self.on_start:
            self.on_start(self, task, attempt)
        return reply(200, {"clock_ms": self.clock_ms()})

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        if task in self.running and self.running[task].attempt == attempt:
            self.end(task, "stopped")
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        return reply(200, {"clock_ms": self.clock_ms()})

    def hold(self, body):
        self.take_deadline(body)
        self.finished = [end for end in self.finished if end[0] > body.get("ack_seq", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        life = self.life
        while not self.finished and (left := until - time.monotonic()) > 0 and self.up and self.life == life:
            self.lock.wait(left)
        if not self.up or self.life != life:
            return None
        rows = [[task, run.attempt, run.checkpoint, run.percent() if run.work_s else 100, 0] for task, run in self.running.items()]
        return reply(200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows, "finished": self.finished[:500]})


class Client:
    """Sends calls of clients and notes them."""

    def __init__(self, record, host):
        self.record, self.host = record, host

    def call(self, port, method, path, body=None, deadline_ms=3000):
        """@return (status, body), or (None, {}) without an answer."""
        self.record.note(f"client sends {method} {path} to port {port}")
        try:
            connection = http.client.HTTPConnection(HOST, port, timeout=deadline_ms / 1000 + 0.5)
            headers = {"Host": self.host, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms)}
            connection.request(method, path, json.dumps(body) if body is not None else None, headers)
            response = connection.getresponse()
            raw = response.read()
            result = response.status, json.loads(raw) if raw else {}
        except (OSError, http.client.HTTPException, ValueError) as error:
            result = None, {"error": str(error)}
        finally:
            connection.close()
        self.record.note(f"client gets {result[0]} {json.dumps(result[1])[:200]} for {method} {path}")
        return result

    def submit(self, ports, path, body, tries=10, deadline_ms=3000):
        """Hands a job in as the pages say: the same id again, at the next node, until it is accepted. @return Whether it was."""
        for i in range(tries):
            status, _ = self.call(ports[i % len(ports)], "POST", path, body, deadline_ms)
            if status == 200:
                return True
            time.sleep(0.5)
        return False


class Node:
    """One daemon on its machine, with the settings of deploy/cell.yaml."""

    def __init__(self, cell, number, zone):
        self.name, self.zone = f"edge-{zone}-{number}", zone
        self.clients, self.readiness, self.peers = free_port(), free_port(), free_port()
        self.cell = cell
        self.store_port, self.advertised = cell.store.port, self.peers
        self.callers = {}
        self.process = None
        if cell.has_proxies:
            self.store_port = Proxy(cell.store.port, lambda caller: cell.cut_node is self).port
            self.advertised = Proxy(self.peers, self.is_cut).port

    def is_cut(self, caller):
        """@return Whether a connection of another node to this one is cut: one of the two is cut off."""
        cut = self.cell.cut_node
        if cut is None or cut is self:
            return cut is self
        if caller not in self.callers:
            self.callers[caller] = next((node for node in self.cell.nodes if node.process and owns_connection(node.process.pid, caller)), None)
        return self.callers[caller] is cut

    def config(self):
        template = open(os.path.join(ROOT, "deploy", "cell.yaml"), encoding="utf-8").read()
        fields = {"node_name": self.name, "zone": self.zone, "limits.cpu_share": "0.25", "limits.link_mbps": "1000.0", "limits.max_fds": "4100",
                  "listen.front": f"{HOST}:{self.clients}", "listen.readiness": f"{HOST}:{self.readiness}", "listen.control": f"{HOST}:{self.peers}",
                  "platform.addr": f"{HOST}:{self.store_port}", "seeds": ",".join(f"{HOST}:{node.advertised}" for node in self.cell.nodes[:3]),
                  "bounds.hold_max_ms": "6000", "bounds.gang_timeout_ms": "3000", "bounds.remote_factor": "2"}
        lines = []
        for line in template.splitlines():
            if "{{#advice}}" in line or "{{/advice}}" in line or line.strip().startswith("metrics:"):
                continue
            for name, value in fields.items():
                line = line.replace("{{" + name + "}}", value)
            lines.append(line)
            if line.strip().startswith("peers:") and self.advertised != self.peers:
                lines.append(f'  advertised_peers: "{HOST}:{self.advertised}"')
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.cell.directory, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.config())
        log = open(os.path.join(self.cell.directory, self.name + ".log"), "a", encoding="utf-8")
        self.process = subprocess.Popen([os.path.join(ROOT, "target", "bulrushloftd"), "--cell", "--config", path], stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "BULRUSHLOFT_BOOT": path})
        self.cell.record.note(f"{self.name} starts as process {self.process.pid}, clients' port {self.clients}")

    def signal(self, number):
        self.cell.record.note(f"{self.name} gets signal {number}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(HOST, self.readiness, timeout=1)
            connection.request("GET", "/bulrushloft/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def log(self):
        with open(os.path.join(self.cell.directory, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Cell:
    """The store, and the daemons of a small deployment."""

    def __init__(self, record, routes, services, nodes=3, has_proxies=False):
        self.record = record
        self.has_proxies, self.cut_node = has_proxies, None
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = self.temporary.name
        self.store = Store(record)
        self.routes, self.services, self.version = routes, services, 0
        self.configure()
        self.nodes = []
        for i in range(nodes):
            self.nodes.append(Node(self, i + 1, "abc"[i % 3]))
        self.runners = []

    def configure(self):
        self.version += 3
        self.store.write("keyed.op", "config", {"version": self.version, "routes": self.routes, "services": self.services, "limits": {}})
        self.record.note(f"config version {self.version} is stored")

    def start(self):
        for node in self.nodes:
            node.start()
        until = time.monotonic() + 20
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > until:
                return False
            time.sleep(0.1)
        time.sleep(2)
        return True

    def leader(self):
        """@return The node whose log says that it has begun the newest term."""
        newest, found = 0, None
        for node in self.nodes:
            for line in node.log().splitlines() if node.process else []:
                if " term-begins token=" in line:
                    token = int(line.split("token=")[1].split()[0])
                    if token > newest:
                        newest, found = token, node
        return found

    def stop(self):
        for node in self.nodes:
            node.kill()
        self.temporary.cleanup()


def route(name, prefix, service, host="jobs.example", attempts=4, priority=1):
    return {"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": priority,
            "service": service, "max_attempts": attempts, "slack_factor": 2.0}
