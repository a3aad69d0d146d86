"""Decide which part of a full domain's callers is told of routers elsewhere.

Load pattern: ten times the usual callers come in one failure domain, whose routers fill
while those of other domains idle.  If all were told of other domains at once, they
would all leave, and all come back; so the part that is told so rises while most of the
domain's routers are full and falls more slowly once they aren't.  Callers keep what
they are told for some seconds, so it moves by little in that time.
"""

from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

_MOSTLY_FULL = 0.5
"""Part of a domain's routers that is full as callers begin to be sent elsewhere; below,
its others take what the full ones don't."""
_RISE, _FALL = 0.1, 0.02
"""Change of the part in a second."""
_MAX_STEP: Millis = 1 * SECOND
"""Longest time for which what was last known is taken to have held."""


@dataclass
class FarCallers:
    """The part of each domain's callers that is told of routers elsewhere.

    Examples
    --------
    >>> far = FarCallers()
    >>> far.update("north", full=1.0, now=0.0)
    >>> for second in range(1, 6):
    ...     far.update("north", full=1.0, now=second * 1_000.0)
    >>> round(far.shares["north"], 2)
    0.5
    >>> [far.take("north") for _ in range(4)]
    [False, True, False, True]
    """

    shares: dict[str, float] = field(default_factory=dict)
    _credits: dict[str, float] = field(default_factory=dict)
    _updated: dict[str, Millis] = field(default_factory=dict)

    def update(self, domain: str, full: float, now: Millis) -> None:
        """Take note of the part of a domain's routers that is full."""
        span = min(_MAX_STEP, now - self._updated.get(domain, now))
        self._updated[domain] = now
        change = _RISE if full >= _MOSTLY_FULL else -_FALL
        share = self.shares.get(domain, 0.0) + change * span / SECOND
        self.shares[domain] = min(1.0, max(0.0, share))

    def take(self, domain: str) -> bool:
        """Return whether the caller that asks now is told of routers elsewhere."""
        credit = self._credits.get(domain, 0.0) + self.shares.get(domain, 0.0)
        # Sums of shares may fall short of a whole by rounding.
        is_far = credit >= 1.0 - 1e-9
        self._credits[domain] = max(0.0, credit - 1.0) if is_far else credit
        return is_far
