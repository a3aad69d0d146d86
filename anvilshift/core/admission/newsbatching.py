"""Decide how news of runs is sent to other routers while a link fills.

Load pattern: a router with a narrow link gets most of its neighbours' callers.  Each
request is told to the routers that use the same target, twenty in a fleet of thirty, so
that news takes more of the link than the requests themselves, and delays them.
"""

from dataclasses import dataclass

from anvilshift.core.clock import Millis

_COMPACT_FROM = 0.3
"""Use of the link from which on news is compressed; below, bytes cost nothing."""
_SLOW_FROM = 0.6
_SLOW_DELAY: Millis = 120.0
"""Time for which news is collected on a link that fills: more of it shares headers, and
is compressed together.  Placement lags as long, well under interactive objectives."""


@dataclass(frozen=True)
class NewsBatching:
    """How news is sent.

    Parameters
    ----------
    delay
        Least time for which news is collected.
    is_compact
        Whether it is compressed.
    """

    delay: Millis = 0.0
    is_compact: bool = False


def find_news_batching(sent: float) -> NewsBatching:
    """Return how news is sent.

    Parameters
    ----------
    sent
        Share of the link that is used for sending.

    Examples
    --------
    >>> find_news_batching(0.1)
    NewsBatching(delay=0.0, is_compact=False)
    >>> find_news_batching(0.8)
    NewsBatching(delay=120.0, is_compact=True)
    """
    delay = _SLOW_DELAY if sent >= _SLOW_FROM else 0.0
    return NewsBatching(delay, sent >= _COMPACT_FROM)
