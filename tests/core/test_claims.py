"""Claims: whoever repeats a key never runs the work a second time."""

import unittest

from anvilshift.core.claims import Answer, Claim, Verdict, end, judge

OPEN = Claim("digest", "r1", "t1", at=0)


class JudgeTest(unittest.TestCase):
    def test_two_requests_with_one_key_at_one_router_run_once(self):
        """A clerk's client sends one booking twice and both reach one router.

        The first claims the key; the second finds a claim that its own router
        holds.  Were the holder enough, it would be taken for a lost answer and
        the truck would be booked twice.
        """
        second = Claim("digest", "r1", "t2", at=0)
        self.assertEqual(judge(OPEN, second), Verdict.WAIT)

    def test_own_claim_whose_answer_was_lost_runs(self):
        self.assertEqual(judge(OPEN, OPEN), Verdict.RUN)

    def test_another_body_is_refused(self):
        other = Claim("another digest", "r2", "t2", at=0)
        self.assertEqual(judge(OPEN, other), Verdict.REUSED)

    def test_finished_work_is_answered_from_the_record(self):
        done = OPEN.finish(Answer(201, "application/json", "{}"))
        self.assertEqual(judge(done, Claim("digest", "r2", "t2", 0)), Verdict.ANSWER)

    def test_work_that_never_left_may_be_claimed_again(self):
        wish = Claim("digest", "r2", "t2", at=0)
        self.assertEqual(judge(OPEN.void(), wish), Verdict.RUN)

    def test_lost_work_is_not_waited_for(self):
        wish = Claim("digest", "r2", "t2", at=0)
        self.assertEqual(judge(OPEN.lose(), wish), Verdict.LOST)


class EndTest(unittest.TestCase):
    def test_late_void_does_not_free_a_later_claim_of_the_same_router(self):
        """A void takes effect, its answer is lost, and it is written again.

        Meanwhile another request with the key has claimed it at the same
        router and its booking runs.  Were that claim freed, a third sending
        would book a second truck.
        """
        later = Claim("digest", "r1", "t2", at=1)
        self.assertIsNone(end(later, OPEN.void()))

    def test_void_bars_a_creation_that_is_still_under_way(self):
        self.assertEqual(end(None, OPEN.void()), OPEN.void())

    def test_recorded_answer_is_never_taken_back(self):
        done = OPEN.finish(Answer(201, "application/json", "{}"))
        self.assertIsNone(end(done, OPEN.lose()))
