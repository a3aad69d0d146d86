import unittest

from bench.gatewaymutants import MUTANTS
from bench.mutation import try_mutant


class MutantTest(unittest.TestCase):
    def test_courses_catch_each_mutant(self):
        """Guards against courses that hold whatever the gateway does."""
        for mutant in MUTANTS:
            with self.subTest(mutant=mutant.name):
                row = try_mutant(mutant)
                self.assertTrue(row.expected, row.caught)
