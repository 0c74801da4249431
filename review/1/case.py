"""A side machine loses power for some seconds: its agent and its executor are
gone, and come back empty."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import run_case, trouble  # noqa: E402

# The sheet's `village-register`.
STEP = {"count": 8, "cpu": 3500, "memMb": 6400, "estimateMs": 4400}
RUN_MS = 4400
JOBS = 3
DARK_S = 3.5


async def case(cluster):
    jobs = [f"{0x5c0e7a21d94b0000 + i:016x}" for i in range(JOBS)]
    for job in jobs:
        await cluster.submit(job, [STEP], lambda _: RUN_MS)
        await asyncio.sleep(0.3)
    await asyncio.sleep(1)
    if trouble():
        executor = max(cluster.executors, key=lambda e: len(e.runs))
        agent = cluster.programs[cluster.entry_count +
                                 cluster.executors.index(executor)]
        cluster.record.add("power.off", vm=executor.name)
        agent.kill()
        await executor.crash()
        await asyncio.sleep(DARK_S)
        cluster.record.add("power.on", vm=executor.name)
        agent.spawn()
        executor.id += "-new"
        await executor.start()
    await asyncio.sleep(2 * RUN_MS / 1000)
    await cluster.check_lost(jobs)


run_case(pathlib.Path(__file__).resolve().parent, case)
