"""Checks a history of what workers really ran.

Events are dictionaries as tests/fakes/worker_fake.cc writes them. Times are
of one machine's monotonic clock.
"""

import collections
import dataclasses


@dataclasses.dataclass
class Report:
    runs: int = 0
    resumed: int = 0
    from_checkpoint: int = 0
    registrations: dict = dataclasses.field(default_factory=dict)
    overlaps: list = dataclasses.field(default_factory=list)
    overcommitted: list = dataclasses.field(default_factory=list)

    def describe(self):
        """The shortest offending slice of each kind."""
        for first, second in self.overlaps[:1]:
            yield f"  overlap: {first} and {second}"
        for vm, at, claimed in self.overcommitted[:1]:
            yield f"  over-committed: {vm} at {at}: {claimed}"


def find_overlaps(events):
    """Pairs of intervals in which one exclusive task ran at two places."""
    by_task = collections.defaultdict(list)
    for event in events:
        if event["event"] == "ran" and event["exclusive"]:
            by_task[event["task"]].append(event)
    overlaps = []
    for ran in by_task.values():
        ran.sort(key=lambda e: (e["from"], e["to"]))
        last = None
        for event in ran:
            if last is not None and event["from"] < last["to"]:
                same = (event["vm"], event["epoch"]) == (
                    last["vm"], last["epoch"])
                if not same:
                    overlaps.append((last, event))
            if last is None or event["to"] > last["to"]:
                last = event
    return overlaps


def find_overcommitted(events, capacities):
    """(vm, time, claimed) whenever started tasks claim more than a VM has."""
    claimed = collections.defaultdict(collections.Counter)
    live = {}
    found = []
    for event in events:
        key = (event["vm"], event.get("task"), event.get("epoch"))
        if event["event"] == "boot":
            claimed[event["vm"]].clear()
            live = {k: v for k, v in live.items() if k[0] != event["vm"]}
        elif event["event"] == "started":
            live[key] = event["claimed"]
            claimed[event["vm"]].update(event["claimed"])
        elif event["event"] in ("ended", "finished") and key in live:
            claimed[event["vm"]].subtract(live.pop(key))
        limit = capacities.get(event["vm"])
        if limit and any(claimed[event["vm"]][k] > limit[k] for k in limit):
            found.append((event["vm"], event["t"], dict(claimed[event["vm"]])))
    return found


def check_history(events, capacities=None):
    """Judges a history; see Report for what is found."""
    report = Report()
    started = collections.Counter()
    for event in events:
        if event["event"] == "started":
            started[event["task"]] += 1
            if event["checkpoint"]:
                report.from_checkpoint += 1
        if event["event"] == "request" and event["method"] == "POST":
            body = event["body"]
            report.registrations[body] = report.registrations.get(body, 0) + 1
    report.runs = sum(started.values())
    report.resumed = sum(n - 1 for n in started.values())
    report.overlaps = find_overlaps(events)
    default = {"cpu": 30000, "memory": 125000}
    vms = {event["vm"] for event in events}
    report.overcommitted = find_overcommitted(
        events, capacities or {vm: default for vm in vms})
    return report


def check_requests(report, callers):
    """Compares what callers were told with what ran.

    `callers` maps each request to the last thing its caller was told: ran,
    not_run or unknown. Returns a line for each kind of broken promise.
    """
    effects = report.registrations
    found = []

    def note(what, keys):
        if keys:
            found.append(f"{what}: {len(keys)}, first {sorted(keys)[0]}")

    note("doubled", [k for k, n in effects.items() if n > 1])
    note("answered but lost",
         [k for k, told in callers.items()
          if told == "ran" and k not in effects])
    note("refused as not run but ran",
         [k for k, told in callers.items()
          if told == "not_run" and k in effects])
    return found
