"""Limit how much one router sends to a target that many routers share.

Load pattern: many routers decide concurrently on delayed reports of the same target.
Without limits, all of them send to the target that was idle in the last report, its
queue grows, and after the next reports all of them avoid it: the load oscillates.

A report states how many requests ran and waited at an instant in the past.  The
router remembers its own requests at that instant, and subtracts them to get those
of the other routers.  Its share of the target is its own requests plus a fraction of
the free slots: (own + 1) / (total + routers).  The fractions of all routers add up
to one, so they don't overload a target, however many they are; the router with the
most work gets the most; and as shares are computed for the instant of the report,
applying a delayed report again changes nothing.  If a target has more requests than
slots, each router's share is reduced in proportion.  No share is less than an equal
one, even where the shares then exceed the slots, or a router that joins later would
never get a slot.  The fraction of a share is rounded at random, so that forty routers
don't all round it up.
"""

import random
from collections import deque

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import LoadReport

STALE_AFTER: Millis = 2 * SECOND
"""Age above which a report is out of date, eight report intervals: the load has
changed since."""
_UNREPORTED_FACTOR = 2.0
"""Multiple of an equal share that each router may use of a target that doesn't
report, since not all routers are busy at once; the target queues any excess."""
_OWN_WEIGHT = 0.5
"""Weight of the router's own current load in the estimate of the other routers' load;
the rest is that of the last report, which is delayed.  Half was best on the traces of
stale reports and of a hot prefix; either source alone was worse on one of them."""
_MAX_CHANGES = 1_000
"""Changes of the router's own request count that are kept for a future report: some
seconds of a busy target, and a bound for a target that never reports."""
_GROWTH = 1.0
_MAX_GROWTH_FACTOR = 2.0
"""The estimated slots of a target that is full without a queue grow by _GROWTH with
each report, up to this multiple of the declared ones."""


class ConcurrencyLimit:
    """The number of requests that this router may have at one target.

    Parameters
    ----------
    slots
        Requests that the target runs concurrently, as declared.
    routers
        Routers that share the target.

    Attributes
    ----------
    own
        Requests of this router at the target.
    share
        Requests that this router may have there; it needn't be an integer.
    others
        Requests of the other routers in the last report.
    waiting
        Requests in the target's own queue in the last report.

    Examples
    --------
    >>> limit = ConcurrencyLimit(slots=8, routers=4)
    >>> limit.report(LoadReport("e1", 4, 0, as_of=0.0), now=0.0)
    >>> limit.share
    2.0
    """

    def __init__(self, slots: int, routers: int) -> None:
        self.own = 0
        self.share = 0.0
        self.others = 0
        self.waiting = 0
        self._declared = slots
        self._slots = float(slots)
        self._routers = max(1, routers)
        initial = float("-inf"), 0
        self._history: deque[tuple[Millis, int]] = deque([initial], _MAX_CHANGES)
        self._reported: Millis | None = None
        self._as_of: Millis = float("-inf")
        self._set_unreported()

    @property
    def routers(self) -> int:
        """Return the number of routers that share the target."""
        return self._routers

    @property
    def slots(self) -> float:
        """Return the estimated number of requests that the target runs concurrently."""
        return self._slots

    def set_routers(self, routers: int) -> None:
        """Set the number of routers that share the target."""
        self._routers = max(1, routers)
        if self._reported is None:
            self._set_unreported()

    def set_slots(self, slots: int) -> None:
        """Set the declared slots; keep the estimate if they haven't changed."""
        if slots != self._declared:
            self._declared, self._slots = slots, float(slots)

    def _set_unreported(self) -> None:
        share = _UNREPORTED_FACTOR * self._slots / self._routers
        self.share = min(self._slots, max(1.0, share))

    def change(self, by: int, now: Millis) -> None:
        """Change the count of this router's requests when one is sent or ends.

        Parameters
        ----------
        by
            +1 for a request that is sent, -1 for one that ends.
        """
        self.own += by
        self._history.append((now, self.own))

    def _find_own_at(self, instant: Millis) -> int:
        history = self._history
        while len(history) > 1 and history[1][0] <= instant:
            history.popleft()
        return history[0][1]

    def report(self, report: LoadReport, now: Millis) -> None:
        """Compute the share from a load report; ignore one that isn't newer."""
        if report.as_of <= self._as_of:
            return
        self._as_of, self._reported = report.as_of, now
        self._estimate_slots(report)
        self.waiting = report.waiting
        total = report.running + report.waiting
        own = min(self._find_own_at(report.as_of), total)
        self.others = total - own
        room = self._slots - total
        if room >= 0:
            self.share = own + room * (own + 1) / (total + self._routers)
        else:
            self.share = own * self._slots / total
        self.share = max(self.share, self._slots / self._routers)

    def _estimate_slots(self, report: LoadReport) -> None:
        # When requests wait at the target, those that run show its actual slots.
        if report.waiting and report.running:
            self._slots = float(report.running)
        elif report.running >= self._slots:
            most = _MAX_GROWTH_FACTOR * self._declared
            self._slots = min(most, self._slots + _GROWTH)

    @property
    def reported(self) -> bool:
        """Return whether the target reports its load."""
        return self._reported is not None

    def expire(self, now: Millis) -> bool:
        """Fall back to the share for unreported load when reports have stopped.

        Returns
        -------
        bool
            Whether it fell back.
        """
        if self._reported is None or now - self._reported <= STALE_AFTER:
            return False
        self._reported = None
        self.others = self.waiting = 0
        self._set_unreported()
        return True

    def round_randomly(self, rng: random.Random) -> int:
        """Return the share, rounded up with the probability of its fraction."""
        whole = int(self.share)
        return whole + (rng.random() < self.share - whole)

    def occupancy(self) -> float:
        """Return the estimated requests at the target relative to its slots."""
        extrapolated = _OWN_WEIGHT * self.own * (self._routers - 1)
        others = (1.0 - _OWN_WEIGHT) * self.others + extrapolated
        return (self.own + others) / max(self._slots, 1.0)
