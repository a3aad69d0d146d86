"""Claims: whoever repeats a key never runs the work a second time."""

import unittest

from anvilshift.core.claims import Answer, Claim, Verdict, judge

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
