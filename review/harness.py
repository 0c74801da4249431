"""Runs the project's programs beside stand-ins on loopback and judges them.

The stand-ins (store, executors, clients) live in this process and follow
PROTOCOL.md; the programs run as processes with the commands of the deploy
file. Everything that the stand-ins see is written to `record.txt`.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

# An own loopback address, so that cases that run at once don't take each
# other's ports.
HOST = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "huvo11a"
QUEUE_HOST = "nony24.example"
PREFIX = "/lohu930/"
TX_MS = 8
HEARTBEAT_MS = 1100
HOLD_MAX_MS = 10000
STOP_MS = 100
DRAIN_MS = 2000
ENDS_PER_LIST = 500
HISTORY_S = 20
MAX_TX_ENTRIES = 100
RUN_LIMIT_S = 115
FINISH_S = 14
LOST_CHECK_S = 6


def now_ms():
    return time.monotonic() * 1000


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = now_ms()

    def add(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{(now_ms() - self.started) / 1000:8.3f} "
                        f"{event} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        url = urllib.parse.urlsplit(target)
        self.path = url.path
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(
            url.query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Reads one HTTP/1.1 message: first line, headers, body."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode().split(" ", 2), headers, body


class HttpServer:
    """Serves `handle(request)`, which returns (status, body) or None to close
    the connection without an answer."""

    errors = []

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, port):
        self.server = await asyncio.start_server(
            self.serve, HOST, port, reuse_address=True)

    async def stop(self):
        """Closes the listener and resets all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except Exception as error:  # pylint: disable=broad-except
            HttpServer.errors.append(repr(error))
        self.writers.discard(writer)
        writer.close()

    async def serve_one(self, reader, writer):
        message = await read_message(reader)
        if message is None:
            return False
        (method, target, _), headers, body = message
        answer = await self.handle(Request(method, target, headers, body))
        if answer is None:
            return False
        status, payload = answer
        data = json.dumps(payload).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
            f"\r\ncontent-length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()
        return True


