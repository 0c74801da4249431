"""Entries, agents and their stand-ins at the size of a deployment."""

import asyncio
import contextlib
import pathlib

import harness
from harness import SERVICE, NotReady, Record, call, now_ms
from network import Network
from rules import CALM_MS, Judge
from standins import SoakExecutor, SoakProgram, SoakStore

READY_S = 20
SETTLE_S = 4
PROBE_S = 1
# A delay of the stand-ins' own loop over this counts as an impairment of all.
LAG_MS = 300
LAG_STEP_S = 0.1
CHECK_STEP_S = 0.2


class Entry(SoakProgram):
    def __init__(self, name, command, log, record, front, ready):
        super().__init__(name, command, log, record)
        self.front = front
        self.ready = ready
        self.misses = 0


class Fleet:
    """What a run starts, and what the judge asks of it."""

    def __init__(self, folder, build, site, rng, entries=3, vms=11,
                 make_executor=SoakExecutor):
        self.folder = pathlib.Path(folder)
        self.bin = pathlib.Path(build).resolve() / "bin"
        self.site = site
        self.rng = rng
        self.record = Record(self.folder / "record.txt")
        self.executors = []
        self.agents = {}
        self.entries = []
        # Names of machines that are gone for good.
        self.gone = set()
        self.entry_count = entries
        self.vm_count = vms
        self.make_executor = make_executor
        self.history = Judge(self, now_ms)
        self.network = Network()
        self.store = SoakStore(self.record, rng, self.network)
        self.durations = {}
        self.fail_share = 0.05
        self.traffic = True
        self.config = {}
        self.worst_lag_ms = 0
        # How long the rules that hold in calm times were judged.
        self.calm_s = 0.0
        self.background = []

    # What the executors and the judge ask.

    def add_job(self, job, durations):
        self.history.jobs[job.id] = job
        self.durations[job.id] = durations
        self.record.add("job", job=job.id, route=job.route,
                        steps=[(it["count"], it["cpu"]) for it in job.steps])

    def duration_of(self, task):
        job, _, step, _ = task.split(".")
        return self.durations[job][int(step)] if job in self.durations else (
            1000)

    def size_of(self, task):
        job = self.history.jobs.get(task.split(".")[0])
        if job is None:
            return None
        step = job.step_of(task)
        return {"cpu": 0 if step.get("fills") else step["cpu"],
                "memMb": step["memMb"]}

    def used(self, executor):
        sizes = [self.size_of(it.task) for it in executor.runs.values()]
        return {name: sum((it or {}).get(name, 0) for it in sizes)
                for name in ("cpu", "memMb")}

    def usable(self):
        return [it for it in self.executors
                if it.up and not it.draining and not it.cut and
                not self.history.evacuated_lately(it.zone)]

    def in_use(self):
        """@return the share of the usable processors that runs reserve."""
        usable = self.usable()
        used = sum(self.used(it)["cpu"] for it in usable)
        return used / max(1, sum(it.capacity["cpu"] for it in usable))

    def has_room_twice(self, job, task):
        """@return true if an executor has room for two such tasks."""
        size = self.size_of(task)
        step = job.step_of(task)
        prefix = task.rsplit(".", 1)[0] + "."
        for it in self.usable():
            used = self.used(it)
            beside = sum(r.task.startswith(prefix) for r in it.runs.values())
            if beside < step.get("maxPerServer", beside + 1) and all(
                    it.capacity[k] - used[k] >= 2 * v
                    for k, v in size.items()):
                return True
        return False

    # Clients.

    def pick_entry(self):
        """@return an entry for a new channel, as the platform picks it."""
        ready = [it for it in self.entries if it.misses < 2]
        return self.rng.choice(ready or self.entries)

    def channel_ended(self, name, sent_ms):
        """A channel ended without an answer."""
        now = now_ms()
        calm = self.history.calm
        others = [it for it in set(calm.active) | set(calm.last)
                  if it != name + ".planned"]
        planned = calm.quiet_ms(now, [name + ".planned"]) < 1000
        quiet = calm.quiet_ms(now, others) - (now - sent_ms) > 3000
        self.record.add("channel.ended", entry=name, planned=planned,
                        quiet=quiet, after=f"{now - sent_ms:.0f}")
        self.history.unanswered(name, now - sent_ms, planned and quiet,
                                sent_ms)

    # Start and end.

    async def start(self):
        if not (self.bin / "almondtally").exists():
            raise NotReady("build the programs first")
        await self.put_config()
        for number in range(self.entry_count):
            await self.add_entry(number)
        for number in range(self.vm_count):
            await self.add_machine(number)
        for it in self.entries + list(self.agents.values()):
            it.spawn()
        for it in self.executors:
            await it.start()
        until = now_ms() + READY_S * 1000
        while True:
            answers = [await call(it.ready, "GET", "/ready", timeout_s=0.5)
                       for it in self.entries]
            if all(status == 200 for status, _ in answers):
                break
            if now_ms() > until:
                raise NotReady("the entries are not ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        self.background = [asyncio.create_task(it()) for it in (
            self.watch_lag, self.probe, self.check)]

    async def put_config(self):
        version = self.config.get("version", 6) + self.rng.randint(1, 3)
        self.config = {
            "version": version, "limits": {}, "backends": [
                {"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                 "admissionCheck": False, "spare": False}],
            "routes": [{"name": f"r-{it.name}", "host": harness.QUEUE_HOST,
                        "pathPrefix": it.prefix, "type": "unsafe",
                        "timeoutMs": 3000 + version % 5, "backend": SERVICE,
                        "targetLatencyMs": 1000, "priority": it.priority,
                        "maxAttempts": it.attempts, "stretch": 2.0}
                       for it in self.site.kinds]}
        await self.store.put("op", "config", self.config)

    async def add_entry(self, number):
        name = f"edge-{number}"
        front, ready, peer, metrics = (
            harness.free_port() for _ in range(4))
        store = await self.store.listen(name)
        self.network.add(name, peer, True)
        host = harness.HOST
        self.entries.append(Entry(name, [
            str(self.bin / "almondtally"), "schedule", "--id", name,
            "--data-centre", self.site.zones[number % len(self.site.zones)],
            "--listen", f"{host}:{front}", "--ready", f"{host}:{ready}",
            "--peer", f"{host}:{peer}", "--metrics", f"{host}:{metrics}",
            "--store", f"{host}:{store}", "--cpu-share", "0.25",
            "--config-ms", "2000", "--keep-ended-s", "120",
            "--tail-limit-ms", "4000", "--contracts", "places"],
            self.folder / f"{name}.log", self.record, front, ready))

    async def add_machine(self, number):
        """Adds a side machine: an executor and its agent, not yet started."""
        name = f"side-{number}"
        cpu = (self.site.vm_cpu, self.site.vm_cpu,
               self.site.vm_cpu * 3 // 2)[number % 3]
        executor = self.make_executor(
            self, name, {"cpu": cpu, "memMb": 4 * cpu, "gpu": 0},
            ["a", f"r1-{number // 3}"], self.rng)
        if self.rng.random() < 0.5:
            executor.server.idle_s = self.rng.uniform(0.2, 2)
        executor.zone = self.site.zones[number % len(self.site.zones)]
        executor.control_port, peer, metrics = (
            harness.free_port() for _ in range(3))
        store = await self.store.listen(name)
        self.network.add(name, peer, False)
        host = harness.HOST
        self.executors.append(executor)
        self.agents[name] = SoakProgram(name, [
            str(self.bin / "almondtally-target"), "agent", "--vm", name,
            "--data-centre", executor.zone,
            "--listen", f"{host}:{executor.control_port}",
            "--peer", f"{host}:{peer}", "--metrics", f"{host}:{metrics}",
            "--worker", f"{host}:{executor.port}", "--service", SERVICE,
            "--store", f"{host}:{store}"],
            self.folder / f"{name}.log", self.record)
        return executor

    def programs(self):
        return self.entries + list(self.agents.values())

    async def stop(self):
        for it in self.background:
            it.cancel()
        for it in self.programs():
            it.thaw()
            it.kill()
        await asyncio.sleep(0.1)
        for it in self.executors:
            if it.up:
                it.up = False
                for task in it.tasks:
                    task.cancel()

    def planner(self):
        """@return the entry whose name stands in the row that the planner
        writes under a condition, or the first one."""
        rows = [self.store.rows[key][0] for key in self.store.rows
                if key[0] == "head"]
        for it in self.entries:
            name = it.name.encode()
            if any(name in harness.base64.b64decode(row) for row in rows):
                return it
        return self.entries[0]

    def crash_by(self, executor, life, run):
        """A task crashes its executor."""
        if executor.up and executor.life == life and (
                (run.task, run.run) in executor.runs):
            self.record.add("deadly", task=run.task, run=run.run,
                            vm=executor.name)
            asyncio.ensure_future(self.crash(executor, 3))

    async def crash(self, executor, away_s, new_id=None):
        """An executor crashes, and comes back empty."""
        # An executor that drains ends by itself; it doesn't crash meanwhile.
        if not executor.up or executor.retired or executor.draining:
            return
        calm = self.history.calm
        calm.begin(executor.name)
        await executor.crash()
        if new_id if new_id is not None else self.rng.random() < 0.5:
            executor.id = f"i-{executor.name}-{executor.life}"
        await asyncio.sleep(away_s)
        if not executor.retired:
            await executor.start()
        calm.end(executor.name, now_ms())

    # What goes on beside the traffic.

    async def watch_lag(self):
        while True:
            before = now_ms()
            await asyncio.sleep(LAG_STEP_S)
            lag = now_ms() - before - LAG_STEP_S * 1000
            self.worst_lag_ms = max(self.worst_lag_ms, lag)
            if lag > LAG_MS:
                self.record.add("stand_ins.late", ms=f"{lag:.0f}")
                self.history.calm.mark("all", now_ms())

    async def probe(self):
        while True:
            for it in self.entries:
                status, _ = await call(it.ready, "GET", "/ready",
                                       timeout_s=0.3)
                it.misses = 0 if status == 200 else it.misses + 1
            await asyncio.sleep(PROBE_S)

    async def check(self):
        while True:
            await asyncio.sleep(CHECK_STEP_S)
            if self.history.calm.quiet_ms(now_ms()) >= CALM_MS:
                self.calm_s += CHECK_STEP_S
            self.history.check_lasting()
            self.history.check_cancelled()
            for it in self.programs():
                if it.child.poll() is not None and not getattr(
                        it, "expected_end", False):
                    self.record.add("program.ended", name=it.name,
                                    code=it.child.returncode)
                    self.history.breaks("FAULT", f"{it.name} ended by itself: "
                                        f"{it.child.returncode}")
                    it.spawn()


@contextlib.contextmanager
def expected(program):
    """The run itself ends this program meanwhile."""
    program.expected_end = True
    try:
        yield
    finally:
        program.expected_end = False
