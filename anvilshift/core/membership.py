"""Track fleet membership, detect lost routers and decide on their removal.

A router shows that it is alive in two ways: it renews its record in the
platform, and it sends heartbeats to the other routers.  It counts as lost only
when both have been missing for one lease.  Its grants are then sealed, which is
safe without any assumption about clocks.

Its record is removed only if routers that reach the platform make up at least
half of all routers that the lost one knew.  The lost router counts towards the
total, but not towards the half.  A majority that reports failed renewals may keep
serving (see `core.lease`); any such majority then overlaps with that half, and the
common router can't have reported both.

See Also
--------
anvilshift.core.lease
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import Millis

_MIN_RENEWING_LEASES = 2
"""Number of leases for which a router's renewals must have succeeded before the
router counts towards a removal.  One lease is not enough: until it ends, another
router may still rely on the information that this router's renewals failed."""
_PRESENT_DIVISOR = 4
"""A router whose last heartbeat is older than the lease divided by this number is no
longer heard: heartbeats are at most a quarter of the lease apart.  In an outage the
last heartbeat that reports renewals is thereby outdated before the first lease
expires."""
_VOTE_DIVISOR = 2
"""A vote on a removal counts for the lease divided by this number.  All votes then fall
within half a lease, so that a lost router that serves has checked, at an instant at
which all voters were renewing, whether it may go on (see `core.lease`)."""


@dataclass(frozen=True)
class Member:
    """A router's record, as the other routers see it.

    Parameters
    ----------
    revision
        Newest revision of the platform for which the router has all declarations
        in force.
    beat
        Sequence number of the renewal; it distinguishes two records.
    since
        Revision of the platform that the router had read when it joined.
    seen
        Revision of the platform up to which the router has read the records of
        the other routers.
    """

    name: str
    incarnation: str
    host: str
    address: str
    peer_address: str
    failure_domain: str
    revision: int = 0
    leaving: bool = False
    beat: int = 0
    since: int = 0
    seen: int = 0


@dataclass(frozen=True)
class HeartbeatStatus:
    """The status that a router reports in its heartbeats.

    Parameters
    ----------
    reaches_platform
        Whether the platform answered the router's own last call.
    renewing_for
        Milliseconds for which all renewals of the router have succeeded, sent
        directly or through a peer; 0 if the last renewal failed.
    serving
        Whether the router accepts new work.
    """

    reaches_platform: bool = True
    renewing_for: Millis = 0.0
    serving: bool = True
    in_flight: int = 0


@dataclass(frozen=True)
class MemberStatus:
    """A member and the instants at which it was last known to be alive.

    Parameters
    ----------
    seen
        Instant of the last renewal or heartbeat, whichever is later.
    last_heartbeat
        Instant of the last heartbeat; None if there was none.
    """

    member: Member
    seen: Millis
    heartbeat_status: HeartbeatStatus = field(default_factory=HeartbeatStatus)
    last_heartbeat: Millis | None = None


