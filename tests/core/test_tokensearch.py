import unittest

from anvilshift.core.tokensearch import ANSWER_TIMEOUT, Answer, TokenSearch


class TokenHuntTest(unittest.TestCase):
    def test_the_second_allocator_is_asked_once_the_first_lacks_tokens(self):
        search = TokenSearch(("r1", "r2"))
        self.assertEqual(search.find_next(0.0), "r1")
        search.note(Answer(False, 900.0))
        self.assertEqual(search.find_next(4.0), "r2")
        search.note(Answer(False, 300.0))
        self.assertTrue(search.is_over(8.0))
        self.assertEqual(search.find_wait(), 300.0)

    def test_a_lost_datagram_is_sent_again_once(self):
        search = TokenSearch(("r1",))
        asked = [search.find_next(n * ANSWER_TIMEOUT) for n in range(4)]
        self.assertEqual(asked, ["r1", "r1", None, None])
        self.assertTrue(search.is_unanswered(2 * ANSWER_TIMEOUT))

    def test_the_search_is_not_over_before_the_last_answer_is_due(self):
        search = TokenSearch(("r1",))
        search.find_next(0.0)
        search.find_next(ANSWER_TIMEOUT)
        self.assertFalse(search.is_over(1.5 * ANSWER_TIMEOUT))

    def test_an_unreachable_allocator_is_skipped_without_delay(self):
        search = TokenSearch(("r1", "r2"))
        search.find_next(0.0)
        search.skip()
        self.assertEqual(search.find_next(0.0), "r2")

    def test_exhaustion_is_certain_only_if_all_allocators_report_it(self):
        search = TokenSearch(("r1", "r2"))
        search.note(Answer(True, 4_000.0))
        self.assertFalse(search.is_certain())
        search.note(Answer(True, 4_000.0))
        self.assertTrue(search.is_certain())
        self.assertFalse(TokenSearch(()).is_certain())

    def test_a_write_already_in_progress_does_not_count(self):
        search = TokenSearch((), draws=7, records=3)
        self.assertFalse(search.has_drawn(8))
        self.assertTrue(search.has_drawn(9))
        self.assertFalse(search.is_recorded(4))
        self.assertTrue(search.is_recorded(5))
