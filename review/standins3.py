"""Stand-ins for the platform's store, the executors and the clients, and the
project's programs as processes, for the scripts of the third review.

The programs are started with the commands of deploy/system.toml. All stand-ins
live in this process and listen on loopback addresses."""

import asyncio
import base64
import collections
import contextlib
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
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
SERVICE = "sorteggio"
QUEUE_HOST = "queue.example"
BEAT_MS = 1100
HOLD_MAX_MS = 10000
STOP_MS = 400
CHECKPOINT_MS = 2000
GANG_TIMEOUT_MS = 3000
ZONES = ("catania", "messina", "siracusa")
LISTED_ENDS = 500


class NotReady(Exception):
    """The case couldn't run."""


def now_ms():
    return time.monotonic() * 1000


# Below the ports that the system gives to outgoing channels.
PORTS = range(12000, 31000)
PORTS_OF_RUN = 200


def reserve_ports():
    """Takes a block of ports that no other run takes meanwhile: the socket on
    its first port stays open until this process ends."""
    blocks = list(PORTS[::PORTS_OF_RUN])
    random.shuffle(blocks)
    for first in blocks:
        guard = socket.socket()
        with contextlib.suppress(OSError):
            guard.bind((HOST, first))
            guard.listen()
            return guard, iter(range(first + 1, first + PORTS_OF_RUN))
        guard.close()
    raise NotReady("no free ports")


GUARD, FREE_PORTS = reserve_ports()


def free_port():
    for port in FREE_PORTS:
        with socket.socket() as it, contextlib.suppress(OSError):
            it.bind((HOST, port))
            return port
    raise NotReady("no free port")


class Record:
    """The lines of record.txt: ms since the start, what happened, details."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # pylint: disable=consider-using-with
        self.began = now_ms()

    def add(self, event, **details):
        text = " ".join(f"{name}={value}" for name, value in details.items())
        self.file.write(f"{now_ms() - self.began:9.0f} {event} {text}\n")
        self.file.flush()


# HTTP.

async def read_message(reader):
    """@return (first line, headers, body) or None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    first = line.decode("latin-1").split()
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def call(port, method, path, body=None, timeout_s=3.0, headers=None):
    """One request on a channel of its own.
    @return (status, decoded body); status 0 without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
    head = (f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n{extra}"
            "content-type: application/json\r\nconnection: close\r\n"
            f"content-length: {len(data)}\r\n\r\n").encode()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(head + data)
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout_s)
        if message is None:
            return 0, {}
        status = int(message[0][1])
        try:
            return status, json.loads(message[2]) if message[2] else {}
        except ValueError:
            return status, {}
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class HttpServer:
    """Answers HTTP/1.1 requests. `handle(method, path, headers, body)` returns
    (status, object), or None to reset the channel."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self._serve, HOST, port)

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                answer = await self.handle(first[0], first[1], headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                data = json.dumps(answer[1]).encode()
                writer.write((f"HTTP/1.1 {answer[0]} x\r\ncontent-type: "
                              "application/json\r\ncontent-length: "
                              f"{len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store. Each process reaches it on a port of its
    own, so that it can be away for some of them."""

    HISTORY_MS = 20000
    TX_S = 0.008

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.log = collections.deque()
        self.forgotten = 0
        self.waiting = []
        self.lock = asyncio.Lock()
        self.servers = {}
        # By process: "reset", "busy" or "silent".
        self.away = {}

    async def listen(self, name):
        async def handle(method, path, headers, body):
            return await self.serve(name, method, path, headers, body)
        server = HttpServer(handle)
        port = free_port()
        await server.start(port)
        self.servers[name] = server
        return port

    async def serve(self, name, method, path, _headers, body):
        mode = self.away.get(name)
        if mode == "reset":
            return None
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            await asyncio.sleep(30)
            return None
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if method == "POST" and url.path == "/rows-tx":
            answer = await self.transact(json.loads(body))
        elif method == "GET" and url.path == "/rows-get":
            answer = self.get(query)
        elif method == "GET" and url.path == "/rows-feed":
            answer = await self.feed(query)
        else:
            answer = 400, {}
        if self.away.get(name) == "silent":
            await asyncio.sleep(30)
            return None
        return answer

    def _stamp(self, body):
        body.update({"ver": self.version, "nowMs": int(now_ms())})
        return body

    def _write(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.log.append((self.version, now_ms(), key, value))
        while self.log and self.log[0][1] < now_ms() - self.HISTORY_MS:
            self.forgotten = self.log.popleft()[0]

    @staticmethod
    def _key(row):
        return row["table"], row.get("part", ""), row["key"]

    async def transact(self, body):
        async with self.lock:
            await asyncio.sleep(self.TX_S)
            failed = []
            for row in body.get("expected", []):
                key = self._key(row)
                if self.rows.get(key, (None, 0))[1] != row["ver"]:
                    failed.append(key)
            if failed:
                rows = []
                for row in body["expected"]:
                    key = self._key(row)
                    if key in self.rows:
                        value, version = self.rows[key]
                        rows.append({"table": key[0], "part": key[1],
                                     "key": key[2], "value": value,
                                     "ver": version})
                return 412, self._stamp({"rows": rows})
            self.version += 1
            for row in body.get("writes", []):
                self._write(self._key(row), row["value"])
            for row in body.get("remove", []):
                self._write(self._key(row), None)
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
        self.waiting = []
        return 200, self._stamp({})

    async def put(self, table, key, value):
        """The operator writes."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        await self.transact({"writes": [{"table": table, "part": "",
                                         "key": key, "value": data}]})

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows if k[0] == table and k[1] == part
                      and k[2] >= first and (not last or k[2] < last))
        rows = [{"table": k[0], "part": k[1], "key": k[2],
                 "value": self.rows[k][0], "ver": self.rows[k][1]}
                for k in keys[:limit]]
        return 200, self._stamp({"rows": rows, "hasMore": len(keys) > limit})

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = now_ms() + min(int(query.get("waitMs", 0)), 30000)
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = []
            for version, _, key, value in self.log:
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
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(waiter, left)

    def planner(self):
        """@return the name of the process in the head row; empty if none."""
        for (table, _, _), (value, _) in self.rows.items():
            if table == "head":
                return base64.b64decode(value)
        return b""


