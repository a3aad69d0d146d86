import unittest

from anvilshift.core.failurereports import FailureReport, FailureReports


def count_failures(count: int, answered: bool) -> FailureReports:
    """Return reports of failures at a target, each of another router."""
    reports = FailureReports(domains=2)
    for n in range(count):
        report = FailureReport(f"r{n}", f"zone-{n % 2}", f"id-{n}", answered)
        reports.add("e1", report, now=0.0)
    return reports


class FailureReportsTest(unittest.TestCase):
    def test_whatever_is_suspect_is_compared_with_the_others(self):
        """Guards against a failing target that is never compared, so never ejected."""
        suspects = set()
        for count in range(9):
            for probed, answered in ((0, 0), (0, 1), (1, 0), (1, 1)):
                reports = count_failures(count, bool(answered))
                if reports.is_suspect("e1", {"e2", "e3"}, 0.0, bool(probed)):
                    suspects.add(count)
                    self.assertTrue(reports.may_be_suspect("e1", 0.0, bool(probed)))
        self.assertEqual(suspects, set(range(2, 9)))

    def test_a_target_with_few_failures_isnt_compared(self):
        self.assertFalse(count_failures(3, False).may_be_suspect("e1", 0.0))
        self.assertFalse(count_failures(9, False).may_be_suspect("e2", 0.0))