async def call(port, method, path, body=None, headers=None, timeout_s=3.0):
    """@return (status, decoded body), or (0, reason) without an answer."""
    data = body if isinstance(body, bytes) else (
        b"" if body is None else json.dumps(body).encode())

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {path} HTTP/1.1",
                     f"content-length: {len(data)}",
                     "content-type: application/json", "connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if not headers or "Host" not in headers:
                lines.append(f"host: {HOST}:{port}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "closed"
            first, _, answer = message
            try:
                return int(first[1]), json.loads(answer) if answer else {}
            except ValueError:
                return int(first[1]), answer.decode(errors="replace")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__


class Store:
    """The platform's store: rows, transactions and the change feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Condition()
        self.part_locks = {}
        self.down = False
        self.server = HttpServer(self.handle)
        self.port = 0

    async def start(self, port):
        self.port = port
        await self.server.start(port)

    def _write(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.changes.append((self.version, now_ms(), key, value))

    async def put(self, table, key, value):
        """A write of the operator."""
        async with self.changed:
            self.version += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self._write((table, "", key), text)
            self.changed.notify_all()
        self.record.add("store.operator", row=f"{table}/{key}",
                        ver=self.version)

    def _row(self, key):
        out = {"table": key[0], "part": key[1], "key": key[2]}
        if key in self.rows:
            out["value"], out["ver"] = self.rows[key]
        else:
            out["ver"] = 0
        return out

    def _stamp(self, body):
        return {**body, "ver": self.version, "nowMs": int(now_ms())}

    async def handle(self, request):
        if self.down:
            return None
        if request.path == "/rows-tx":
            return await self.transact(request.json())
        if request.path == "/rows-get":
            return await self.read(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    async def transact(self, body):
        entries = [body.get(k, []) for k in ("expected", "writes", "remove")]
        parts = {row["part"] for rows in entries for row in rows}
        if sum(map(len, entries)) > MAX_TX_ENTRIES or len(parts) != 1:
            self.record.add("store.tx", status=400)
            return 400, {}
        lock = self.part_locks.setdefault(parts.pop(), asyncio.Lock())

        def key_of(row):
            return row["table"], row["part"], row["key"]

        async with lock:
            await asyncio.sleep(TX_MS / 1000)
            async with self.changed:
                expected, writes, remove = entries
                conflict = any(
                    self.rows.get(key_of(r), (None, 0))[1] != r["ver"]
                    for r in expected)
                if conflict:
                    rows = [self._row(key_of(r)) for r in expected
                            if key_of(r) in self.rows]
                    return 412, self._stamp({"rows": rows})
                self.version += 1
                for row in writes:
                    self._write(key_of(row), row["value"])
                for row in remove:
                    self._write(key_of(row), None)
                self.changed.notify_all()
                return 200, self._stamp({})

    async def read(self, query):
        await asyncio.sleep(0.004)
        first = query.get("from", "")
        last = query.get("target", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows
                      if k[0] == query["table"] and
                      k[1] == query.get("part", "") and k[2] >= first and
                      (not last or k[2] < last))
        return 200, self._stamp({
            "rows": [self._row(k) for k in keys[:limit]],
            "hasMore": len(keys) > limit})

    async def feed(self, query):
        after = int(query["after"])
        until = now_ms() + min(int(query.get("waitMs", 0)), 30000)
        oldest = now_ms() - HISTORY_S * 1000
        while self.changes and self.changes[0][1] < oldest:
            self.changes.pop(0)

        def pending():
            out = []
            for version, _, key, value in self.changes:
                if version > after and key[0] == query["table"]:
                    row = {"table": key[0], "part": key[1], "key": key[2],
                           "ver": version}
                    row.update({"deleted": True} if value is None
                               else {"value": value})
                    out.append(row)
            return out

        if after < self.version and (
                not self.changes or self.changes[0][0] > after + 1):
            return 410, {}
        async with self.changed:
            while not pending() and now_ms() < until:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(),
                                           (until - now_ms()) / 1000 + 0.001)
        return None if self.down else (200, self._stamp(
            {"rows": pending()}))


class Run:
    def __init__(self, task, run, started, duration, spec, saved):
        self.task = task
        self.run = run
        self.started = started
        self.duration = duration
        self.spec = spec
        self.saved = saved
        self.stop_at = None


class Executor:
    """A worker that runs what it is told under a lease; it doesn't guard its
    capacity."""

    serial = itertools.count(1)

    def __init__(self, cluster, name, capacity, labels):
        self.cluster = cluster
        self.record = cluster.record
        self.name = name
        self.capacity = dict(capacity)
        self.labels = labels
        self.port = free_port()
        self.control_port = 0
        self.server = HttpServer(self.handle)
        self.id = f"i-{name}"
        self.clock_offset_ms = 0
        self.up = False
        self.draining = False
        self.life = 0
        self.on_start = None

    def clock(self):
        return int(now_ms() - self.began) + 1000

    async def start(self):
        """Starts a new life of the executor under the same id."""
        self.began = now_ms()
        self.born = int(time.time() * 1000) + self.clock_offset_ms
        self.life += 1
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.closed = {}
        self.fence = 0
        self.deadline = 0
        self.lapsed = True
        self.sequence = 0
        self.ended = asyncio.Event()
        await self.server.start(self.port)
        self.up = True
        self.record.add("executor.up", vm=self.name, id=self.id,
                        life=self.life, born=self.born)
        self.tasks = [asyncio.create_task(self.work()),
                      asyncio.create_task(self.beat())]

    async def crash(self):
        self.record.add("executor.crash", vm=self.name, life=self.life,
                        running=len(self.runs))
        self.up = False
        for it in self.tasks:
            it.cancel()
        for run in self.runs.values():
            self.cluster.history.gone(self, run)
        self.runs = {}
        await self.server.stop()

    def report(self):
        self.sequence += 1
        out = {"backend": SERVICE, "address": f"{HOST}:{self.port}",
               "zone": "catania", "version": "v1", "slots": 8,
               "state": "ready", "coldRemainingMs": 0,
               "capacity": self.capacity, "labels": self.labels,
               "clockMs": self.clock(), "sequence": self.sequence,
               "born": self.born}
        if self.draining:
            out.update(state="draining", remainingMs=DRAIN_MS)
        return out

    async def leave(self):
        """A planned end: drains, deregisters and ends."""
        self.draining = True
        self.record.add("executor.drains", vm=self.name, id=self.id)
        await asyncio.sleep(HEARTBEAT_MS / 1000 + DRAIN_MS / 1000)
        await call(self.control_port, "POST",
                   f"/Instances.Deregister/{self.id}", {"born": self.born})
        await self.crash()
        self.draining = False

    async def beat(self):
        while True:
            body = self.report()
            status, _ = await call(
                self.control_port, "POST", f"/Instances.Heartbeat/{self.id}",
                body, timeout_s=1.0)
            self.record.add("beat", vm=self.name, sequence=body["sequence"],
                            status=status)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            if not self.lapsed and self.clock() > self.deadline:
                self.lapsed = True
                self.cluster.history.lapse(self)
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.stop_at is not None and now_ms() >= run.stop_at:
                    self.end(run, "stopped")
                elif run.duration is not None and (
                        now_ms() - run.started >= run.duration):
                    self.end(run, "done")

    def end(self, run, how):
        del self.runs[run.task, run.run]
        self.last_end += 1
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.run)
        self.ends.append([self.last_end, run.task, run.run, how, run.saved])
        self.ended.set()
        self.cluster.history.end(self, run, how, self.last_end)

    async def handle(self, request):
        expected = request.headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {"clockMs": self.clock()}
        body = request.json()
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self.deadline = max(self.deadline, min(
                body["deadlineMs"], self.clock() + HOLD_MAX_MS))
            self.lapsed = self.clock() > self.deadline
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/run-start":
            return await self.run_start(body)
        run = self.runs.get((body.get("task"), body.get("run")))
        if request.path == "/run-stop":
            if run is None:
                key = body["task"]
                self.closed[key] = max(self.closed.get(key, 0), body["run"])
            elif run.stop_at is None:
                run.stop_at = now_ms() + STOP_MS
                self.record.add("stop", vm=self.name, task=run.task,
                                run=run.run)
        return 200, {"clockMs": self.clock()}

    async def run_start(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock()}
        newest = max([r.run for r in self.runs.values() if r.task == task],
                     default=0)
        if number <= max(self.closed.get(task, 0), newest):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if self.deadline <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        run = Run(task, number, now_ms(), self.cluster.duration_of(task),
                  body.get("spec", ""), body.get("checkpoint", ""))
        self.runs[task, number] = run
        self.cluster.history.start(self, run)
        if self.on_start is not None:
            self.on_start(run)
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.cluster.history.noted(self, body.get("ackCursor", 0))
        self.ends = [e for e in self.ends if e[0] > body.get("ackCursor", 0)]
        if not self.ends and body.get("waitMs"):
            self.ended.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.ended.wait(),
                                       body["waitMs"] / 1000)
        if not self.up:
            return None
        running = [[r.task, r.run, r.saved, 100, 100]
                   for r in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "ended": self.ends[:ENDS_PER_LIST]}


class History:
    """What the executors have seen, and the rules that it breaks."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.record = cluster.record
        self.active = {}
        self.done = {}
        self.unnoted = {}
        self.starts = []
        self.broken = []

    def breaks(self, rule, text):
        self.record.add("BROKEN", rule=rule, what=text)
        self.broken.append((rule, text))

    def start(self, executor, run):
        self.record.add("start", vm=executor.name, life=executor.life,
                        task=run.task, run=run.run)
        self.starts.append((now_ms(), executor.name, run.task, run.run))
        others = self.active.setdefault(run.task, {})
        for where, number in others.items():
            self.breaks("TWICE", f"{run.task}: run {run.run} starts on "
                        f"{executor.name} while run {number} is on "
                        f"{where[0]}")
        others[executor.name, run.run] = run.run
        self.done.setdefault(run.task, [])
        for end in self.done[run.task]:
            end["later"].append((executor.name, run.run))
            if end["noted"]:
                self.restarted(run.task, end)
        size = self.cluster.size_of(run.task)
        if size is not None:
            for name, limit in executor.capacity.items():
                used = sum((self.cluster.size_of(r.task) or {}).get(name, 0)
                           for r in executor.runs.values())
                if used > limit:
                    self.breaks("LIMIT", f"{executor.name}: {name} {used} "
                                f"of {limit}")

    def gone(self, executor, run):
        self.active.get(run.task, {}).pop((executor.name, run.run), None)
        self.record.add("lost", vm=executor.name, task=run.task, run=run.run)

    def end(self, executor, run, how, number):
        self.record.add("end", vm=executor.name, task=run.task, run=run.run,
                        how=how, n=number)
        self.active.get(run.task, {}).pop((executor.name, run.run), None)
        if how != "done":
            return
        end = {"vm": executor.name, "life": executor.life, "n": number,
               "run": run.run, "noted": False, "lapsed": False, "later": []}
        self.done.setdefault(run.task, []).append(end)
        self.unnoted.setdefault((executor.name, executor.life), []).append(
            (run.task, end))

    def lapse(self, executor):
        """The lease of an executor has lapsed: ends that aren't taken note of
        yet don't count."""
        self.record.add("lapse", vm=executor.name)
        for _, end in self.unnoted.get((executor.name, executor.life), []):
            end["lapsed"] = True

    def noted(self, executor, cursor):
        waiting = self.unnoted.get((executor.name, executor.life), [])
        rest = []
        for task, end in waiting:
            if end["n"] > cursor:
                rest.append((task, end))
                continue
            if end["lapsed"]:
                continue
            end["noted"] = True
            self.restarted(task, end)
        self.unnoted[executor.name, executor.life] = rest

    def restarted(self, task, end):
        for where, number in end["later"]:
            self.breaks("TWICE", f"{task}: run {number} started on {where} "
                        f"after run {end['run']} had ended done on "
                        f"{end['vm']}; that end was taken note of")
        end["later"] = []


PORTS = itertools.count(20001)


def free_port():
    """@return a port that is free on HOST; none is returned twice."""
    for port in PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port


class Program:
    """A program of the project; restarted by the case itself."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log = folder / f"{name}.log"
        self.child = None

    def spawn(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, cwd=ROOT,
                stdin=subprocess.DEVNULL)

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    async def terminate(self):
        """Sends SIGTERM and waits for the end, as a planned restart does."""
        self.child.terminate()
        while self.child.poll() is None:
            await asyncio.sleep(0.01)


class Cluster:
    """Entries, agents and their stand-ins, as in a small deployment."""

    def __init__(self, folder, entries=3, vms=3, cpu=(32000, 32000, 48000)):
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.logs = pathlib.Path(tempfile.mkdtemp(prefix="almondtally-case-"))
        self.history = History(self)
        self.store = Store(self.record)
        self.durations = {}
        self.sizes = {}
        self.jobs = {}
        self.entry_count = entries
        self.executors = [
            Executor(self, f"vm{i}", {"cpu": cpu[i % len(cpu)],
                                      "memMb": 4 * cpu[i % len(cpu)],
                                      "gpu": 0}, ["a", f"r1-{i // 3}"])
            for i in range(vms)]
        self.programs = []
        self.fronts = []
        self.turn = itertools.count()

    def duration_of(self, task):
        return self.durations.get(task.split(".")[0], lambda _: 1000)(task)

    def size_of(self, task):
        job, _, step, _ = task.split(".")
        steps = self.sizes.get(job)
        return steps[int(step)] if steps else None

    async def start(self):
        binary = ROOT / "target" / "bin"
        if not (binary / "almondtally").exists():
            raise NotReady("build the deploy file's programs first")
        await self.store.start(free_port())
        await self.store.put("op", "config", {
            "version": 7, "limits": {}, "backends": [
                {"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                 "admissionCheck": False, "spare": False}],
            "routes": [{"name": "r-3hwrr6x", "host": QUEUE_HOST,
                        "pathPrefix": PREFIX, "type": "unsafe",
                        "timeoutMs": 3000, "targetLatencyMs": 1000,
                        "priority": 0, "backend": SERVICE, "maxAttempts": 4,
                        "stretch": 2.0}]})
        store = f"{HOST}:{self.store.port}"
        ready = []
        for i in range(self.entry_count):
            front, probe, peer, metrics = (free_port() for _ in range(4))
            self.fronts.append(front)
            ready.append(probe)
            self.programs.append(Program(f"entry{i}", [
                str(binary / "almondtally"), "schedule", "--id", f"edge-{i}",
                "--data-centre", "catania", "--listen", f"{HOST}:{front}",
                "--ready", f"{HOST}:{probe}", "--peer", f"{HOST}:{peer}",
                "--metrics", f"{HOST}:{metrics}", "--store", store,
                "--cpu-share", "0.25", "--config-ms", "2000",
                "--keep-ended-s", "120", "--tail-limit-ms", "4000"],
                self.logs))
        for executor in self.executors:
            executor.control_port, peer, metrics = (
                free_port() for _ in range(3))
            self.programs.append(Program(f"agent-{executor.name}", [
                str(binary / "almondtally-target"), "agent", "--vm",
                f"side-{executor.name}", "--data-centre", "catania",
                "--listen", f"{HOST}:{executor.control_port}", "--peer",
                f"{HOST}:{peer}", "--metrics", f"{HOST}:{metrics}",
                "--worker", f"{HOST}:{executor.port}", "--service", SERVICE,
                "--store", store], self.logs))
        for program in self.programs:
            program.spawn()
        for executor in self.executors:
            await executor.start()
        for _ in range(150):
            answers = [await call(p, "GET", "/ready") for p in ready]
            if all(status == 200 for status, _ in answers):
                break
            await asyncio.sleep(0.1)
        else:
            raise NotReady("the entries are not ready")
        await asyncio.sleep(4)

    async def stop(self):
        for program in self.programs:
            program.kill()
        for executor in self.executors:
            if executor.up:
                await executor.crash()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.logs, keep, dirs_exist_ok=True)
        shutil.rmtree(self.logs, ignore_errors=True)

    def planner(self):
        """@return the entry that last wrote to the store under a condition:
        its name stands in the row that it checks. None if there is none."""
        rows = [value for (table, _, _), (value, _) in self.store.rows.items()
                if table == "head"]
        for program in self.programs[:self.entry_count]:
            name = program.name.replace("entry", "edge-").encode()
            if any(name in base64.b64decode(value) for value in rows):
                return program
        return None

    async def submit(self, job, steps, duration, spec="(text)", **timing):
        """Hands a job in, with the client's retries.
        @return true once it is accepted."""
        self.durations[job] = duration
        self.sizes[job] = [
            {"cpu": 0 if s.get("fills") else s.get("cpu", 0),
             "memMb": s.get("memMb", 0)} for s in steps]
        self.jobs[job] = "sent"
        for attempt in range(6):
            front = self.fronts[next(self.turn) % len(self.fronts)]
            status, body = await call(
                front, "POST", PREFIX + job,
                {"spec": spec, "steps": steps, **timing},
                {"Host": QUEUE_HOST, "X-Deadline-Ms": "3000"})
            self.record.add("submit", job=job, status=status, body=body,
                            attempt=attempt)
            if 200 <= status < 300:
                self.jobs[job] = "accepted"
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job):
        front = self.fronts[next(self.turn) % len(self.fronts)]
        status, body = await call(front, "GET", PREFIX + job, None,
                                  {"Host": QUEUE_HOST,
                                   "X-Deadline-Ms": "3000"})
        self.record.add("state", job=job, status=status, body=body)
        return body.get("state") if status == 200 else status

    def in_use(self):
        """@return the share of the service's processors that runs reserve."""
        up = [e for e in self.executors if e.up]
        used = sum((self.size_of(r.task) or {}).get("cpu", 0)
                   for e in up for r in e.runs.values())
        return used / max(1, sum(e.capacity["cpu"] for e in up))

    def has_room_twice(self, size):
        """@return true if an executor has room for two such tasks."""
        for executor in self.executors:
            if not executor.up:
                continue
            used = [self.size_of(r.task) for r in executor.runs.values()]
            if all(executor.capacity[k] - sum(u[k] for u in used) >= 2 * v
                   for k, v in size.items()):
                return True
        return False

    async def check_lost(self, jobs):
        """Judges LOST: `finish_s` after the end of the traffic, a job isn't
        known, or has nothing running for 3 s although there is room."""
        await asyncio.sleep(FINISH_S)
        idle_since = {}
        until = now_ms() + LOST_CHECK_S * 1000
        lost = set()
        while now_ms() < until:
            for job in jobs:
                state = await self.state(job)
                if state in (0, 410):
                    lost.add((job, f"answer {state}"))
                    continue
                running = any(r.task.startswith(job) for e in self.executors
                              if e.up for r in e.runs.values())
                idle = (state in ("pending", "running") and not running and
                        self.in_use() < 0.5 and
                        self.has_room_twice(self.sizes[job][0]))
                if not idle:
                    idle_since.pop(job, None)
                elif now_ms() - idle_since.setdefault(job, now_ms()) > 3000:
                    lost.add((job, "nothing runs for 3 s, in use: "
                              f"{self.in_use():.2f}"))
            await asyncio.sleep(0.2)
        for job, text in sorted(lost):
            self.history.breaks("LOST", f"{job}: {text}")

    async def wait_for(self, jobs, states, seconds):
        """@return the jobs that are not in one of the states in time."""
        until = now_ms() + seconds * 1000
        left = list(jobs)
        while left and now_ms() < until:
            left = [j for j in left if await self.state(j) not in states]
            if left:
                await asyncio.sleep(0.5)
        return left


class NotReady(Exception):
    """The case can't run here."""


def run_case(folder, case, **settings):
    """Runs `case(cluster)`, which returns further broken rules as texts.
    Exits with 1 if a rule was broken, 0 if all held, 2 if it couldn't run."""

    async def play():
        cluster = Cluster(folder, **settings)
        record = cluster.record
        record.add("case", trouble=int(trouble()))
        try:
            await cluster.start()
            await case(cluster)
            for program in cluster.programs:
                code = program.child.poll()
                if code is not None and program.child:
                    record.add("program.ended", name=program.name, code=code)
        except NotReady as error:
            record.add("not run", reason=error)
            print(f"not run: {error}")
            return 2
        finally:
            await cluster.stop()
        if HttpServer.errors:
            record.add("not run", reason=HttpServer.errors[0])
            print(f"not run: a stand-in failed: {HttpServer.errors[0]}")
            return 2
        broken = cluster.history.broken
        rules = {}
        for rule, _ in broken:
            rules[rule] = rules.get(rule, 0) + 1
        verdict = "broken: " + ", ".join(
            f"{k} x{v}" for k, v in rules.items()) if broken else "all held"
        record.add("verdict", result=verdict, starts=len(
            cluster.history.starts))
        print(verdict)
        for rule, text in broken[:5]:
            print(f"  {rule}: {text}")
        return 1 if broken else 0

    async def limited():
        # Ends the programs also if the case is stopped from outside.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            code = await asyncio.wait_for(play(), RUN_LIMIT_S)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            print("not run: stopped or took too long")
            code = 2
        # All programs have ended; the stand-ins' calls that still wait aren't
        # awaited.
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(limited())
