"""Codes say when to come back exactly where coming back can help."""

import unittest

from anvilshift.core.errors import CODES, OVERLOADED, AnvilshiftError, Fate

FOR_GOOD = {1001, 1002, 1003, 1004, 1005, 1006, 1007, 1009, 3003, 4003, 4006}
FOR_OPERATORS = {5002, 5004, 6001, 6002, 9001}


class CodesTest(unittest.TestCase):
    def test_every_code_that_another_try_can_mend_says_when(self):
        silent = {c.number for c in CODES.values() if c.retry_after is None}
        self.assertEqual(silent, FOR_GOOD | FOR_OPERATORS)

    def test_a_short_refusal_is_not_an_hour(self):
        self.assertEqual(CODES[3004].retry_after, 200.0)
        self.assertEqual(CODES[2001].retry_after, 30_000.0)

    def test_whoever_knows_better_overrides_the_code(self):
        self.assertEqual(AnvilshiftError(OVERLOADED).retry_after, 1_000.0)
        self.assertEqual(AnvilshiftError(OVERLOADED, "", 5.0).retry_after, 5.0)

    def test_codes_of_callers_faults_say_not_run(self):
        fates = {c.fate for c in CODES.values() if c.number < 2000}
        self.assertEqual(fates, {Fate.NOT_RUN})
