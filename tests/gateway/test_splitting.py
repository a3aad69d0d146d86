import unittest

from hypothesis import given
from hypothesis import strategies as st

from anvilshift.gateway.splitting import EventSplitter

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))


class EventSplitterTest(unittest.TestCase):
    def test_an_incomplete_event_is_not_returned(self):
        splitter = EventSplitter()
        self.assertEqual(
            splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"),
            STREAM[:0] + b"id: 1\ndata: a\n\n",
        )
        self.assertEqual(splitter.rest, b"id: 2\nda")
        self.assertEqual((splitter.count, splitter.last_id), (1, "1"))

    def test_an_event_without_an_id_keeps_the_last_id(self):
        splitter = EventSplitter()
        splitter.feed(b"id:7\ndata: a\n\n")
        splitter.feed(b"data: b\n\n")
        self.assertEqual((splitter.count, splitter.last_id), (2, "7"))

    def test_an_id_inside_a_data_line_is_ignored(self):
        splitter = EventSplitter()
        splitter.feed(b"data: id: 9\n\n")
        self.assertIsNone(splitter.last_id)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_complete_events_are_returned_for_any_split_of_the_bytes(self, cuts):
        splitter, out, at = EventSplitter(), b"", 0
        for cut in [*sorted(cuts), len(STREAM)]:
            whole = splitter.feed(STREAM[at:cut])
            self.assertTrue(not whole or whole.endswith(b"\n\n"))
            out += whole
            at = cut
        self.assertEqual((out, splitter.rest), (STREAM, b""))
        self.assertEqual((splitter.count, splitter.last_id), (8, "8"))
