"""The store, the executors and the programs of a soak run, with faults."""

import asyncio
import base64
import bisect
import contextlib
import fcntl
import os
import pathlib
import signal
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
import harness  # noqa: E402
from harness import Executor, HttpServer, Store, now_ms  # noqa: E402

SILENCE_S = 30
# The tables whose rows hold addresses of processes.
ADDRESS_TABLES = ("agents", "head")
GRACE_S = 6
# Mean time after which a task that lasts fails by itself.
LASTING_MEAN_S = 60
PIPE_BYTES = 65536
SMALL_PIPE_BYTES = 4096


class Server(HttpServer):
    """Closes kept connections that were idle for `idle_s`."""

    def __init__(self, handle):
        super().__init__(handle)
        self.idle_s = None
        self.closers = {}

    def _close_idle(self, writer):
        self.closers.pop(writer, None)
        writer.close()

    async def serve_one(self, reader, writer):
        if self.idle_s is not None:
            self.closers[writer] = asyncio.get_running_loop().call_later(
                self.idle_s, self._close_idle, writer)
        try:
            return await super().serve_one(
                _CancellingReader(reader, self.closers, writer), writer)
        finally:
            self._keep(writer)

    def _keep(self, writer):
        timer = self.closers.pop(writer, None)
        if timer is not None:
            timer.cancel()


class _CancellingReader:
    """Ends the idle time of a connection with the first line of a request."""

    def __init__(self, reader, closers, writer):
        self.reader = reader
        self.closers = closers
        self.writer = writer
        self.readexactly = reader.readexactly

    async def readline(self):
        line = await self.reader.readline()
        timer = self.closers.pop(self.writer, None)
        if timer is not None:
            timer.cancel()
        return line


