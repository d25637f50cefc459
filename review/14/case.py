"""A configuration sends a queue to another service. Then one of the seven runners of the former service is emptied and taken away; a task that lasts ran there and has no other runner in that service."""
import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import platform3  # noqa: E402

HOST = "ficu95.example"
SERVICES = [{"name": "pruebas", "admission_control": False}, {"name": "grabado", "admission_control": False}]
DRAIN_S, CALM_S = 2.0, 3.0


def queue(service):
    return {"name": "watch", "host": HOST, "path_prefix": "/watch/", "service": service, "priority": 1, "max_attempts": 3, "slack_factor": 2.2, "target_latency_ms": 2500, "timeout_ms": 3000}


async def main(make, trouble):
    world = make(vms=3)
    await world.open()
    world.configure(10, [queue("pruebas")], SERVICES)
    former = [world.add_runner("i-%04d" % i, "pruebas", {"cpu": 8000, "mem_mb": 16000}, ["b" if i == 0 else "a", "r1-%d" % (i // 4)]) for i in range(7)]
    latter = [world.add_runner("i-%04d" % (10 + i), "grabado", {"cpu": 8000, "mem_mb": 16000}, ["b", "r1-2"]) for i in range(4)]
    for runner in former + latter:
        await runner.start()
    for daemon in world.daemons:
        daemon.start()
    await world.until(world.leader, 15, "a leader")
    await asyncio.sleep(1.5)
    job = platform3.job_id()
    body = {"spec": "work 600", "steps": [{"count": 1, "cpu": 2000, "mem_mb": 500, "estimated_ms": 600, "constraints": "b", "long_running": True}]}
    status, _ = await world.request("POST", HOST, "/watch/" + job, body)
    if status != 200:
        raise platform3.Cannot("the job was not accepted: %s" % status)
    await world.until(lambda: world.starts, 8, "the start")
    world.configure(17, [queue("grabado")], SERVICES)
    await asyncio.sleep(4)
    if trouble:
        former[0].state = "draining"
        former[0].announce()
        world.note("draining", runner=former[0].name)
        await asyncio.sleep(DRAIN_S + 1)
        former[0].crash()  # It exits as planned.
        former[0].withdraw()
    # 6 s after its last run, and 4 s and 3 s of calm, a task that lasts has to run again where there is capacity for it twice over.
    await asyncio.sleep(6 + CALM_S + 4 + 3 + 5)
    running = [runner.name for runner in world.runners.values() if runner.is_up() and any(task.startswith(job) for task in runner.runs)]
    state = await world.state(HOST, "/watch/" + job)
    last = max([end[0] for end in world.ends if end[2].startswith(job)], default=None)
    print("the job is shown as %s and works on: %s" % (state, ", ".join(running) or "nothing"))
    if not running:
        print("LOST: a task that lasts has not run for %.0f s since its last run; the four runners of the service to which its queue is sent have the label and are empty" % (time.monotonic() - (last or 0)))
        return 1
    return 0


platform3.run_case(__file__, main)
