"""Whether connections that can't be opened tell of the router's own link."""

import unittest

from anvilshift.core.admission.openings import ConnectionOpenings


class OwnLinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.openings = ConnectionOpenings()

    def time_out(self, targets: int, routers: int, now: float = 0.0) -> None:
        for n in range(targets):
            self.openings.record_timeout(f"e{n}", False, now)
        for n in range(routers):
            self.openings.record_timeout(f"r{n}", True, now)

    def test_timeouts_everywhere_tell_of_the_own_link(self):
        """Guards against targets left one after another while the router is full."""
        self.time_out(targets=3, routers=2)
        self.assertTrue(self.openings.is_link_full(10.0))

    def test_dark_targets_are_not_the_own_link(self):
        """Guards against a longer wait for hosts that are gone while others answer."""
        self.time_out(targets=8, routers=1)
        self.assertFalse(self.openings.is_link_full(10.0))

    def test_one_target_that_many_routers_fail_to_reach_is_not_the_own_link(self):
        """Guards against a longer wait for all targets because one of them is gone."""
        self.time_out(targets=1, routers=6)
        self.assertFalse(self.openings.is_link_full(10.0))

    def test_an_opening_in_time_ends_it(self):
        """Guards against a judgement that outlasts the full link."""
        self.time_out(targets=3, routers=2)
        self.openings.record_success()
        self.assertFalse(self.openings.is_link_full(10.0))

    def test_old_timeouts_count_no_more(self):
        """Guards against a judgement by what was seconds ago."""
        self.time_out(targets=3, routers=2)
        self.assertFalse(self.openings.is_link_full(1_100.0))
