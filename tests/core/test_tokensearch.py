import unittest

from anvilshift.core.tokensearch import ANSWER_TIMEOUT, Answer, TokenSearch


class TokenHuntTest(unittest.TestCase):
    def test_the_second_keeper_is_asked_once_the_first_lacks_tokens(self):
        hunt = TokenSearch(("r1", "r2"))
        self.assertEqual(hunt.find_next(0.0), "r1")
        hunt.note(Answer(False, 900.0))
        self.assertEqual(hunt.find_next(4.0), "r2")
        hunt.note(Answer(False, 300.0))
        self.assertTrue(hunt.is_over(8.0))
        self.assertEqual(hunt.find_wait(), 300.0)

    def test_a_lost_datagram_is_sent_again_once(self):
        hunt = TokenSearch(("r1",))
        asked = [hunt.find_next(n * ANSWER_TIMEOUT) for n in range(4)]
        self.assertEqual(asked, ["r1", "r1", None, None])
        self.assertTrue(hunt.is_unanswered(2 * ANSWER_TIMEOUT))

    def test_the_search_is_not_over_before_the_last_answer_is_due(self):
        hunt = TokenSearch(("r1",))
        hunt.find_next(0.0)
        hunt.find_next(ANSWER_TIMEOUT)
        self.assertFalse(hunt.is_over(1.5 * ANSWER_TIMEOUT))

    def test_an_unreachable_keeper_is_skipped_without_delay(self):
        hunt = TokenSearch(("r1", "r2"))
        hunt.find_next(0.0)
        hunt.skip()
        self.assertEqual(hunt.find_next(0.0), "r2")

    def test_exhaustion_is_certain_only_if_all_keepers_report_it(self):
        hunt = TokenSearch(("r1", "r2"))
        hunt.note(Answer(True, 4_000.0))
        self.assertFalse(hunt.is_certain())
        hunt.note(Answer(True, 4_000.0))
        self.assertTrue(hunt.is_certain())
        self.assertFalse(TokenSearch(()).is_certain())

    def test_a_write_already_in_progress_does_not_count(self):
        hunt = TokenSearch((), draws=7, records=3)
        self.assertFalse(hunt.has_drawn(8))
        self.assertTrue(hunt.has_drawn(9))
        self.assertFalse(hunt.is_recorded(4))
        self.assertTrue(hunt.is_recorded(5))
