"""Measures the slopes behind docs/CAPACITY.md with small stand-ins.

Each series starts the real processes, varies one thing, lets it settle and
reads processor time, memory, bytes and table rows over a window. Raw figures
go to a CSV file; each series gets a linear fit with its largest residual.
"""

import argparse
import csv
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tests" / "system"))
from cluster import HOST, Cluster, Process, call  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / TICKS


def resident_mb(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE / 1e6


def gauges(port):
    text = call(port, "GET", "/metrics")[2].decode()
    out = {}
    for line in text.splitlines():
        if line.startswith('almondtally_state{name="'):
            name, value = line.split('"', 2)[1], line.rsplit(" ", 1)[1]
            out[name] = float(value)
    return out


class Window:
    """Rates of one process between two points in time."""

    def __init__(self, cluster, process, port):
        self.cluster, self.pid, self.port = cluster, process.child.pid, port
        self.start = self.read()

    def read(self):
        return (time.monotonic(), cpu_seconds(self.pid), gauges(self.port),
                self.cluster.table_stats())

    def rates(self):
        (t0, c0, g0, s0), (t1, c1, g1, s1) = self.start, self.read()
        span = t1 - t0
        traffic = sum(g1[k] - g0[k] for k in ("peer_bytes_in",
                                              "peer_bytes_out"))
        return {
            "cpu_percent": 100 * (c1 - c0) / span,
            "resident_mb": resident_mb(self.pid),
            "peer_bytes_s": traffic / span,
            "rows_written_s": (s1["rows_written"] - s0["rows_written"]) / span,
            "rows_read_s": (s1["rows_read"] - s0["rows_read"]) / span,
        }


def start_fleet(cluster, targets, port, cpu=30000):
    entries = ",".join(f"{HOST}:{p}" for p in cluster.entry_ports)
    fleet = Process("fleet", [str(cluster.bin / "fleet"), "--listen",
                              f"0.0.0.0:{port}", "--entries", entries,
                              "--targets", str(targets), "--cpu", str(cpu)],
                    cluster.folder)
    cluster.all.append(fleet)
    cluster.wait_until("fleet ready", lambda: all(
        sum(vm["ready"] for vm in cluster.admin("GET", "status", port=p)[1]
            ["vms"]) == targets for p in cluster.entry_ports), 60)
    return fleet


def entry_against_targets(build, folder, base, span):
    """An idle fleet: what hearing the targets costs an entry."""
    for targets in (100, 300, 600, 1100):
        cluster = Cluster(build, folder, base, entries=1, vms=0)
        try:
            cluster.wait_until("entry", lambda: call(
                cluster.entry_ports[0], "GET", "/readyz")[0] == 200)
            fleet = start_fleet(cluster, targets, base + 50)
            time.sleep(3)
            window = Window(cluster, cluster.entries[0],
                            cluster.entry_ports[0])
            time.sleep(span)
            yield targets, window.rates()
            fleet.kill()
        finally:
            cluster.stop()


def submit_steadily(cluster, rate, span, tasks_per_job, work_ms, teams=10):
    """Submits jobs for `span` seconds so that `rate` tasks start a second."""
    start, n = time.monotonic(), 0
    while time.monotonic() - start < span:
        due = int((time.monotonic() - start) * rate / tasks_per_job) + 1
        while n < due:
            cluster.admin("POST", "jobs", {
                "id": f"j-{n}-{int(start)}", "team": f"team-{n % teams}",
                "count": tasks_per_job, "work_ms": work_ms,
                "each": {"cpu": 100, "memory": 10}})
            n += 1
        time.sleep(0.02)


def entry_against_starts(build, folder, base, span):
    """A full-size fleet and jobs of 64 tasks that run for 10 s."""
    for rate in (50, 100, 200, 430):
        cluster = Cluster(build, folder, base, entries=1, vms=0)
        try:
            cluster.wait_until("entry", lambda: call(
                cluster.entry_ports[0], "GET", "/readyz")[0] == 200)
            for i in range(10):
                cluster.put_config(f"team/team-{i}", {
                    "quota": {"cpu": 10**8, "memory": 10**9}})
            fleet = start_fleet(cluster, 1100, base + 50)
            time.sleep(3)
            submit_steadily(cluster, rate, 15, 64, 10000)
            window = Window(cluster, cluster.entries[0],
                            cluster.entry_ports[0])
            stats = json.loads(call(base + 50, "GET", "/stats")[2])
            submit_steadily(cluster, rate, span, 64, 10000)
            rates = window.rates()
            after = json.loads(call(base + 50, "GET", "/stats")[2])
            rates["starts_s"] = (after["starts"] - stats["starts"]) / span
            rates["running"] = after["running"]
            rates["refused"] = after["refused"]
            yield rate, rates
            fleet.kill()
        finally:
            cluster.stop()


def target_against_entries(build, folder, base, span):
    """One real target process that announces itself to more entries."""
    for entries in (1, 2, 4, 6):
        cluster = Cluster(build, folder, base, entries=entries, vms=1)
        try:
            cluster.wait_ready()
            time.sleep(3)
            window = Window(cluster, cluster.targets[0], cluster.vm_port(0) + 2)
            time.sleep(span)
            yield entries, window.rates()
        finally:
            cluster.stop()


def target_against_runs(build, folder, base, span):
    """One real target process with more tasks running on its VM."""
    for runs in (0, 16, 32, 64):
        cluster = Cluster(build, folder, base, entries=2, vms=1)
        try:
            cluster.wait_ready()
            cluster.put_config("team/t", {
                "quota": {"cpu": 10**8, "memory": 10**9}})
            if runs:
                cluster.admin("POST", "jobs", {
                    "id": "long", "team": "t", "count": runs,
                    "work_ms": 600000, "each": {"cpu": 100, "memory": 10}})
                cluster.wait_until("runs", lambda: cluster.job_counts("long")
                                   .get("assigned") == runs)
            time.sleep(3)
            window = Window(cluster, cluster.targets[0], cluster.vm_port(0) + 2)
            time.sleep(span)
            yield runs, window.rates()
        finally:
            cluster.stop()


def target_against_ends(build, folder, base, span):
    """One real target process, 6 entries, and tasks that end; x is in ends
    a second."""
    for rate in (0, 0.2, 0.4, 0.8):
        cluster = Cluster(build, folder, base, entries=6, vms=1)
        try:
            cluster.wait_ready()
            cluster.put_config("team/team-0", {
                "quota": {"cpu": 10**8, "memory": 10**9}})
            time.sleep(5)
            window = Window(cluster, cluster.targets[0], cluster.vm_port(0) + 2)
            if rate:
                submit_steadily(cluster, rate, 2 * span, 1, 1000, teams=1)
            else:
                time.sleep(2 * span)
            yield rate, window.rates()
        finally:
            cluster.stop()


SERIES = {
    "entry_against_targets": entry_against_targets,
    "entry_against_starts": entry_against_starts,
    "target_against_entries": target_against_entries,
    "target_against_runs": target_against_runs,
    "target_against_ends": target_against_ends,
}


def fit(points):
    """Least squares: slope, intercept, largest residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, residual


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--out", required=True, help="folder for CSV files")
    parser.add_argument("--series", nargs="*", default=list(SERIES))
    parser.add_argument("--span", type=float, default=10)
    parser.add_argument("--base-port", type=int, default=20000)
    options = parser.parse_args()
    out = pathlib.Path(options.out)
    out.mkdir(parents=True, exist_ok=True)
    for name in options.series:
        folder = tempfile.mkdtemp(prefix="almondtally-capacity-")
        rows = list(SERIES[name](options.build, folder, options.base_port,
                                 options.span))
        with open(out / f"{name}.csv", "w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(["x", *rows[0][1]])
            for x, rates in rows:
                writer.writerow([x, *(f"{v:.3f}" for v in rates.values())])
        print(f"{name}:")
        for x, rates in rows:
            print(f"  {x}: " + "  ".join(
                f"{k} {v:.2f}" for k, v in rates.items()))
        for key in rows[0][1]:
            slope, intercept, residual = fit([(x, r[key]) for x, r in rows])
            print(f"  {key}: {intercept:.3f} + {slope:.5f} x "
                  f"(largest residual {residual:.3f})")


if __name__ == "__main__":
    main()
