"""A runner loses power for a moment and starts again under its id; a second later it is cut off and runs on. See claim.txt."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

DARK_S = 0.3
CUT_AFTER_S = 0.6  # after the task has started on the new process
CUT_S = 5.5


async def scenario(cell):
    one, other = cell.runners[0], cell.runners[1]
    for runner in (one, other):  # Two runners of a kind of their own.
        runner.kind = "b"
        runner.announce()
    for name in cell.names:
        cell.start_daemon(name)
    cell.configure(["q"])
    await cell.wait_ready()
    await asyncio.sleep(3)

    async def running_on(job):
        for _ in range(500):
            for runner in cell.runners:
                if runner.is_up and any(task.startswith(job) for task in runner.running):
                    return runner
            await asyncio.sleep(0.01)
        cell.record.note("the job did not start")
        await cell.finish(standins.CANNOT_RUN)

    # Each of the two has a task that lasts; one has room for more, the other will have room in some seconds.
    step = {"count": 1, "cpu": 4000, "mem_mb": 512, "estimated_ms": 20000, "constraints": "b"}
    lasting, full, late = standins.new_id(), standins.new_id(), standins.new_id()
    await cell.submit(full, [dict(step, cpu=31000)], "run_ms=5000")
    other = await running_on(full)
    await cell.submit(lasting, [dict(step, long_running=True)], "run_ms=100000000")
    one = await running_on(lasting)
    await asyncio.sleep(1.2)
    # Right after a sync of the leader has arrived, which the runner holds open.
    while one.last_call[0] != "/bulrushloft/hold" or time.monotonic() - one.last_call[1] > 0.05:
        await asyncio.sleep(0.005)
    if standins.TROUBLE:
        cell.record.note("one runner of", len(cell.runners), "loses power for %.1f s" % DARK_S)
        await one.go_dark(DARK_S)
    await cell.submit(late, [step], "run_ms=20000")
    await running_on(late)
    started_on = [runner.id for runner in cell.runners if any(task.startswith(late) for task in runner.running)]
    cell.record.note("the task has started on the new process:", started_on == [one.id])
    await asyncio.sleep(CUT_AFTER_S)
    if standins.TROUBLE:
        cell.record.note("the same runner is cut off for %.1f s and runs on" % CUT_S)
        one.cut()
    await asyncio.sleep(CUT_S)
    if standins.TROUBLE:
        one.heal()
    await asyncio.sleep(10)
    cell.record.note("runs of the task:", [line for line in cell.history.active.get(late + ".0.0.0", [])], cell.history.ends.get(late + ".0.0.0"))


standins.play(__file__, scenario, daemons=3, runners=12)