@dataclass(frozen=True)
class Roster:
    """The other routers of the fleet, as one router sees them.

    Parameters
    ----------
    lease
        Milliseconds without a renewal or heartbeat after which a member counts
        as lost.

    Examples
    --------
    >>> member = Member("r2", "r2-a", "h2", "127.0.0.1:1", "127.0.0.1:2", "north")
    >>> members = Roster(lease=5_000.0).record_renewal(member, now=0.0)
    >>> members.lost(now=4_000.0), len(members.lost(now=6_000.0))
    ([], 1)
    """

    lease: Millis
    member_statuses: Mapping[str, MemberStatus] = field(default_factory=dict)

    def record_renewal(self, member: Member, now: Millis) -> "Roster":
        """Return the table updated with a member's new platform record."""
        old = self.member_statuses.get(member.name)
        if old is not None and old.member == member:
            return self
        base = old if old and old.member.incarnation == member.incarnation else None
        if base is not None:
            # The platform's watch may deliver a record older than the last
            # heartbeat; `seen` never decreases within one incarnation.
            member = replace(member, seen=max(member.seen, base.member.seen))
        status = replace(base or MemberStatus(member, now), member=member, seen=now)
        return replace(
            self, member_statuses={**self.member_statuses, member.name: status}
        )

    def record_heartbeat(
        self, member: Member, heartbeat_status: HeartbeatStatus, now: Millis
    ) -> "Roster":
        """Return the table updated with a member's heartbeat."""
        status = MemberStatus(member, now, heartbeat_status, last_heartbeat=now)
        return replace(
            self, member_statuses={**self.member_statuses, member.name: status}
        )

    def remove(self, name: str) -> "Roster":
        """Return the table without a member."""
        remaining = {k: v for k, v in self.member_statuses.items() if k != name}
        return replace(self, member_statuses=remaining)

    def lost(self, now: Millis) -> list[Member]:
        """Return the members without a renewal or heartbeat for one lease."""
        return [
            s.member for s in self.member_statuses.values() if self._is_lost(s, now)
        ]

    def list_alive(self, now: Millis) -> list[MemberStatus]:
        """Return the members with a renewal or heartbeat within one lease."""
        return [s for s in self.member_statuses.values() if not self._is_lost(s, now)]

    def _is_lost(self, status: MemberStatus, now: Millis) -> bool:
        return now - status.seen > self.lease

    def _list_joined_by(self, seen: int) -> list[MemberStatus]:
        """Return the members that had joined by a revision of the platform.

        A router that has read the records up to that revision knows all of them.
        """
        return [s for s in self.member_statuses.values() if s.member.since <= seen]

    def is_platform_down(self, seen: int, now: Millis) -> bool:
        """Tell whether a majority has reported that it doesn't renew.

        In that case no router can be removed and no declaration accepted, because
        a removal needs half of the routers that the removed one knows.

        A router that is no longer heard shows neither that the platform is there nor
        that it is down, whatever it reported last: it counts only towards the total.
        A report of failed renewals counts for a lease, because its sender can't take
        part in a removal until it has renewed for `_MIN_RENEWING_LEASES` leases.

        Parameters
        ----------
        seen
            Revision of the platform up to which this router has read the other
            routers' records.
        """
        if self._hears_renewals(now):
            return False
        # Routers that joined later are left out: the vote on removing this router
        # leaves them out as well (see `may_remove`).
        known = self._list_joined_by(seen)
        not_renewing = sum(
            self._is_heard(status, now, self.lease)
            and status.heartbeat_status.renewing_for == 0
            for status in known
        )
        return 2 * (not_renewing + 1) > len(known) + 1

    def _hears_renewals(self, now: Millis) -> bool:
        span = self.lease / _PRESENT_DIVISOR
        return any(
            self._is_heard(status, now, span)
            and status.heartbeat_status.renewing_for > 0
            for status in self.member_statuses.values()
        )

    @staticmethod
    def _is_heard(status: MemberStatus, now: Millis, span: Millis) -> bool:
        heartbeat = status.last_heartbeat
        return heartbeat is not None and now - heartbeat <= span

    def may_remove(
        self, lost: Member, own: Member, renewing_for: Millis, now: Millis
    ) -> bool:
        """Tell whether a lost member's record may be removed.

        Only routers that the lost one can have known are counted, so that routers
        that joined later can't outvote a majority that was cut off together with
        it.  A router counts in favour if it reported recently, and after the loss,
        that its renewals have succeeded for `_MIN_RENEWING_LEASES` leases.  One that
        is no longer heard doesn't count: it may serve on with the lost one by now.
        """
        status = self.member_statuses.get(lost.name)
        if status is None or not self._is_lost(status, now):
            return False
        since = max(status.seen + self.lease, now - self.lease / _VOTE_DIVISOR)
        min_renewing = _MIN_RENEWING_LEASES * self.lease
        known = self._list_joined_by(lost.seen)
        voters = [
            s
            for s in known
            if s.last_heartbeat is not None
            and s.last_heartbeat >= since
            and s.heartbeat_status.renewing_for >= min_renewing
        ]
        counts_itself = own.since <= lost.seen
        own_vote = counts_itself and renewing_for >= min_renewing
        # A cut-off group that keeps serving contains the lost router and more than
        # half of all.  At least half of all, not counting the lost router, thus
        # share at least one router with it.
        return 2 * (len(voters) + own_vote) >= len(known) + counts_itself
