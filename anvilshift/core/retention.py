"""Bound how long ago something happened by how much history the store still keeps.

A router that starts must know how long its host's former process can have been
out of the store's reach before it ended.  After a loss of power no clock of the
host tells: the steady clock begins anew, and the time of day may jump.

The platform's store discards each change once it is `history` old, or sooner.  So
while a revision can still be followed, the change after it is at most that old.
Routers note by when the change after a revision had happened, and write some of
these marks down; whoever finds the first of them that can still be followed knows
a bound on the time since.
"""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass

from anvilshift.core.clock import Millis

SLACK: Millis = 150.0
"""Added to the history that the store states: it discards a change some time after
that is over."""
_SPACING: Millis = 80.0
"""Least time between two marks: a few routers that record several times a second
make them no closer."""


@dataclass(frozen=True, order=True)
class Mark:
    """A revision, and an instant by which the change after it had happened."""

    followed: Millis
    revision: int


class MarkLog:
    """The marks of one router, by its own steady clock.

    A steady clock that stands still while the host is suspended makes a mark look
    younger than it is, so that the bound comes out longer, never shorter.

    Examples
    --------
    >>> marks = MarkLog(history=20_000.0)
    >>> marks.add(Mark(followed=1_000.0, revision=7))
    >>> [span for span, mark in marks.list_spans(anchor=18_000.0, most=8_000.0)]
    [3150.0]
    """

    def __init__(self, history: Millis) -> None:
        self.history = history
        self._marks: list[Mark] = []

    def add(self, mark: Mark) -> None:
        """Take in a mark, unless one lies close by."""
        if all(abs(one.followed - mark.followed) >= _SPACING for one in self._marks):
            insort(self._marks, mark)

    def expire(self, now: Millis) -> None:
        """Forget what the store has discarded."""
        oldest = now - self.history - SLACK
        self._marks = [mark for mark in self._marks if mark.followed >= oldest]

    def list_marks(self) -> tuple[Mark, ...]:
        """Return every mark, oldest first."""
        return tuple(self._marks)

    def recover(self, spans: Iterable[tuple[Millis, int]], instant: Millis) -> None:
        """Take in marks that a process before this one had listed.

        Without them a fleet that has lost all power could prove nothing of its own
        records until it had followed the store for most of the history's time.

        Parameters
        ----------
        spans
            Bounds on the time since an instant of the former process, and their
            revisions, as `list_spans` gives them.
        instant
            An instant of this process' clock that was no earlier than that one.
            The marks look younger by the time between, so that what they prove is
            a longer bound, never a shorter one.

        Examples
        --------
        >>> marks = MarkLog(history=20_000.0)
        >>> marks.recover([(3_150.0, 7)], instant=500.0)
        >>> marks.list_marks()
        (Mark(followed=-16500.0, revision=7),)
        """
        for span, revision in spans:
            self.add(Mark(instant - (self.history + SLACK - span), revision))

    def list_spans(self, anchor: Millis, most: Millis) -> list[tuple[Millis, Mark]]:
        """Return marks with the time since an instant that each can bound.

        Parameters
        ----------
        anchor
            The instant.
        most
            Longest bound that is of use.

        Returns
        -------
        list
            Shortest first.  While a mark's revision can be followed, less than its
            span has gone by since the instant.
        """
        spans = (
            (mark.followed + self.history + SLACK - anchor, mark)
            for mark in self._marks
        )
        return [(span, mark) for span, mark in spans if 0.0 < span <= most]


def thin(
    spans: Iterable[tuple[Millis, Mark]], step: Millis, part: float = 0.0
) -> list[tuple[Millis, Mark]]:
    """Return marks whose spans lie at least a step apart, the shortest kept.

    Parameters
    ----------
    part
        Part of the span before that the step is at least.

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
