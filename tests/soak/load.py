"""The jobs of a soak run and the clients that hand them in."""

import asyncio
import dataclasses
import json

import harness
from harness import now_ms, read_message
from rules import Job

DEADLINE_S = 3.0
RETRIES = 4
HOST_NAME = harness.QUEUE_HOST
RESEND_SHARE = 0.05
CANCEL_SHARE = 0.05
ASK_UNTIL_S = 60
# Of these jobs the last is poison, the others crash their executors.
SPECIAL_JOBS = 3
LASTING_AT_START = 2


@dataclasses.dataclass(frozen=True)
class Kind:
    """A row of a deployment's sheet."""

    name: str
    per_s: float
    steps: float
    width: float
    work_s: float
    cpu: int
    mem_mb: int
    attempts: int
    priority: int
    lasting: bool = False
    fills: float = 0

    @property
    def prefix(self):
        return f"/{self.name}/"


@dataclasses.dataclass(frozen=True)
class Site:
    name: str
    zones: tuple
    vm_cpu: int
    vm_mem_mb: int
    kinds: tuple


SITES = {
    "etna": Site("etna-lotti", ("catania", "messina", "siracusa"),
                 32000, 128000, (
        Kind("entry-check", 6.97, 1.6, 6, 0.64, 480, 960, 4, 0),
        Kind("village-register", 1.2, 2, 8, 2.2, 3500, 6400, 2, 2, fills=0.3),
        Kind("parcel-watch", 0.0501, 1, 6, 0, 6400, 13000, 2, 0,
             lasting=True))),
    "maraval": Site("maraval-tally", ("maraval", "san-juan", "chaguaramas"),
                    64000, 256000, (
        Kind("intake-lookup", 6.96, 1.6, 6, 0.64, 960, 1900, 2, 0),
        Kind("calibration-run", 1.2, 2, 8, 2.2, 7000, 13000, 2, 2, fills=0.3),
        Kind("drift-watch", 0.05, 1, 6, 0, 13000, 26000, 4, 0,
             lasting=True))),
}


def spread(rng, mean, low, high):
    return min(high, max(low, rng.lognormvariate(0, 0.4) * mean))


def make_job(rng, kind):
    """@return a job of the kind and the durations of its steps in ms."""
    steps, durations = [], []
    count = 1 if kind.lasting else max(1, round(spread(rng, kind.steps, 1, 4)))
    for number in range(count):
        step = {"count": round(spread(rng, kind.width, 1, 4 * kind.width)),
                "cpu": round(spread(rng, kind.cpu, kind.cpu / 3,
                                    1.6 * kind.cpu)),
                "memMb": round(spread(rng, kind.mem_mb, kind.mem_mb / 2,
                                      2 * kind.mem_mb))}
        work_ms = round(1000 * spread(rng, kind.work_s, 0.05,
                                      2.5 * kind.work_s))
        if kind.lasting:
            step["longRunning"] = True
            step["count"] = min(step["count"], 12)
            if rng.random() < 0.5:
                step["maxPerServer"] = 2
        else:
            step["estimateMs"] = round(work_ms * rng.uniform(0.5, 1.5)) + 1
        if number:
            step["after"] = [number - 1]
        if rng.random() < kind.fills:
            step["fills"] = True
            step["image"] = f"image-{rng.randrange(9)}"
        steps.append(step)
        durations.append(work_ms)
    job = Job(f"{rng.getrandbits(64):016x}", kind.prefix, steps,
              spec=f"(text {rng.randrange(1000)})",
              max_attempts=kind.attempts, lasting=kind.lasting)
    return job, durations


class Connections:
    """A client's kept connections: each stays with its entry until one of
    the two closes it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.idle = []

    async def open(self):
        entry = self.fleet.pick_entry()
        reader, writer = await asyncio.open_connection(
            harness.HOST, entry.front)
        return entry, reader, writer

    async def call(self, method, path, body=None):
        """@return (entry's name, status, decoded body); status 0 without an
        answer."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
                "content-type: application/json\r\n"
                f"content-length: {len(data)}\r\n\r\n").encode()
        name, sent = "", now_ms()
        kept = bool(self.idle)
        connection = None
        try:
            connection = self.idle.pop() if kept else (
                await asyncio.wait_for(self.open(), DEADLINE_S))
            entry, reader, writer = connection
            name = entry.name
            sent = now_ms()
            writer.write(head + data)
            await writer.drain()
            message = await asyncio.wait_for(read_message(reader), DEADLINE_S)
            if message is None:
                raise ConnectionResetError("closed")
            first, headers, answer = message
            status = int(first[1])
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append(connection)
            return name, status, json.loads(answer) if answer else {}
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError) as error:
            if connection is not None:
                connection[2].close()
                if not isinstance(error, asyncio.TimeoutError):
                    self.fleet.channel_ended(name, sent)
            return name, 0, {"error": type(error).__name__}


