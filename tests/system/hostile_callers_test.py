"""Callers outside the limits, and many large requests at once, end no process,
and an ordinary request is answered meanwhile and afterwards.

Each case starts one process with small limits and plays one crowd against one
of its listeners. Checked are that the process lives, its peak of memory with
the bytes that the kernel holds for it, its descriptors, and the ordinary
request; no times and no shares."""

import argparse
import json
import pathlib
import re
import selectors
import shutil
import socket
import struct
import sys
import tempfile
import time

from cluster import HOST, Process, call, free_base
from store_stub import Store, serve

BASE_PORT = 27_000
START_LIMIT_S = 20
# A crowd that has not come to rest by then is taken as it is.
CROWD_LIMIT_S = 20
# A crowd is at rest after this time without any byte sent or received.
REST_S = 1.0
PIECE_BYTES = 10_000
READ_BYTES = 65_536

MEMORY_MB = 64
MAX_FDS = 600
QUEUE_HOST = "queue.example"
PREFIX = "/queue/"
SERVICE = "pool"
CONFIG = {
    "version": 7, "limits": {}, "backends": [
        {"name": SERVICE, "healthPath": "/health", "maxConns": 64,
         "admissionCheck": False, "spare": False}],
    "routes": [{"name": "r-queue", "host": QUEUE_HOST, "pathPrefix": PREFIX,
                "type": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
                "priority": 0, "backend": SERVICE, "maxAttempts": 4,
                "stretch": 2.0}]}
JOB = (b'{"spec":"s","steps":[{"count":1,"cpu":500,"memMb":64,'
       b'"estimateMs":100}]}')


# What one caller sends, as pieces; the caller then stays open.

def head(path, *lines):
    return "\r\n".join([f"POST {path} HTTP/1.1", f"Host: {QUEUE_HOST}",
                        *lines, "", ""]).encode()


def pieces(data):
    return [data[at:at + PIECE_BYTES]
            for at in range(0, len(data), PIECE_BYTES)]


def whole(path, announced, sent):
    return [head(path, f"Content-Length: {announced}") + b"x" * sent]


def piecewise(path, announced, sent):
    return [head(path, f"Content-Length: {announced}"),
            *pieces(b"x" * sent)]