class Run:
    def __init__(self, task, run, checkpoint, work_ms):
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.work_ms = work_ms
        self.began = now_ms()
        self.saved = 0
        self.pace = 100
        # When a gang's members were all there; None before.
        self.gang_began = None
        self.stopping = False

    def key(self):
        return self.task, self.run


class Executor:
    """An executor. It guards its lease and the fencing number, not its
    capacity."""

    def __init__(self, world, name, zone, capacity, labels):
        self.world = world
        self.record = world.record
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.port = free_port()
        self.control_port = None
        self.id = f"i-{name}"
        self.life = 0
        self.up = False
        self.server = HttpServer(self.handle)
        self.tasks = []
        # The next call to start a task is left unanswered and carried out late.
        self.holds_start = False
        self.late = []

    def clock(self):
        return int(now_ms() - self.began) + 1000

    async def start(self):
        self.begin_life()
        await self.carry_out_late()
        await self.listen()

    def begin_life(self):
        self.life += 1
        self.began = now_ms()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fencing = 0
        self.deadline = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.draining = False
        self.event = asyncio.Event()
        self.up = True
        self.record.add("executor.up", vm=self.name, id=self.id,
                        life=self.life)
        self.tasks = [asyncio.create_task(self.work())]

    async def carry_out_late(self):
        """Carries out the calls that were meant for a former life."""
        for body in self.late:
            answer = await self.carry_out("/run-start", body)
            self.record.add("call.late", vm=self.name, task=body["task"],
                            run=body["run"], answer=answer)
        self.late = []

    async def listen(self):
        await self.server.start(self.port)
        self.tasks.append(asyncio.create_task(self.beat()))

    async def return_behind_cut(self, late_s, cut_s):
        """Begins a new life at once, which nobody reaches for `cut_s`. Calls
        that are on their way are carried out after `late_s`."""
        self.begin_life()
        self.record.add("cut.begins", vm=self.name)
        await asyncio.sleep(late_s)
        await self.carry_out_late()
        await asyncio.sleep(cut_s - late_s)
        self.record.add("cut.ends", vm=self.name)
        await self.listen()

    async def crash(self):
        self.up = False
        for run in list(self.runs.values()):
            self.world.run_ended(self, run, "crashed")
        self.runs = {}
        for task in self.tasks:
            task.cancel()
        self.record.add("executor.crash", vm=self.name)
        await self.server.stop()

    async def crash_and_return(self, away_s):
        if not self.up:
            return
        await self.crash()
        await asyncio.sleep(away_s)
        await self.start()

    async def leave(self):
        """Ends after it was emptied."""
        await call(self.control_port, "POST",
                   f"/Instances.Deregister/{self.id}", {}, 1.0)
        for run in list(self.runs.values()):
            self.end(run, "lapsed")
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.record.add("executor.leaves", vm=self.name)
        await self.server.stop()

    async def beat(self):
        while True:
            await self.say()
            await asyncio.sleep(BEAT_MS / 1000)

    async def say(self):
        self.sequence += 1
        body = {"backend": SERVICE, "address": f"{HOST}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready",
                "coldRemainingMs": 0, "capacity": self.capacity,
                "labels": self.labels, "clockMs": self.clock(),
                "born": self.born, "sequence": self.sequence}
        if self.draining:
            body["remainingMs"] = self.remaining_ms
        await call(self.control_port, "POST",
                   f"/Instances.Heartbeat/{self.id}", body, 1.0)

    async def work(self):
        """Ends runs whose work is done, and all when the lease ends."""
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock() > self.deadline:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                self.advance(run)

    def advance(self, run):
        gang = self.world.gang_of(run)
        if gang is not None and run.gang_began is None:
            if now_ms() - run.began > GANG_TIMEOUT_MS:
                self.end(run, "alone")
            return
        began = run.gang_began if gang is not None else run.began
        done_ms = now_ms() - began
        steps = int(done_ms // CHECKPOINT_MS)
        if self.world.saves(run) and steps > run.saved:
            run.saved = steps
            run.checkpoint = f"{run.run}-{steps}"
        if done_ms >= run.work_ms and not run.stopping:
            how = self.world.fate(self, run)
            if how == "crash":
                asyncio.ensure_future(self.world.crash_by(self, run))
                run.work_ms = float("inf")
                return
            self.end(run, how)
            if gang is not None and how == "done":
                self.world.gang_ended(run, how)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.run, how,
                          run.checkpoint])
        self.world.run_ended(self, run, how)
        self.event.set()
        self.event = asyncio.Event()

    async def handle(self, method, path, headers, body):
        if not self.up or method != "POST":
            return None
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        if path == "/run-start" and self.holds_start:
            self.holds_start = False
            self.late.append(json.loads(body))
            self.record.add("call.unanswered", vm=self.name, path=path,
                            task=self.late[-1]["task"],
                            run=self.late[-1]["run"])
            await asyncio.sleep(30)
            return None
        return await self.carry_out(path, json.loads(body))

    async def carry_out(self, path, body):
        fencing = body.get("fencingToken", 0)
        if fencing < self.fencing:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fencing = max(self.fencing, fencing)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/pace":
            run = self.runs.get(body["task"])
            if run is not None and run.run == body["run"]:
                run.pace = body["percent"]
            return 200, {"clockMs": self.clock()}
        if path == "/hold":
            return await self.hold(body)
        return 400, {}

    def extend(self, deadline):
        if deadline:
            deadline = min(deadline, self.clock() + HOLD_MAX_MS)
            self.deadline = max(self.deadline, deadline)

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(body["deadlineMs"])
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, {"clockMs": self.clock()}
        if present is not None or number <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        run = Run(task, number, body.get("checkpoint", ""),
                  self.world.work_ms(self, task, number))
        self.runs[task] = run
        self.world.run_began(self, run, body)
        return 200, {"clockMs": self.clock()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run == number and not run.stopping:
            run.stopping = True
            self.record.add("stop", vm=self.name, task=task, run=number)
            asyncio.get_running_loop().call_later(
                STOP_MS / 2000, lambda: self.end(run, "stopped"))
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.extend(body.get("deadlineMs"))
        self.ends = [it for it in self.ends if it[0] > body["ackCursor"]]
        wait_s = min(body.get("waitMs", 0), 2000) / 1000
        if wait_s and not self.ends:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.event.wait(), wait_s)
        running = [[it.task, it.run, it.checkpoint, 100, 0]
                   for it in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "ended": self.ends[:LISTED_ENDS]}


