import unittest

from hypothesis import given
from hypothesis import strategies as st

from anvilshift.gateway.splitting import EventSplitter

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))


class EventSplitterTest(unittest.TestCase):
    def test_an_event_that_came_in_part_is_held_back(self):
        splitter = EventSplitter()
        self.assertEqual(
            splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"),
            STREAM[:0] + b"id: 1\ndata: a\n\n",
        )
        self.assertEqual(splitter.rest, b"id: 2\nda")
        self.assertEqual((splitter.count, splitter.last_id), (1, "1"))

    def test_an_event_without_an_id_leaves_the_last_one(self):
        splitter = EventSplitter()
        splitter.feed(b"id:7\ndata: a\n\n")
        splitter.feed(b"data: b\n\n")
        self.assertEqual((splitter.count, splitter.last_id), (2, "7"))

    def test_an_id_in_a_data_line_is_none(self):
        splitter = EventSplitter()
        splitter.feed(b"data: id: 9\n\n")
        self.assertIsNone(splitter.last_id)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_whole_events_come_out_however_the_bytes_are_cut(self, cuts):
        splitter, out, at = EventSplitter(), b"", 0
        for cut in [*sorted(cuts), len(STREAM)]:
            whole = splitter.feed(STREAM[at:cut])
            self.assertTrue(not whole or whole.endswith(b"\n\n"))
            out += whole
            at = cut
        self.assertEqual((out, splitter.rest), (STREAM, b""))
        self.assertEqual((splitter.count, splitter.last_id), (8, "8"))
