import contextlib
import io
import pathlib
import tempfile
import unittest

from anvilshift.operator.logs import count_unserved, read_lines, trace_request
from anvilshift.operator.main import Commands

LINES = """\
7.7 r1 {"at": 1, "wall": 70.0, "node": "r1", "event": "budget_refused", "tokens": 9}
9.1 r2 {"wall": 71.0, "node": "r2", "event": "attempt_failed", "id": "a", "target": "e"}
7.8 r1 {"node": "r1", "event": "request", "id": "a", "outcome": "whole after a break"}
9.2 r2 {"node": "r2", "event": "request", "id": "b", "organisation": "kosice",
9.2 r2 {"node": "r2", "event": "request", "id": "b", "organisation": "kosice", \
"outcome": "budget unreachable"}
12.0 r2 {"node": "r2", "event": "request", "id": "c", "outcome": "budget unreachable"}
12.1 r2 {"node": "r2", "event": "request", "id": "d", "target": "e", \
"outcome": "status 500"}
12.2 r2 {"node": "r2", "event": "request", "id": "d", "outcome": "status 404"}
a line of another program
"""


def read():
    return list(read_lines(LINES.splitlines()))


class LogsTest(unittest.TestCase):
    def test_torn_and_foreign_lines_are_passed_over(self):
        self.assertEqual(len(read()), 7)

    def test_a_request_is_followed_over_routers_in_order_of_time(self):
        found = trace_request(read(), "a")
        self.assertEqual(
            [(one.time, one.node) for one in found], [(7.8, "r1"), (9.1, "r2")]
        )

    def test_the_unserved_are_counted_by_cause_and_time(self):
        refused, failed = count_unserved(read())
        self.assertEqual((refused.outcome, refused.requests), ("budget unreachable", 2))
        self.assertEqual(dict(refused.by_period), {5.0: 1, 10.0: 1})
        self.assertEqual(dict(refused.organisations), {"kosice": 1})
        self.assertEqual(
            (failed.outcome, dict(failed.targets)), ("status 500", {"e": 1})
        )

    def test_a_line_without_a_prefix_has_the_routers_time(self):
        (line,) = read_lines(['{"wall": 70.5, "node": "r1", "event": "started"}'])
        self.assertEqual((line.time, line.fields), (70.5, {}))

    def test_both_commands_read_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "all.log"
            path.write_text(LINES)
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                Commands().unserved(str(path))
                Commands().trace("c", str(path))
        first, _, last = output.getvalue().splitlines()
        self.assertIn("2 budget unreachable; by time 5:1 10:1; organisations", first)
        self.assertEqual(last, "12.000 r2 request id=c outcome=budget unreachable")


if __name__ == "__main__":
    unittest.main()
