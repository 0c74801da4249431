"""The checker must be able to fail: hand-made good and bad histories."""

import unittest

from history import check_history, check_requests, find_overlaps


def ran(vm, task, epoch, start, end, exclusive=True):
    return {"event": "ran", "vm": vm, "task": task, "epoch": epoch,
            "exclusive": exclusive, "from": start, "to": end, "t": end}


def started(vm, task, epoch, cpu, t=0):
    return {"event": "started", "vm": vm, "task": task, "epoch": epoch,
            "claimed": {"cpu": cpu, "memory": 0}, "checkpoint": "", "t": t}


def ended(vm, task, epoch):
    return {"event": "ended", "vm": vm, "task": task, "epoch": epoch, "t": 1}


def request(body):
    return {"event": "request", "vm": "a", "method": "POST", "path": "/",
            "body": body, "t": 1}


class Overlaps(unittest.TestCase):
    def test_one_after_the_other_is_fine(self):
        self.assertEqual([], find_overlaps(
            [ran("a", "j/0", 1, 0, 10), ran("b", "j/0", 2, 10, 20)]))

    def test_two_places_at_once(self):
        self.assertEqual(1, len(find_overlaps(
            [ran("b", "j/0", 2, 9, 20), ran("a", "j/0", 1, 0, 10)])))

    def test_inside_a_longer_run(self):
        self.assertEqual(1, len(find_overlaps(
            [ran("a", "j/0", 1, 0, 100), ran("a", "j/0", 1, 5, 6),
             ran("b", "j/0", 2, 50, 60)])))

    def test_two_runs_on_one_vm(self):
        self.assertEqual(1, len(find_overlaps(
            [ran("a", "j/0", 1, 0, 10), ran("a", "j/0", 2, 5, 20)])))

    def test_services_may_run_twice(self):
        self.assertEqual([], find_overlaps(
            [ran("a", "s/0", 1, 0, 10, False),
             ran("b", "s/0", 2, 5, 20, False)]))


class Commitment(unittest.TestCase):
    LIMIT = {"a": {"cpu": 10}}

    def test_beyond_capacity(self):
        report = check_history([started("a", "j/0", 1, 6),
                                started("a", "j/1", 1, 5)], self.LIMIT)
        self.assertEqual(1, len(report.overcommitted))

    def test_room_given_back(self):
        report = check_history(
            [started("a", "j/0", 1, 6), ended("a", "j/0", 1),
             started("a", "j/1", 1, 5)], self.LIMIT)
        self.assertEqual([], report.overcommitted)

    def test_a_new_worker_is_empty(self):
        report = check_history(
            [started("a", "j/0", 1, 6), {"event": "boot", "vm": "a", "t": 1},
             started("a", "j/1", 1, 5)], self.LIMIT)
        self.assertEqual([], report.overcommitted)


class Requests(unittest.TestCase):
    def check(self, bodies, callers):
        report = check_history([request(b) for b in bodies], {})
        return check_requests(report, callers)

    def test_good(self):
        self.assertEqual([], self.check(["k"], {"k": "ran", "m": "not_run"}))

    def test_doubled(self):
        self.assertIn("doubled", self.check(["k", "k"], {"k": "ran"})[0])

    def test_lost(self):
        self.assertIn("lost", self.check([], {"k": "ran"})[0])

    def test_untrue_refusal(self):
        self.assertIn("not run", self.check(["k"], {"k": "not_run"})[0])

    def test_unknown_may_be_either(self):
        self.assertEqual([], self.check(["k"], {"k": "unknown",
                                                "m": "unknown"}))


if __name__ == "__main__":
    unittest.main()
