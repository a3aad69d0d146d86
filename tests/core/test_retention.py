import unittest

from anvilshift.core.retention import RETENTION_MARGIN, Mark, MarkLog, thin

HISTORY = 20_000.0


class MarkLogTest(unittest.TestCase):
    def test_a_mark_bounds_the_time_since_a_later_instant(self):
        marks = MarkLog(HISTORY)
        marks.add(Mark(followed=2_000.0, revision=5))
        # Readable until 22 s at most, which is less than 4 s after 18 s.
        spans = marks.list_bounds(anchor=18_000.0, most=8_000.0)
        self.assertEqual(spans, [(4_000.0 + RETENTION_MARGIN, Mark(2_000.0, 5))])

    def test_recovered_marks_prove_no_shorter_bound_than_before(self):
        """A process ends 2 s after it has recorded its marks; the next one starts.

        By the first process' clock a revision is readable until 4.15 s after the
        record.  The next process can't tell how long ago that was, and counts from
        its own start.
        """
        first, second = MarkLog(HISTORY), MarkLog(HISTORY)
        first.add(Mark(followed=2_000.0, revision=5))
        listed = first.list_bounds(anchor=18_000.0, most=8_000.0)
        second.recover([(span, mark.revision) for span, mark in listed], 100.0)
        (span, mark) = second.list_bounds(anchor=100.0, most=8_000.0)[0]
        self.assertEqual((span, mark.revision), (4_000.0 + RETENTION_MARGIN, 5))

    def test_marks_that_prove_no_useful_bound_are_omitted(self):
        marks = MarkLog(HISTORY)
        for second in range(21):
            marks.add(Mark(second * 1_000.0, second))
        spans = marks.list_bounds(anchor=20_500.0, most=3_000.0)
        # Revision 0 is already discarded; those above 3 prove only more than 3 s.
        self.assertEqual([mark.revision for _, mark in spans], [1, 2, 3])

    def test_the_shortest_bound_comes_first(self):
        marks = MarkLog(HISTORY)
        marks.add(Mark(3_000.0, 9))
        marks.add(Mark(1_000.0, 4))
        spans = marks.list_bounds(anchor=18_000.0, most=8_000.0)
        self.assertEqual([mark.revision for _, mark in spans], [4, 9])

    def test_a_mark_close_to_another_is_not_added(self):
        marks = MarkLog(HISTORY)
        for at in (0.0, 50.0, 79.0, 80.0, 400.0):
            marks.add(Mark(at, int(at)))
        self.assertEqual([m.revision for m in marks.list_marks()], [0, 80, 400])

    def test_a_mark_between_others_is_compared_with_both(self):
        """Guards against marks that stand too close because only one side is seen."""
        marks = MarkLog(HISTORY)
        for at in (0.0, 800.0, 400.0, 321.0, 479.0, 200.0, 480.0):
            marks.add(Mark(at, int(at)))
        self.assertEqual(
            [m.revision for m in marks.list_marks()], [0, 200, 400, 480, 800]
        )

    def test_only_bounds_in_the_range_are_listed(self):
        """Guards against a bound of exactly the most that is left out, or one of 0."""
        marks = MarkLog(HISTORY)
        for at in (850.0, 1_850.0, 2_850.0):
            marks.add(Mark(at, int(at)))
        spans = marks.list_bounds(anchor=21_000.0, most=2_000.0)
        self.assertEqual([span for span, _ in spans], [1_000.0, 2_000.0])

    def test_marks_of_discarded_history_are_removed(self):
        marks = MarkLog(HISTORY)
        marks.add(Mark(0.0, 1))
        marks.add(Mark(5_000.0, 2))
        marks.expire(now=21_000.0)
        self.assertEqual([m.revision for m in marks.list_marks()], [2])

    def test_long_spans_are_thinned_by_a_fraction_of_their_length(self):
        spans = [(float(at), Mark(0.0, at)) for at in (1_000, 1_100, 1_200, 1_210)]
        # A fifth of 1,000 is 200, so the span of 1,100 is too close.
        kept = [span for span, _ in thin(spans, 100.0, 0.2)]
        self.assertEqual(kept, [1_000.0, 1_200.0])

    def test_thinned_spans_keep_the_shortest_of_each_step(self):
        spans = [(float(at), Mark(0.0, at)) for at in (100, 150, 320, 330, 600)]
        self.assertEqual([s for s, _ in thin(spans, 200.0)], [100.0, 320.0, 600.0])
