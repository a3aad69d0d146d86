"""The rate of requests that a target accepts for some seconds after its start.

Load pattern: a failure domain returns with twenty cold targets at once.  They are idle,
so that every router sends its next requests to them.  A cold target crashes if all
routers together send it more than its rate, and some routers don't know it is cold yet.

One router issues the permits to send to a cold target.  The routers may disagree for
a moment about which one it is, so the issuers' rate is chosen such that the permits of
two issuers together are still below the bound.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

PERMIT_LIFETIME: Millis = 150.0
"""Time in which a permit has to be used.  Permits that wait behind a slow connection
would all be used in one second; a connection to a target in reach opens in a tenth of
this time."""
_USED_PART = 0.85
"""Largest part of the rate that permits are issued for."""
_UNAWARE_SENDS = 1.0
"""Requests in a second that routers send which don't know yet that a target is cold."""
_ISSUERS = 2
"""Routers that may issue permits at once while the routers' views differ."""
_MIN_RATE = 0.1
_MIN_PART = 0.25
"""Smallest part of the routers that sends to cold targets while it is separated from
the others: each such group may send one request more than its part in a second."""
_STEADY_INTERVALS = 2
"""Heartbeat intervals without new routers after which a view is complete: a router that
starts hears from all others within one interval unless a datagram is lost."""
_ABSENT_RETENTION: Millis = 900 * SECOND
"""How long a router that was lost may be sending on the other side of a partition."""
_MAX_TIME: Millis = 60 * SECOND
"""Longest time for which a target is believed to be cold."""


@dataclass(frozen=True)
class ColdNeeds:
    """What the targets of a service need after a start.

    Parameters
    ----------
    rate
        Requests per second that a cold target accepts from all routers together.
    lasts
        Time for which it is cold.
    """

    rate: float
    lasts: Millis


@dataclass(frozen=True)
class ColdBounds:
    """How far the rate of a cold target may be exceeded in any one second.

    Parameters
    ----------
    overage
        Factor on the rate.
    allowance
        Requests per second beyond that.
    """

    overage: float = 1.5
    allowance: float = 5.0

    def find_most(self, rate: float) -> float:
        """Return the most requests in any one second.

        Examples
        --------
        >>> ColdBounds(1.5, 5.0).find_most(7.0)
        15.5
        """
        return rate * self.overage + self.allowance


def find_permit_rate(rate: float, bounds: ColdBounds) -> float:
    """Return the permits per second that one issuer grants for a cold target.

    Permits are evenly spaced and used within their lifetime, so those that are used in
    one second were issued in a second and a lifetime.

    Parameters
    ----------
    rate
        Requests per second that the target accepts.

    Examples
    --------
    >>> round(find_permit_rate(7.0, ColdBounds(1.5, 5.0)), 2)
    5.43
    >>> find_permit_rate(2.0, ColdBounds(1.5, 5.0))
    1.7
    """
    each = (bounds.find_most(rate) - _UNAWARE_SENDS) / _ISSUERS
    span = (SECOND + PERMIT_LIFETIME) / SECOND
    return max(_MIN_RATE, min(_USED_PART * rate, (each - 1.0) / span))


@dataclass(frozen=True)
class ColdTerm:
    """The time for which a target is cold.

    Parameters
    ----------
    rate
        Permits per second that its issuer grants.
    presumed
        When it was presumed to be cold; None if it wasn't.
    told
        End of the time for which it has said that it is cold.

    Examples
    --------
    >>> term = ColdTerm(5.0, until=3_000.0)
    >>> term.is_over(2_999.0), term.is_over(3_000.0)
    (False, True)
    """

    rate: float
    until: Millis
    presumed: Millis | None = None
    told: Millis = -math.inf

    def is_over(self, now: Millis) -> bool:
        """Return whether the target accepts requests as usual again."""
        return now >= self.until


def find_end(left: Millis, now: Millis) -> Millis:
    """Return the end of a cold time that lasts for some time from now.

    Examples
    --------
    >>> find_end(2_000.0, 500.0), find_end(float("nan"), 0.0)
    (2500.0, 60000.0)
    """
    return now + (min(left, _MAX_TIME) if left >= 0.0 else _MAX_TIME)


def find_next(sends: Iterable[Millis], rate: float, now: Millis) -> Millis:
    """Return when the next request may be sent to a cold target.

    Requests are at least an even gap apart, and no second holds more than the rate,
    including those that were sent before the target was known to be cold.

    Examples
    --------
    >>> find_next([0.0], rate=5.0, now=50.0)
    200.0
    >>> find_next([10.0 * n for n in range(6)], rate=5.0, now=50.0)
    1010.0
    """
    most = max(1, math.ceil(rate))
    latest = sorted(sends)[-most:]
    if not latest:
        return now
    free = latest[0] + SECOND if len(latest) == most else now
    return max(now, latest[-1] + SECOND / rate, free)


class SteadyView:
    """Which routers are present, how many may be elsewhere, and since when.

    A router with a partial view takes itself for the issuer of too many targets.

    Parameters
    ----------
    now
        When this router started, or went on after a suspension.

    Examples
    --------
    >>> view = SteadyView(now=0.0)
    >>> view.update({"b", "c", "d"}, {"b", "c", "d"}, set(), 100.0, interval=300.0)
    >>> view.find_part(100.0), view.find_opening(100.0, math.inf)
    (1.0, 700.0)
    >>> view.update(set(), {"b", "c", "d"}, set(), 1_000.0, interval=300.0)
    >>> view.find_part(1_000.0)
    0.0
    """

    def __init__(self, now: Millis) -> None:
        self._present: frozenset[str] = frozenset()
        self._absent: dict[str, Millis] = {}
        self._left: set[str] = set()
        self._steady_since = now
        self._settling: Millis = math.inf
        self._last_added: Millis = -math.inf

    def restart(self, now: Millis) -> None:
        """Begin again, because the view may be outdated."""
        self._steady_since = now

    def update(
        self,
        present: Collection[str],
        known: Collection[str],
        leaving: Collection[str],
        now: Millis,
        interval: Millis,
    ) -> None:
        """Update the view of the other routers.

        Parameters
        ----------
        present, leaving
            Other routers that are reachable, and those of them that are stopping.
        known
            Other routers that may exist.
        interval
            Interval of the routers' heartbeats.
        """
        self._settling = _STEADY_INTERVALS * interval
        added = frozenset(present) - self._present
        if added:
            # One more router changes the issuers of its own targets only, and it waits
            # itself; more of them are a part of the routers that this one hadn't seen.
            if len(added) > 1 or now - self._last_added < self._settling:
                self._steady_since = now
            self._last_added = now
        self._present = frozenset(present)
        self._left = (self._left | set(leaving)) - (self._present - set(leaving))
        unseen = set(known) - self._present - self._left
        self._absent = {name: self._absent.get(name, now) for name in unseen}

    def find_part(self, now: Millis) -> float:
        """Return the part of a cold target's rate that the present routers may use.

        It is 0 for a router that sees none of the others, and for a small group.
        """
        absent = sum(now - at < _ABSENT_RETENTION for at in self._absent.values())
        if self._absent and not self._present:
            return 0.0
        part = (1 + len(self._present)) / (1 + len(self._present) + absent)
        return part if part >= _MIN_PART else 0.0

    def find_opening(self, now: Millis, end: Millis) -> Millis:
        """Return when this router may issue permits for a target that is cold.

        Parameters
        ----------
        end
            When the target is cold no more.
        """
        if self.find_part(now) <= 0.0:
            return end
        return min(end, self._steady_since + self._settling)
