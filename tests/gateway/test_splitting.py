import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.splitting import EventSplitter
from anvilshift.wire.eventlines import BYTE_ORDER_MARK

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


LINES = st.sampled_from(
    [b"", b"", b"data: x", b"data", b"id: 7", b"id:8", b"event: a", b"retry: 9", b": p"]
)
LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])


def read_whole(data: bytes) -> tuple[int, str | None, bool]:
    """Return events, last id and whether the bytes end inside an event.

    This reads all bytes at once, by the rules of the standard.
    """
    data = data.removeprefix(BYTE_ORDER_MARK)
    *lines, partial = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
    count, buffered_id, last_id, names = 0, None, None, set()
    for line in lines:
        name, _, value = line.partition(b":")
        if not line:
            count += b"data" in names
            last_id = buffered_id
            names.clear()
        elif name in (b"data", b"event", b"id"):
            names.add(name)
        if name == b"id":
            buffered_id = value.removeprefix(b" ").decode()
    cut_line = bool(partial) and not partial.startswith(b":")
    return count, last_id, bool(names) or cut_line


class StandardTest(unittest.TestCase):
    """Streams as the standard allows them, beyond those that engines usually send."""

    @given(
        st.lists(st.tuples(LINES, LINE_ENDS), max_size=24),
        st.booleans(),
        st.lists(st.integers(0, 240), max_size=6),
        st.integers(0, 240),
    )
    def test_any_stream_cut_anywhere_gives_complete_events_only(
        self, lines, marked, cuts, end
    ):
        """Guards against a half event that is passed on or taken for a whole one."""
        stream = BYTE_ORDER_MARK * marked + b"".join(a + b for a, b in lines)
        stream = stream[:end]
        splitter, out, at = EventSplitter(), b"", 0
        for cut in [*sorted(min(cut, end) for cut in cuts), end]:
            out += splitter.feed(stream[at:cut])
            at = cut
        count, last_id, inside = read_whole(stream)
        self.assertEqual(out + splitter.rest, stream)
        self.assertEqual((splitter.count, splitter.last_id), (count, last_id))
        self.assertEqual(splitter.is_inside_event, inside)
        self.assertEqual(read_whole(out)[0], count)
        self.assertFalse(read_whole(out)[2])

    def test_a_comment_is_no_event_and_no_part_of_one(self):
        splitter = EventSplitter()
        self.assertEqual(
            splitter.feed(b"data: a\n\n: ping\n\n: pi"), b"data: a\n\n: ping\n\n"
        )
        self.assertEqual((splitter.count, splitter.is_inside_event), (1, False))

    def test_nothing_is_returned_before_the_first_event(self):
        """Guards against a comment after which no honest error can be answered."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b": ping\n\n"), b"")
        self.assertEqual(splitter.feed(b"data: a\n\n"), b": ping\n\ndata: a\n\n")

    def test_byte_order_mark_of_a_resumed_stream_is_left_out(self):
        """Guards against a mark in the midst of an answer, which spoils a line."""
        splitter = EventSplitter(resumed=True)
        self.assertEqual(splitter.feed(BYTE_ORDER_MARK + b"id: 4\n"), b"")
        self.assertEqual(splitter.feed(b"data: a\n\n"), b"id: 4\ndata: a\n\n")

    def test_a_line_feed_after_a_carriage_return_of_another_part_ends_nothing(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: a\r\n\r"), b"data: a\r\n\r")
        self.assertEqual(splitter.feed(b"\ndata: b\r\n"), b"")
        self.assertEqual((splitter.count, splitter.is_inside_event), (1, True))

    def test_event_beyond_the_size_limit_is_an_error(self):
        """Guards against a target that uses up the router's memory with one event."""
        splitter = EventSplitter()
        splitter.feed(b"data: ")
        with self.assertRaises(AnvilshiftError):
            for _ in range(9):
                splitter.feed(b"x" * 1024 * 1024)

    def test_cost_of_a_long_event_grows_with_its_length_alone(self):
        """Guards against a long event in small parts that stops the event loop."""

        def measure(parts: int) -> float:
            splitter = EventSplitter()
            began = time.process_time()
            for _ in range(parts):
                splitter.feed(b"x" * 40)
            return time.process_time() - began

        measure(1_000)
        short = min(measure(20_000) for _ in range(3))
        long = min(measure(160_000) for _ in range(3))
        # Eight times the length; a quadratic cost would be 64 times as much.
        self.assertLess(long / short, 24)
