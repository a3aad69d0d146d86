"""Backoff with full jitter between tries.

Clients that failed together would otherwise return together; a span drawn
evenly from zero to a doubling bound spreads them over the whole interval.
"""

import random
from dataclasses import dataclass

from anvilshift.core.clock import Millis


@dataclass(frozen=True)
class Backoff:
    """How long to wait before a further try.

    Parameters
    ----------
    base
        Bound of the first wait in milliseconds; it doubles each time.
    limit
        Largest bound.

    Examples
    --------
    >>> Backoff(base=10.0, limit=100.0).bound(attempt=2)
    40.0
    """

    base: Millis = 20.0
    limit: Millis = 2_000.0

    def bound(self, attempt: int) -> Millis:
        """Return the longest wait before a try, counted from zero."""
        return min(self.limit, self.base * 2.0 ** min(attempt, 30))

    def draw(self, attempt: int, rng: random.Random) -> Millis:
        """Return a wait before a try."""
        return rng.uniform(0.0, self.bound(attempt))
