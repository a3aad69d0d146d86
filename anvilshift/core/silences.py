"""Know when a router that can't be heard may know what nobody else does.

A router tells the others at once which requests were on a target that ended.  While one
of them can't be heard, or if it was lost at about the time of the end, a request may
have ended a target without anybody who could tell.
"""

from collections import deque
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_TELLING: Millis = 1 * SECOND
"""Longest time from a target's end until its router has told the others of it."""
_GONE_AFTER: Millis = 30 * SECOND
"""Time after which a router that isn't heard is held to have stopped for good."""
_MAX_SILENCES = 1_000


@dataclass
class _Silence:
    """A time in which a router wasn't heard; `end` is None while it lasts."""

    router: str
    since: Millis
    end: Millis | None = None

    def covers(self, at: Millis) -> bool:
        end = self.since + _GONE_AFTER if self.end is None else self.end
        return self.since - _TELLING <= at <= end


class RouterSilences:
    """The times in which routers weren't heard.

    Examples
    --------
    >>> silences = RouterSilences()
    >>> silences.record_loss("r2", heard=10_000.0)
    >>> silences.may_hide(at=9_500.0), silences.may_hide(at=8_000.0)
    (True, False)
    >>> silences.record_return("r2", now=12_000.0)
    >>> silences.may_hide(at=11_000.0), silences.may_hide(at=13_000.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._silences: deque[_Silence] = deque(maxlen=_MAX_SILENCES)

    def record_loss(self, router: str, heard: Millis) -> None:
        """Record that a router is lost; it was last heard at some time."""
        self._silences.append(_Silence(router, heard))

    def record_return(self, router: str, now: Millis) -> None:
        """Record that a router is heard again."""
        for silence in self._silences:
            if silence.router == router and silence.end is None:
                silence.end = now

    def may_hide(self, at: Millis) -> bool:
        """Return whether a router may have seen a target end that it told nobody of.

        Parameters
        ----------
        at
            When the target ended.
        """
        return any(silence.covers(at) for silence in self._silences)
