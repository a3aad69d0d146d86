import unittest

from tests.times import Taken, UnitTimes, make_table

_ONE, _TWO = "tests.core.test_a.A.test_one", "tests.core.test_a.A.test_two"
_OTHER = "tests.wire.test_b.B.test_other"


class TableTest(unittest.TestCase):
    def test_folders_are_summed_with_shared_fixtures(self):
        """Guards against a table that leaves out what a class prepares."""
        tests = {_ONE: Taken(1.0, 0.5), _TWO: Taken(2.0, 1.0)}
        units = [
            UnitTimes(_OTHER, Taken(3.0, 0.25), {_OTHER: Taken(3.0, 0.25)}),
            UnitTimes(_ONE, Taken(7.0, 2.0), tests),
        ]
        rows = [line.split(maxsplit=4) for line in make_table(units)]
        found = [(row[0], row[2], row[4]) for row in rows if row[1] == "s"]
        self.assertEqual(
            found,
            [
                ("7.0", "2.0", "tests/core (2 tests)"),
                ("3.0", "0.2", "tests/wire (1 tests)"),
                ("4.0", "0.5", "fixtures of tests.core.test_a.A"),
                ("3.0", "0.2", _OTHER),
                ("2.0", "1.0", _TWO),
                ("1.0", "0.5", _ONE),
            ],
        )

    def test_unit_whose_fixtures_failed_counts_no_test(self):
        lines = make_table([UnitTimes(_ONE, Taken(1.0, 0.5), {})])
        self.assertIn("tests/core (0 tests)", lines[1])


if __name__ == "__main__":
    unittest.main()
