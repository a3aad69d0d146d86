"""Reject on arrival requests that can't be answered before their deadlines.

Load pattern: callers send shortly before their deadlines, and in a burst or
overload more requests arrive than can be served in time.  Without admission
control every request would wait, most would run after the answer had become
useless, and callers would learn of it only at their deadlines, too late to try
elsewhere.

The expected wait is the expected run time of the work that is served earlier,
divided by the slots that this router may use.  Fair queueing bounds the earlier
work both by the total backlog and by the organisation's own backlog divided by its
share; the smaller bound is used.
"""

import random
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_MIN_RETRY_DELAY: Millis = 250.0
"""Load reports arrive about four times a second; an earlier retry would find the
same load."""
_MAX_RETRY_DELAY: Millis = 30 * SECOND
_JITTER = 0.5
"""Part of the wait by which a retry is delayed at most, at random: callers that
were refused together must not return together."""


@dataclass(frozen=True)
class QueueLoad:
    """The load that determines how long a request will wait.

    Parameters
    ----------
    backlog
        Expected run time of all waiting work of the same or a higher priority.
    own_backlog
        Expected run time of the waiting work of the request's organisation.
    weight, total_weight
        Weight of its organisation, and the sum over all organisations that have
        work waiting.
    slots
        Number of slots that this router may use.
    """

    backlog: Millis
    own_backlog: Millis
    weight: float
    total_weight: float
    slots: float

    def wait(self) -> Millis:
        """Return the expected wait in milliseconds.

        Examples
        --------
        >>> load = QueueLoad(
        ...     backlog=900.0,
        ...     own_backlog=100.0,
        ...     weight=1.0,
        ...     total_weight=3.0,
        ...     slots=2.0,
        ... )
        >>> load.wait()
        150.0
        """
        share = self.weight / max(self.total_weight, self.weight)
        earlier_work = min(self.backlog, self.own_backlog / share)
        return earlier_work / max(self.slots, _MIN_SLOTS)


_MIN_SLOTS = 0.1
"""Lower bound of the slots in the estimate of the wait.  Routers use an engine's slots
by turns, so a router's part is small but not zero, as when forty routers share an
engine with one slot."""


def misses_deadline(
    deadline: Millis, now: Millis, wait: Millis, service: Millis
) -> bool:
    """Return whether an answer can't be complete before the deadline.

    Examples
    --------
    >>> misses_deadline(deadline=100.0, now=0.0, wait=60.0, service=50.0)
    True
    """
    return now + wait + service > deadline


def draw_retry_delay(excess: Millis, rng: random.Random) -> Millis:
    """Return the retry delay for a refused caller, with random jitter.

    Parameters
    ----------
    excess
        How much the wait must decrease for the work to be accepted.  The wait
        decreases by one millisecond per millisecond, so this is the shortest
        useful delay.
    """
    base = min(max(excess, _MIN_RETRY_DELAY), _MAX_RETRY_DELAY)
    return base * rng.uniform(1.0, 1.0 + _JITTER)
