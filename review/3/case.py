"""The planner is killed while tasks of timed jobs run, and they end before
another entry takes over."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import run_case, trouble  # noqa: E402

# The sheet's `entry-check`, as a job with due times.
STEP = {"count": 6, "cpu": 480, "memMb": 960, "estimateMs": 640,
        "maxPerServer": 2}
RUN_MS = 640
JOBS = 3
ROUNDS = 6
DUE_IN_MS = 2000
KILL_AFTER_DUE_MS = 250
RESTART_S = 1
ROUND_S = 8


async def play_round(cluster, number):
    due = int(time.time() * 1000) + DUE_IN_MS
    jobs = [f"{0x5c0e7a21d94b0000 + 16 * number + i:016x}"
            for i in range(JOBS)]
    for job in jobs:
        await cluster.submit(job, [STEP], lambda _: RUN_MS, repeatCount=1,
                             firstRunMs=due, intervalMs=60000)
    await asyncio.sleep((due + KILL_AFTER_DUE_MS) / 1000 - time.time())
    if trouble():
        planner = cluster.planner()
        cluster.record.add("kill", name=planner.name)
        planner.kill()
        await asyncio.sleep(RESTART_S)
        planner.spawn()
    await asyncio.sleep(ROUND_S)
    return jobs


async def case(cluster):
    jobs = []
    for number in range(ROUNDS):
        jobs += await play_round(cluster, number)
    left = await cluster.wait_for(jobs, ("completed",), 20)
    for job in left:
        cluster.history.breaks("LOST", f"{job} isn't completed")


run_case(pathlib.Path(__file__).resolve().parent, case)
