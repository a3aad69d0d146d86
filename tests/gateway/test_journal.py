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

    def test_lines_of_a_kind_are_limited_and_omitted_ones_are_counted(self):
        for _ in range(LINES_A_SECOND + 5):
            self.journal.write("request")
        self.journal.write("other")
        self.assertEqual(len(self.read()), LINES_A_SECOND + 1)
        self.clock.advance(1_000.0)
        self.journal.write("request")
        self.assertEqual(self.read()[0]["left_out"], 5)

    def test_a_stalled_reader_does_not_block_writes(self):
        """Guards against a blocked event loop when the log reader stalls.

        The pipe fills up.  A blocking write would then stop the event loop and with it
        every stream of the router.
        """
        for second in range(200):
            self.clock.advance(1_000.0)
            for _ in range(LINES_A_SECOND):
                self.journal.write("request", text="x" * 200, second=second)
        self.assertGreater(self.journal.dropped, 0)
