"""Refuse at once what can't be answered before its deadline.

Load pattern: callers send at the last moment, and in a burst or overload more
arrives than can be served in time.  Without this, every request waits, most
run when nobody needs the answer any more, and callers learn of it at their
deadline, when it is too late to go elsewhere.

The expected wait is the expected run time of what is served earlier, over the
slots that this router may use.  Under fair queueing no more is served earlier
than everything that waits, nor more than the organisation's own backlog over
its share; the smaller of the two counts.
"""

import random
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_EARLIEST_RETRY: Millis = 250.0
"""Load reports come about four times a second; earlier nothing has changed."""
_LATEST_RETRY: Millis = 30 * SECOND
_JITTER = 0.5
"""Callers that were refused together come back over half the wait again."""


@dataclass(frozen=True)
class Ahead:
    """What stands before a request.

    Parameters
    ----------
    backlog
        Run time of all that waits at the same or a higher priority.
    own
        Run time of what its organisation has waiting.
    weight, weights
        Weight of its organisation, and of all that wait.
    slots
        Slots that this router may use.
    """

    backlog: Millis
    own: Millis
    weight: float
    weights: float
    slots: float

    def wait(self) -> Millis:
        """Return the expected wait.

        Examples
        --------
        >>> Ahead(backlog=900.0, own=100.0, weight=1.0, weights=3.0, slots=2.0).wait()
        150.0
        """
        share = self.weight / max(self.weights, self.weight)
        earlier = min(self.backlog, self.own / share)
        return earlier / max(self.slots, _LEAST_SLOTS)


_LEAST_SLOTS = 0.1
"""A router's part of an engine can be small but it comes round: one slot of an
engine shared by forty routers."""


def is_hopeless(deadline: Millis, now: Millis, wait: Millis, service: Millis) -> bool:
    """Tell whether an answer can't be whole before the deadline.

    Examples
    --------
    >>> is_hopeless(deadline=100.0, now=0.0, wait=60.0, service=50.0)
    True
    """
    return now + wait + service > deadline


def draw_retry(excess: Millis, rng: random.Random) -> Millis:
    """Return when to come back after a refusal.

    Parameters
    ----------
    excess
        How much shorter the wait must become for the work to be accepted;
        it shortens by a millisecond each millisecond.
    """
    base = min(max(excess, _EARLIEST_RETRY), _LATEST_RETRY)
    return base * rng.uniform(1.0, 1.0 + _JITTER)
