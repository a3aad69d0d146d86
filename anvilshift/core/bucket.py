"""A token bucket: limits how often something may be done and allows short bursts."""

from anvilshift.core.clock import SECOND, Millis


class Bucket:
    """Token bucket whose permits are refilled at a constant rate.

    Parameters
    ----------
    rate
        Permits added per second.
    burst
        Maximum number of permits that can accumulate.

    Examples
    --------
    >>> bucket = Bucket(rate=2.0, burst=1.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.0), bucket.take(now=500.0)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._permits = burst
        self._refilled_at: Millis | None = None

    def _refill(self, now: Millis) -> None:
        if self._refilled_at is not None:
            added = max(0.0, now - self._refilled_at) * self._rate / SECOND
            self._permits = min(self._burst, self._permits + added)
        self._refilled_at = now

    def take(self, now: Millis, permits: float = 1.0) -> bool:
        """Take permits if there are as many; return whether they were taken."""
        self._refill(now)
        if self._permits < permits:
            return False
        self._permits -= permits
        return True

    def wait(self, now: Millis) -> Millis:
        """Return the milliseconds until a permit is available."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._permits)
        return missing / self._rate * SECOND
