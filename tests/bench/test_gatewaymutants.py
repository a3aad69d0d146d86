import unittest
from unittest import mock

from absl import logging

from bench.gatewaymutants import MUTANTS
from bench.mutation import try_mutant


class MutantTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    def test_courses_catch_each_mutant(self):
        """Guards against courses that hold whatever the gateway does."""
        for mutant in MUTANTS:
            with self.subTest(mutant=mutant.name):
                row = try_mutant(mutant)
                self.assertTrue(row.expected, row.caught)


class LogLevelTest(unittest.TestCase):
    def test_tried_mutant_leaves_the_log_level_as_it_was(self):
        """Guards against tests that see no errors since another one silenced them."""
        level = logging.get_verbosity()
        try_mutant(mock.Mock(**{"list_seeds.return_value": []}))
        self.assertEqual(logging.get_verbosity(), level)
