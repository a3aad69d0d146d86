"""A router's lease, which decides by its own clock whether it may take new work.

A router renews its record on the platform.  Once its lease has expired, other routers
may remove the record, and then a declaration can be accepted without this router.
Therefore it stops when the lease expires by its own clock, unless the platform is
unreachable for the whole fleet: then no declaration can be accepted, and continuing
to serve is safe.
"""

from anvilshift.core.clock import Millis
from anvilshift.core.membership import Roster

_SLOW_DIVISOR = 8
"""A renewal that takes longer than the lease divided by this number is reported to the
other routers as failed, so that in an outage all routers know of it before the first
lease expires: renewals are a quarter of the lease apart, heartbeats at most a
quarter."""
_PAUSE_DIVISOR = 2
"""A gap between heartbeats longer than the lease divided by this number counts as a
pause of the process."""


class Lease:
    """Tracks renewals of a router's record and whether the lease is valid.

    Parameters
    ----------
    span
        Milliseconds for which a renewal is valid.

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
        self._renewed_at: Millis | None = None
        self._renewal_begun: Millis | None = None
        self._renewing_since: Millis | None = None
        self._checked_at: Millis | None = None
        self._stopped = False

    def begin(self, now: Millis) -> None:
        """Record that a renewal is sent."""
        self._renewal_begun = now

    def succeed(self, now: Millis) -> None:
        """Record that the renewal took effect."""
        sent_at = now if self._renewal_begun is None else self._renewal_begun
        if self._renewing_since is None or self._is_slow(now):
            self._renewing_since = now
        # The span starts at sending, as others may have seen the renewal since then.
        self._renewed_at = sent_at
        self._renewal_begun = None
        self._stopped = False

    def fail(self) -> None:
        """Record that the renewal failed."""
        self._renewal_begun = None
        self._renewing_since = None

    def holds(self, now: Millis) -> bool:
        """Tell whether the last renewal is still valid."""
        return self._renewed_at is not None and now - self._renewed_at <= self.span

    def renewing_for(self, now: Millis) -> Millis:
        """Return for how long all renewals were prompt; 0 if the last one was not."""
        if self._is_slow(now):
            self._renewing_since = None
        if self._renewing_since is None:
            return 0.0
        return now - self._renewing_since

    def may_serve(self, members: Roster, seen: int, now: Millis) -> bool:
        """Tell whether the router may take new work.

        It must be called at every heartbeat.  A router that stopped stays stopped
        until its next successful renewal, because the heartbeats it received in
        between do not show whether its record was removed.

        Parameters
        ----------
        members
            Other routers, as known from their records and heartbeats.
        seen
            Revision up to which this router knows the other routers' records.
        """
        last_checked, self._checked_at = self._checked_at, now
        if self.holds(now):
            return True
        # After a pause of the process, heartbeats queued in its sockets arrive as
        # if they were new, but don't show the current state of their senders.
        paused = last_checked is None or now - last_checked > self.span / _PAUSE_DIVISOR
        if (
            self._renewed_at is None
            or paused
            or not members.is_platform_down(seen, now)
        ):
            self._stopped = True
        return not self._stopped

    def _is_slow(self, now: Millis) -> bool:
        return (
            self._renewal_begun is not None
            and now - self._renewal_begun > self.span / _SLOW_DIVISOR
        )
