import random
import unittest

from anvilshift.core.once import Numbers


class NumbersTest(unittest.TestCase):
    def test_no_number_is_ever_taken_twice(self):
        """A gift of tokens comes again after hundreds of others.

        Taken twice, tokens would be there that nobody gave.
        """
        rng, numbers = random.Random(4), Numbers()
        sent = [n for n in range(1, 2_000) for _ in range(2)]
        sent.sort(key=lambda n: n + rng.uniform(0.0, 900.0))
        taken = [n for n in sent if numbers.take(n)]
        self.assertEqual(len(taken), len(set(taken)))

    def test_what_overtakes_a_few_is_taken(self):
        numbers = Numbers()
        order = [2, 1, 4, 3, 6, 5]
        self.assertTrue(all(numbers.take(n) for n in order))

    def test_what_is_kept_is_bounded(self):
        numbers = Numbers()
        for number in range(1, 5_000):
            numbers.take(number)
        self.assertEqual(len(numbers.seen), 256)