class SoakStore(Store):
    """Serves each process on a port of its own, so that it can be away for
    some of them only, and shows each the addresses of its own links."""

    def __init__(self, record, rng, network):
        super().__init__(record)
        self.rng = rng
        self.network = network
        self.ports = {}
        self.servers = {}
        self.modes = {}
        self.delay_s = 0
        self.lose = None
        self.lose_share = 0
        self.tables = {}
        self.waiting = {}
        self.forgotten = 0

    async def listen(self, name):
        """@return the port on which the process `name` reaches the store."""
        server = HttpServer(lambda request: self.serve(name, request))
        self.ports[name] = harness.free_port()
        self.servers[name] = server
        await server.start(self.ports[name])
        return self.ports[name]

    @contextlib.contextmanager
    def away(self, names, mode):
        """The store is away for some processes.
        @param mode "reset", "silent" or "busy"."""
        for name in names:
            self.modes.setdefault(name, []).append(mode)
            if mode == "reset":
                for writer in list(self.servers[name].writers):
                    writer.transport.abort()
        try:
            yield
        finally:
            for name in names:
                self.modes[name].remove(mode)

    def mode(self, name):
        """@return the newest of the ways in which the store is away."""
        return (self.modes.get(name) or [""])[-1]

    def translate(self, viewer, rows):
        for row in rows:
            if row.get("table") in ADDRESS_TABLES and "value" in row:
                value = base64.b64decode(row["value"])
                row["value"] = base64.b64encode(
                    self.network.translate(viewer, value)).decode()

    async def serve(self, name, request):
        mode = self.mode(name)
        if mode == "reset":
            return None
        if mode == "silent":
            await asyncio.sleep(SILENCE_S)
            return None
        if mode == "busy":
            return 503, {}
        if self.delay_s:
            await asyncio.sleep(self.delay_s * self.rng.uniform(0.5, 1.5))
        if request.path == "/rows-tx":
            body = request.json()
            self.translate("", body.get("writes", []))
            request.json = lambda: body
            if self.lose and self.rng.random() < self.lose_share:
                return await self.lose_answer(request)
        answer = await self.handle(request)
        self.translate(name, answer[1].get("rows", []))
        mode = self.mode(name)
        if mode == "silent":
            await asyncio.sleep(SILENCE_S)
        return None if mode in ("reset", "silent") else answer

    async def lose_answer(self, request):
        body = request.json()
        how = self.lose
        if how == "mixed":
            how = self.rng.choice(["applied", "late", "dropped"])
        if how == "applied":
            await self.transact(body)
        elif how == "late":
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.3, 3), lambda: asyncio.ensure_future(
                    self.transact(body)))
        self.record.add("store.answer_lost", how=how)
        if self.rng.random() < 0.5:
            await asyncio.sleep(SILENCE_S)
        return None

    async def remove(self, table, key):
        """The operator removes a row."""
        async with self.changed:
            self.version += 1
            self._write((table, "", key), None)
            self.changed.notify_all()
        self.record.add("store.operator", removed=f"{table}/{key}",
                        ver=self.version)

    def forget(self):
        """Drops the history of changes, so that feeds get 410."""
        self.forgotten = self.version
        self.tables.clear()

    def _write(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.tables.setdefault(key[0], []).append(
            (self.version, now_ms(), key, value))
        for waiter in self.waiting.pop(key[0], []):
            if not waiter.done():
                waiter.set_result(None)

    def _changes(self, table, after):
        log = self.tables.get(table, [])
        oldest = now_ms() - harness.HISTORY_S * 1000
        drop = next((i for i, it in enumerate(log) if it[1] >= oldest),
                    len(log))
        if drop > 1000:
            self.forgotten = max(self.forgotten, log[drop - 1][0])
            del log[:drop]
        out = []
        first = bisect.bisect_right(log, after, key=lambda it: it[0])
        for version, _, key, value in log[first:]:
            row = {"table": key[0], "part": key[1], "key": key[2],
                   "ver": version}
            row.update({"deleted": True} if value is None
                       else {"value": value})
            out.append(row)
        return out

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = now_ms() + min(int(query.get("waitMs", 0)), 30000)
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = self._changes(table, after)
            left = (until - now_ms()) / 1000
            if rows or left <= 0:
                return 200, self._stamp({"rows": rows})
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.setdefault(table, []).append(waiter)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(waiter, left)


class SoakExecutor(Executor):
    """Fails tasks, answers late or not at all, and can be cut off."""

    HELD_PATHS = ("/run-start", "/hold")

    def __init__(self, cluster, name, capacity, labels, rng):
        super().__init__(cluster, name, capacity, labels)
        self.rng = rng
        self.zone = ""
        self.server = Server(self.handle)
        self.clock_rate = rng.choice([1, 1, 0.99, 0.98])
        self.cut = False
        # Calls on their way, or None if they arrive at once.
        self.held = None
        self.slowness = 1
        self.unanswered = None
        self.unanswered_share = 0
        self.retired = False
        self.starting = False
        self.fates = {}

    async def start(self):
        """Starts a new life, unless one has begun or is beginning."""
        if self.up or self.starting:
            return
        self.starting = True
        try:
            await super().start()
        finally:
            self.starting = False

    def clock(self):
        return int((now_ms() - self.began) * self.clock_rate) + 1000

    def expire(self):
        """Ends all runs if the lease has ended."""
        if self.up and not self.lapsed and self.clock() > self.deadline:
            self.lapsed = True
            self.cluster.history.lapse(self)
            for run in list(self.runs.values()):
                super().end(run, "lapsed")

    def end(self, run, how):
        job = self.cluster.history.jobs.get(run.task.split(".")[0])
        if how == "done" and job is not None and (
                job.lasting or self.fails(job, run)):
            how = "failed"
        super().end(run, how)

    def fails(self, job, run):
        return job.poison or self.fates.get((run.task, run.run), False)

    async def beat(self):
        while True:
            if self.cut:
                await asyncio.sleep(0.1)
                continue
            body = self.report()
            status, _ = await harness.call(
                self.control_port, "POST", f"/Instances.Heartbeat/{self.id}",
                body, timeout_s=1.0)
            if status != 200:
                self.record.add("beat.missed", vm=self.name, status=status)
            await asyncio.sleep(harness.HEARTBEAT_MS / 1000)

    async def run_start(self, body):
        key = body["task"], body["run"]
        new = key not in self.runs
        answer = await super().run_start(body)
        run = self.runs.get(key)
        if answer[0] != 200:
            self.record.add("start.refused", vm=self.name, task=key[0],
                            run=key[1], reason=answer[1].get("reason"))
        elif new and run is not None:
            self.begin(run)
        return answer

    def begin(self, run):
        job = self.cluster.history.jobs.get(run.task.split(".")[0])
        if job is None:
            return
        if job.lasting:
            run.duration = 1000 * self.rng.expovariate(1 / LASTING_MEAN_S)
        run.duration *= self.slowness
        self.fates[run.task, run.run] = (
            self.rng.random() < self.cluster.fail_share)
        if job.deadly_s is not None and run.task.endswith(".0"):
            life = self.life
            asyncio.get_running_loop().call_later(
                job.deadly_s, lambda: self.cluster.crash_by(self, life, run))

    async def handle(self, request):
        # A call may have been read when the process crashed.
        if not self.up:
            return None
        self.expire()
        if self.cut:
            await asyncio.sleep(SILENCE_S)
            return None
        if self.held is not None and request.path in self.HELD_PATHS:
            self.held.append(request)
            await asyncio.sleep(SILENCE_S)
            return None
        if request.path != "/hold" and self.unanswered and (
                self.rng.random() < self.unanswered_share):
            return await self.leave_unanswered(request)
        answer = await super().handle(request)
        if self.cut:
            await asyncio.sleep(SILENCE_S)
            return None
        return answer

    async def cut_off(self, seconds):
        """Nothing reaches the executor, whose runs go on."""
        life = self.life
        self.cut = True
        await self.server.stop()
        await asyncio.sleep(seconds)
        # Another cut may have ended before.
        if self.up and self.life == life and self.server.server is None:
            await self.server.start(self.port)
        self.cut = False

    def lease_left_ms(self):
        return self.deadline - self.clock() if self.up else 0

    async def leave_unanswered(self, request):
        how, body = self.unanswered, request.json()
        if how == "mixed":
            how = self.rng.choice(["late", "lost", "reset", "done", "busy"])
        delay_s = self.rng.uniform(0.3, 3)
        self.record.add("call.unanswered", vm=self.name, how=how,
                        path=request.path, task=body.get("task"),
                        run=body.get("run"), delay=f"{delay_s:.2f}")
        if how == "busy":
            return 503, {}
        if how == "done":
            await super().handle(request)
            return None
        if how == "late":
            asyncio.get_running_loop().call_later(
                delay_s, lambda: asyncio.ensure_future(
                    self.carry_out(request)))
        if how != "reset":
            await asyncio.sleep(SILENCE_S)
        return None

    async def carry_out(self, request):
        """Carries out a late call, perhaps as the next process under the id
        that the call names."""
        if self.up:
            self.expire()
            # A renewal starts nothing, and waits.
            self.cluster.history.late = request.path != "/hold"
            answer = await super().handle(request)
            self.cluster.history.late = False
            self.record.add("call.late", vm=self.name,
                            task=request.json().get("task"),
                            run=request.json().get("run"), answer=answer)


class SoakProgram:
    """A program of the project, whose log goes through a pipe."""

    def __init__(self, name, command, log, record):
        self.name = name
        self.command = command
        self.log = open(log, "ab")  # pylint: disable=consider-using-with
        self.record = record
        self.child = None
        self.frozen = False
        self.reader = -1
        self.blocked = False

    def spawn(self):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.child = subprocess.Popen(  # pylint: disable=consider-using-with
            self.command, stdout=writer, stderr=writer, cwd=harness.ROOT,
            stdin=subprocess.DEVNULL)
        os.close(writer)
        self.frozen = self.blocked = False
        self.record.add("program.start", name=self.name, pid=self.child.pid)
        asyncio.get_running_loop().add_reader(
            self.reader, self._copy, self.reader)

    def _copy(self, reader):
        try:
            data = os.read(reader, PIPE_BYTES)
        except BlockingIOError:
            return
        self.log.write(data)
        self.log.flush()
        if not data:
            asyncio.get_running_loop().remove_reader(reader)
            os.close(reader)
            if reader == self.reader:
                self.reader = -1

    def block_log(self):
        if self.reader >= 0:
            asyncio.get_running_loop().remove_reader(self.reader)
            with contextlib.suppress(OSError):
                fcntl.fcntl(self.reader, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
            self.blocked = True

    def unblock_log(self):
        if self.blocked and self.reader >= 0:
            fcntl.fcntl(self.reader, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
            asyncio.get_running_loop().add_reader(
                self.reader, self._copy, self.reader)
        self.blocked = False

    def running(self):
        return self.child is not None and self.child.poll() is None

    def freeze(self):
        if self.running():
            self.child.send_signal(signal.SIGSTOP)
            self.frozen = True

    def thaw(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
        self.frozen = False

    def kill(self):
        self.unblock_log()
        if self.running():
            self.child.kill()
            self.child.wait()

    async def terminate(self):
        """Sends SIGTERM, and SIGKILL after the grace."""
        self.unblock_log()
        if not self.running():
            return
        self.child.terminate()
        until = now_ms() + GRACE_S * 1000
        while self.running():
            if now_ms() > until:
                self.record.add("program.over_grace", name=self.name)
                self.child.kill()
            await asyncio.sleep(0.02)
