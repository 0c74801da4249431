"""A planned stop cuts nothing: requests in flight end whole, batch work
moves with its checkpoint, and the processes end with code 0."""

import argparse
import sys
import tempfile
import threading
import time

from cluster import Cluster, call
from history import check_history


class SlowRequest(threading.Thread):
    """A request that is in flight while a process is asked to stop."""

    def __init__(self, port, size):
        super().__init__(daemon=True)
        self.port, self.size, self.result = port, size, None

    def run(self):
        path = f"/svc/sorteggio/slow?ms=1500&bytes={self.size}"
        try:
            status, headers, body = call(self.port, "POST", path, "x")
            self.result = (status, headers.get("x-almondtally-outcome"),
                           len(body))
        except OSError as error:
            self.result = ("cut", str(error), 0)


def start_requests(ports, size):
    requests = [SlowRequest(port, size) for port in ports for _ in range(4)]
    for request in requests:
        request.start()
    time.sleep(0.5)
    return requests


def check_whole(requests, size, problems):
    for request in requests:
        request.join(30)
        if request.result != (200, "ran", size):
            problems.append(f"not whole: {request.result}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--base-port", type=int, default=21400)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="almondtally-drain-")
    cluster = Cluster(options.build, folder, options.base_port)
    problems = []
    size = 300_000
    try:
        cluster.wait_until("entries", lambda: all(
            call(p, "GET", "/readyz")[0] == 200 for p in cluster.entry_ports))
        cluster.put_config("team/t", {"quota": {"cpu": 10**6,
                                                "memory": 10**6}})
        cluster.put_config("service/sorteggio", {
            "team": "t", "executors": 3, "slots": 8, "queue": 16,
            "each": {"cpu": 1000, "memory": 1000}, "deadline_ms": 20000})
        cluster.wait_ready()
        cluster.wait_until("service on all VMs", lambda: [
            it["targets"] for it in cluster.admin("GET", "status")[1]
            ["services"]] == [3])
        cluster.admin("POST", "jobs", {
            "id": "long", "team": "t", "count": 6, "work_ms": 8000,
            "each": {"cpu": 1000, "memory": 100}})
        cluster.wait_until("tasks run", lambda: cluster.job_counts("long")
                           .get("assigned") == 6)
        time.sleep(1.5)

        requests = start_requests(cluster.entry_ports, size)
        code = cluster.targets[0].terminate()
        check_whole(requests, size, problems)
        if code != 0:
            problems.append(f"target ended with {code}")

        requests = start_requests(cluster.entry_ports, size)
        code = cluster.entries[0].terminate()
        check_whole(requests, size, problems)
        if code != 0:
            problems.append(f"entry ended with {code}")

        cluster.wait_until("job done", lambda: cluster.job_counts("long")
                           .get("done") == 6, 120)
    except TimeoutError as error:
        problems.append(str(error))
    finally:
        problems += cluster.crashes()
        cluster.stop()
    report = check_history(cluster.history())
    problems += list(report.describe())
    if report.resumed == 0 or report.from_checkpoint != report.resumed:
        problems.append(f"evicted {report.resumed}, resumed from a "
                        f"checkpoint {report.from_checkpoint}")
    for problem in problems:
        print(problem)
    print("drain: " + (f"FAILED, logs in {folder}" if problems else "ok"))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
