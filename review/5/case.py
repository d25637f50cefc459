"""Two runners crash at once; one of them runs a task of a job that has just been started, the other nothing of it. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

AFTER_START_S = 0.2
DOWN_S = 0.5
LASTS = "run_ms=100000000"


async def scenario(cell):
    kind_b = cell.runners[:5]
    for runner in kind_b:  # Five of the runners are of a kind of their own.
        runner.kind = "b"
        runner.announce()
    for name in cell.names:
        cell.start_daemon(name)
    cell.configure(["q"], max_attempts=5)
    await cell.wait_ready()
    await asyncio.sleep(2)
    step = {"cpu": 2000, "mem_mb": 512, "estimated_ms": 1000, "long_running": True, "anti_affinity": 1, "constraints": "b"}
    # A job that lasts, with a task on each of the five, and another one with two tasks.
    others, job = standins.new_id(), standins.new_id()
    task = job + ".0.0.0"
    await cell.submit(others, [dict(step, count=5)], LASTS)
    await asyncio.sleep(2)
    if not await cell.submit(job, [dict(step, count=2)], LASTS):
        cell.record.note("the job was not accepted")
        await cell.finish(standins.CANNOT_RUN)
    busy = []
    for _ in range(300):
        busy = [runner for runner in kind_b if any(name.startswith(job) for name in runner.running)]
        if len(busy) == 2:
            break
        await asyncio.sleep(0.01)
    if len(busy) != 2:
        cell.record.note("the tasks did not start")
        await cell.finish(standins.CANNOT_RUN)
    first = next(runner for runner in busy if task in runner.running)
    other = min((runner for runner in kind_b if runner not in busy), key=lambda runner: runner.id)
    await asyncio.sleep(AFTER_START_S)
    if standins.TROUBLE:
        cell.record.note("two of %d runners crash: the one that has run %s for %.1f s, and, silently, one that doesn't run the job" % (len(cell.runners), task, AFTER_START_S))
        cell.keep(other.be_replaced(DOWN_S, True))
        cell.keep(first.be_replaced(DOWN_S, False))
    await asyncio.sleep(DOWN_S + standins.BOUNDS["contact_ms"] / 1000 + 7)
    state = await cell.state(job)
    hows = {name: ends for name, ends in cell.history.ends.items() if name.startswith(job)}
    running = [name for name, where in cell.history.active.items() if name.startswith(job) and where]
    cell.record.note("10 s after the crash the job is shown as %s; its tasks at work: %d of 2; its runs that ended: %s" % (state, len(running), hows))
    ended = [how for ends in hows.values() for how in ends]
    if state == "failed" and ended.count("failed") == 0 and ended.count("crashed") < 2:
        cell.record.breaks("LOST", "job", job, "is shown as failed: no run has ended failed, and one runner has crashed under its tasks; max_attempts is 5, and the tasks last")
    if state != "failed" and len(running) < 2:
        cell.record.breaks("LOST", "a task of", job, "that lasts does not run, with runners of its kind up and empty")


standins.play(__file__, scenario, daemons=3, runners=15)
