import unittest

from anvilshift.core.lateness import Lateness


class LatenessTest(unittest.TestCase):
    def test_the_most_of_a_second_counts_for_the_next_one_too(self):
        lateness = Lateness()
        lateness.record(40.0, now=100.0)
        lateness.record(5.0, now=1_000.0)
        self.assertEqual(lateness.find_most(now=1_999.0), 40.0)
        self.assertEqual(lateness.find_most(now=2_000.0), 5.0)

    def test_it_is_forgotten_after_a_pause(self):
        lateness = Lateness()
        lateness.record(40.0, now=100.0)
        self.assertEqual(lateness.find_most(now=2_000.0), 0.0)
