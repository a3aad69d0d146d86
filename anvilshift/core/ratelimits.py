"""Rate limits that targets announce, and the request counts that enforce them.

Load pattern: an overloaded engine accepts one request per second from all routers
together, and a popular prompt attracts twenty per second to it.  If each router kept
to the limit independently, the engine would receive the limit multiplied by the
number of routers.  The engine also counts the requests that were sent shortly before
the routers learned of the limit.

A limit is in force until an answer without one arrives for a request that was sent
after the limit was announced.  Then the permitted rate grows step by step; otherwise
all waiting routers would send at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.health import coldtargets

SPAN: Millis = 4 * SECOND
"""Length of the sliding window in which the limit is enforced: no window of this
length holds more requests than the limit allows in it."""
_TOLERANCE: Millis = 500.0
"""How much earlier than an even spacing allows a request may be sent."""
_MIN_RATE = 0.1
"""Lowest permitted rate in requests per second: without at least one request in ten
seconds, no router would learn that the limit has ended."""
_RECOVERY: Millis = 5 * SECOND
"""How long the permitted rate grows after a limit has ended, before it is unlimited;
it doubles each second."""
_SIGNIFICANT_CHANGE = 0.1
"""Smallest relative change of the rate that is sent to all routers at once, rather
than only to the one that issues the permits."""
_MAX_RECORDS = 2_000
"""Maximum number of recorded requests to one target."""
_RETENTION: Millis = SECOND / _MIN_RATE


@dataclass(frozen=True)
class RateLimit:
    """A rate limit that a target announced.

    Parameters
    ----------
    rate
        Requests per second that the target accepts from all routers together.
    heard
        When the latest answer that announced the limit arrived.
    ended
        When an answer without the limit arrived; None while the limit is in force.

    Examples
    --------
    >>> limit = RateLimit(2.0, heard=0.0)
    >>> limit.find_rate(now=9_000.0)
    2.0
    >>> ended = replace(limit, ended=10_000.0)
    >>> ended.find_rate(now=10_000.0), ended.find_rate(now=12_000.0)
    (2.0, 8.0)
    >>> ended.find_rate(now=15_000.0) is None
    True
    """

    rate: float
    heard: Millis
    ended: Millis | None = None

    @property
    def told(self) -> Millis:
        """Return the time of the last information about the limit."""
        return self.heard if self.ended is None else self.ended

    def find_rate(self, now: Millis) -> float | None:
        """Return the permitted requests per second; None if unlimited."""
        rate = max(self.rate, _MIN_RATE)
        if self.ended is None:
            return rate
        if now - self.ended >= _RECOVERY:
            return None
        return float(rate * 2 ** ((now - self.ended) / SECOND))

    def differs_significantly(self, known: "RateLimit | None") -> bool:
        """Return whether the change should be sent to all routers at once."""
        if known is None or (self.ended is None) != (known.ended is None):
            return True
        return abs(self.rate - known.rate) > _SIGNIFICANT_CHANGE * known.rate


def learn(
    known: RateLimit | None, named: float | None, sent: Millis, now: Millis
) -> RateLimit | None:
    """Return a target's rate limit, updated from one of its answers.

    Parameters
    ----------
    known
        The limit known so far; None if there is none.
    named
        Requests per second that the answer announces; None if it announces none.
    sent
        When the answered request was sent.  Only a request that was sent after the
        limit was announced can end it: the answer to an earlier one may have been
        produced before the limit existed.

    Examples
    --------
    >>> first = learn(None, 2.0, sent=0.0, now=10.0)
    >>> learn(first, None, sent=5.0, now=20.0) == first
    True
    >>> learn(first, None, sent=15.0, now=30.0).ended
    30.0
    """
    if named is not None:
        return RateLimit(named, now)
    if known is None or known.ended is not None or sent <= known.heard:
        return known
    return replace(known, ended=now)


class RequestLog:
    """Record of recent requests to one target from all routers that report theirs.

    Attributes
    ----------
    cold_until
        Until when the target is cold: requests are then spaced without a tolerance.

    Examples
    --------
    >>> meter = RequestLog()
    >>> for n in range(4):
    ...     meter.add(f"r1/{n}", at=100.0 * n)
    >>> meter.find_next(rate=1.0, now=400.0)
    4000.0
    """

    def __init__(self) -> None:
        self.cold_until: Millis = float("-inf")
        self._sends: dict[str, Millis] = {}

    def __contains__(self, run: str) -> bool:
        return run in self._sends

    def add(self, run: str, at: Millis) -> None:
        """Record a request that was sent or is permitted now.

        A request that is already recorded is ignored.
        """
        if run in self._sends:
            return
        self._sends[run] = at
        while len(self._sends) > _MAX_RECORDS or self._is_old(at):
            del self._sends[next(iter(self._sends))]

    def _is_old(self, now: Millis) -> bool:
        return now - next(iter(self._sends.values())) > _RETENTION

    def drop_unused(self, run: str, now: Millis) -> None:
        """Forget a permit that is too old to be used, while the target is cold."""
        at = self._sends.get(run, now)
        if now < self.cold_until and now - at > coldtargets.PERMIT_LIFETIME:
            del self._sends[run]

    def list_since(self, instant: Millis) -> list[tuple[str, Millis]]:
        """Return the requests sent at or after an instant, with their send times."""
        return [(run, at) for run, at in self._sends.items() if at >= instant]

    def count(self, now: Millis) -> int:
        """Return the number of requests in the last window."""
        return len(self.list_since(now - SPAN))

    def find_next(self, rate: float, now: Millis) -> Millis:
        """Return when the next request may be sent.

        Requests are spaced evenly, within the tolerance, and no window holds more
        than the rate allows, including requests that were sent before the limit
        was known.
        """
        if now < self.cold_until:
            return coldtargets.find_next(self._sends.values(), rate, now)
        max_requests = max(1, int(rate * SPAN / SECOND))
        sends = sorted(self._sends.values())[-max_requests:]
        due = _find_due(sends, SECOND / rate) - _TOLERANCE
        window_free = sends[0] + SPAN if len(sends) == max_requests else now
        return max(now, due, window_free)


def _find_due(sends: Iterable[Millis], gap: Millis) -> Millis:
    """Return when the next request is due if requests are at least a gap apart."""
    due = float("-inf")
    for at in sends:
        due = max(due, at) + gap
    return due
