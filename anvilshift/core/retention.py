"""Bound the time since an event by how much history the store still retains.

A router that starts must know how long its host's former process can have gone on
without the store before it ended.  After a loss of power, no clock of the host
can measure that: the steady clock restarts, and the time of day may jump.

The platform's store discards each change once it is `history` old, or sooner.  So
as long as changes can be followed from a revision, the change after it is at most
that old.  Routers note an instant by which the change after a revision had happened,
a mark, and record some of their marks.  The oldest recorded mark whose revision can
still be followed gives the tightest bound on the time since they were recorded.
"""

from bisect import bisect
from collections.abc import Iterable
from dataclasses import dataclass

from anvilshift.core.clock import Millis

RETENTION_MARGIN: Millis = 150.0
"""Margin added to the retention time that the store states, because it discards a
change some time after the retention time has passed."""
_MIN_SPACING: Millis = 80.0
"""Minimum time between two marks.  The records of a few routers, each written several
times a second, are no closer together."""


@dataclass(frozen=True, order=True)
class Mark:
    """A revision, and an instant by which the change after it had happened.

    Parameters
    ----------
    followed
        The instant, by the router's steady clock.
    revision
        The revision of the store.
    """

    followed: Millis
    revision: int


class MarkLog:
    """The marks of one router, by its own steady clock.

    A steady clock that stops while the host is suspended makes a mark appear more
    recent than it is, so the resulting bound is longer, never shorter.

    Parameters
    ----------
    history
        Time for which the store states that it retains a change.

    Examples
    --------
    >>> marks = MarkLog(history=20_000.0)
    >>> marks.add(Mark(followed=1_000.0, revision=7))
    >>> [span for span, mark in marks.list_bounds(anchor=18_000.0, most=8_000.0)]
    [3150.0]
    """

    def __init__(self, history: Millis) -> None:
        self.history = history
        self._marks: list[Mark] = []

    def add(self, mark: Mark) -> None:
        """Add a mark, unless another is less than the minimum spacing away."""
        index = bisect(self._marks, mark)
        neighbours = self._marks[max(0, index - 1) : index + 1]
        if all(abs(one.followed - mark.followed) >= _MIN_SPACING for one in neighbours):
            self._marks.insert(index, mark)

    def expire(self, now: Millis) -> None:
        """Remove marks that the store's history no longer reaches back to."""
        oldest = now - self.history - RETENTION_MARGIN
        self._marks = [mark for mark in self._marks if mark.followed >= oldest]

    def list_marks(self) -> tuple[Mark, ...]:
        """Return every mark, oldest first."""
        return tuple(self._marks)

    def recover(self, spans: Iterable[tuple[Millis, int]], instant: Millis) -> None:
        """Add marks that a former process had recorded.

        Without them, after a loss of power of all routers, a fleet could prove no
        bound for its own records until it had followed the store for most of the
        retention time.

        Parameters
        ----------
        spans
            Bounds on the time since an instant of the former process, with their
            revisions, as `list_bounds` returns them.
        instant
            An instant of this process' clock, no earlier than the former one.  The
            marks appear more recent by the time between the two instants, so they
            prove longer bounds, never shorter ones.

        Examples
        --------
        >>> marks = MarkLog(history=20_000.0)
        >>> marks.recover([(3_150.0, 7)], instant=500.0)
        >>> marks.list_marks()
        (Mark(followed=-16500.0, revision=7),)
        """
        for span, revision in spans:
            self.add(Mark(instant - (self.history + RETENTION_MARGIN - span), revision))

    def list_bounds(self, anchor: Millis, most: Millis) -> list[tuple[Millis, Mark]]:
        """Return marks with the bound that each proves on the time since an instant.

        Parameters
        ----------
        anchor
            The instant.
        most
            Longest useful bound.

        Returns
        -------
        list
            Bounds with their marks, shortest first.  As long as a mark's revision can
            be followed, less time than the bound has passed since the instant.
        """

        def find_span(mark: Mark) -> Millis:
            return mark.followed + self.history + RETENTION_MARGIN - anchor

        # The marks stand in order: only those in the range are looked at.
        first = bisect(self._marks, 0.0, key=find_span)
        last = bisect(self._marks, most, lo=first, key=find_span)
        return [(find_span(mark), mark) for mark in self._marks[first:last]]


def thin(
    spans: Iterable[tuple[Millis, Mark]], step: Millis, part: float = 0.0
) -> list[tuple[Millis, Mark]]:
    """Return the shortest span and those at least a step longer than the one before.

    Parameters
    ----------
    spans
        Marks with their spans, shortest first.
    step
        Minimum difference between two consecutive spans of the result.
    part
        Minimum difference as a fraction of the shorter of the two spans.

    Examples
    --------
    >>> marks = [(1.0, Mark(0.0, 1)), (2.0, Mark(1.0, 2)), (9.0, Mark(8.0, 3))]
    >>> [span for span, mark in thin(marks, 5.0)]
    [1.0, 9.0]
    """
    kept: list[tuple[Millis, Mark]] = []
    for span, mark in spans:
        if not kept or span - kept[-1][0] >= max(step, part * kept[-1][0]):
            kept.append((span, mark))
    return kept
