"""Limit how much one router sends to a target that many routers share.

Load pattern: many routers decide at once on late reports of the same target.
Without this, all of them send to the target that looked idle, its own queue
grows, and the next reports send all of them away again.

A report tells what ran and waited at an instant in the past.  The router knows
what it had there itself at that instant, so it can tell the rest from its own.
It may then hold what it had, and a part of the room that was left: its own
requests plus one over all requests plus one for each router.  These parts add
up to the room exactly, so no number of routers overfills a target; the one
with the most work takes the most; and as the parts are counted from the
instant of the report, repeating a late report changes nothing.  A target with
too much sheds in proportion.  Nobody gets less than an equal part, or a router
that came late would find every slot taken for ever.  A part below one request
is drawn by lot, so that forty routers don't all round it up.
"""

import random
from collections import deque

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import LoadReport

STALE: Millis = 2 * SECOND
"""Eight report intervals without a report: the figures are of another load."""
_UNREPORTED = 2.0
"""A target that doesn't report gets this multiple of an equal part from each
router, since not all are busy at once; its own queue takes the rest."""
_OWN_SHARE = 0.5
"""How much the others' load is taken to be like the own, which is up to date,
in place of the last report, which isn't.  Half was best on the traces of stale
reports and of a hot prefix; either alone was worse on one of them."""
_MOST_CHANGES = 1_000
"""Changes of the own number that are kept for a report to come: seconds of a
busy target, and a bound for one that never reports."""
_GROWTH = 1.0
_MOST_GROWTH = 2.0
"""A target that is full without a queue is offered one more with each report,
up to twice what is declared."""


class Limit:
    """How many requests this router may have at one target.

    Parameters
    ----------
    slots
        Requests that the target runs at once, as declared.

    Examples
    --------
    >>> limit = Limit(slots=8, routers=4)
    >>> limit.report(LoadReport("e1", 4, 0, as_of=0.0), now=0.0)
    >>> limit.part
    2.0
    """

    def __init__(self, slots: int, routers: int) -> None:
        self.own = 0
        self.part = 0.0
        self.others = 0
        self.waiting = 0
        self._declared = slots
        self._slots = float(slots)
        self._routers = max(1, routers)
        first = float("-inf"), 0
        self._history: deque[tuple[Millis, int]] = deque([first], _MOST_CHANGES)
        self._reported: Millis | None = None
        self._as_of: Millis = float("-inf")
        self._set_unreported()

    @property
    def routers(self) -> int:
        """Return how many routers share the target."""
        return self._routers

    @property
    def slots(self) -> float:
        """Return how many requests the target is believed to run at once."""
        return self._slots

    def set_routers(self, routers: int) -> None:
        """Take in how many routers share the target."""
        self._routers = max(1, routers)
        if self._reported is None:
            self._set_unreported()

    def set_slots(self, slots: int) -> None:
        """Take in another declaration."""
        if slots != self._declared:
            self._declared, self._slots = slots, float(slots)

    def _set_unreported(self) -> None:
        part = _UNREPORTED * self._slots / self._routers
        self.part = min(self._slots, max(1.0, part))

    def change(self, by: int, now: Millis) -> None:
        """Count own work that is sent or ends."""
        self.own += by
        self._history.append((now, self.own))

    def _own_at(self, instant: Millis) -> int:
        history = self._history
        while len(history) > 1 and history[1][0] <= instant:
            history.popleft()
        return history[0][1]

    def report(self, report: LoadReport, now: Millis) -> None:
        """Take in a report."""
        if report.as_of <= self._as_of:
            return
        self._as_of, self._reported = report.as_of, now
        self._learn_slots(report)
        self.waiting = report.waiting
        total = report.running + report.waiting
        own = min(self._own_at(report.as_of), total)
        self.others = total - own
        room = self._slots - total
        if room >= 0:
            self.part = own + room * (own + 1) / (total + self._routers)
        else:
            self.part = own * self._slots / total
        self.part = max(self.part, self._slots / self._routers)

    def _learn_slots(self, report: LoadReport) -> None:
        # A queue at the target shows how much it really runs at once.
        if report.waiting and report.running:
            self._slots = float(report.running)
        elif report.running >= self._slots:
            most = _MOST_GROWTH * self._declared
            self._slots = min(most, self._slots + _GROWTH)

    @property
    def reported(self) -> bool:
        """Tell whether the target reports its load."""
        return self._reported is not None

    def expire(self, now: Millis) -> bool:
        """Fall back to an equal part when reports have stopped.

        Returns
        -------
        bool
            Whether they have.
        """
        if self._reported is None or now - self._reported <= STALE:
            return False
        self._reported = None
        self.others = self.waiting = 0
        self._set_unreported()
        return True

    def draw_whole(self, rng: random.Random) -> int:
        """Return the part as a whole number, its fraction drawn by lot."""
        whole = int(self.part)
        return whole + (rng.random() < self.part - whole)

    def occupancy(self) -> float:
        """Return how full the target is, as far as one router can tell now."""
        spread = _OWN_SHARE * self.own * (self._routers - 1)
        others = (1.0 - _OWN_SHARE) * self.others + spread
        return (self.own + others) / max(self._slots, 1.0)
