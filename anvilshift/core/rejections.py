"""Estimate how often a target rejects requests.

Load pattern: a target rejects much of what it gets, for want of room or because it is
sick.  Rejections are quick, so it looks idle and attracts more requests than those
that serve them, and each of these has to be sent again.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_GAIN = 0.15
"""Weight of a new sample; the first ones weigh more."""
_HALF_LIFE: Millis = 2 * SECOND
"""Time in which an estimate halves without samples, so that a target is tried again."""


@dataclass
class RejectionRate:
    """The part of its requests that a target rejected lately.

    Examples
    --------
    >>> rate = RejectionRate()
    >>> rate.add(rejected=True, now=0.0)
    >>> rate.find(now=0.0), rate.find(now=2_000.0)
    (0.5, 0.25)
    """

    _value: float = 0.0
    _count: int = 0
    _at: Millis = 0.0

    def find(self, now: Millis) -> float:
        """Return the estimate, from 0 to 1."""
        if not self._value:
            return 0.0
        return self._value * 0.5 ** (max(0.0, now - self._at) / _HALF_LIFE)

    def add(self, rejected: bool, now: Millis) -> None:
        """Record whether the target rejected a request."""
        self._count += 1
        gain = max(_GAIN, 1.0 / (1 + self._count))
        self._value = self.find(now) * (1.0 - gain) + gain * rejected
        self._at = now
