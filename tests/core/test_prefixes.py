"""The prefix index remains useful when cache events are late, lost or restarted."""

import unittest

from anvilshift.core.prefixes import PrefixIndex
from anvilshift.core.work import CacheEvent


class PrefixTest(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex()
        self.index.apply_event(CacheEvent("e1", 7, stored=("a", "b")))

    def test_event_that_arrives_out_of_order_is_ignored(self):
        self.index.apply_event(CacheEvent("e1", 6, evicted=("a", "b")))
        self.assertEqual(self.index.matched("e1", ("a", "b")), 2)

    def test_gap_in_the_sequence_keeps_the_entries(self):
        self.index.apply_event(CacheEvent("e1", 20, stored=("c",)))
        self.assertEqual(self.index.matched("e1", ("a", "b")), 2)

    def test_restart_of_a_target_clears_its_entries_and_its_sequence(self):
        """An engine restarts with an empty cache and a new sequence of events.

        If the restart went undetected, its events would be ignored until their
        numbers exceed the old ones, and work would be sent there for a lost cache.
        """
        self.index.apply_event(CacheEvent("e1", 1, stored=("x",)))
        self.assertEqual(self.index.matched("e1", ("a", "b")), 0)
        self.index.apply_event(CacheEvent("e1", 2, stored=("y",)))
        self.assertEqual(self.index.matched("e1", ("y",)), 1)


if __name__ == "__main__":
    unittest.main()
