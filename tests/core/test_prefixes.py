"""Beliefs about caches stay useful when events are late, lost or begin anew."""

import unittest

from anvilshift.core.prefixes import PrefixBelief
from anvilshift.core.work import CacheEvent


class PrefixTest(unittest.TestCase):
    def setUp(self):
        self.belief = PrefixBelief()
        self.belief.take(CacheEvent("e1", 7, stored=("a", "b")))

    def test_late_event_of_before_changes_nothing(self):
        self.belief.take(CacheEvent("e1", 6, evicted=("a", "b")))
        self.assertEqual(self.belief.matched("e1", ("a", "b")), 2)

    def test_gap_keeps_what_is_believed(self):
        self.belief.take(CacheEvent("e1", 20, stored=("c",)))
        self.assertEqual(self.belief.matched("e1", ("a", "b")), 2)

    def test_restarted_target_is_believed_empty_and_heard_again(self):
        """An engine restarts: its cache is empty and its numbers begin anew.

        Without notice its events would be ignored until they pass the old
        number, and work would be sent to a cache that is gone.
        """
        self.belief.take(CacheEvent("e1", 1, stored=("x",)))
        self.assertEqual(self.belief.matched("e1", ("a", "b")), 0)
        self.belief.take(CacheEvent("e1", 2, stored=("y",)))
        self.assertEqual(self.belief.matched("e1", ("y",)), 1)


if __name__ == "__main__":
    unittest.main()
