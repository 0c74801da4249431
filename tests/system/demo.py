"""Shows the whole system at work and judges it by its history.

Starts the stand-ins, entries and targets, serves requests and runs batch
jobs, kills an entry and a target meanwhile, and prints what was served,
placed, evicted and resumed. Exits 0 only if nothing was lost or doubled.
"""

import argparse
import collections
import shutil
import sys
import tempfile
import time

from callers import Callers
from cluster import Cluster, call
from history import check_history, check_requests

TEAM = {"quota": {"cpu": 300000, "memory": 900000}, "may_submit_urgent": True}
SERVICE = {"team": "legnami", "executors": 3, "slots": 8, "queue": 16,
           "each": {"cpu": 4000, "memory": 8000}, "deadline_ms": 5000}


def submit(cluster, name, count, work_ms, cpu, urgent=False):
    status, body = cluster.admin("POST", "jobs", {
        "id": name, "team": "legnami", "count": count, "work_ms": work_ms,
        "urgent": urgent, "each": {"cpu": cpu, "memory": 1000}})
    assert status == 202, body


def all_done(cluster, jobs):
    for name, count in jobs.items():
        if cluster.job_counts(name).get("done", 0) != count:
            return False
    return True


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--keep", help="folder for logs and histories")
    options = parser.parse_args()
    folder = options.keep or tempfile.mkdtemp(prefix="almondtally-demo-")
    started = time.monotonic()

    def say(text):
        print(f"[{time.monotonic() - started:5.1f} s] {text}", flush=True)

    cluster = Cluster(options.build, folder, options.base_port, entries=3,
                      vms=5, quiet=False)
    try:
        cluster.wait_until("entries", lambda: all(
            call(p, "GET", "/readyz")[0] == 200 for p in cluster.entry_ports))
        cluster.put_config("team/legnami", TEAM)
        cluster.put_config("service/sorteggio", SERVICE)
        cluster.wait_ready()
        cluster.wait_until("service", lambda: call(
            cluster.entry_ports[0], "GET", "/svc/sorteggio/x")[0] == 200)
        say("3 entries, 5 VMs and the service sorteggio are up")

        callers = [Callers(cluster, f"c{i}", i) for i in range(4)]
        for caller in callers:
            caller.start()
        jobs = {"drift-tests": 50, "parcels": 100, "late-entries": 4}
        submit(cluster, "drift-tests", 50, 15000, 2000)
        submit(cluster, "parcels", 100, 1000, 1000)
        submit(cluster, "late-entries", 4, 500, 1000, urgent=True)
        say("three jobs with 154 tasks submitted, four callers registering")
        time.sleep(3)
        cluster.entries[0].kill()
        say("killed entry-0")
        time.sleep(2)
        busiest = cluster.targets[1]
        busiest.kill()
        say("killed the target process of vm-001; its worker goes on")
        time.sleep(3)
        cluster.targets[1] = cluster.spawn_target(1)
        cluster.entries[0] = cluster.spawn_entry(0)
        say("started both again")
        cluster.workers[3].kill()
        cluster.targets[3].kill()
        say("lost vm-003 for good")
        time.sleep(1)
        cluster.admin("PUT", "config/vm/vm-002",
                      {"value": {"draining": True}})
        say("draining vm-002: its tasks are checkpointed and move")
        cluster.wait_until("all jobs done",
                           lambda: all_done(cluster, jobs), 120)
        say("all jobs are done")
        for caller in callers:
            caller.finish()
        code = cluster.targets[2].terminate()
        say(f"drained vm-002 by SIGTERM: exit code {code}")

        done = {name: cluster.job_counts(name) for name in jobs}
        report = check_history(cluster.history())
        stats = cluster.table_stats()
        crashes = cluster.crashes()
    finally:
        cluster.stop()

    results = sum((c.results for c in callers), collections.Counter())
    told = {k: v for c in callers for k, v in c.told.items()}
    wrong = [w for c in callers for w in c.wrong]
    broken = check_requests(report, told)
    print("\nsummary")
    print(f"  requests: {dict(results)}")
    print(f"  registrations run: {len(report.registrations)}, "
          f"wrong answers: {len(wrong)}, broken promises: {broken or 'none'}")
    print(f"  tasks: {done}")
    print(f"  runs on workers: {report.runs}, of these resumed: "
          f"{report.resumed}, from a checkpoint: {report.from_checkpoint}")
    print(f"  run in two places at once: {len(report.overlaps)}, "
          f"VMs over-committed: {len(report.overcommitted)}")
    print(f"  table: {stats}")
    bad = (broken or wrong or report.overlaps or report.overcommitted or
           crashes or code != 0)
    if not options.keep:
        shutil.rmtree(folder, ignore_errors=True)
    for line in [*report.describe(), *crashes]:
        print(line)
    print("demo: " + ("FAILED" if bad else "all invariants held"))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
