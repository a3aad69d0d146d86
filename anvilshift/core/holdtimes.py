"""How long an organisation's requests hold their reservations, and what they return.

Load pattern: a burst reserves what is left of a total at its largest size.  Its
requests use less and return the rest within a second or two; a caller that is refused
meanwhile should return then, and not after a fixed delay.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis

_WEIGHT = 0.2
"""Weight of the newest request in the averages: a burst of ten shows in them."""
_MIN_WAIT: Millis = 100.0
"""Shortest expected wait; a caller that returns sooner finds the same reservations."""
_OVERDUE_FRACTION = 0.5
"""Fraction of the mean time that a reservation which exceeds it is expected to last."""


@dataclass
class HoldTimes:
    """The expected end of reservations, learned from those that have ended.

    Parameters
    ----------
    mean
        Average time between reserving and settling; None before the first request.
    returned
        Average fraction of a reservation that isn't used.

    Examples
    --------
    >>> times = HoldTimes()
    >>> times.begin("a", now=0.0)
    >>> times.end("a", reserved=100, used=40, now=2_000.0)
    >>> times.begin("b", now=3_000.0)
    >>> times.find_release({"b": 100}, 50, now=4_000.0)
    1000.0
    >>> times.find_release({"b": 100}, 70, now=4_000.0) is None
    True
    """

    mean: Millis | None = None
    returned: float = 0.0
    _begun: dict[str, Millis] = field(default_factory=dict)

    def begin(self, key: str, now: Millis) -> None:
        """Record that a request reserved tokens."""
        self._begun[key] = now

    def cancel(self, key: str) -> None:
        """Forget a reservation that tells nothing of how long requests take."""
        self._begun.pop(key, None)

    def end(self, key: str, reserved: int, used: int, now: Millis) -> None:
        """Learn from a reservation that ended; one that used nothing did not run."""
        begun = self._begun.pop(key, None)
        if begun is None or not used:
            return
        took, returned = now - begun, 1.0 - used / reserved
        if self.mean is None:
            self.mean, self.returned = took, returned
            return
        self.mean += (took - self.mean) * _WEIGHT
        self.returned += (returned - self.returned) * _WEIGHT

    def find_release(
        self, reserved: Mapping[str, int], tokens: int, now: Millis
    ) -> Millis | None:
        """Return the expected time until reservations have returned so many tokens.

        None if they are expected to return fewer, or nothing is known of them.
        """
        if self.mean is None:
            return None
        missing = float(tokens)
        for begun, key in sorted((self._begun.get(key, now), key) for key in reserved):
            missing -= reserved[key] * self.returned
            if missing <= 0.0:
                left = max(self.mean - (now - begun), self.mean * _OVERDUE_FRACTION)
                return max(_MIN_WAIT, left)
        return None
