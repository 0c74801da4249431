"""Rounds of random faults against the real processes, judged by history.

Each round has a seed that decides the faults; processes are killed, frozen
and resumed, the table goes down, slow, silent or loses answers, VMs are lost.
The verdict is the invariants', never a time's.
"""

import argparse
import collections
import concurrent.futures
import random
import shutil
import sys
import tempfile
import time
import traceback

from callers import Callers
from cluster import Cluster, call
from history import check_history, check_requests

TEAM = {"quota": {"cpu": 300000, "memory": 900000}, "may_submit_urgent": True}
SERVICE = {"team": "legnami", "executors": 3, "slots": 8, "queue": 16,
           "each": {"cpu": 4000, "memory": 8000}, "deadline_ms": 4000}
ENTRIES, VMS = 2, 3


class Faults:
    """Draws faults and mends them all at the end."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.log = []

    def act(self):
        kind = self.random.choice([
            "kill-entry", "kill-target", "freeze-entry", "freeze-target",
            "freeze-worker", "lose-vm", "table", "restart", "thaw",
            "operator-race"])
        self.log.append(kind)
        getattr(self, kind.replace("-", "_"))()

    def pick(self, processes):
        return self.random.choice(processes)

    def kill_entry(self):
        self.pick(self.cluster.entries).kill()

    def kill_target(self):
        self.pick(self.cluster.targets).kill()

    def freeze_entry(self):
        self.pick(self.cluster.entries).pause()

    def freeze_target(self):
        self.pick(self.cluster.targets).pause()

    def freeze_worker(self):
        self.pick(self.cluster.workers).pause()

    def lose_vm(self):
        i = self.random.randrange(VMS)
        self.cluster.workers[i].kill()
        self.cluster.targets[i].kill()

    def table(self):
        fault = self.random.choice(["down", "hang", "lose-answers", "none"])
        self.cluster.fault(fault, self.random.choice([0, 0, 300, 2500]))

    def operator_race(self):
        for port in self.cluster.live_entry_ports():
            try:
                value = {"value": dict(TEAM, weight=self.random.randint(1, 9))}
                self.cluster.admin("PUT", "config/team/legnami", value, port)
            except OSError:
                pass  # a frozen or killed entry does not answer

    def thaw(self):
        for process in [*self.cluster.entries, *self.cluster.targets,
                        *self.cluster.workers]:
            if process.alive():
                process.resume()

    def restart(self):
        cluster = self.cluster
        for i, process in enumerate(cluster.entries):
            if not process.alive():
                cluster.entries[i] = cluster.spawn_entry(i)
        for i in range(VMS):
            if not cluster.workers[i].alive():
                cluster.workers[i] = cluster.spawn_worker(i)
            if not cluster.targets[i].alive():
                cluster.targets[i] = cluster.spawn_target(i)

    def mend(self):
        self.cluster.fault()
        self.thaw()
        self.restart()


def run_round(build, seed, base_port, keep):
    """Returns (faults, totals, list of broken invariants)."""
    folder = keep or tempfile.mkdtemp(prefix="almondtally-round-")
    cluster = Cluster(build, folder, base_port, entries=ENTRIES, vms=VMS,
                      quiet=not keep)
    faults = Faults(cluster, seed)
    broken = []
    try:
        cluster.wait_until("entries", lambda: all(
            call(p, "GET", "/readyz")[0] == 200 for p in cluster.entry_ports))
        cluster.put_config("team/legnami", TEAM)
        cluster.put_config("service/sorteggio", SERVICE)
        cluster.wait_ready()
        cluster.wait_until("service", lambda: call(
            cluster.entry_ports[0], "GET", "/svc/sorteggio/x")[0] == 200)
        callers = [Callers(cluster, f"c{i}", seed * 10 + i) for i in range(3)]
        for caller in callers:
            caller.start()
        jobs = {"drift": (12, 5000, 3000), "parcels": (70, 800, 1000)}
        for name, (count, work, cpu) in jobs.items():
            cluster.admin("POST", "jobs", {
                "id": name, "team": "legnami", "count": count,
                "work_ms": work, "each": {"cpu": cpu, "memory": 1000}})
        for _ in range(8):
            time.sleep(faults.random.uniform(0.3, 2.5))
            faults.act()
        faults.mend()
        cluster.wait_until("all jobs done", lambda: all(
            cluster.job_counts(name).get("done", 0) == count
            for name, (count, _, _) in jobs.items()), 180)
        cluster.wait_until("service again", lambda: call(
            cluster.entry_ports[0], "GET", "/svc/sorteggio/x")[0] == 200, 60)
        for caller in callers:
            caller.finish()
    except (TimeoutError, AssertionError) as error:
        broken.append(f"stuck: {error}; " + "; ".join(cluster.states()))
        callers = []
    finally:
        broken += [f"crashed: {c}" for c in cluster.crashes()]
        cluster.stop()
    report = check_history(cluster.history())
    told = {k: v for c in callers for k, v in c.told.items()}
    broken += check_requests(report, told)
    broken += [f"wrong answer: {w}" for c in callers for w in c.wrong[:1]]
    broken += list(report.describe())
    results = sum((c.results for c in callers), collections.Counter())
    results["runs"], results["resumed"] = report.runs, report.resumed
    if not keep and not broken:
        shutil.rmtree(folder, ignore_errors=True)
    if broken:
        broken.append(f"logs and histories: {folder}")
    return faults.log, results, broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=23000)
    parser.add_argument("--keep")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.rounds)
    totals, failed = collections.Counter(), 0
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        rounds = {
            seed: pool.submit(run_round, options.build, seed,
                              options.base_port + 200 * (seed % 30),
                              options.keep)
            for seed in seeds}
        for seed, future in rounds.items():
            try:
                log, results, broken = future.result()
            except Exception:  # a round that cannot run counts as failed
                log, results = [], collections.Counter()
                broken = [traceback.format_exc()]
            totals += results
            print(f"seed {seed}: {'FAILED' if broken else 'ok'} "
                  f"{' '.join(log)} {dict(results)}", flush=True)
            for line in broken:
                print(f"    {line}")
            failed += bool(broken)
    print(f"totals: {dict(totals)}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
