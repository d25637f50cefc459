"""Leaders are killed while a few of the store's writes are done late and not answered. See claim.txt."""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

ROUNDS = 6
LOST_S = 4.5  # length of each time in which answers are lost
JOBS_A_SECOND = 60


async def scenario(cell):
    for name in cell.names:
        cell.start_daemon(name)
    cell.configure(["q"])
    await cell.wait_ready()
    await asyncio.sleep(1)
    accepted = {}

    async def hand_in(run_ms):
        job = standins.new_id()
        if await cell.submit(job, [{"count": 1, "cpu": 3000, "mem_mb": 128, "estimated_ms": run_ms}], "run_ms=%d" % run_ms):
            accepted[job] = cell.record.now()

    async def traffic(seconds):
        until = cell.record.now() + seconds
        while cell.record.now() < until:
            cell.keep(hand_in(800 if len(cell.history.jobs) % 2 else 4000))
            await asyncio.sleep(1 / JOBS_A_SECOND)

    async def kill_leader():
        if not standins.TROUBLE:
            return
        leader = cell.store.last_writer
        cell.record.note("one process is killed, the one that last wrote to the store under a condition:", leader)
        cell.keep(cell.restart_daemon(leader, signal.SIGKILL, 1.0))

    lost = set()

    def is_late(arguments, body):
        """Chooses the writes that are not answered: the first records of each term, and a third of the clients' jobs that the daemons store themselves."""
        if arguments["topic"] == "keyed.jobs":
            return random.random() < 0.35
        is_first = arguments.get("sequence") == "1" and body and arguments["epoch"] not in lost
        if is_first:
            lost.add(arguments["epoch"])
        return is_first

    await traffic(3)
    for _ in range(ROUNDS):
        cell.store.writes = cell.store.late_writes = 0
        cell.store.is_late = is_late if standins.TROUBLE else None
        await traffic(0.5)
        await kill_leader()
        await traffic(2)
        await kill_leader()
        await traffic(LOST_S - 2.5)
        cell.store.is_late = None
        cell.record.note("in the last %.1f s: %d writes, of which %d were not answered and done 3 s later" % (LOST_S, cell.store.writes, cell.store.late_writes))
        await traffic(4)
    await asyncio.sleep(10)
    states = dict(zip(accepted, await asyncio.gather(*[cell.state(job) for job in accepted])))
    cell.record.note("states at the end:", {str(state): list(states.values()).count(state) for state in states.values()})
    for job, state in states.items():
        if state == "gone":
            cell.record.breaks("LOST", "accepted job", job, "is answered 410, %.0f s after its acceptance" % (cell.record.now() - accepted[job]))


standins.play(__file__, scenario, daemons=7, runners=20)
