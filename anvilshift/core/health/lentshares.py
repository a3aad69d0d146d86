"""Lend shares of a starting target's pace to routers that have none.

Load pattern: the only target of a service starts, and forty routers have requests for
it.  Four of them have a share of its pace.  If the others send as well, they flood it;
if they refuse, a service with one request a second loses nine of ten although its
target is idle.

A router without a share asks one that has, and uses what is lent for one request.  So
the requests together are never more than the pace, and a free share is one message
away.  While none is free a request waits as long as it can still be answered in time.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

_LENT_FOR: Millis = 10 * SECOND
"""Time after which a share is free again whose end was not told: its router is lost."""


@dataclass
class LentShares:
    """Which runs hold the shares that a router has of one target's pace.

    Its own runs are among them.

    Examples
    --------
    >>> shares = LentShares()
    >>> shares.lend("r1/1", share=1, running=(), now=0.0)
    True
    >>> shares.lend("r2/1", share=1, running=(), now=1.0)
    False
    >>> shares.end("r1/1")
    >>> shares.lend("r2/1", share=1, running=(), now=2.0)
    True
    """

    _until: dict[str, Millis] = field(default_factory=dict)

    def lend(self, run: str, share: int, running: Collection[str], now: Millis) -> bool:
        """Lend a share to a run, if one is free.

        Parameters
        ----------
        share
            Shares that the router has.
        running
            Its own runs at the target; some may have been sent before its start.
        """
        if self.count(running, now) >= share:
            return False
        self._until[run] = now + _LENT_FOR
        return True

    def count(self, running: Collection[str], now: Millis) -> int:
        """Return how many shares are in use."""
        for run in [run for run, until in self._until.items() if now >= until]:
            del self._until[run]
        return len(self._until.keys() | set(running))

    def end(self, run: str) -> None:
        """Take back the share of a run."""
        self._until.pop(run, None)


def list_lenders(ranks: list[str], window: float, router: str) -> list[str]:
    """Return the routers that have a share, in the order in which one asks them.

    Each router begins with another one.

    Examples
    --------
    >>> list_lenders(["a", "b", "c", "d", "e"], 2.5, "d")
    ['b', 'a']
    >>> list_lenders(["a", "b", "c", "d", "e"], 2.5, "e")
    ['a', 'b']
    """
    count = max(1, min(len(ranks), int(window)))
    first = ranks.index(router) % count
    return [name for name in ranks[first:count] + ranks[:first] if name != router]


def predict_wait(waiting: int, window: float, usual: Millis) -> Millis:
    """Return the least time until a request gets a share.

    Parameters
    ----------
    waiting
        Requests that wait at this router already.
    window
        Requests that all routers together may have at the target.
    usual
        Time for which a request usually holds a share.

    Examples
    --------
    >>> predict_wait(8, 4.0, 100.0), predict_wait(0, 4.0, 100.0)
    (200.0, 0.0)
    """
    return waiting / max(1.0, window) * usual