class Client:
    """Hands jobs in, asks for their states and cancels some."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.judge = fleet.history
        self.record = fleet.record
        self.rng = rng
        self.connections = Connections(fleet)

    async def attempt(self, job):
        body = {"spec": job.spec, "steps": job.steps}
        job.in_flight += 1
        entry, status, answer = await self.connections.call(
            "POST", job.route + job.id, body)
        job.in_flight -= 1
        self.judge.submitted(job, status)
        self.record.add("submit", job=job.id, entry=entry, status=status,
                        answer=answer)
        return status

    async def submit(self, job):
        """@return true if the job was accepted."""
        for number in range(1 + RETRIES):
            status = await self.attempt(job)
            if 200 <= status < 300:
                return True
            if status not in (0, 502, 504):
                return False
            await asyncio.sleep(self.rng.uniform(0.1, 0.4) * (1 + number))
        return False

    async def ask(self, job):
        asked = self.judge.clock()
        entry, status, answer = await self.connections.call(
            "GET", job.route + job.id)
        state = answer.get("state", "") if status == 200 else ""
        if state != job.state or status != 200:
            self.record.add("state", job=job.id, entry=entry, status=status,
                            state=state)
        self.judge.shown(job, entry, status, state, asked)
        return status

    async def cancel(self, job):
        job.cancel_sent_ms = self.judge.clock()
        for _ in range(1 + RETRIES):
            entry, status, _ = await self.connections.call(
                "DELETE", job.route + job.id)
            self.record.add("cancel", job=job.id, entry=entry, status=status)
            if 200 <= status < 300:
                job.cancelled_ms = self.judge.clock()
                return
            if status == 410:
                return
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def resend(self, job):
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        await self.attempt(job)

    async def serve(self, job, cancel_after_s):
        """Takes a job from its submission to its end."""
        if not await self.submit(job):
            return
        if self.rng.random() < RESEND_SHARE:
            asyncio.ensure_future(self.resend(job))
        until = now_ms() + ASK_UNTIL_S * 1000
        cancel_at = now_ms() + (cancel_after_s or 2 * ASK_UNTIL_S) * 1000
        while now_ms() < until and self.fleet.traffic:
            await asyncio.sleep(self.rng.uniform(0.4, 1.6))
            if now_ms() > cancel_at and job.cancel_sent_ms is None:
                await self.cancel(job)
            await self.ask(job)
            if job.state in ("completed", "failed", "cancelled"):
                return


async def traffic(fleet, rng, site, seconds, rate):
    """Starts the jobs of the sheet at random times."""
    started = now_ms()
    clients = [Client(fleet, rng) for _ in range(34)]
    special = sorted(rng.uniform(0.1, 0.9) * seconds * 1000
                     for _ in range(SPECIAL_JOBS))
    total = sum(it.per_s for it in site.kinds) * rate
    serving = set()
    first = [it for it in site.kinds if it.lasting] * LASTING_AT_START
    while (now_ms() - started) < seconds * 1000:
        await asyncio.sleep(rng.expovariate(total))
        kind = first.pop() if first else rng.choices(
            site.kinds, [it.per_s for it in site.kinds])[0]
        job, durations = make_job(rng, kind)
        if special and now_ms() - started > special[0] and not kind.lasting:
            special.pop(0)
            if len(special) == 0:
                job.poison = True
            else:
                job.deadly_s = rng.choice([0.01, 0.3, 1.2, 1.9])
            fleet.record.add("special", job=job.id, poison=job.poison,
                             deadly_s=job.deadly_s)
        fleet.add_job(job, durations)
        cancel_after = None
        if kind.lasting:
            cancel_after = rng.choice([None, rng.uniform(6, 25)])
        elif rng.random() < CANCEL_SHARE:
            cancel_after = rng.uniform(0.1, 3)
        task = asyncio.ensure_future(
            rng.choice(clients).serve(job, cancel_after))
        serving.add(task)
        task.add_done_callback(serving.discard)
    fleet.traffic = False
