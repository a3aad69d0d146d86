import unittest

from anvilshift.core.blame import BlameBook


class BlameBookTest(unittest.TestCase):
    def setUp(self):
        self.book = BlameBook()

    def crash(self, content: str, target: str, now: float) -> None:
        self.book.broke(content, target, now)
        self.book.lost(target, now + 50.0)

    def test_two_crashes_are_not_enough(self):
        """An innocent request runs beside a poisonous one, twice."""
        self.crash("innocent", "e1", 0.0)
        self.crash("innocent", "e2", 500.0)
        self.assertFalse(self.book.is_poison("innocent", 600.0))

    def test_one_target_that_crashes_by_itself_blames_nobody_for_good(self):
        for n in range(5):
            self.crash("content", "e1", n * 1_000.0)
        self.assertFalse(self.book.is_poison("content", 6_000.0))

    def test_first_crash_is_looked_for_when_the_content_breaks_off_again(self):
        """Guards against a first lost target that counts for nothing."""
        self.assertEqual(self.book.broke("poison", "e1", 0.0), [])
        self.assertEqual(self.book.broke("poison", "e2", 100.0), ["e1", "e2"])
        self.assertEqual(self.book.broke("poison", "e3", 9_000.0), [])

    def test_content_reaches_three_targets_whatever_is_known_of_crashes(self):
        """Guards against a further target lost while nobody knows of a crash."""
        for target in ("e1", "e2", "e3"):
            self.assertTrue(self.book.exposure.may_reach("content", target))
            self.book.exposure.charge("content", target, 0.0)
            self.book.exposure.end("content", target, ran=True)
        self.assertFalse(self.book.exposure.may_reach("content", "e4"))
        self.book.clear("content")
        self.assertTrue(self.book.exposure.may_reach("content", "e4"))

    def test_broken_answers_without_a_crash_prove_nothing(self):
        for target in ("e1", "e2", "e3", "e4"):
            self.book.broke("content", target, 0.0)
        self.assertFalse(self.book.is_poison("content", 10.0))

    def test_a_target_lost_much_later_is_not_blamed_on_it(self):
        self.book.broke("content", "e1", 0.0)
        self.assertEqual(self.book.lost("e1", 5_000.0), [])

    def test_news_of_other_routers_counts(self):
        self.crash("poison", "e1", 0.0)
        self.book.hear("poison", "e2", 10.0)
        self.book.hear("poison", "e2", 11.0)
        self.assertFalse(self.book.is_poison("poison", 12.0))
        self.book.hear("poison", "e3", 13.0)
        self.assertTrue(self.book.is_poison("poison", 14.0))

    def test_a_whole_answer_clears_and_time_forgets(self):
        for n, target in enumerate(("e1", "e2", "e3")):
            self.crash("content", target, n * 100.0)
        self.assertTrue(self.book.is_poison("content", 1_000.0))
        self.assertFalse(self.book.is_poison("content", 200_000.0))
        for n, target in enumerate(("e1", "e2", "e3")):
            self.crash("other", target, n * 100.0)
        self.book.clear("other")
        self.assertFalse(self.book.is_poison("other", 400.0))
