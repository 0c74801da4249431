"""Plays, with the real programs, executors that start again under their id,
carry out starts that were meant for their former process, and are cut off from
their agent soon after. Exits with 1 if a rule was broken, 0 if all held, 2 if
the run wasn't possible."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
import case  # noqa: E402
import faults  # noqa: E402
import load  # noqa: E402
from fleet import Fleet  # noqa: E402
from harness import HOLD_MAX_MS, NotReady, now_ms  # noqa: E402
from rules import Job  # noqa: E402
from standins import SoakExecutor  # noqa: E402

VMS = 3
TASKS = 6
TASK_CPU = 12000
TASK_MS = 30000
WAIT_FOR_STARTS_S = 3
AWAY_S = 0.5
CUT_AFTER_S = 2
# Longer than the longest lease.
CUT_S = HOLD_MAX_MS / 1000 + 2


class StartHoldingExecutor(SoakExecutor):
    HELD_PATHS = ("/run-start",)


async def play(fleet):
    await fleet.start()
    victim = fleet.executors[0]
    # A lease on the clock of this process is then longer than any on that of
    # the next one.
    while victim.clock() < HOLD_MAX_MS:
        await asyncio.sleep(0.1)
    kind = fleet.site.kinds[0]
    job = Job("00000000000000a1", kind.prefix, [
        {"count": TASKS, "cpu": TASK_CPU, "memMb": 100,
         "estimateMs": TASK_MS}])
    fleet.add_job(job, [TASK_MS])
    fleet.fail_share = 0
    victim.held = []
    await load.Client(fleet, fleet.rng).attempt(job)
    until = now_ms() + 1000 * WAIT_FOR_STARTS_S
    while not victim.held and now_ms() < until:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    await faults.restart_with_held_calls(fleet, victim, AWAY_S)
    carried_out = len(victim.runs)
    if carried_out == 0:
        raise NotReady("no start reached the new process")
    await asyncio.sleep(CUT_AFTER_S)
    await victim.cut_off(CUT_S)
    await asyncio.sleep(1)
    return f"starts of a former process carried out: {carried_out}", True


def new_fleet(folder, build):
    return Fleet(folder, build, load.SITES["etna"], random.Random(1), 2, VMS,
                 StartHoldingExecutor)


if __name__ == "__main__":
    case.main(__doc__, "restarted-worker", new_fleet, play)