class Program:
    """A program of the project, started again when it ends."""

    def __init__(self, world, name, command):
        self.world = world
        self.name = name
        self.command = command
        self.child = None
        self.removed = False

    def spawn(self):
        log = open(self.world.folder / f"{self.name}.log", "ab")  # pylint: disable=consider-using-with
        self.child = subprocess.Popen(  # pylint: disable=consider-using-with
            self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT,
            env={k: v for k, v in os.environ.items()
                 if k in ("PATH", "HOME", "LANG")})
        log.close()

    def signal(self, number):
        self.world.record.add("signal", program=self.name,
                              signal=signal.Signals(number).name)
        self.child.send_signal(number)

    async def kill(self, away_s):
        """Kills the program, and starts it again."""
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.child.wait)
        await asyncio.sleep(away_s)
        self.spawn()

    def remove(self):
        """Its machine is gone for good."""
        self.world.record.add("machine.gone", program=self.name)
        self.end()
        self.removed = True

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Job:
    def __init__(self, number, prefix, steps, work_ms):
        self.id = f"{number:016x}"
        self.prefix = prefix
        self.steps = steps
        # By step.
        self.work = work_ms
        self.accepted = False
        self.state = ""


class World:
    """A small deployment: entries, machines with an executor and an agent each,
    and the store."""

    ENTRIES = 3
    MACHINES = 11
    CPU = 32000
    MEM_MB = 128000
    # name, attempts, priority
    QUEUES = (("entry-check", 4, 0), ("village-register", 2, 2),
              ("parcel-watch", 2, 0))

    def __init__(self, case, seed=1):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="almondtally-"))
        self.record = Record(self.case / "record.txt")
        self.rng = random.Random(seed)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.record)
        self.executors = []
        self.entries = []
        self.agents = []
        self.jobs = {}
        self.gangs = {}
        # (task, run, executor, life) of what runs now, and all starts.
        self.running = []
        self.starts = collections.defaultdict(list)
        self.ended = collections.defaultdict(list)
        self.broken = []
        self.replaced = 0

    def breaks(self, rule, what):
        self.broken.append((rule, what))
        self.record.add("BROKEN", rule=rule, what=what)

    # What the executors ask.

    def job_of(self, task):
        return self.jobs.get(task.split(".")[0])

    def step_of(self, task):
        job = self.job_of(task)
        return {} if job is None else job.steps[int(task.split(".")[2])]

    def work_ms(self, _executor, task, _run):
        job = self.job_of(task)
        if job is None:
            return 1000
        if job.steps[int(task.split(".")[2])].get("longRunning"):
            return float("inf")
        return job.work[int(task.split(".")[2])]

    def saves(self, run):
        return self.step_of(run.task).get("checkpointing", False)

    def fate(self, _executor, _run):
        """@return how a run ends whose work is done: "done", "failed" or
        "crash"."""
        return "done"

    async def crash_by(self, executor, run):
        self.record.add("task.crashes_executor", task=run.task, run=run.run,
                        vm=executor.name)
        await executor.crash_and_return(2.0)

    def gang_of(self, run):
        return run.task.rsplit(".", 1)[0] if (
            self.step_of(run.task).get("gang")) else None

    def gang_began(self, run):
        """Starts the work of a gang whose members are all there."""
        name = self.gang_of(run)
        if name is None:
            return
        count = self.step_of(run.task)["count"]
        members = [it for ex in self.executors if ex.up
                   for it in ex.runs.values()
                   if it.task.rsplit(".", 1)[0] == name and it.run == run.run]
        if len(members) == count:
            for it in members:
                it.gang_began = now_ms()

    def gang_ended(self, run, how):
        """A member has ended; the others are broken, or done with it."""
        name = self.gang_of(run)
        for executor in self.executors:
            if not executor.up:
                continue
            for it in list(executor.runs.values()):
                if it.task.rsplit(".", 1)[0] == name and it.run == run.run:
                    executor.end(it, "done" if how == "done" else "broken")

    def run_began(self, executor, run, body):
        self.record.add("start", vm=executor.name, task=run.task, run=run.run,
                        fencing=body["fencingToken"])
        job = self.job_of(run.task)
        if job is None or body["spec"] != job.spec:
            self.breaks("UNASKED", f"{run.task} was not sent so")
        self.starts[run.task].append((now_ms(), run.run, executor.name))
        for other, where, _ in self.running:
            if other.task == run.task:
                self.breaks("TWICE", f"{run.task} runs {other.run} on "
                            f"{where.name} and {run.run} on {executor.name}")
        for _, ended_run, how, _ in self.ended[run.task]:
            if how == "done":
                self.record.add("start_after_done", task=run.task,
                                run=run.run, done_run=ended_run)
        self.running.append((run, executor, executor.life))
        self.gang_began(run)

    def run_ended(self, executor, run, how):
        self.record.add("end", vm=executor.name, task=run.task, run=run.run,
                        how=how)
        self.running = [it for it in self.running if it[0] is not run]
        self.ended[run.task].append((now_ms(), run.run, how, executor.name))
        if how not in ("done", "broken") and self.gang_of(run) is not None:
            self.gang_ended(run, how)

    # Start and end.

    def render(self, role, fields):
        """@return the words of a role's command in the deploy file."""
        with open(ROOT / "deploy/system.toml", "rb") as it:
            words = tomllib.load(it)["roles"][role]["run"].split()
        out = []
        for word in words:
            for name, value in fields.items():
                word = word.replace("{{" + name + "}}", str(value))
            if "{{" in word:
                raise NotReady(f"no value for {word}")
            out.append(word)
        if not (ROOT / out[0]).exists():
            raise NotReady(f"{out[0]} is not built")
        out[0] = str(ROOT / out[0])
        return out

    def common(self, name, zone):
        """Values of the settings, as for the deployment etna-lotti."""
        return {"nodeName": name, "zone": zone, "limits.maxFds": 4100,
                "bounds.configMs": 2000, "bounds.status_s": 120,
                "bounds.harmMs": 4000, "bounds.farX": 1.5,
                "bounds.holdMaxMs": HOLD_MAX_MS, "limits.cpuShare": 0.25,
                "backend": SERVICE, "contracts": "base,drain,config,cost,"
                "recover,sched,platform,advice,upkeep,sharing"}

    async def put_config(self, version):
        await self.store.put("op", "config", {
            "version": version, "limits": {},
            "backends": [{"name": SERVICE, "healthPath": "/health",
                          "maxConns": 64, "admissionCheck": False,
                          "spare": False}],
            "routes": [{"name": f"r-{name}", "host": QUEUE_HOST,
                        "pathPrefix": f"/{name}/", "type": "unsafe",
                        "timeoutMs": 3000, "backend": SERVICE,
                        "targetLatencyMs": 1000, "priority": priority,
                        "maxAttempts": attempts, "stretch": 2.0}
                       for name, attempts, priority in self.QUEUES]})

    def add_entry(self, number, store_port):
        name, zone = f"edge-{number}", ZONES[number % len(ZONES)]
        fields = self.common(name, zone)
        front, ready, peer, metrics = (free_port() for _ in range(4))
        fields.update({
            "listenAddrs.front": f"{HOST}:{front}",
            "listenAddrs.ready": f"{HOST}:{ready}", "ip": HOST,
            "portRange.0": peer, "limits.memoryMb": 260,
            "platform.address": f"{HOST}:{store_port}"})
        command = self.render("entry", fields)
        it = Program(self, name, self.own_metrics(command, metrics))
        it.front, it.ready, it.peer = front, ready, peer
        self.entries.append(it)
        return it

    @staticmethod
    def own_metrics(command, port):
        """All machines share one address here, so that each process needs a
        port of its own for its metrics."""
        at = command.index("--metrics") + 1
        return command[:at] + [f"{HOST}:{port}"] + command[at + 1:]

    async def replace_entry(self, gone):
        """A new machine with the same role comes at another address."""
        self.entries.remove(gone)
        self.replaced += 1
        number = self.ENTRIES + self.replaced
        it = self.add_entry(number, await self.store.listen(f"edge-{number}"))
        it.spawn()
        self.record.add("machine.new", program=it.name)
        return it

    def add_machine(self, number, store_port):
        name, zone = f"side-{number}", ZONES[number % len(ZONES)]
        executor = Executor(
            self, name, zone,
            {"cpu": self.CPU, "memMb": self.MEM_MB, "gpu": 0},
            ["a", f"r1-{number // 3}"])
        executor.control_port = free_port()
        fields = self.common(name, zone)
        peer, metrics = free_port(), free_port()
        fields.update({
            "listenAddrs.control": f"{HOST}:{executor.control_port}",
            "ip": HOST, "portRange.0": peer, "limits.memoryMb": 128,
            "app": f"{HOST}:{executor.port}",
            "platform.address": f"{HOST}:{store_port}"})
        command = self.render("agent", fields)
        it = Program(self, name, self.own_metrics(command, metrics))
        it.peer = peer
        self.executors.append(executor)
        self.agents.append(it)
        return it

    async def start(self):
        await self.put_config(7)
        for number in range(self.ENTRIES):
            self.add_entry(number, await self.store.listen(f"edge-{number}"))
        for number in range(self.MACHINES):
            self.add_machine(number, await self.store.listen(f"side-{number}"))
        for it in self.entries + self.agents:
            it.spawn()
        for it in self.executors:
            await it.start()
        until = now_ms() + 20000
        for entry in self.entries:
            while (await call(entry.ready, "GET", "/ready", None, 0.5))[0] != (
                    200):
                if now_ms() > until:
                    raise NotReady("the entries are not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        for it in self.entries + self.agents:
            if it.child.poll() is not None:
                raise NotReady(f"{it.name} did not start")
        self.record.add("ready")

    async def stop(self):
        for it in self.entries + self.agents:
            it.end()
        for it in self.executors:
            it.up = False
            for task in it.tasks:
                task.cancel()

    def check_programs(self):
        """A program that ended by itself breaks the rule on faults."""
        for it in self.entries + self.agents:
            code = it.child.poll()
            if code is not None and not it.removed:
                self.breaks("FAULT", f"{it.name} ended by itself with {code}")

    # Clients.

    def new_job(self, queue, steps, work_ms, spec="(text)", job_id=None):
        job = Job(self.rng.getrandbits(64) if job_id is None else job_id,
                  f"/{queue}/", steps, work_ms)
        job.spec = spec
        job.schedule = {}
        self.jobs[job.id] = job
        return job

    async def submit(self, job, retries=4, entry=None):
        """Hands a job in as a client does.
        @return the last status."""
        status = 0
        for _ in range(1 + retries):
            at = entry or self.rng.choice(self.entries)
            status, _ = await call(
                at.front, "POST", job.prefix + job.id,
                {"spec": job.spec, "steps": job.steps, **job.schedule}, 3.0,
                {"X-Deadline-Ms": 3000})
            self.record.add("submit", job=job.id, entry=at.name,
                            status=status)
            if status == 200:
                job.accepted = True
                return status
            if status not in (0, 502, 504):
                return status
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return status

    async def ask(self, job, entry=None):
        """@return (status, state)."""
        at = entry or self.rng.choice(self.entries)
        status, body = await call(at.front, "GET", job.prefix + job.id, None,
                                  3.0, {"X-Deadline-Ms": 3000})
        state = body.get("state", "") if status == 200 else ""
        if (status, state) != getattr(job, "seen", None):
            self.record.add("state", job=job.id, entry=at.name,
                            status=status, state=state)
        job.seen = (status, state)
        if state:
            job.state = state
        return status, state

    async def cancel(self, job):
        at = self.rng.choice(self.entries)
        status, _ = await call(at.front, "DELETE", job.prefix + job.id, None,
                               3.0, {"X-Deadline-Ms": 3000})
        self.record.add("cancel", job=job.id, entry=at.name, status=status)
        return status


def play(world, course, limit_s=110):
    """Plays a case and exits: 1 if a rule was broken, 0 if all held, 2 if the
    case couldn't run."""

    async def run():
        # Channels that are cut at the end of a case are no error.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            await world.start()
            await asyncio.wait_for(course(world), limit_s)
            world.check_programs()
        except NotReady as error:
            world.record.add("not_run", why=error)
            return 2
        except asyncio.TimeoutError:
            world.record.add("not_run", why="the case took too long")
            return 2
        finally:
            await world.stop()
        return 1 if world.broken else 0

    code = asyncio.run(run())
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        shutil.copytree(world.folder, keep, dirs_exist_ok=True)
    shutil.rmtree(world.folder, ignore_errors=True)
    for rule, what in world.broken[:5]:
        print(f"{rule}: {what}")
    world.record.add("result", code=code)
    sys.stdout.flush()
    # Calls of the stand-ins that still wait aren't awaited.
    os._exit(code)
