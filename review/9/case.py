"""A sound job is shown as failed because the runner under it has crashed five times; see claim.txt."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import cell2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 4.0  # The task's work, once a runner is left alone for so long.
CRASHES = 5  # As many as the runner has; each takes it down for DOWN_S.
RUN_BEFORE_CRASH_S = 1.5
DOWN_S = 1.0
JOB = "5c0e7a21d94b36f8"


def main():
    record = cell2.Record(os.path.join(FOLDER, "record.txt"))
    cell = cell2.Cell(record, [cell2.route("r-plates", "/plates/", "engraving")], [{"name": "engraving", "admission_control": False}])
    for i in range(10):  # One of ten has the kind that the job needs.
        kind = "b" if i == 0 else "a"
        cell.runners.append(cell2.Runner(cell.store, record, f"m{i}", "engraving", [kind, f"r1-{i // 5}"], work_s=lambda task: WORK_S))
    special = cell.runners[0]
    crashes = []

    def crash_later(runner, task, attempt):
        if TROUBLE and len(crashes) < CRASHES:
            crashes.append(attempt)
            threading.Timer(RUN_BEFORE_CRASH_S, runner.crash).start()
            threading.Timer(RUN_BEFORE_CRASH_S + DOWN_S, runner.start).start()

    special.on_start = crash_later
    try:
        if not cell.start():
            record.note("the cell isn't ready")
            return 2
        client = cell2.Client(record, "jobs.example")
        ports = [node.clients for node in cell.nodes]
        if not client.submit(ports, "/plates/" + JOB, {"spec": "plate", "steps": [{"count": 1, "cpu": 2000, "mem_mb": 1024, "estimated_ms": int(WORK_S * 1000), "constraints": "b"}]}):
            record.note("the job isn't accepted")
            return 2
        state = None
        until = time.monotonic() + 75
        while time.monotonic() < until and state not in ("complete", "failed", "canceled"):
            time.sleep(0.5)
            status, body = client.call(ports[1], "GET", "/plates/" + JOB)
            state = body.get("state") if status == 200 else state
        failed_ends = [end for runner in cell.runners for end in runner.ends if end[3] == "failed"]
        record.note(f"state {state}; starts {len(special.starts)}, crashes {len(crashes)}, ends 'failed' {len(failed_ends)}")
        if TROUBLE and len(crashes) < CRASHES and state is None:
            return 2
        if state == "complete":
            record.note("LOST held")
            return 0
        record.note("LOST is broken: the job is shown as failed, or isn't done, and no run has ended 'failed'")
        return 1
    finally:
        cell.stop()
        for line in cell.leader().log().splitlines() if cell.leader() else []:
            if "task-given-up" in line or "job-ended" in line:
                record.note("log: " + line)


if __name__ == "__main__":
    code = main()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
