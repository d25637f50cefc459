"""Two crashes of runners on which a task that lasts has just been started. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

CRASHES = 2
AFTER_START_S = 0.2
DOWN_S = 1.0
LASTS = "run_ms=100000000"


async def scenario(cell):
    for name in cell.names:
        cell.start_daemon(name)
    cell.configure(["q"], max_attempts=5)
    await cell.wait_ready()
    await asyncio.sleep(1)
    job = standins.new_id()
    task = job + ".0.0.0"
    if not await cell.submit(job, [{"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 1000, "long_running": True, "anti_affinity": 1}], LASTS):
        cell.record.note("the job was not accepted")
        await cell.finish(standins.CANNOT_RUN)

    async def runner_of():
        for _ in range(1500):
            for runner in cell.runners:
                if runner.is_up and task in runner.running:
                    return runner
            await asyncio.sleep(0.01)
        return None

    for crash in range(CRASHES if standins.TROUBLE else 0):
        runner = await runner_of()
        if not runner:
            break
        await asyncio.sleep(AFTER_START_S)
        cell.record.note("crash %d of %d: one of %d runners, %.1f s after it started %s" % (crash + 1, CRASHES, len(cell.runners), AFTER_START_S, task))
        cell.keep(runner.crash(DOWN_S))
        await asyncio.sleep(0.05)
    calm_s = standins.BOUNDS["contact_ms"] / 1000 + 7
    await asyncio.sleep(DOWN_S + calm_s)
    state = await cell.state(job)
    hows = [how for name, ends in cell.history.ends.items() if name.startswith(job) for how in ends]
    running = [(name, where) for name, where in cell.history.active.items() if name.startswith(job) and where]
    cell.record.note("%.0f s after the last crash the job is shown as %s; its tasks at work: %d of 2; its runs ended: %s" % (calm_s, state, len(running), hows))
    if state == "failed" and hows.count("failed") == 0:
        cell.record.breaks("LOST", "job", job, "is shown as failed, and none of its runs has ended failed; max_attempts is 5, and its tasks last")
    if state != "failed" and len(running) < 2:
        cell.record.breaks("LOST", "a task of", job, "that lasts does not run, with all runners up and nearly empty")


standins.play(__file__, scenario, daemons=3, runners=8)
