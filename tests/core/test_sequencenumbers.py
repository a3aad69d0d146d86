import random
import unittest

from anvilshift.core.sequencenumbers import SequenceNumbers


class NumbersTest(unittest.TestCase):
    def test_no_number_is_accepted_twice(self):
        """A message that grants tokens arrives again after hundreds of others.

        If it were accepted twice, the receiver would have tokens that nobody granted.
        """
        rng, numbers = random.Random(4), SequenceNumbers()
        sent = [n for n in range(1, 2_000) for _ in range(2)]
        sent.sort(key=lambda n: n + rng.uniform(0.0, 900.0))
        taken = [n for n in sent if numbers.accept(n)]
        self.assertEqual(len(taken), len(set(taken)))

    def test_slightly_reordered_messages_are_accepted(self):
        numbers = SequenceNumbers()
        order = [2, 1, 4, 3, 6, 5]
        self.assertTrue(all(numbers.accept(n) for n in order))

    def test_the_number_of_stored_numbers_is_bounded(self):
        numbers = SequenceNumbers()
        for number in range(1, 5_000):
            numbers.accept(number)
        self.assertEqual(len(numbers.seen), 256)
