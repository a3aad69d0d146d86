"""A repeated idempotency key never runs the work a second time."""

import unittest

from anvilshift.core.claims import Answer, Claim, Decision, decide, end

OPEN = Claim("digest", "r1", "t1", at=0)


class JudgeTest(unittest.TestCase):
    def test_two_requests_with_one_key_at_one_router_run_once(self):
        """A client sends one booking twice, and both requests reach one router.

        The first claims the key, and the second finds a claim whose holder is its
        own router.  If comparing holders were enough, the claim would count as the
        second request's own after a lost answer, and a truck would be booked twice.
        """
        second = Claim("digest", "r1", "t2", at=0)
        self.assertEqual(decide(OPEN, second), Decision.WAIT)

    def test_own_claim_runs_after_a_lost_answer_of_the_store(self):
        self.assertEqual(decide(OPEN, OPEN), Decision.RUN)

    def test_a_key_with_another_body_is_refused(self):
        other = Claim("another digest", "r2", "t2", at=0)
        self.assertEqual(decide(OPEN, other), Decision.REUSED)

    def test_finished_work_is_answered_from_the_record(self):
        done = OPEN.mark_done(Answer(201, "application/json", "{}"))
        self.assertEqual(decide(done, Claim("digest", "r2", "t2", 0)), Decision.ANSWER)

    def test_work_that_was_never_sent_may_be_claimed_again(self):
        request = Claim("digest", "r2", "t2", at=0)
        self.assertEqual(decide(OPEN.void(), request), Decision.RUN)

    def test_lost_work_is_not_waited_for(self):
        request = Claim("digest", "r2", "t2", at=0)
        self.assertEqual(decide(OPEN.mark_lost(), request), Decision.LOST)


class EndTest(unittest.TestCase):
    def test_late_void_does_not_release_a_later_claim_of_the_router(self):
        """A VOID takes effect, its answer is lost, and it is written again.

        Meanwhile another request has claimed the key at the same router, and its
        booking runs.  If the second write released that claim, a third request would
        book a second truck.
        """
        later = Claim("digest", "r1", "t2", at=1)
        self.assertIsNone(end(later, OPEN.void()))

    def test_void_blocks_a_creation_that_is_still_in_progress(self):
        self.assertEqual(end(None, OPEN.void()), OPEN.void())

    def test_recorded_answer_is_never_replaced(self):
        done = OPEN.mark_done(Answer(201, "application/json", "{}"))
        self.assertIsNone(end(done, OPEN.mark_lost()))
