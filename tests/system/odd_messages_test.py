"""Messages and rows of another writer end no process, and the others hold."""

import argparse
import pathlib
import re
import shutil
import sys
import tempfile
import time

from cluster import HOST, Process, call, free_base
from store_stub import Store, serve

BASE_PORT = 26_000
DEEP_BYTES = 1_000_000
ROW_BYTES = 49_152
START_LIMIT_S = 20
SERVICE = "pool"
ODD_ROWS = {
    "array": b"\x81" * ROW_BYTES,
    "endless-array": b"\x9f" * ROW_BYTES,
    "maps": b"\xa1\x61k" * (ROW_BYTES // 3),
    "huge-array": b"\x9b" + b"\xff" * 8,
    "huge-number": b"\xa1\x67address\x1b" + b"\xff" * 8,
    "port": b"\xa1\x67address\x6f127.0.0.1:70000",
    "text": b"not a row",
    "empty": b"",
    "": b"\xa1\x67address\x6b127.0.0.1:9",
}
ODD_BODIES = [
    b"\x81" * DEEP_BYTES, b"\x9f" * DEEP_BYTES,
    b"\xa1\x61k" * (DEEP_BYTES // 3), b"\x9b" + b"\xff" * 8, b"\xff\xfe", b"",
]


def odd_heartbeats(worker):
    fields = (f'"backend":"{SERVICE}","address":"{worker}","state":"ready",'
              '"capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1"]')
    nested = "[" * 100_000 + "]" * 100_000
    return ([body for body in ODD_BODIES] +
            [("{" + fields + extra + "}").encode() for extra in (
                ',"born":1e300', ',"born":18446744073709551615',
                ',"born":"x"', ',"born":1000,"more":' + nested)] +
            [b'{"backend":' + b"[" * DEEP_BYTES])


class Test:
    def __init__(self, bin_folder, folder):
        self.store = Store()
        for key, value in ODD_ROWS.items():
            self.store.put("agents", "shard-0", key, value)
        self.store.put("head", "shard-0", "a", ODD_ROWS["array"])
        self.base_port = free_base(BASE_PORT)
        self.ports = {}
        self.store_port = serve(self.store)
        self.entry = Process("entry", [
            str(bin_folder / "almondtally"), "schedule", "--id", "e",
            "--data-centre", "a", "--listen", self.address("front"),
            "--ready", self.address("ready"), "--peer", self.address("peer"),
            "--metrics", self.address("metrics"),
            "--store", f"{HOST}:{self.store_port}"], folder)
        self.agent = Process("agent", [
            str(bin_folder / "almondtally-target"), "agent", "--vm", "vm",
            "--data-centre", "a", "--listen", self.address("control"),
            "--peer", self.address("agent-peer"),
            "--metrics", self.address("agent-metrics"),
            "--worker", self.address("worker"), "--service", SERVICE,
            "--store", f"{HOST}:{self.store_port}"], folder)
        self.failures = []

    def port(self, name):
        return self.ports.setdefault(name, self.base_port + len(self.ports))

    def address(self, name):
        return f"{HOST}:{self.port(name)}"

    def check(self, condition, text):
        if not condition:
            self.failures.append(text)

    def wait_until(self, condition, text):
        deadline = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        self.failures.append(text)

    def gauge(self, name):
        _, _, body = call(self.port("metrics"), "GET", "/metrics")
        found = re.search(r'almondtally_state\{name="%s"\} (\S+)' % name,
                          body.decode())
        return float(found.group(1)) if found else None

    def send(self, process, port, path, body):
        """An odd message is answered with a client error."""
        what = f"{path} with {body[:12]!r}, {len(body)} bytes"
        try:
            status, _, _ = call(self.port(port), "POST", path, body)
            self.check(400 <= status < 500, f"{what}: status {status}")
        except OSError as error:
            self.failures.append(f"{what}: {error!r}")
        self.check(process.alive(), f"{what} ended the {process.name}")

    def run(self):
        self.wait_until(lambda: self.gauge("planning") == 1, "no planner")
        self.check(self.gauge("vms") == 0, "an odd row is taken for a VM")
        # The agent lists itself once it has a worker.
        body = (f'{{"backend":"{SERVICE}","address":"{self.address("worker")}",'
                '"state":"ready","capacity":{"cpu":16000,"memMb":32768}}')
        self.wait_until(
            lambda: call(self.port("control"), "POST",
                         "/Instances.Heartbeat/w", body.encode())[0] == 200,
            "no heartbeat accepted")
        self.wait_until(lambda: self.gauge("vms") == 1, "the VM isn't listed")
        for key, value in ODD_ROWS.items():
            self.store.put("agents", "shard-0", "later-" + key, value)
        for body in ODD_BODIES:
            self.send(self.entry, "peer", "/sched/job", body)
            self.send(self.entry, "peer", "/sched/take-over", body)
            self.send(self.agent, "agent-peer", "/sched/sync", body)
        for body in odd_heartbeats(self.address("worker")):
            self.send(self.agent, "control", "/Instances.Heartbeat/w", body)
        for process in (self.entry, self.agent):
            self.check(process.alive(), f"the {process.name} ended")
        # Of the later rows only the last one, with a readable address and a key,
        # is a further VM.
        self.wait_until(lambda: self.gauge("vms") >= 2, "a row isn't followed")
        if self.entry.alive():
            self.check(self.gauge("planning") == 1, "no planner any more")
            self.check(self.gauge("vms") == 2, "an odd row is taken for a VM")

    def stop(self):
        for process in (self.entry, self.agent):
            process.kill()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True, help="CMake build folder")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="almondtally-odd-"))
    test = Test(pathlib.Path(args.build) / "bin", folder)
    try:
        test.run()
    finally:
        test.stop()
    for failure in test.failures:
        print("failed:", failure)
    if test.failures:
        print("logs in", folder)
        return 1
    shutil.rmtree(folder)
    print("odd messages and rows: all held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
