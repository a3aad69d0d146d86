"""Keep what a target tells about its load, for as long as it can be true.

Load pattern: targets share their hosts with other work and run 2.5 times as long for
moments, and many routers send to each.  A router that doesn't read what they tell goes
on sending to the one that has just become slow.  One that trusts an old figure, or puts
the told number of requests in the place of those that it knows of, sends with all other
readers of the figure to the target that looked idle.

A figure counts less with its age, and for nothing once it can't be true any more.  The
told requests only add those that this router hasn't heard of to those that it knows.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from anvilshift.core.clock import Millis

SLOWNESS_VALID: Millis = 1_000.0
"""Age from which a told slowness says nothing about now: other work comes and goes many
times a second."""
REQUESTS_VALID: Millis = 500.0
"""Age from which told requests count for nothing: most of them have ended."""
UNHEARD_VALID: Millis = 1_000.0
"""Age up to which told requests count in full where a target's memory is at stake."""
_NEWS_DELAY: Millis = 20.0
"""Time in which another router's message about a run arrives that is told already."""
_MAX_REQUESTS = 100_000
"""More requests than this at one target are absurd."""
_PERCENT = 100.0
_FASTEST, _SLOWEST = 0.1, 20.0
"""Bounds of a slowness that can be true."""
_NOTABLY_SLOW = 1.25
"""Slowness relative to the usual from which other routers are told in any case."""
_NOTABLY_FULL = 0.75
"""Requests relative to the slots from which they are: the rest is soon taken."""
_FIGURES = (3, 4)
"""Numbers of figures that a target may tell."""


@dataclass(frozen=True)
class ToldLoad:
    """The load that a target tells.

    Parameters
    ----------
    running, waiting
        Requests that it runs, and those that wait for a slot.
    slots
        Requests that it runs at once.
    slowness
        How long work takes there now, 1 at the reference; None if it doesn't tell.

    Examples
    --------
    >>> ToldLoad.from_figures([3, 0, 8, 250])
    ToldLoad(running=3, waiting=0, slots=8, slowness=2.5)
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @classmethod
    def from_figures(cls, figures: Sequence[float]) -> "ToldLoad":
        """Return the load that three or four figures tell, the fourth in percent.

        Raises
        ------
        ValueError
            When there are other figures, or some that can't be true.
        """
        if len(figures) not in _FIGURES or not all(math.isfinite(f) for f in figures):
            raise ValueError("not three or four finite figures")
        running, waiting, slots = (int(figure) for figure in figures[:3])
        if not 1 <= slots <= _MAX_REQUESTS or min(running, waiting) < 0:
            raise ValueError("a number of slots or requests is out of range")
        if running + waiting > _MAX_REQUESTS:
            raise ValueError("more requests than a target can have")
        if len(figures) < _FIGURES[-1]:
            return cls(running, waiting, slots)
        slowness = figures[3] / _PERCENT
        if not _FASTEST <= slowness <= _SLOWEST:
            raise ValueError("the slowness is out of range")
        return cls(running, waiting, slots, slowness)

    @property
    def requests(self) -> int:
        """Return the requests that it runs or that wait there."""
        return self.running + self.waiting

    def list_figures(self) -> tuple[float, ...]:
        """Return the figures from which `from_figures` makes an equal load."""
        figures = (self.running, self.waiting, self.slots)
        if self.slowness is None:
            return figures
        return *figures, round(self.slowness * _PERCENT, 1)


@dataclass
class LoadReport:
    """The last load that a target told, when that was, and what was known then.

    Parameters
    ----------
    at
        When the target told it, by this router's clock.
    known
        How many of its runs this router knew of then.

    Examples
    --------
    >>> report = LoadReport(ToldLoad(5, 1, 8, slowness=2.0), at=0.0, known=4)
    >>> report.find_slowness(1.0, now=0.0), report.count_unknown(now=0.0)
    (2.0, 2.0)
    >>> report.find_slowness(1.0, now=500.0), report.find_slowness(1.0, now=1_000.0)
    (1.5, 1.0)
    """

    load: ToldLoad
    at: Millis
    known: int

    def find_slowness(self, usual: float, now: Millis) -> float:
        """Return how long work takes now: what was told, with its age what is usual."""
        slowness = usual if self.load.slowness is None else self.load.slowness
        return usual + (slowness - usual) * self._weigh(now, SLOWNESS_VALID)

    def count_unknown(self, now: Millis) -> float:
        """Return the requests at the target that this router hasn't heard of.

        Where it knows of more than were told, some have ended meanwhile or are still
        on their way; what it knows isn't corrected then.
        """
        unknown = max(0, self.load.requests - self.known)
        return unknown * self._weigh(now, REQUESTS_VALID)

    def count_unheard(self, now: Millis) -> int | None:
        """Return the requests that this router hasn't heard of, however old the figure.

        None if it is too old to say anything.
        """
        if now - self.at > UNHEARD_VALID:
            return None
        return max(0, self.load.requests - self.known)

    def record_news(self, now: Millis) -> None:
        """Record that another router told of a run: the report may contain it."""
        if now - self.at <= _NEWS_DELAY:
            self.known += 1

    def is_notable(self, usual: float) -> bool:
        """Return whether it tells of a target that others should know to avoid.

        Parameters
        ----------
        usual
            How long work takes there usually.
        """
        slowness = self.load.slowness
        is_slow = slowness is not None and slowness >= _NOTABLY_SLOW * usual
        return is_slow or self.load.requests >= _NOTABLY_FULL * self.load.slots

    def _weigh(self, now: Millis, valid: Millis) -> float:
        """Return the weight of a figure, from 1 when it was told to 0."""
        return min(1.0, max(0.0, 1.0 - (now - self.at) / valid))