def chunks(path, sent):
    chunk = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
    return ([head(path, "Transfer-Encoding: chunked")] +
            [chunk] * (sent // PIECE_BYTES))


def complete(path, body):
    return [head(path, f"Content-Length: {len(body)}") + body]


def tiny_steps(size):
    steps = b",".join([b"{}"] * ((size - 20) // 3))
    return b'{"steps":[' + steps + b"]}"


def large_job(size):
    return b'{"spec":"' + b"s" * (size - 40) + b'","steps":[{"count":1}]}'


def endless_head(path, sent):
    line = b"X-Filler: " + b"x" * 1000 + b"\r\n"
    return [f"GET {path} HTTP/1.1\r\nHost: a\r\n".encode(),
            *pieces(line * (sent // len(line)))]


def unread(path, count):
    return [f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode() * count]


def frame(kind, flags, stream, payload):
    return (struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) +
            struct.pack(">I", stream) + payload)


def http2_streams(path, streams, sent):
    """Requests with bodies on the streams of one HTTP/2 connection, each short
    of its end. The reader grants what the flow control of the server allows by
    then (see Caller.grant)."""
    out = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, b"")]
    text = path.encode()
    block = (b"\x83\x86" + b"\x04" + bytes([len(text)]) + text +
             b"\x01\x01a")
    for number in range(streams):
        out.append(frame(1, 4, 2 * number + 1, block))
    for _ in range(sent // PIECE_BYTES):
        for number in range(streams):
            out.append(frame(0, 0, 2 * number + 1, b"x" * PIECE_BYTES))
    return out


class Caller:
    """Sends its pieces as far as the server takes them, and stays open."""

    def __init__(self, port, to_send, reads=True, http2=False):
        self.pieces = list(to_send)
        self.reads = reads
        self.windows = {0: 65_535} if http2 else None
        self.initial_window = 65_535
        self.received = b""
        self.closed = False
        self.sock = socket.socket()
        self.sock.setblocking(False)
        try:
            self.sock.connect((HOST, port))
        except BlockingIOError:
            pass

    def fileno(self):
        return self.sock.fileno()

    def close(self):
        self.closed = True
        self.sock.close()

    def wants_to_send(self):
        return bool(self.pieces) and self.may_send()

    def may_send(self):
        piece = self.pieces[0]
        if self.windows is None or piece[3] != 0:
            return True
        stream = struct.unpack(">I", piece[5:9])[0]
        size = len(piece) - 9
        return size <= self.windows[0] and size <= self.windows.get(
            stream, self.initial_window)

    def account(self, piece):
        if self.windows is None or len(piece) < 9 or piece[3] != 0:
            return
        stream = struct.unpack(">I", piece[5:9])[0]
        for key in (0, stream):
            self.windows[key] = self.windows.get(
                key, self.initial_window) - (len(piece) - 9)

    def send(self):
        """@return true if anything was sent."""
        try:
            n = self.sock.send(self.pieces[0])
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return True
        piece = self.pieces[0]
        if n < len(piece):
            # The rest of a frame is due whatever the windows are.
            self.pieces[0] = Rest(piece[n:]) if self.windows else piece[n:]
            if not isinstance(piece, Rest):
                self.account(piece)
        else:
            self.pieces.pop(0)
            if not isinstance(piece, Rest):
                self.account(piece)
        return True

    def receive(self):
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            return self.close()
        self.received += data
        if self.windows is not None:
            self.grant()

    def grant(self):
        while len(self.received) >= 9:
            size = int.from_bytes(self.received[:3], "big")
            if len(self.received) < 9 + size:
                return
            kind, flags = self.received[3], self.received[4]
            stream = int.from_bytes(self.received[5:9], "big")
            payload = self.received[9:9 + size]
            self.received = self.received[9 + size:]
            if kind == 8:
                self.windows[stream] = self.windows.get(
                    stream, self.initial_window) + int.from_bytes(
                        payload, "big")
            elif kind == 4 and not flags & 1:
                for at in range(0, size, 6):
                    if payload[at:at + 2] == b"\x00\x04":
                        self.initial_window = int.from_bytes(
                            payload[at + 2:at + 6], "big")
                self.pieces.insert(0, Rest(frame(4, 1, 0, b"")))


class Rest(bytes):
    """Bytes that no flow control holds back."""

    def __getitem__(self, key):
        if key == 3:
            return 1
        return bytes.__getitem__(self, key)


class Crowd:
    """All callers of a case, played from one thread until they rest."""

    def __init__(self, callers, watch):
        self.callers = callers
        self.watch = watch

    def play(self):
        selector = selectors.DefaultSelector()
        for it in self.callers:
            selector.register(it, selectors.EVENT_WRITE, it)
        until = time.monotonic() + CROWD_LIMIT_S
        moved = time.monotonic()
        while time.monotonic() < until and time.monotonic() - moved < REST_S:
            for key, events in selector.select(0.1):
                it = key.data
                if events & selectors.EVENT_READ:
                    moved = time.monotonic()
                    it.receive()
                if not it.closed and events & selectors.EVENT_WRITE and (
                        it.wants_to_send()) and it.send():
                    moved = time.monotonic()
                if it.closed:
                    selector.unregister(key.fd)
            for it in self.callers:
                if it.closed:
                    continue
                events = (selectors.EVENT_WRITE if it.wants_to_send() else 0
                          ) | (selectors.EVENT_READ if it.reads else 0)
                if not events:
                    if it.fileno() in selector.get_map():
                        selector.unregister(it)
                elif it.fileno() not in selector.get_map():
                    selector.register(it, events, it)
                else:
                    selector.modify(it, events, it)
            self.watch()

    def leave(self):
        for it in self.callers:
            if not it.closed:
                it.close()


class Program:
    """One process of the product with its limits."""

    def __init__(self, bin_folder, folder, name, ports):
        self.ports = ports
        self.store = Store()
        self.store.put("op", "", "config", json.dumps(CONFIG).encode())
        store = f"{HOST}:{serve(self.store)}"
        address = {key: f"{HOST}:{port}" for key, port in ports.items()}
        if name == "entry":
            command = [str(bin_folder / "almondtally"), "schedule", "--id",
                       "e", "--data-centre", "a", "--listen",
                       address["front"], "--ready", address["ready"]]
        else:
            command = [str(bin_folder / "almondtally-target"), "agent",
                       "--vm", "vm", "--data-centre", "a", "--listen",
                       address["control"], "--worker", address["worker"],
                       "--service", SERVICE]
        command += ["--peer", address["peer"], "--metrics",
                    address["metrics"], "--store", store]
        self.process = Process(name, [*command, *self.limits(command)], folder)
        self.peak_bytes = 0
        self.most_fds = 0

    @staticmethod
    def limits(command):
        """The flags that lower the limits, of those that the program has."""
        helped = Process("help", [*command[:2], "--help"],
                         pathlib.Path(tempfile.mkdtemp()))
        helped.child.wait()
        text = helped.log_path.read_text()
        shutil.rmtree(helped.log_path.parent)
        out = []
        for flag, value in (("--memory-mb", MEMORY_MB), ("--max-fds", MAX_FDS)):
            if flag in text:
                out += [flag, str(value)]
        return out

    def watch(self):
        """Notes the memory and the descriptors of this moment."""
        if not self.process.alive():
            return
        pid = self.process.child.pid
        try:
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
            self.most_fds = max(self.most_fds, len(list(
                pathlib.Path(f"/proc/{pid}/fd").iterdir())))
        except OSError:
            return
        peak = re.search(r"VmHWM:\s+(\d+) kB", status)
        if peak:
            self.peak_bytes = max(self.peak_bytes, int(peak.group(1)) * 1024 +
                                  self.unread_bytes())

    def unread_bytes(self):
        """@return the bytes that the kernel has received on the process's
        ports and the process has not read."""
        ports = {f"{port:04X}" for port in self.ports.values()}
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == "01" and fields[1].split(":")[1] in ports:
                total += int(fields[4].split(":")[1], 16)
        return total


# name -> (process, listener, callers, builder of a caller's pieces, reads,
# HTTP/2). The crowds are small: a bound of 64 MB stands for a machine's.
JOB_PATH = PREFIX + "%016x"
CASES = {
    "held": ("entry", "front", 100,
             lambda n: whole(JOB_PATH % n, 1_000_000, 999_000)),
    "held-piecewise": ("entry", "front", 100,
                       lambda n: piecewise(JOB_PATH % n, 1_000_000, 999_000)),
    "held-chunks": ("entry", "front", 100,
                    lambda n: chunks(JOB_PATH % n, 990_000)),
    "held-legal": ("entry", "front", 400,
                   lambda n: whole(JOB_PATH % n, 262_144, 261_000)),
    "oversized": ("entry", "front", 60,
                  lambda n: whole(JOB_PATH % n, 1 << 30, 4_000_000)),
    "oversized-chunks": ("entry", "front", 60,
                         lambda n: chunks(JOB_PATH % n, 4_000_000)),
    "tiny-steps": ("entry", "front", 20,
                   lambda n: complete(JOB_PATH % n, tiny_steps(1_000_000))),
    "large-jobs": ("entry", "front", 300,
                   lambda n: complete(JOB_PATH % n, large_job(262_144))),
    "endless-heads": ("entry", "front", 300,
                      lambda n: endless_head(PREFIX, 260_000)),
    "unread": ("entry", "metrics", 40, lambda n: unread("/metrics", 400),
               False),
    "idle": ("entry", "front", 700, lambda n: []),
    "ready-held": ("entry", "ready", 100,
                   lambda n: whole("/ready", 1_000_000, 999_000)),
    "metrics-held": ("entry", "metrics", 100,
                     lambda n: whole("/metrics", 1_000_000, 999_000)),
    "peer-held": ("entry", "peer", 100,
                  lambda n: whole("/sched/job", 1_000_000, 999_000)),
    "peer-streams": ("entry", "peer", 1,
                     lambda n: http2_streams("/sched/job", 100, 900_000),
                     True, True),
    "peer-connections": ("entry", "peer", 40,
                         lambda n: http2_streams("/sched/job", 4, 900_000),
                         True, True),
    "front-streams": ("entry", "front", 1,
                      lambda n: http2_streams(PREFIX, 100, 900_000),
                      True, True),
    "agent-control-held": ("agent", "control", 100, lambda n: whole(
        "/Instances.Heartbeat/w", 1_000_000, 999_000)),
    "agent-peer-held": ("agent", "peer", 100,
                        lambda n: whole("/sched/sync", 1_000_000, 999_000)),
    "agent-idle": ("agent", "control", 700, lambda n: []),
}


class Test:
    def __init__(self, bin_folder, folder, case):
        (self.name, self.listener, self.count, self.build, self.reads,
         self.http2) = (*CASES[case], True, False)[:6]
        base = free_base(BASE_PORT)
        names = ("front", "ready", "control", "peer", "metrics", "worker")
        self.ports = {name: base + i for i, name in enumerate(names)}
        self.program = Program(bin_folder, folder, self.name, self.ports)
        self.failures = []

    def check(self, condition, text):
        if not condition:
            self.failures.append(text)

    def ordinary(self, number):
        """One ordinary request on the case's listener.
        @return its status."""
        port = self.ports[self.listener]
        if self.listener == "front":
            return call(port, "POST", JOB_PATH % (0xa0000 + number), JOB,
                        {"Host": QUEUE_HOST, "X-Deadline-Ms": "3000"})[0]
        if self.listener == "control":
            body = json.dumps({
                "backend": SERVICE, "state": "ready",
                "address": f"{HOST}:{self.ports['worker']}",
                "capacity": {"cpu": 16000, "memMb": 32768}})
            return call(port, "POST", "/Instances.Heartbeat/w", body)[0]
        if self.listener == "peer":
            # Understood and found to be no message.
            status = call(port, "POST", "/sched/job", b"\xff")[0]
            return 200 if status == 400 else status
        return call(port, "GET", "/" + self.listener)[0]

    def answered(self, number):
        try:
            return self.ordinary(number) == 200
        except OSError:
            return False

    def wait_ready(self):
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            if self.answered(0):
                return True
            time.sleep(0.1)
        return False

    def run(self):
        if not self.wait_ready():
            self.failures.append("the process is not ready")
            return
        crowd = Crowd([Caller(self.ports[self.listener], self.build(n),
                              self.reads, self.http2)
                       for n in range(1, self.count + 1)], self.program.watch)
        crowd.play()
        self.program.watch()
        self.check(self.answered(1),
                   "no answer to an ordinary request beside the crowd")
        closed = sum(it.closed for it in crowd.callers)
        crowd.leave()
        self.program.watch()
        self.check(self.answered(2),
                   "no answer to an ordinary request after the crowd")
        self.check(self.program.process.alive(), "the process ended")
        self.program.watch()
        peak_mb = self.program.peak_bytes / (1 << 20)
        self.check(peak_mb <= MEMORY_MB,
                   f"memory {peak_mb:.0f} MB, allowed {MEMORY_MB}")
        self.check(self.program.most_fds <= MAX_FDS,
                   f"{self.program.most_fds} descriptors, allowed {MAX_FDS}")
        print(f"peak {peak_mb:.0f} MB, {self.program.most_fds} descriptors, "
              f"{closed} of {len(crowd.callers)} callers closed")

    def stop(self):
        self.program.process.kill()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True, help="CMake build folder")
    parser.add_argument("--case", required=True, choices=sorted(CASES))
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="almondtally-callers-"))
    test = Test(pathlib.Path(args.build) / "bin", folder, args.case)
    try:
        test.run()
    finally:
        test.stop()
    for failure in test.failures:
        print(f"failed: {args.case}:", failure)
    if test.failures:
        print("logs in", folder)
        return 1
    shutil.rmtree(folder)
    print(f"{args.case}: held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
