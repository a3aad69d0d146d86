import json
import os
import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.gateway.journal import LINES_A_SECOND, Journal


class JournalTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.clock = ManualClock(start=5_000.0)
        self.journal = Journal("n1", self.clock, self.writer)

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def read(self) -> list[dict]:
        return [json.loads(line) for line in os.read(self.reader, 10**6).splitlines()]

    def test_a_line_is_one_json_object(self):
        self.journal.write("request", id="7", kind="x")
        (line,) = self.read()
        self.assertEqual(
            (line["event"], line["node"], line["id"]), ("request", "n1", "7")
        )

    def test_lines_of_a_kind_are_bounded_and_what_was_left_out_is_counted(self):
        for _ in range(LINES_A_SECOND + 5):
            self.journal.write("request")
        self.journal.write("other")
        self.assertEqual(len(self.read()), LINES_A_SECOND + 1)
        self.clock.advance(1_000.0)
        self.journal.write("request")
        self.assertEqual(self.read()[0]["left_out"], 5)

    def test_a_reader_that_stalls_blocks_nothing(self):
        """Whoever reads the logs stops; the pipe fills.

        A write that waited would stop the whole loop, and with it every
        stream of the router.
        """
        for second in range(200):
            self.clock.advance(1_000.0)
            for _ in range(LINES_A_SECOND):
                self.journal.write("request", text="x" * 200, second=second)
        self.assertGreater(self.journal.dropped, 0)
