"""Plays, with the real programs, three executors that crash by chance under one
task, at different times after its starts. Exits with 1 if its job is given up
or another rule was broken, 0 if all held, 2 if the run wasn't possible."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
import case  # noqa: E402
import load  # noqa: E402
from fleet import Fleet  # noqa: E402
from harness import NotReady, now_ms  # noqa: E402
from rules import Job  # noqa: E402

VMS = 6
TASK_MS = 6000
CRASH_AFTER_MS = (700, 160, 900)
AWAY_S = 0.5
WAIT_FOR_START_S = 8
WAIT_FOR_END_S = 20


async def crash_under(fleet, task, after_ms):
    """Crashes the executor of a task that long after the task's start."""
    until = now_ms() + 1000 * WAIT_FOR_START_S
    while now_ms() < until:
        for executor in fleet.executors:
            for run in executor.runs.values():
                if run.task == task and now_ms() - run.started >= after_ms:
                    await fleet.crash(executor, AWAY_S)
                    return
        await asyncio.sleep(0.005)
    raise NotReady(f"{task} has no run")


async def play(fleet):
    await fleet.start()
    kind = fleet.site.kinds[0]
    job = Job("00000000000000a1", kind.prefix, [
        {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": TASK_MS}])
    fleet.add_job(job, [TASK_MS])
    fleet.fail_share = 0
    client = load.Client(fleet, fleet.rng)
    await client.attempt(job)
    for after_ms in CRASH_AFTER_MS:
        await crash_under(fleet, job.tasks()[0], after_ms)
    until = now_ms() + 1000 * WAIT_FOR_END_S
    while job.owed() and now_ms() < until:
        await client.ask(job)
        await asyncio.sleep(0.2)
    return f"job: {job.state}", job.state == "completed"


def new_fleet(folder, build):
    return Fleet(folder, build, load.SITES["etna"], random.Random(1), 2, VMS)


if __name__ == "__main__":
    case.main(__doc__, "crashes-by-chance", new_fleet, play)
