"""An executor leaves a start unanswered, crashes, and is back under its id behind
a cut. The start is carried out there."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins3 import World, now_ms, play  # noqa: E402

WORK_MS = 9000
# Before the agent has given up the call, which it does after 0.25 s.
CRASH_AFTER_S = 0.1
# After the beginning of the cut.
LATE_S = 2.0
CUT_S = 9.0
WATCH_S = 20


async def course(world):
    # A first task shows which executor gets the next one: the one that has the
    # least room left.
    first = world.new_job("village-register", [
        {"count": 1, "cpu": 3500, "memMb": 6400, "estimateMs": 20000}], [20000])
    await world.submit(first)
    await asyncio.sleep(2)
    executor = next(it for run, it, _ in world.running
                    if run.task.startswith(first.id))
    job = world.new_job("village-register", [
        {"count": 1, "cpu": 3500, "memMb": 6400, "estimateMs": WORK_MS}],
                        [WORK_MS])
    executor.holds_start = world.trouble
    await world.submit(job)
    if world.trouble:
        for _ in range(100):
            if executor.late:
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(CRASH_AFTER_S)
        await executor.crash()
        await executor.return_behind_cut(LATE_S, CUT_S)
    until = now_ms() + WATCH_S * 1000
    while now_ms() < until and job.state != "completed":
        await asyncio.sleep(0.5)
        await world.ask(job)
    print(f"starts: {[it[1:] for it in world.starts[job.id + '.0.0.0']]}, "
          f"state: {job.state}")


play(World(pathlib.Path(__file__).parent), course)
