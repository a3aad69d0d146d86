"""The division of a target's slots among routers."""

import unittest

from anvilshift.core.concurrency import STALE_AFTER, ConcurrencyLimit
from anvilshift.core.work import LoadReport


class LimitTest(unittest.TestCase):
    def test_shares_of_unequally_loaded_routers_fill_the_target(self):
        """Three routers use 3, 1 and 0 of 8 slots and receive the same report.

        The 4 free slots are divided 4:2:1, into 16/7, 8/7 and 4/7.  The last router
        gets the equal share of 8/3 instead, the least that a router gets.
        """
        limits = [ConcurrencyLimit(8, 3) for _ in range(3)]
        for limit, own in zip(limits, (3, 1, 0), strict=True):
            for _ in range(own):
                limit.change(+1, 1.0)
            limit.report(LoadReport("e1", 4, 0, as_of=2.0), 3.0)
        self.assertAlmostEqual(limits[0].share, 3 + 16 / 7)
        self.assertAlmostEqual(limits[1].share, 8 / 3)
        self.assertAlmostEqual(limits[2].share, 8 / 3)

    def test_work_sent_after_the_report_is_not_subtracted_from_it(self):
        limit = ConcurrencyLimit(8, 2)
        limit.change(+1, 1.0)
        limit.change(+1, 5.0)
        limit.report(LoadReport("e1", 3, 0, as_of=2.0), 6.0)
        self.assertEqual(limit.others, 2)

    def test_queue_at_the_target_shows_its_actual_slots(self):
        limit = ConcurrencyLimit(8, 1)
        limit.report(LoadReport("e1", 4, 6, as_of=1.0), 2.0)
        self.assertEqual(limit.slots, 4.0)
        self.assertEqual(limit.share, 4.0)

    def test_share_falls_back_to_that_without_reports_when_they_stop(self):
        limit = ConcurrencyLimit(8, 4)
        limit.report(LoadReport("e1", 0, 0, as_of=1.0), 2.0)
        self.assertFalse(limit.expire(1.0 + STALE_AFTER))
        self.assertTrue(limit.expire(3.0 + STALE_AFTER))
        self.assertEqual(limit.share, 4.0)

    def test_target_that_never_reports_keeps_a_bounded_history(self):
        limit = ConcurrencyLimit(8, 1)
        for index in range(5_000):
            limit.change(+1 if index % 2 else -1, float(index))
        self.assertLessEqual(len(limit._history), 1_000)


if __name__ == "__main__":
    unittest.main()
