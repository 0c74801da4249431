"""Starts the stand-ins and the two binaries as processes on loopback."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import time

HOST = "127.0.0.1"


class Process:
    """One process of the cluster with its log."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = folder / f"{name}.log"
        self.child = None
        self.start()

    def start(self):
        self.expected_to_run = True
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            self.command, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL)
        log.close()

    def kill(self):
        self.expected_to_run = self.child.poll() is not None and (
            self.expected_to_run)
        self.child.kill()
        self.child.wait()

    def terminate(self, timeout=60):
        self.expected_to_run = False
        self.child.terminate()
        return self.child.wait(timeout)

    def pause(self):
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.child.send_signal(signal.SIGCONT)

    def crashed(self):
        """True if it ended although nobody ended it."""
        return self.expected_to_run and not self.alive()

    def alive(self):
        return self.child.poll() is None


def call(port, method, path, body=None, headers=None, timeout=20):
    """One HTTP call; returns (status, headers, body) or raises OSError."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        data = answer.read()
        lower = {k.lower(): v for k, v in answer.getheaders()}
        return answer.status, lower, data
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def free_base(base, span=200, most=30000):
    """The first base port from `base` on that nothing listens on."""
    while base < most:
        try:
            for port in (base, base + 1, base + 100, base + 102):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((HOST, port))
            return base
        except OSError:
            base += span
    raise OSError("no free ports")


class Cluster:
    """Entries, targets, workers and the platform stand-in."""

    def __init__(self, build, folder, base_port, entries=2, vms=3,
                 centres=("catania", "messina", "siracusa"), cpu=30000,
                 memory=125000, slots=8, quiet=True):
        self.bin = pathlib.Path(build) / "bin"
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in [*self.folder.glob("*.log"), *self.folder.glob("*.jsonl")]:
            old.unlink()
        base_port = free_base(base_port)
        self.base = base_port
        self.centres = centres
        self.cpu, self.memory, self.slots = cpu, memory, slots
        self.quiet = "true" if quiet else "false"
        self.platform_port = base_port
        self.entry_ports = [base_port + 1 + i for i in range(entries)]
        self.entries, self.targets, self.workers = [], [], []
        self.all = []
        self.platform = self.spawn(
            "platform", "platform_fake", listen=self.platform_port)
        for i in range(entries):
            self.entries.append(self.spawn_entry(i))
        for i in range(vms):
            self.workers.append(self.spawn_worker(i))
            self.targets.append(self.spawn_target(i))

    def spawn(self, name, program, listen, subcommand=(), **flags):
        command = [str(self.bin / program), *subcommand,
                   "--listen", f"{HOST}:{listen}"]
        for key, value in flags.items():
            command += ["--" + key.replace("_", "-"), str(value)]
        self.all.append(Process(name, command, self.folder))
        return self.all[-1]

    def spawn_entry(self, i):
        return self.spawn(
            f"entry-{i}", "almondtally", self.entry_ports[i], ("serve",),
            id=f"entry-{i}", data_centre=self.centres[i % len(self.centres)],
            platform=f"{HOST}:{self.platform_port}", quiet=self.quiet)

    def vm_port(self, i):
        return self.base + 100 + 3 * i

    def vm_name(self, i):
        return f"vm-{i:03d}"

    def spawn_worker(self, i):
        return self.spawn(
            f"worker-{i}", "worker_fake", self.vm_port(i),
            executor=f"{HOST}:{self.vm_port(i) + 1}",
            platform=f"{HOST}:{self.platform_port}", vm=self.vm_name(i),
            cpu=self.cpu, memory=self.memory, slots=self.slots,
            history=self.folder / f"history-{i}.jsonl")

    def spawn_target(self, i):
        seeds = ",".join(f"{HOST}:{p}" for p in self.entry_ports)
        return self.spawn(
            f"target-{i}", "almondtally-target", self.vm_port(i) + 2,
            vm=self.vm_name(i),
            data_centre=self.centres[i % len(self.centres)],
            rack=f"rack-{i // 3}", worker=f"{HOST}:{self.vm_port(i)}",
            entries=seeds, quiet=self.quiet)

    def live_entry_ports(self):
        return [p for p, e in zip(self.entry_ports, self.entries) if e.alive()]

    def admin(self, method, path, body=None, port=None):
        """Calls the admin interface of a live entry; returns (status, json)."""
        text = json.dumps(body) if body is not None else None
        ports = [port] if port else self.live_entry_ports()
        status, _, data = call(ports[0], method, "/admin/v1/" + path, text)
        return status, json.loads(data or b"null")

    def put_config(self, name, value):
        status, body = self.admin("PUT", "config/" + name, {"value": value})
        assert status == 200, (name, status, body)
        return body["version"]

    def fault(self, fault="none", delay_ms=0):
        body = json.dumps({"fault": fault, "delay_ms": delay_ms})
        call(self.platform_port, "POST", "/control", body)

    def table_stats(self):
        return json.loads(call(self.platform_port, "GET", "/stats")[2])

    def rows(self, prefix):
        _, _, data = call(self.platform_port, "POST", "/v1/table/scan",
                          json.dumps({"prefix": prefix}))
        return {r["key"]: r["value"] for r in json.loads(data)["rows"]}

    def wait_until(self, what, predicate, timeout=60):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                if predicate():
                    return
            except (OSError, json.JSONDecodeError):
                pass
            time.sleep(0.1)
        raise TimeoutError(f"waited {timeout} s for: {what}")

    def wait_ready(self, timeout=60):
        def ready():
            for port in self.live_entry_ports():
                if call(port, "GET", "/readyz")[0] != 200:
                    return False
                _, status = self.admin("GET", "status", port=port)
                up = [vm for vm in status["vms"] if vm["ready"]]
                if len(up) < len(self.targets):
                    return False
            return True
        self.wait_until("entries and targets ready", ready, timeout)

    def job_counts(self, job):
        status, body = self.admin("GET", "jobs/" + job)
        return body["tasks"] if status == 200 else {}

    def history(self):
        events = []
        for path in sorted(self.folder.glob("history-*.jsonl")):
            for line in path.read_text().splitlines():
                try:
                    events.append(json.loads(line))
                except json.JSONDecodeError:
                    pass  # the last line of a killed worker may be cut
        return events

    def states(self):
        """What each process is doing, for a round that is stuck."""
        out = []
        for process in self.all:
            if not process.alive():
                continue
            pid = process.child.pid
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
            stat = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
            state = status.split("State:")[1].split("\n")[0].strip()
            out.append(f"{process.name} {state} ticks {stat[13]}")
        return out

    def crashes(self):
        return [f"{p.name} ended with {p.child.returncode}"
                for p in self.all if p.crashed()]

    def stop(self):
        for process in [*self.targets, *self.workers, *self.entries,
                        self.platform]:
            if process.alive():
                process.resume()
                process.kill()
