"""Plays, with the real programs, executors that start again under their id and
carry out calls that were meant for their former process. Machines with such a
lease are then cut off and the planner is killed, while tasks that were started
there again run on. Exits with 1 if a rule was broken, 0 if all held, 2 if the
run wasn't possible."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
import case  # noqa: E402
import faults  # noqa: E402
import load  # noqa: E402
from fleet import Fleet, expected  # noqa: E402
from harness import HOLD_MAX_MS, NotReady, now_ms  # noqa: E402
from rules import Job  # noqa: E402

ENTRIES = 3
VMS = 7
VICTIMS = 3
TASK_MS = 40000
# Without a fault, a lease ends this long after its grant.
USUAL_LEASE_MS = 5350
HOLD_CALLS_S = 0.4
CUT_AFTER_S = 2.2
WORKER_AWAY_S = 0.5
ENTRY_AWAY_S = 0.3
# Longer than the longest lease.
CUT_S = HOLD_MAX_MS / 1000 + 2


async def submit(fleet, number, count, cpu, spread):
    """Hands in a job of long tasks."""
    step = {"count": count, "cpu": cpu, "memMb": 100, "estimateMs": TASK_MS}
    if spread:
        step["maxPerServer"] = 1
    job = Job(f"00000000000000a{number}", fleet.site.kinds[0].prefix, [step])
    fleet.add_job(job, [TASK_MS])
    if not await load.Client(fleet, fleet.rng).submit(job):
        raise NotReady(f"job {job.id} was not accepted")
    return job


def runs_of(executor, job):
    return [it for it in executor.runs.values() if it.task in job.tasks()]


async def victims_of(fleet, job):
    """@return the executors of a job, once all of its tasks run."""
    until = now_ms() + 5000
    while now_ms() < until:
        victims = [it for it in fleet.executors if runs_of(it, job)]
        if len(victims) == VICTIMS:
            return victims
        await asyncio.sleep(0.005)
    raise NotReady("not all tasks were started")


def tell_second_runs(fleet, victims, lines):
    """Notes how long the lease of a first run lasts when a second begins."""
    def on_start(run):
        for victim in victims:
            for first in victim.runs.values():
                if first.task == run.task and first.run != run.run:
                    lines.append(
                        f"{run.task}: run {run.run} starts while run "
                        f"{first.run} is on {victim.name}, started "
                        f"{now_ms() - first.started:.0f} ms ago, under a "
                        f"lease that lasts for {victim.lease_left_ms()} ms "
                        "more")
                    fleet.record.add("second_run", what=lines[-1])
    for it in fleet.executors:
        it.on_start = on_start


async def kill_planner(fleet):
    program = fleet.planner()
    fleet.record.add("planner.killed", name=program.name)
    with expected(program):
        program.kill()
        await asyncio.sleep(ENTRY_AWAY_S)
        program.spawn()
    return program.name


async def play(fleet):
    await fleet.start()
    fleet.fail_share = 0
    # So that restarted tasks do least harm on the victims.
    await submit(fleet, 1, VMS, 4000, True)
    # Leases on the clocks of these processes are then longer than any on
    # those of the next ones, and the first job's tasks aren't suspected.
    while any(it.clock() < 2 * HOLD_MAX_MS for it in fleet.executors):
        await asyncio.sleep(0.1)
    job = await submit(fleet, 2, VICTIMS, 16000, True)
    victims = await victims_of(fleet, job)
    for it in victims:
        it.held = []
    await submit(fleet, 3, VMS, 2000, False)
    await asyncio.sleep(HOLD_CALLS_S)
    crashed = now_ms()
    held = [it.path for victim in victims for it in victim.held]
    await asyncio.gather(*(
        faults.restart_with_held_calls(fleet, it, WORKER_AWAY_S)
        for it in victims))
    if not any(it.lease_left_ms() > USUAL_LEASE_MS for it in victims):
        raise NotReady("no worker took a lease of its former process")
    await asyncio.sleep(CUT_AFTER_S - (now_ms() - crashed) / 1000)
    lines = []
    for it in victims:
        text = (f"{it.name}: cut off {now_ms() - crashed:.0f} ms after its "
                f"crash, lease left {it.lease_left_ms()} ms, runs "
                f"{[(r.task, r.run) for r in it.runs.values()]}")
        lines.append(text)
        fleet.record.add("victim", what=text)
    tell_second_runs(fleet, victims, lines)
    cut = asyncio.ensure_future(
        faults.cut_machines(fleet, victims, CUT_S, "silent"))
    await asyncio.sleep(0.05)
    name = await kill_planner(fleet)
    await cut
    await asyncio.sleep(1)
    restarted = sum("runs [(" in it for it in lines)
    return "\n".join(lines + [
        f"{name} was the planner; calls on their way to the next processes: "
        f"{held.count('/run-start')} starts, {held.count('/hold')} renewals; "
        f"tasks ran on {restarted} machines that were cut off"]), True


def new_fleet(folder, build):
    return Fleet(folder, build, load.SITES["etna"], random.Random(1), ENTRIES,
                 VMS)


if __name__ == "__main__":
    case.main(__doc__, "restarted-worker-takeover", new_fleet, play)
