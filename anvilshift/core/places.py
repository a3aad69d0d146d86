"""Estimate how many requests a brittle target holds.

Load pattern: a target that crashes if it refuses too many requests in a second holds
fewer than its slots, without a word.  Each refusal lowers the estimate by one request,
and time without a refusal raises it again.
"""

import math
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_PLACE_REGAINED: Millis = 4 * SECOND
"""Time without a refusal after which the estimate is one request higher."""


@dataclass
class Places:
    """The estimate for one target.

    Attributes
    ----------
    held
        Estimate just after the last refusal.
    refused_at
        When it last refused a request.

    Examples
    --------
    >>> places = Places()
    >>> places.estimate(slots=8, now=0.0)
    8.0
    >>> places.record_refusal(slots=8, now=0.0)
    >>> places.estimate(slots=8, now=0.0), places.estimate(slots=8, now=2_000.0)
    (7.0, 7.5)
    """

    held: float = math.inf
    refused_at: Millis = -math.inf

    def estimate(self, slots: int, now: Millis) -> float:
        """Return how many requests the target holds, at most its slots."""
        regained = (now - self.refused_at) / _PLACE_REGAINED
        return min(float(slots), self.held + regained)

    def record_refusal(self, slots: int, now: Millis) -> None:
        """Lower the estimate by one request."""
        self.held = max(1.0, self.estimate(slots, now) - 1.0)
        self.refused_at = now
