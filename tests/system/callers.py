"""Callers that know what they were told, for the history checker."""

import collections
import random
import threading
import time

from cluster import call


class Callers(threading.Thread):
    """One caller: registrations with a key (repeated until told), without a
    key (sent once), and reads whose whole answer is checked."""

    def __init__(self, cluster, name, seed, pause=(0.005, 0.03)):
        super().__init__(daemon=True)
        self.cluster, self.name, self.pause = cluster, name, pause
        self.random = random.Random(seed)
        self.results = collections.Counter()
        self.told = {}
        self.wrong = []
        self.going = True

    def run(self):
        n = 0
        while self.going:
            n += 1
            kind = self.random.random()
            if kind < 0.6:
                self.register(f"{self.name}-k{n}")
            elif kind < 0.8:
                self.register_once(f"{self.name}-u{n}")
            else:
                self.read(f"{self.name}-r{n}")
            time.sleep(self.random.uniform(*self.pause))

    def finish(self):
        self.going = False
        self.join(60)
        assert not self.is_alive(), "a caller hangs"

    def register(self, key):
        """Comes again with the same key until it is told what happened."""
        for _ in range(6):
            told = self.attempt(key, {"idempotency-key": key})
            # A later refusal says nothing about an earlier try that was
            # never answered.
            if told != "not_run" or self.told.get(key) in (None, "not_run"):
                self.told[key] = told
            if told == "ran":
                return
            time.sleep(0.3)

    def register_once(self, key):
        self.told[key] = self.attempt(key, {})

    def attempt(self, key, headers):
        status, told, body = self.send(
            "POST", f"/svc/sorteggio/register?key={key}", key, headers)
        if told == "ran" and status == 200:
            if body.decode() != f"done:/register?key={key}:{key}":
                self.wrong.append((key, body[:200]))
        return told

    def read(self, key):
        size = self.random.choice([0, 10, 70_000, 600_000])
        status, told, body = self.send(
            "GET", f"/svc/sorteggio/read?bytes={size}&key={key}", None, {})
        if told != "ran" or status != 200:
            return
        whole = f"done:/read?bytes={size}&key={key}:"
        expected = whole.encode() if size == 0 else b"x" * size
        if body != expected:
            self.wrong.append((key, len(body), size))

    def send(self, method, path, body, headers):
        port = self.random.choice(self.cluster.entry_ports)
        try:
            status, answer, data = call(port, method, path, body, headers,
                                        timeout=10)
        except ConnectionRefusedError:
            # The connection was never made: surely not run.
            self.results["refused connection"] += 1
            return 0, "not_run", b""
        except OSError:
            self.results["no answer"] += 1
            return 0, "unknown", b""
        told = answer.get("x-almondtally-outcome", "missing")
        self.results[told] += 1
        return status, told, data
