"""Retry delays and fates of the numbered result codes."""

import unittest

from anvilshift.core.errors import CODES, OVERLOADED, AnvilshiftError, ExecutionState

PERMANENT = {1001, 1002, 1003, 1004, 1005, 1006, 1007, 1009, 3003, 4003, 4006}
FOR_OPERATORS = {5002, 5004, 6001, 6002, 9001}


class CodesTest(unittest.TestCase):
    def test_exactly_the_codes_that_a_retry_can_help_have_a_retry_delay(self):
        without_delay = {c.number for c in CODES.values() if c.retry_after is None}
        self.assertEqual(without_delay, PERMANENT | FOR_OPERATORS)

    def test_temporary_refusals_have_short_retry_delays(self):
        self.assertEqual(CODES[3004].retry_after, 200.0)
        self.assertEqual(CODES[2001].retry_after, 30_000.0)

    def test_an_error_can_override_the_retry_delay_of_its_code(self):
        self.assertEqual(AnvilshiftError(OVERLOADED).retry_after, 1_000.0)
        self.assertEqual(AnvilshiftError(OVERLOADED, "", 5.0).retry_after, 5.0)

    def test_work_has_not_run_under_codes_for_caller_errors(self):
        fates = {c.fate for c in CODES.values() if c.number < 2000}
        self.assertEqual(fates, {ExecutionState.NOT_RUN})
