"""Tests that a content without a complete answer reaches at most two targets."""

import unittest

from anvilshift.core.exposure import CHARGE_LIFETIME, Exposure


class ExposureTest(unittest.TestCase):
    def setUp(self):
        self.exposure = Exposure()

    def run_at(self, target, ran=True):
        self.exposure.charge("work", target, 0.0)
        self.exposure.end("work", target, ran)

    def test_content_at_its_limit_is_confined_to_its_charged_targets(self):
        self.run_at("e1")
        self.assertTrue(self.exposure.may_reach("work", "e3"))
        self.run_at("e2")
        self.assertEqual(self.exposure.list_only_targets("work"), ["e1", "e2"])
        self.assertFalse(self.exposure.may_reach("work", "e3"))

    def test_attempts_in_progress_are_charged(self):
        for target in ("e1", "e2"):
            self.exposure.charge("work", target, 0.0)
        self.assertFalse(self.exposure.may_reach("work", "e3"))

    def test_attempt_that_never_ran_is_refunded(self):
        for target in ("e1", "e2", "e3"):
            self.run_at(target, ran=False)
        self.assertEqual(self.exposure.list_charged_targets("work"), [])

    def test_refund_keeps_the_charge_of_an_attempt_that_ran(self):
        self.run_at("e1")
        self.run_at("e1", ran=False)
        self.assertEqual(self.exposure.list_charged_targets("work"), ["e1"])

    def test_complete_answer_clears_charges_and_other_attempts(self):
        for target in ("e1", "e2"):
            self.exposure.charge("work", target, 0.0)
        self.exposure.end("work", "e1", ran=True)
        self.exposure.clear("work")
        self.assertTrue(self.exposure.may_reach("work", "e3"))
        self.run_at("e3")
        self.run_at("e4")
        self.assertTrue(self.exposure.may_reach("work", "e5"))

    def test_crash_is_charged_to_content_answered_before(self):
        self.exposure.clear("work")
        for target in ("e1", "e2"):
            self.exposure.crashed("work", target, 1.0)
        self.assertFalse(self.exposure.may_reach("work", "e3"))

    def test_crash_reported_by_another_router_is_charged(self):
        self.run_at("e1")
        self.exposure.crashed("work", "e2", 1.0)
        self.assertEqual(self.exposure.list_only_targets("work"), ["e1", "e2"])

    def test_charges_expire_without_new_attempts(self):
        self.run_at("e1")
        self.run_at("e2")
        self.exposure.expire("work", CHARGE_LIFETIME)
        self.assertFalse(self.exposure.may_reach("work", "e3"))
        self.exposure.expire("work", CHARGE_LIFETIME + 1.0)
        self.assertTrue(self.exposure.may_reach("work", "e3"))

    def test_work_without_content_is_not_charged(self):
        for target in ("e1", "e2"):
            self.exposure.charge("", target, 0.0)
            self.exposure.end("", target, ran=True)
        self.assertTrue(self.exposure.may_reach("", "e3"))


if __name__ == "__main__":
    unittest.main()
