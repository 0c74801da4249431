"""An executor crashes by chance soon after tasks that last have started."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins2  # noqa: E402
from standins2 import Fleet, now_ms  # noqa: E402

CRASH_AFTER_S = 1.8
BACK_AFTER_S = 4.0
# RULES: LOST. A task that lasts, from 6 s after its last run, has nothing
# running for 3 s, if the 3 s and the 4 s before them are calm.
SINCE_LAST_RUN_MS = 6000
IDLE_MS = 3000
CALM_BEFORE_MS = 4000
WATCH_S = 40
JOBS = [f"00000000000000a{i}" for i in range(4)]
STEP = {"count": 6, "cpu": 1000, "memMb": 500, "longRunning": True}


class Watch:
    """Knows since when each task has no run, and when all was calm."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.tasks = [f"{job}.0.0.{i}" for job in JOBS
                      for i in range(STEP["count"])]
        self.last_run_ms = {}
        self.calm_since_ms = now_ms()
        self.broken = {}

    def running(self, task):
        return any(it.up and task in it.runs for it in self.fleet.executors)

    def check(self):
        now = now_ms()
        for task in self.tasks:
            if self.running(task):
                self.last_run_ms[task] = now
                continue
            if task not in self.last_run_ms:
                continue
            idle_from = max(self.last_run_ms[task] + SINCE_LAST_RUN_MS,
                            self.calm_since_ms + CALM_BEFORE_MS)
            if now - idle_from > IDLE_MS and task not in self.broken:
                self.broken[task] = now - self.last_run_ms[task]
                self.record.add("broken", task=task,
                                idle_ms=self.broken[task])

    async def watch(self, seconds):
        until = now_ms() + seconds * 1000
        while now_ms() < until:
            await asyncio.sleep(0.05)
            self.check()


async def play(fleet, watch):
    await asyncio.gather(*[fleet.submit(it, [STEP], {"workMs": None})
                           for it in JOBS])
    while not all(watch.running(it) for it in watch.tasks):
        await asyncio.sleep(0.02)
    await watch.watch(CRASH_AFTER_S)
    if standins2.has_trouble():
        # The planner packs the tasks; the fullest executor crashes.
        executor = max(fleet.executors, key=lambda it: len(it.runs))
        executor.crash()
        await watch.watch(BACK_AFTER_S)
        await executor.start()
        watch.calm_since_ms = now_ms()
    await watch.watch(WATCH_S)
    print(f"tasks without a run for over {IDLE_MS} ms of calm time: "
          f"{len(watch.broken)} of {len(watch.tasks)}; longest wait "
          f"until then {max(watch.broken.values(), default=0)} ms")
    return 1 if watch.broken else 0


async def case(record, logs):
    fleet = Fleet(logs, record, entries=3, vms=11,
                  capacity={"cpu": 32000, "memMb": 128000, "gpu": 0})
    watch = Watch(fleet, record)
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return 2
        return await play(fleet, watch)
    finally:
        fleet.stop()


standins2.run_case(FOLDER, case)
