"""Runs the programs of deploy/system.toml against stand-ins on loopback, with
seeded faults, and judges what the stand-ins see. Exits with 1 if a rule was
broken, 0 if all held, 2 if the run wasn't possible."""

import argparse
import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
import faults  # noqa: E402
import load  # noqa: E402
from fleet import Fleet  # noqa: E402
from harness import FINISH_S, HttpServer, NotReady, now_ms  # noqa: E402

CHECK_S = 8
EXTRA_S = 100


async def finish(fleet, rng):
    """Judges, after the end of the traffic, what every job shows."""
    await asyncio.sleep(FINISH_S)
    judge = fleet.history
    client = load.Client(fleet, rng)
    until = now_ms() + CHECK_S * 1000
    asked = {}
    while now_ms() < until:
        for job in list(judge.jobs.values()):
            if not job.owed():
                continue
            if now_ms() - asked.get(job.id, 0) > 1000:
                asked[job.id] = now_ms()
                status = await client.ask(job)
                if status != 200 and judge.calm.quiet_ms(now_ms()) > 3000:
                    judge.breaks_once("LOST", job.id, f"{job.id}: asked for "
                                      f"at the end, answer {status}")
        judge.check_idle()
        await asyncio.sleep(0.1)
    judge.check_refused()


async def play(options, folder):
    rng = random.Random(f"{options.site} {options.seed}")
    fleet = Fleet(folder, options.build, load.SITES[options.site], rng,
                  options.entries, options.vms)
    planned, seconds = [], options.seconds
    if not options.calm:
        planned = faults.plan(rng, seconds,
                              random.Random(f"restarts {options.seed}"))
        seconds += faults.LAST_RESTART_S
    fleet.record.add("run", seed=options.seed, site=options.site,
                     seconds=options.seconds)
    try:
        await fleet.start()
        played = asyncio.ensure_future(faults.play(
            fleet, random.Random(rng.random()), planned))
        # Drawn apart, so that a seed's other faults stay the same.
        evacuated = asyncio.ensure_future(faults.evacuations(
            fleet, random.Random(f"evacuations {options.seed}"),
            0 if options.calm else options.seconds))
        await load.traffic(fleet, random.Random(rng.random()), fleet.site,
                           seconds, options.rate)
        await played
        await evacuated
        fleet.record.add("traffic.end")
        await finish(fleet, rng)
    except NotReady as error:
        print(f"not run: {error}")
        return 2
    finally:
        await fleet.stop()
    judge = fleet.history
    jobs = judge.jobs.values()
    ended = [sum(it.state == state for it in jobs) for state in (
        "completed", "failed", "cancelled")]
    accepted = sum(it.accepted_ms is not None for it in jobs)
    counts = {}
    for rule, _ in judge.broken:
        counts[rule] = counts.get(rule, 0) + 1
    for error in HttpServer.errors:
        counts["stand-in"] = counts.get("stand-in", 0) + 1
        fleet.record.add("stand_in.failed", error=error)
    verdict = ", ".join(f"{k} x{v}" for k, v in counts.items()) or "all held"
    print(f"{options.site} seed {options.seed}: {verdict}; {len(jobs)} jobs, "
          f"{accepted} accepted, {ended[0]} completed, {ended[1]} failed, "
          f"{ended[2]} cancelled, {len(judge.starts)} starts, "
          f"calm {fleet.calm_s:.0f} s, lag {fleet.worst_lag_ms:.0f} ms")
    for rule, text in judge.broken[:5]:
        print(f"  {rule}: {text}")
    fleet.record.add("verdict", result=verdict)
    return 1 if counts else 0


async def limited(options, folder):
    # Ends the programs also if the run is stopped from outside.
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(play(options, folder),
                                      options.seconds + EXTRA_S)
    except (asyncio.TimeoutError, asyncio.CancelledError):
        print("not run: stopped or took too long")
        return 2


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--site", choices=load.SITES, default="etna")
    parser.add_argument("--seconds", type=float, default=32,
                        help="how long storms of faults begin")
    parser.add_argument("--rate", type=float, default=1,
                        help="factor on the jobs a second")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--vms", type=int, default=11)
    parser.add_argument("--calm", action="store_true", help="no faults")
    parser.add_argument("--log-dir", type=pathlib.Path,
                        help="keeps the record and the logs of a failed run")
    parser.add_argument("--keep", action="store_true",
                        help="keeps those of a run that held, too")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="almondtally-soak-"))
    code = asyncio.run(limited(options, folder))
    if options.log_dir and (code or options.keep):
        target = options.log_dir / f"{options.site}-{options.seed}"
        shutil.copytree(folder, target, dirs_exist_ok=True)
        print(f"  logs: {target}")
    shutil.rmtree(folder, ignore_errors=True)
    # Calls of the stand-ins that still wait aren't awaited.
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
