"""The requests a second that a target names, and how they are kept to.

Load pattern: an engine in need takes one request a second from all routers together,
and a popular prompt draws twenty a second to it.  Routers that each kept to the limit
by themselves would send it as many times too much as there are routers; and what they
sent in the moments before they learned of the limit is in the engine's count as well.

A limit stands until an answer to a request that was sent after it was named comes
without one.  Then the rate grows step by step: all routers that have waited would
otherwise come back at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from anvilshift.core.clock import SECOND, Millis

SPAN: Millis = 4 * SECOND
"""A target gets no more in any such span than its limit allows in it."""
_TOLERANCE: Millis = 500.0
"""How early a request may come before its turn at an even pace."""
_LEAST_RATE = 0.1
"""Requests a second that a target gets at the least: without one in ten seconds
nobody would learn that its limit has ended."""
_RETURN: Millis = 5 * SECOND
"""How long the rate grows after a limit has ended; it doubles each second."""
_NEWS_PART = 0.1
"""A change by less is no news to those that don't issue permits."""
_MOST_KEPT = 2_000
"""Requests to one target that are remembered."""
_KEPT: Millis = SECOND / _LEAST_RATE


@dataclass(frozen=True)
class RateLimit:
    """What a target has named.

    Parameters
    ----------
    rate
        Requests a second that it takes from all routers together.
    heard
        When an answer named it last.
    ended
        When an answer came without it; None while it stands.

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
        """Return the instant of the last news of it."""
        return self.heard if self.ended is None else self.ended

    def find_rate(self, now: Millis) -> float | None:
        """Return the requests a second that may be sent; None for any number."""
        rate = max(self.rate, _LEAST_RATE)
        if self.ended is None:
            return rate
        if now - self.ended >= _RETURN:
            return None
        return float(rate * 2 ** ((now - self.ended) / SECOND))

    def is_news(self, known: "RateLimit | None") -> bool:
        """Tell whether every router should hear of this at once."""
        if known is None or (self.ended is None) != (known.ended is None):
            return True
        return abs(self.rate - known.rate) > _NEWS_PART * known.rate


def learn(
    known: RateLimit | None, named: float | None, sent: Millis, now: Millis
) -> RateLimit | None:
    """Return what is known of a target's limit after one of its answers.

    Parameters
    ----------
    named
        Requests a second that the answer names; None where it names none.
    sent
        When the request was sent that it answers.  The answer to an older one may
        have been made before the limit was.

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


class Meter:
    """The requests that one target got lately, from all routers that were heard.

    Examples
    --------
    >>> meter = Meter()
    >>> for n in range(4):
    ...     meter.add(f"r1/{n}", at=100.0 * n)
    >>> meter.find_next(rate=1.0, now=400.0)
    4000.0
    """

    def __init__(self) -> None:
        self._sends: dict[str, Millis] = {}

    def __contains__(self, run: str) -> bool:
        return run in self._sends

    def add(self, run: str, at: Millis) -> None:
        """Take in that a request was sent, or may be sent now; once for each."""
        if run in self._sends:
            return
        self._sends[run] = at
        while len(self._sends) > _MOST_KEPT or self._is_old(at):
            del self._sends[next(iter(self._sends))]

    def _is_old(self, now: Millis) -> bool:
        return now - next(iter(self._sends.values())) > _KEPT

    def list_since(self, instant: Millis) -> list[tuple[str, Millis]]:
        """Return the requests that were sent since, with their instants."""
        return [(run, at) for run, at in self._sends.items() if at >= instant]

    def count(self, now: Millis) -> int:
        """Return how many requests the last span holds."""
        return len(self.list_since(now - SPAN))

    def find_next(self, rate: float, now: Millis) -> Millis:
        """Return when the next request may be sent.

        At an even pace, a little early at the most; and never more in a span than
        the rate allows in it, with those that were sent before it was known.
        """
        most = max(1, int(rate * SPAN / SECOND))
        sends = sorted(self._sends.values())[-most:]
        turn = _find_turn(sends, SECOND / rate) - _TOLERANCE
        full = sends[0] + SPAN if len(sends) == most else now
        return max(now, turn, full)


def _find_turn(sends: Iterable[Millis], gap: Millis) -> Millis:
    """Return the turn of the next request, each a gap after the one before."""
    turn = float("-inf")
    for at in sends:
        turn = max(turn, at) + gap
    return turn
