"""An idempotency key runs at most once, also when its target is gone."""

import argparse
import sys
import tempfile

from cluster import Cluster, call
from history import check_history


def register(port, key):
    status, headers, _ = call(
        port, "POST", f"/svc/sorteggio/register?key={key}", key,
        {"idempotency-key": key})
    return status, headers["x-almondtally-outcome"], headers.get(
        "x-almondtally-request")


def vm_of(cluster, port, request):
    text = cluster.admin("GET", f"explain/request/{request}", port=port)[1]
    return text["explanation"].split("VM ")[1].split()[0]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--base-port", type=int, default=21800)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="almondtally-keyed-")
    cluster = Cluster(options.build, folder, options.base_port, vms=2)
    problems = []

    def expect(what, got, wanted):
        if got not in wanted:
            problems.append(f"{what}: {got}, expected one of {wanted}")

    try:
        cluster.wait_until("entries", lambda: all(
            call(p, "GET", "/readyz")[0] == 200 for p in cluster.entry_ports))
        # A service is placed on the VMs that are known when it is created.
        cluster.wait_ready()
        cluster.put_config("team/t", {"quota": {"cpu": 10**6,
                                                "memory": 10**6}})
        cluster.put_config("service/sorteggio", {
            "team": "t", "executors": 2, "slots": 8, "queue": 16,
            "each": {"cpu": 1000, "memory": 1000}, "deadline_ms": 3000})
        cluster.wait_ready()
        first, second = cluster.entry_ports
        cluster.wait_until("service on both VMs", lambda: [
            it["targets"] for it in cluster.admin("GET", "status")[1]
            ["services"]] == [2])

        _, outcome, request = register(first, "plain")
        expect("first", outcome, ["ran"])
        expect("repeat", register(second, "plain")[1:], [("ran", request)])

        _, outcome, request = register(first, "target-killed")
        vm = vm_of(cluster, first, request)
        cluster.targets[int(vm[-1])].kill()
        for port in (second, first):
            expect("repeat after its target was killed",
                   register(port, "target-killed")[1], ["unknown"])

        _, outcome, _ = register(first, "entry-killed")
        expect("through the target that is left", outcome, ["ran"])
        cluster.entries[0].kill()
        expect("repeat after its entry was killed",
               register(second, "entry-killed")[1], ["ran"])

        cluster.fault("down")
        expect("without the table", register(second, "no-table")[1],
               ["not_run", "unknown"])
        expect("no key, without the table", call(
            second, "POST", "/svc/sorteggio/register?x", "no-key")[1][
                "x-almondtally-outcome"], ["ran"])
        cluster.fault()
    except TimeoutError as error:
        problems.append(str(error))
    finally:
        problems += cluster.crashes()
        cluster.stop()
    runs = check_history(cluster.history()).registrations
    for key, wanted in (("plain", 1), ("target-killed", 1),
                        ("entry-killed", 1), ("no-table", 0), ("no-key", 1)):
        if runs.get(key, 0) != wanted:
            problems.append(f"{key} ran {runs.get(key, 0)} times, not {wanted}")
    for problem in problems:
        print(problem)
    print("keyed: " + (f"FAILED, logs in {folder}" if problems else "ok"))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
