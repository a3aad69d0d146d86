"""A router's lease: whether it may take new work, by its own clock.

A router renews its record in the platform.  Others may remove it once its
lease has lapsed, and then a declaration can be accepted without it.  So it
stops by its own clock when the lease lapses, unless the platform is out for
the whole fleet: then nothing can be accepted and serving on is safe.
"""

from anvilshift.core.clock import Millis
from anvilshift.core.membership import Roster

_SLOW_SHARE = 8
"""A renewal that takes longer than this part of the lease counts as failed for
the others, so that in an outage all know of it before the first lease lapses:
renewals are a quarter of the lease apart, heartbeats at most a quarter."""
_GAP_SHARE = 2


class Lease:
    """When the record was renewed, and what follows from it.

    Parameters
    ----------
    span
        Milliseconds for which a renewal holds.

    Examples
    --------
    >>> lease = Lease(span=4_000.0)
    >>> lease.begin(now=0.0)
    >>> lease.succeed(now=10.0)
    >>> lease.holds(now=4_000.0), lease.holds(now=4_001.0)
    (True, False)
    """

    def __init__(self, span: Millis) -> None:
        self.span = span
        self._renewed: Millis | None = None
        self._begun: Millis | None = None
        self._renewing_since: Millis | None = None
        self._checked: Millis | None = None
        self._stopped = False

    def begin(self, now: Millis) -> None:
        """Take in that a renewal is sent."""
        self._begun = now

    def succeed(self, now: Millis) -> None:
        """Take in that the renewal took effect."""
        begun = now if self._begun is None else self._begun
        if self._renewing_since is None or self._is_slow(now):
            self._renewing_since = now
        # Counted from before the call: the others may have seen it then.
        self._renewed = begun
        self._begun = None
        self._stopped = False

    def fail(self) -> None:
        """Take in that the renewal failed."""
        self._begun = None
        self._renewing_since = None

    def holds(self, now: Millis) -> bool:
        """Tell whether the last renewal still holds."""
        return self._renewed is not None and now - self._renewed <= self.span

    def renewing_for(self, now: Millis) -> Millis:
        """Return for how long every renewal succeeded promptly; 0 if one did not."""
        if self._is_slow(now):
            self._renewing_since = None
        if self._renewing_since is None:
            return 0.0
        return now - self._renewing_since

    def may_serve(self, roster: Roster, seen: int, now: Millis) -> bool:
        """Tell whether the router may take new work.

        It must be called at every heartbeat.  A router that stopped stays
        stopped until its next renewal: what it heard in between does not tell
        whether it was removed in the meantime.

        Parameters
        ----------
        seen
            Revision up to which the router knows the others' records.
        """
        since, self._checked = self._checked, now
        if self.holds(now):
            return True
        # After a pause of the process, heartbeats that waited in its sockets
        # arrive as if they were new; they say nothing of the present.
        paused = since is None or now - since > self.span / _GAP_SHARE
        if self._renewed is None or paused or not roster.is_platform_out(seen, now):
            self._stopped = True
        return not self._stopped

    def _is_slow(self, now: Millis) -> bool:
        return self._begun is not None and now - self._begun > self.span / _SLOW_SHARE
