"""Tests of waiting work that is separated by the targets that may run it."""

import unittest

from anvilshift.core.queue import Entry, ServiceTags
from anvilshift.core.queueset import QueueSet
from anvilshift.core.work import Work


def make_entry(name, organisation="org", service=1.0, allowed=None, deadline=9.0):
    work = Work(name, organisation, "advice", {}, 0, 10, deadline)
    return Entry(work, service, cost=10.0, allowed=allowed)


class QueueSetTest(unittest.TestCase):
    def setUp(self):
        self.queues = QueueSet(ServiceTags())

    def list_names(self, target):
        found = [q.list_entries() for q in self.queues.list_for(target)]
        return sorted(e.work.identity for entries in found for e in entries)

    def test_target_finds_its_work_behind_work_that_it_may_not_run(self):
        """Guards against an engine that is idle although work for it waits."""
        for n in range(100):
            self.queues.push(make_entry(f"other{n}", allowed=("e1", "e2")))
        self.queues.push(make_entry("own", allowed=("e2", "e3")))
        self.queues.push(make_entry("any"))
        self.assertEqual(self.list_names("e3"), ["any", "own"])

    def test_empty_queues_are_removed(self):
        entry = make_entry("a", allowed=("e1", "e2"))
        self.queues.push(entry)
        self.queues.take(entry)
        self.assertEqual(list(self.queues.list_for("e1")), [])
        self.assertEqual((self.queues.count, self.queues.backlog), (0, 0.0))
        self.assertEqual(self.queues.weight, 0.0)

    def test_least_valuable_is_the_longest_of_the_largest_backlog(self):
        self.queues.push(make_entry("a1", "a", 5.0, ("e1", "e2")))
        for name, service in (("b1", 2.0), ("b2", 4.0), ("b3", 3.0)):
            self.queues.push(make_entry(name, "b", service, ("e1", name)))
        self.assertEqual(self.queues.find_least_valuable().work.identity, "b2")
        self.assertEqual(self.queues.find_backlog("b"), 9.0)

    def test_drain_empties_every_queue(self):
        for n in range(6):
            self.queues.push(make_entry(f"r{n}", allowed=("e1", f"e{n % 3 + 2}")))
        self.assertEqual(len(self.queues.drain()), 6)
        self.assertEqual(self.queues.count, 0)


if __name__ == "__main__":
    unittest.main()
