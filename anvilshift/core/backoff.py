"""Exponential backoff with full jitter between attempts.

Clients that failed at the same time would otherwise retry at the same time.  A delay
drawn uniformly between zero and a bound that doubles with each attempt spreads their
retries over the whole interval.
"""

import random
from dataclasses import dataclass

from anvilshift.core.clock import Millis


@dataclass(frozen=True)
class Backoff:
    """Delay before another attempt.

    Parameters
    ----------
    base
        Upper bound of the first delay in milliseconds; it doubles with each attempt.
    limit
        Maximum of the bound.

    Examples
    --------
    >>> Backoff(base=10.0, limit=100.0).bound(attempt=2)
    40.0
    """

    base: Millis = 20.0
    limit: Millis = 2_000.0

    def bound(self, attempt: int) -> Millis:
        """Return the upper bound of the delay before an attempt, counted from zero."""
        return min(self.limit, self.base * 2.0 ** min(attempt, 30))

    def draw(self, attempt: int, rng: random.Random) -> Millis:
        """Return a random delay before an attempt, counted from zero."""
        return rng.uniform(0.0, self.bound(attempt))
