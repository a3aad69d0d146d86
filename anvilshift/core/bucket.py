"""A token bucket: how often something may be done, with room for a burst."""

from anvilshift.core.clock import SECOND, Millis


class Bucket:
    """Permits that refill at a steady rate.

    Parameters
    ----------
    rate
        Permits a second.
    burst
        Most permits that can be saved up.

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
        self._at: Millis | None = None

    def _refill(self, now: Millis) -> None:
        if self._at is not None:
            gained = max(0.0, now - self._at) * self._rate / SECOND
            self._permits = min(self._burst, self._permits + gained)
        self._at = now

    def take(self, now: Millis) -> bool:
        """Take a permit; False when there is none."""
        self._refill(now)
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True

    def wait(self, now: Millis) -> Millis:
        """Return the milliseconds until a permit is there."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._permits)
        return missing / self._rate * SECOND
