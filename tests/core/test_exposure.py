"""A content reaches two targets before it was answered whole, and no third."""

import unittest

from anvilshift.core.exposure import FORGET_AFTER, Exposure


class ExposureTest(unittest.TestCase):
    def setUp(self):
        self.exposure = Exposure()

    def run_at(self, target, ran=True):
        self.exposure.charge("work", target, 0.0)
        self.exposure.end("work", target, ran)

    def test_content_that_used_its_credit_goes_back_to_the_same_targets(self):
        self.run_at("e1")
        self.assertTrue(self.exposure.may_reach("work", "e3"))
        self.run_at("e2")
        self.assertEqual(self.exposure.list_confined("work"), ["e1", "e2"])
        self.assertFalse(self.exposure.may_reach("work", "e3"))

    def test_copies_under_way_are_charged_before_any_ends(self):
        for target in ("e1", "e2"):
            self.exposure.charge("work", target, 0.0)
        self.assertFalse(self.exposure.may_reach("work", "e3"))

    def test_what_never_ran_costs_nothing(self):
        for target in ("e1", "e2", "e3"):
            self.run_at(target, ran=False)
        self.assertEqual(self.exposure.list_reached("work"), [])

    def test_copy_that_never_ran_leaves_the_charge_of_one_that_did(self):
        self.run_at("e1")
        self.run_at("e1", ran=False)
        self.assertEqual(self.exposure.list_reached("work"), ["e1"])

    def test_whole_answer_frees_content_and_its_copies(self):
        for target in ("e1", "e2"):
            self.exposure.charge("work", target, 0.0)
        self.exposure.end("work", "e1", ran=True)
        self.exposure.clear("work")
        self.assertTrue(self.exposure.may_reach("work", "e3"))
        self.run_at("e3")
        self.run_at("e4")
        self.assertTrue(self.exposure.may_reach("work", "e5"))

    def test_crash_counts_against_content_that_was_answered_before(self):
        self.exposure.clear("work")
        for target in ("e1", "e2"):
            self.exposure.crashed("work", target, 1.0)
        self.assertFalse(self.exposure.may_reach("work", "e3"))

    def test_news_of_other_routers_counts(self):
        self.run_at("e1")
        self.exposure.crashed("work", "e2", 1.0)
        self.assertEqual(self.exposure.list_confined("work"), ["e1", "e2"])

    def test_time_forgets_what_nobody_sends(self):
        self.run_at("e1")
        self.run_at("e2")
        self.exposure.expire("work", FORGET_AFTER)
        self.assertFalse(self.exposure.may_reach("work", "e3"))
        self.exposure.expire("work", FORGET_AFTER + 1.0)
        self.assertTrue(self.exposure.may_reach("work", "e3"))

    def test_work_without_content_is_not_charged(self):
        for target in ("e1", "e2"):
            self.exposure.charge("", target, 0.0)
            self.exposure.end("", target, ran=True)
        self.assertTrue(self.exposure.may_reach("", "e3"))


if __name__ == "__main__":
    unittest.main()
