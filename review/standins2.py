"""Stand-ins for the store, the executors and the clients of a case, and the
programs as processes. Everything runs on loopback addresses."""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
TX_S = 0.008
READ_S = 0.004
PAGE_ROWS = 500
HOLD_MAX_MS = 10000
STOP_S = 0.1
HEARTBEAT_S = 1.1
GRACE_S = 6


def now_ms():
    return int(time.monotonic() * 1000)


def free_ports(n):
    """Returns ports that nothing listens on, all different."""
    sockets = [socket.socket() for _ in range(n)]
    for it in sockets:
        it.bind((HOST, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start_ms = now_ms()

    def add(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        at = now_ms() - self.start_ms
        self.file.write(f"{at:7d} {event} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(it.split("=", 1) for it in query.split("&") if it)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        text = (await reader.readline()).decode("latin-1")
        if not text.strip():
            break
        name, _, value = text.partition(":")
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
    return line.decode("latin-1").split(), headers, body


class HttpServer:
    """Serves a handler that returns (status, body), or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(self._serve, HOST, port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, *_), headers, body = message
                answer = await self.handle(
                    Request(method, target, headers, body))
                if answer is None:
                    break
                status, reply = answer
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request. Returns (status, body); (0, reason) without answer."""
    async def run():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "connection: close",
                     f"content-length: {len(data)}"]
            if data:
                lines.append("content-type: application/json")
            for name, value in (headers or {}).items():
                lines.append(f"{name}: {value}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return 0, "closed"
            first, _, reply = message
            try:
                return int(first[1]), json.loads(reply) if reply else {}
            except ValueError:
                return int(first[1]), reply.decode("latin-1")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError) as error:
        return 0, type(error).__name__


class Store:
    """The platform's metadata store: rows, transactions and the feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def write(self, key, value):
        self.log.append((self.version, key, value))
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)

    def put(self, table, part, key, value):
        """A write of the operator."""
        self.version += 1
        self.write((table, part, key),
                   base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2],
                "value": value, "ver": version}

    def _stamp(self, reply):
        return {**reply, "ver": self.version, "nowMs": now_ms()}

    async def handle(self, request):
        if request.path == "/rows-tx":
            return await self.transact(request.json())
        if request.path == "/rows-get":
            return await self.get(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        return 400, {}

    async def transact(self, body):
        await asyncio.sleep(TX_S)
        key = lambda it: (it["table"], it.get("part", ""), it["key"])
        expected = body.get("expected", [])
        holds = all(self.rows.get(key(it), ("", 0))[1] == it["ver"]
                    for it in expected)
        if not holds:
            rows = [self._row(key(it)) for it in expected
                    if key(it) in self.rows]
            return 412, self._stamp({"rows": rows})
        self.version += 1
        for it in body.get("writes", []):
            self.write(key(it), it["value"])
        for it in body.get("remove", []):
            self.write(key(it), None)
        self._wake()
        return 200, self._stamp({})

    async def get(self, query):
        await asyncio.sleep(READ_S)
        first = (query["table"], query.get("part", ""), query.get("from", ""))
        keys = sorted(key for key in self.rows
                      if key[:2] == first[:2] and key[2] >= first[2])
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        return 200, self._stamp(
            {"rows": [self._row(key) for key in keys[:limit]],
             "hasMore": len(keys) > limit})

    async def feed(self, query):
        await asyncio.sleep(READ_S)
        after, table = int(query["after"]), query["table"]
        until = now_ms() + int(query.get("waitMs", 0))
        while True:
            rows = []
            for version, key, value in self.log:
                if version <= after or key[0] != table:
                    continue
                row = {"table": key[0], "part": key[1], "key": key[2],
                       "ver": version}
                row.update({"deleted": True} if value is None
                           else {"value": value})
                rows.append(row)
            left = (until - now_ms()) / 1000
            if rows or left <= 0:
                return 200, self._stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task = task
        self.number = number
        self.spec = spec
        self.checkpoint = checkpoint
        self.started_ms = now_ms()
        self.timer = None


class Executor:
    """An executor: runs tasks under a lease and lists them.

    The payload of a job is JSON; `workMs` is how long its tasks take. A case
    may set `on_start(executor, run)`, which is called after each start.
    """

    def __init__(self, fleet, name, capacity, labels):
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.capacity = capacity
        self.labels = labels
        self.port, self.control_port = None, None
        self.server = None
        self.up = False
        self.lives = 0
        self.state = "ready"
        self.remaining_ms = 0
        self.on_start = None
        self.id = None

    def clock(self):
        return now_ms() - self.clock_zero

    async def start(self, same_id=False):
        self.lives += 1
        if not same_id or self.id is None:
            self.id = f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.clock_zero = now_ms() - 1000
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.ended = []
        self.highest_end = {}
        self.end_number = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        await self.server.listen(self.port)
        self.up = True
        self.record.add("executor.up", name=self.name, id=self.id)
        self.tasks = [asyncio.ensure_future(self._beat()),
                      asyncio.ensure_future(self._watch_lease())]

    def crash(self):
        """Ends all runs at once and closes all connections."""
        if not self.up:
            return
        self.up = False
        self.record.add("executor.crash", name=self.name,
                        runs=",".join(f"{it.task}/{it.number}"
                                      for it in self.runs.values()))
        for it in self.tasks:
            it.cancel()
        for run in self.runs.values():
            if run.timer:
                run.timer.cancel()
        self.runs = {}
        self.server.close()

    def hello(self):
        self.sequence += 1
        return {"backend": self.fleet.service,
                "address": f"{HOST}:{self.port}", "zone": "z1",
                "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0, "capacity": self.capacity,
                "labels": self.labels, "clockMs": self.clock(),
                "born": self.born, "sequence": self.sequence,
                **({"remainingMs": self.remaining_ms}
                   if self.state == "draining" else {})}

    async def beat_once(self, timeout=1.0):
        return await call(self.control_port, "POST",
                          f"/Instances.Heartbeat/{self.id}", self.hello(),
                          timeout=timeout)

    async def _beat(self):
        while True:
            status, _ = await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock() >= self.lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer:
            run.timer.cancel()
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.number, how,
                           run.checkpoint])
        self.highest_end[run.task] = max(
            run.number, self.highest_end.get(run.task, 0))
        self.record.add("run.end", name=self.name, task=run.task,
                        run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _extend(self, body):
        if "deadlineMs" in body:
            until = min(body["deadlineMs"], self.clock() + HOLD_MAX_MS)
            self.lease_ms = max(self.lease_ms, until)

    def _listing(self):
        return {"clockMs": self.clock(), "born": self.born,
                "running": [[it.task, it.number, it.checkpoint, 100, 100]
                            for it in self.runs.values()],
                "ended": self.ended[:500]}

    async def handle(self, request):
        body = request.json()
        wanted = request.headers.get("x-expected-instance")
        if wanted and wanted != self.id:
            return 421, {"clockMs": self.clock()}
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if request.path == "/run-start":
            return self.start_run(body)
        if request.path == "/run-stop":
            return self.stop_run(body)
        if request.path == "/pace":
            return 200, {"clockMs": self.clock()}
        if request.path == "/hold":
            return await self.hold(body)
        return 404, {}

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def start_run(self, body):
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {"clockMs": self.clock()}
        if body["deadlineMs"] <= self.clock():
            return self.refuse("late")
        self._extend(body)
        if number <= self.highest_end.get(task, 0) or present is not None:
            return self.refuse("old")
        run = Run(task, number, body["spec"], body.get("checkpoint", ""))
        self.runs[task] = run
        self.record.add("run.start", name=self.name, task=task, run=number)
        work_ms = json.loads(run.spec).get("workMs", 1000)
        if work_ms is not None:
            run.timer = asyncio.get_running_loop().call_later(
                work_ms / 1000, self._end, run, "done")
        if self.on_start:
            self.on_start(self, run)
        return 200, {"clockMs": self.clock()}

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is None or run.number != number:
            self.highest_end[task] = max(
                number, self.highest_end.get(task, 0))
        else:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        ack = body.get("ackCursor", 0)
        self.ended = [it for it in self.ended if it[0] > ack]
        self._extend(body)
        wait_ms = min(body.get("waitMs", 0), 2000)
        if wait_ms and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self._listing()


class Process:
    """A program of the project, with the arguments of the deploy file."""

    def __init__(self, fleet, name, args):
        self.fleet = fleet
        self.name = name
        self.args = args
        self.process = None

    def start(self):
        self.fleet.record.add("process.start", name=self.name)
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(self.args, stdout=log,
                                            stderr=subprocess.STDOUT)

    def signal(self, number):
        self.fleet.record.add("process.signal", name=self.name,
                              signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """A small deployment: a store, entries, agents and executors."""

    service = "svc"
    host = "jobs.example"
    prefix = "/queue/"

    def __init__(self, folder, record, entries=2, vms=3,
                 capacity=None, labels=None):
        self.folder = pathlib.Path(folder)
        self.record = record
        self.store = Store(record)
        capacity = capacity or {"cpu": 16000, "memMb": 32000, "gpu": 0}
        ports = iter(free_ports(1 + 4 * entries + 4 * vms))
        self.store_port = next(ports)
        self.entries, self.agents, self.executors = [], [], []
        self.entry_ports = []
        for i in range(entries):
            listen, ready, peer, metrics = (next(ports) for _ in range(4))
            self.entry_ports.append(listen)
            self.entries.append(Process(self, f"entry-{i}", [
                str(REPO / "target/bin/almondtally"), "schedule",
                "--id", f"entry-{i}", "--data-centre", "z1",
                "--listen", f"{HOST}:{listen}", "--ready", f"{HOST}:{ready}",
                "--peer", f"{HOST}:{peer}", "--metrics", f"{HOST}:{metrics}",
                "--store", f"{HOST}:{self.store_port}", "--cpu-share", "0.25",
                "--config-ms", "2000", "--keep-ended-s", "120",
                "--tail-limit-ms", "4000"]))
        for i in range(vms):
            listen, peer, metrics, app = (next(ports) for _ in range(4))
            self.agents.append(Process(self, f"vm-{i}", [
                str(REPO / "target/bin/almondtally-target"), "agent",
                "--vm", f"vm-{i}", "--data-centre", "z1",
                "--listen", f"{HOST}:{listen}", "--peer", f"{HOST}:{peer}",
                "--metrics", f"{HOST}:{metrics}", "--worker", f"{HOST}:{app}",
                "--service", self.service,
                "--store", f"{HOST}:{self.store_port}"]))
            executor = Executor(self, f"vm-{i}", dict(capacity),
                                labels or ["a", f"r1-{i}"])
            executor.port, executor.control_port = app, listen
            self.executors.append(executor)

    def config(self, version, **terms):
        return {"version": version, "limits": {}, "backends": [
                    {"name": self.service, "admissionCheck": False}],
                "routes": [{"name": "queue", "host": self.host,
                            "pathPrefix": self.prefix,
                            "backend": self.service, "timeoutMs": 30000,
                            "priority": 0, "maxAttempts": 3, "stretch": 2.0,
                            "targetLatencyMs": 1000, **terms}]}

    async def start(self, **terms):
        await self.store.server.listen(self.store_port)
        self.store.put("op", "", "config", self.config(1, **terms))
        for it in self.entries + self.agents:
            it.start()
        for it in self.executors:
            await it.start()

    async def request(self, entry, method, job, body=None, timeout=3.0):
        status, reply = await call(
            self.entry_ports[entry], method, self.prefix + job, body,
            {"host": self.host, "x-deadline-ms": str(int(timeout * 1000))},
            timeout)
        self.record.add("client", method=method, job=job, entry=entry,
                        status=status, reply=json.dumps(reply))
        return status, reply

    async def submit(self, job, steps, spec=None, entry=0, **fields):
        """Hands a job in until it is accepted or refused for good."""
        body = {"spec": json.dumps(spec or {}), "steps": steps, **fields}
        for attempt in range(40):
            status, _ = await self.request(
                (entry + attempt) % len(self.entries), "POST", job, body)
            if status in (200, 400, 404):
                return status
            await asyncio.sleep(0.2)
        return 0

    async def wait_ready(self):
        """Waits until a job of one task has run. Returns false if none has."""
        job = "00000000000000ff"
        await self.submit(job, [
            {"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 100}],
            {"workMs": 50})
        for _ in range(100):
            _, reply = await self.request(0, "GET", job)
            if isinstance(reply, dict) and reply.get("state") == "completed":
                return True
            await asyncio.sleep(0.1)
        return False

    def planner(self):
        """Returns the entry that the head row names; None if it names none."""
        for (table, _, _), (value, _) in self.store.rows.items():
            row = base64.b64decode(value) if table == "head" else b""
            for it in self.entries:
                if it.name.encode() in row:
                    return it
        return None

    async def restart(self, process):
        """Stops a program with SIGTERM, as for planned work, and starts it
        again."""
        process.signal(signal.SIGTERM)
        until = now_ms() + GRACE_S * 1000
        while process.running() and now_ms() < until:
            await asyncio.sleep(0.05)
        if process.running():
            process.kill()
        process.start()

    def stop(self):
        for it in self.executors:
            it.crash()
        for it in self.entries + self.agents:
            if it.running():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        self.store.server.close()


def run_case(folder, case):
    """Runs a case and ends the process with its verdict.

    @param case takes (record, folder for logs) and returns 0, 1 or 2.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    logs = tempfile.mkdtemp()
    verdict = 2
    try:
        verdict = asyncio.run(case(record, logs))
    finally:
        shutil.rmtree(logs, ignore_errors=True)
        record.add("verdict", exit=verdict)
    sys.exit(verdict)


def has_trouble():
    """Returns false if the case is to be run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
