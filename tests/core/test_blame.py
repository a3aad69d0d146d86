"""Blame for crashes and the refusal of poison requests."""

import unittest

from anvilshift.core.blame import CrashBlame


class CrashBlameTest(unittest.TestCase):
    def setUp(self):
        self.blame = CrashBlame()

    def crash(self, content: str, target: str, now: float) -> None:
        self.blame.record_broken_answer(content, target, now)
        self.blame.lost(target, now + 50.0)

    def test_two_crashes_are_not_enough(self):
        """Guards against refusing a harmless request that ran beside a poison twice."""
        self.crash("innocent", "e1", 0.0)
        self.crash("innocent", "e2", 500.0)
        self.assertFalse(self.blame.is_poison("innocent", 600.0))

    def test_repeated_crashes_of_one_target_do_not_make_content_poison(self):
        """Guards against blaming content for a target that crashes on its own."""
        for n in range(5):
            self.crash("content", "e1", n * 1_000.0)
        self.assertFalse(self.blame.is_poison("content", 6_000.0))

    def test_first_target_is_checked_when_the_content_breaks_off_again(self):
        """Guards against a first crash that is never counted."""
        self.assertEqual(self.blame.record_broken_answer("poison", "e1", 0.0), [])
        self.assertEqual(
            self.blame.record_broken_answer("poison", "e2", 100.0), ["e1", "e2"]
        )
        self.assertEqual(self.blame.record_broken_answer("poison", "e3", 9_000.0), [])

    def test_content_reaches_at_most_three_targets_without_known_crashes(self):
        """Guards against losing a fourth target before any crash is detected."""
        for target in ("e1", "e2", "e3"):
            self.assertTrue(self.blame.exposure.may_reach("content", target))
            self.blame.exposure.charge("content", target, 0.0)
            self.blame.exposure.end("content", target, ran=True)
        self.assertFalse(self.blame.exposure.may_reach("content", "e4"))
        self.blame.clear("content")
        self.assertTrue(self.blame.exposure.may_reach("content", "e4"))

    def test_broken_answers_without_a_crash_do_not_make_content_poison(self):
        for target in ("e1", "e2", "e3", "e4"):
            self.blame.record_broken_answer("content", target, 0.0)
        self.assertFalse(self.blame.is_poison("content", 10.0))

    def test_content_is_not_blamed_for_a_target_lost_much_later(self):
        self.blame.record_broken_answer("content", "e1", 0.0)
        self.assertEqual(self.blame.lost("e1", 5_000.0), [])

    def test_crash_reports_of_other_routers_count_once_per_target(self):
        self.crash("poison", "e1", 0.0)
        self.blame.record_crash("poison", "e2", 10.0)
        self.blame.record_crash("poison", "e2", 11.0)
        self.assertFalse(self.blame.is_poison("poison", 12.0))
        self.blame.record_crash("poison", "e3", 13.0)
        self.assertTrue(self.blame.is_poison("poison", 14.0))

    def test_blame_ends_with_a_complete_answer_or_after_some_time(self):
        for n, target in enumerate(("e1", "e2", "e3")):
            self.crash("content", target, n * 100.0)
        self.assertTrue(self.blame.is_poison("content", 1_000.0))
        self.assertFalse(self.blame.is_poison("content", 200_000.0))
        for n, target in enumerate(("e1", "e2", "e3")):
            self.crash("other", target, n * 100.0)
        self.blame.clear("other")
        self.assertFalse(self.blame.is_poison("other", 400.0))

    def test_crashes_whose_cause_is_known_are_held_against_no_content(self):
        """Guards against a sound request refused since it ran beside a bad part."""
        for n, target in enumerate(("e1", "e2", "e3")):
            self.crash("beside", target, n * 100.0)
        self.assertTrue(self.blame.is_poison("beside", 400.0))
        self.blame.forgive("e1")
        self.assertFalse(self.blame.is_poison("beside", 400.0))
        self.assertEqual(
            self.blame.exposure.list_charged_targets("beside"), ["e2", "e3"]
        )

    def test_late_report_of_such_a_crash_is_held_against_no_content_either(self):
        self.blame.forgive("e1")
        self.blame.record_crash("beside", "e1", 10.0)
        self.assertEqual(self.blame.list_targets("beside"), [])
        self.assertEqual(self.blame.exposure.list_charged_targets("beside"), [])
