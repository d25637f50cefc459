"""Starts that got no answer are carried out late by a runner that has started again under its id: finished tasks run again; see claim.txt."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import cell2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_SHARE = 0.5  # applied_late: so many of the orders get no answer and are carried out 2 to 12 s later,
LATE_S = 5.5  # for so long.
CRASH_SHARE = 2  # srv_crash: two of 14 runners at a time,
DOWN_S = 0.3  # for so long;
WAVES = 6
RUNNERS = 14


class Runner(cell2.Runner):
    """Starts again under its id after a crash. Orders may get no answer and be carried out late, by whichever process is there then."""

    late_until = 0.0
    dice = random.Random(51)

    def start(self):
        former = getattr(self, "id", None)
        if former is None:
            self.noted = set()  # Tasks whose end as done has been acknowledged.
            return super().start()
        with self.lock:
            self.life += 1
            self.born = int(time.time() * 1000)
            self.epoch = time.monotonic()
            self.fence, self.running, self.finished, self.barred, self.next_end, self.lease_until, self.sequence = 0, {}, [], {}, 1, None, 1
            self.up = True
            self.server = cell2.HttpServer(self.port, self.handle)
        self.record.note(f"runner {self.id} is up again under its id")
        self.store.write("keyed.servers", self.id, self.entry())
        threading.Thread(target=self.live, args=(self.life,), daemon=True).start()

    def crash(self):
        with self.lock:
            self.up = False
            self.server.crash()
            self.record.note(f"runner {self.id} crashes; it ran {sorted(self.running)}")
            self.running = {}
            self.lock.notify_all()

    def handle(self, method, target, headers, raw):
        if target == "/bulrushloft/run-start" and time.monotonic() < Runner.late_until and Runner.dice.random() < LATE_SHARE:
            timer = threading.Timer(Runner.dice.uniform(2, 12), lambda: cell2.Runner.handle(self, method, target, headers, raw))
            timer.daemon = True
            timer.start()
            return None
        return super().handle(method, target, headers, raw)

    def hold(self, body):
        for number, task, _, how, _ in self.finished:
            if how == "done" and number <= body.get("ack_seq", 0):
                self.noted.add(task)
        return super().hold(body)


def main():
    record = cell2.Record(os.path.join(FOLDER, "record.txt"))
    cell = cell2.Cell(record, [cell2.route("r-plates", "/plates/", "engraving")], [{"name": "engraving", "admission_control": False}])
    for i in range(RUNNERS):
        cell.runners.append(Runner(cell.store, record, f"m{i}", "engraving", ["a", f"r1-{i // 5}"], work_s=lambda task: 0.4))
    twice = []

    def check(runner, task, attempt):
        if any(task in other.noted for other in cell.runners):
            twice.append(task)
            record.note(f"TWICE: {task} run {attempt} starts on {runner.id}, whose end as done was acknowledged before")

    for runner in cell.runners:
        runner.on_start = check
    try:
        if not cell.start():
            record.note("the cell isn't ready")
            return 2
        client = cell2.Client(record, "jobs.example")
        ports = [node.clients for node in cell.nodes]
        until = time.monotonic() + 18
        accepted = []

        def hand_in(lane):
            number = 0
            while time.monotonic() < until:
                number += 1
                job = "%016x" % (lane * 4096 + number)
                if client.submit(ports[lane % 3 :] + ports[: lane % 3], "/plates/" + job, {"spec": "plate", "steps": [{"count": 10, "cpu": 500, "mem_mb": 64, "estimated_ms": 400}]}, tries=4):
                    accepted.append(job)
                time.sleep(0.25)

        lanes = [threading.Thread(target=hand_in, args=(lane,)) for lane in range(1, 4)]
        for lane in lanes:
            lane.start()
        time.sleep(2)
        if TROUBLE:
            Runner.late_until = time.monotonic() + LATE_S
            record.note(f"for {LATE_S} s {LATE_SHARE} of the starts get no answer and are carried out 2 to 12 s later")
            time.sleep(4)
            order = list(cell.runners)
            random.Random(7).shuffle(order)
            for wave in range(WAVES):
                down = order[wave * CRASH_SHARE : (wave + 1) * CRASH_SHARE]
                for runner in down:
                    runner.crash()
                time.sleep(DOWN_S)
                for runner in down:
                    runner.start()
                time.sleep(1.0)
        for lane in lanes:
            lane.join()
        time.sleep(14)
        record.note(f"{len(accepted)} jobs accepted; {sum(len(runner.starts) for runner in cell.runners)} starts; {len(twice)} tasks started after their end as done was acknowledged: {twice[:5]}")
        record.note("TWICE is broken" if twice else "TWICE held")
        return 1 if twice else 0
    finally:
        cell.stop()


if __name__ == "__main__":
    code = main()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
