"""The parts of many routers add up to what a target runs."""

import unittest

from anvilshift.core.concurrency import STALE, Limit
from anvilshift.core.work import LoadReport


class LimitTest(unittest.TestCase):
    def test_parts_of_unequal_routers_fill_the_target_and_no_more(self):
        """Three routers hold 3, 1 and 0 of 8 slots and hear the same report.

        The room of 4 is parted 4:2:1 over 7, as 16/7, 8/7 and 4/7.
        """
        limits = [Limit(8, 3) for _ in range(3)]
        for limit, own in zip(limits, (3, 1, 0), strict=True):
            for _ in range(own):
                limit.change(+1, 1.0)
            limit.report(LoadReport("e1", 4, 0, as_of=2.0), 3.0)
        self.assertAlmostEqual(limits[0].share, 3 + 16 / 7)
        self.assertAlmostEqual(limits[1].share, 8 / 3)
        self.assertAlmostEqual(limits[2].share, 8 / 3)

    def test_work_sent_after_the_report_is_not_taken_for_that_of_others(self):
        limit = Limit(8, 2)
        limit.change(+1, 1.0)
        limit.change(+1, 5.0)
        limit.report(LoadReport("e1", 3, 0, as_of=2.0), 6.0)
        self.assertEqual(limit.others, 2)

    def test_queue_at_the_target_shows_its_true_slots(self):
        limit = Limit(8, 1)
        limit.report(LoadReport("e1", 4, 6, as_of=1.0), 2.0)
        self.assertEqual(limit.slots, 4.0)
        self.assertEqual(limit.share, 4.0)

    def test_parts_fall_back_to_equal_when_reports_stop(self):
        limit = Limit(8, 4)
        limit.report(LoadReport("e1", 0, 0, as_of=1.0), 2.0)
        self.assertFalse(limit.expire(1.0 + STALE))
        self.assertTrue(limit.expire(3.0 + STALE))
        self.assertEqual(limit.share, 4.0)

    def test_target_that_never_reports_keeps_a_bounded_history(self):
        limit = Limit(8, 1)
        for index in range(5_000):
            limit.change(+1 if index % 2 else -1, float(index))
        self.assertLessEqual(len(limit._history), 1_000)


if __name__ == "__main__":
    unittest.main()
