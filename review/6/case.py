"""An agent is frozen while starts are ordered, and the planner is killed."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins2  # noqa: E402
from standins2 import Executor, Fleet, now_ms  # noqa: E402

FREEZE_S = 2.45
KILL_AFTER_S = 2.3
DOWN_S = 3.5
GREY_SHARE = 0.4
GREY_S = 6.0
ROUNDS = 10
TASKS = 200
WORK_MS = 150


class Judge:
    """Rule TWICE: a start after an end as `done` that is taken note of."""

    def __init__(self, record):
        self.record = record
        self.done = {}
        self.starts = {}
        self.broken = set()

    def start(self, executor, run):
        self.starts.setdefault(run.task, []).append(now_ms())
        self.check(run.task)

    def check(self, task):
        ends = [it for it in self.done.get(task, []) if it["noted"]]
        for end in ends:
            later = [it for it in self.starts[task] if it > end["at"]]
            if later and task not in self.broken:
                self.broken.add(task)
                self.record.add("broken", task=task, done_at=end["at"],
                                started_at=later[0])


class JudgedExecutor(Executor):
    """Answers a share of the starts with 503 while it is unhealthy."""

    def __init__(self, fleet, name, capacity, labels):
        super().__init__(fleet, name, capacity, labels)
        self.grey = False
        self.rng = random.Random(name)
        self.judge = None
        self.open_ends = []

    def start_run(self, body):
        if self.grey and self.rng.random() < GREY_SHARE:
            self.record.add("start.503", name=self.name, task=body["task"],
                            run=body["run"])
            return 503, {}
        return super().start_run(body)

    def _end(self, run, how):
        known = self.runs.get(run.task) is run
        super()._end(run, how)
        if known and how == "done":
            end = {"number": self.end_number, "task": run.task,
                   "at": now_ms(), "noted": False, "lapsed": False}
            self.open_ends.append(end)
            self.judge.done.setdefault(run.task, []).append(end)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.clock() < self.lease_ms:
                continue
            for end in self.open_ends:
                end["lapsed"] = True
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    async def hold(self, body):
        for end in list(self.open_ends):
            if end["number"] > body.get("ackCursor", 0):
                continue
            self.open_ends.remove(end)
            end["noted"] = not end["lapsed"]
            self.record.add("end.noted", name=self.name, task=end["task"],
                            lapsed=end["lapsed"])
            self.judge.check(end["task"])
        return await super().hold(body)


async def play_round(fleet, number):
    """One job of tasks that only the first executor may run."""
    job = f"{number:016x}"
    executor, agent, planner = (fleet.executors[0], fleet.agents[0],
                                fleet.planner())
    if planner is None:
        return
    began = now_ms()

    async def at(seconds):
        await asyncio.sleep(max(0, seconds - (now_ms() - began) / 1000))

    if standins2.has_trouble():
        agent.signal(signal.SIGSTOP)
        executor.grey = True
        fleet.record.add("executor.grey", name=executor.name)
    other = next(i for i, it in enumerate(fleet.entries) if it is not planner)
    step = {"count": TASKS, "cpu": 50, "memMb": 10, "estimateMs": WORK_MS,
            "requirements": executor.labels[1]}
    await fleet.submit(job, [step], {"workMs": WORK_MS}, entry=other)
    if standins2.has_trouble():
        await at(KILL_AFTER_S)
        planner.kill()
        await at(FREEZE_S)
        agent.signal(signal.SIGCONT)
        await at(KILL_AFTER_S + DOWN_S)
        planner.start()
        await at(GREY_S)
        executor.grey = False
    for _ in range(100):
        _, reply = await fleet.request(other, "GET", job)
        if isinstance(reply, dict) and reply.get("state") == "completed":
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)


async def case(record, logs):
    standins2.Executor = JudgedExecutor
    fleet = Fleet(logs, record, entries=3, vms=11,
                  capacity={"cpu": 32000, "memMb": 128000, "gpu": 0})
    judge = Judge(record)
    for it in fleet.executors:
        it.judge = judge
        it.on_start = judge.start
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return 2
        for number in range(1, ROUNDS + 1):
            await play_round(fleet, number)
            if judge.broken:
                break
        print(f"tasks started again after an acknowledged done: "
              f"{len(judge.broken)}, in round {number}")
        return 1 if judge.broken else 0
    finally:
        fleet.stop()


standins2.run_case(FOLDER, case)
