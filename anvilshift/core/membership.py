"""Who is in the fleet, who is lost, and who may be removed.

A router gives two signs of life: its record in the platform, which it renews,
and heartbeats to the other routers.  It counts as lost only when both have
been absent for a lease.  Its grants are sealed then, which is safe without any
clock.  Its record is removed only when half of the routers that it knew, itself
counted but not among them, reach the platform: a cut-off majority may go on
serving (`core.lease`), and would share a router with them, from which it
learns that it must stop.

See Also
--------
anvilshift.core.lease
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import Millis

_SETTLED_LEASES = 2
"""For so many leases a router's renewals must have succeeded before it counts
for a removal; within one lease another may still rely on its having failed."""


@dataclass(frozen=True)
class Member:
    """A router as the others know it.

    Parameters
    ----------
    revision
        Newest revision of the platform up to which all declarations are in
        force there.
    beat
        Number of the renewal, so that two records can be told apart.
    since
        Revision of the platform that it had seen when it joined.
    seen
        Revision of the platform up to which it knows the others' records.
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
class Vitals:
    """What a router says of itself at a heartbeat.

    Parameters
    ----------
    reaches_platform
        Whether its own last call of the platform was answered.
    renewing_for
        Milliseconds for which all its renewals succeeded, by itself or through
        a peer; 0 when the last one did not.
    serving
        Whether it takes new work.
    """

    reaches_platform: bool = True
    renewing_for: Millis = 0.0
    serving: bool = True
    in_flight: int = 0


@dataclass(frozen=True)
class Sighting:
    """A member and when it last gave a sign of life.

    Parameters
    ----------
    seen
        Instant of its last sign of either kind.
    heard
        Instant of its last heartbeat.
    """

    member: Member
    seen: Millis
    vitals: Vitals = field(default_factory=Vitals)
    heard: Millis | None = None


@dataclass(frozen=True)
class Roster:
    """The fleet as one router sees it, itself excluded.

    Parameters
    ----------
    lease
        Milliseconds without a sign of life after which a member is lost.

    Examples
    --------
    >>> member = Member("r2", "r2-a", "h2", "127.0.0.1:1", "127.0.0.1:2", "north")
    >>> roster = Roster(lease=5_000.0).record(member, now=0.0)
    >>> roster.lost(now=4_000.0), len(roster.lost(now=6_000.0))
    ([], 1)
    """

    lease: Millis
    sightings: Mapping[str, Sighting] = field(default_factory=dict)

    def record(self, member: Member, now: Millis) -> "Roster":
        """Return the roster after a member's record changed in the platform."""
        old = self.sightings.get(member.name)
        if old is not None and old.member == member:
            return self
        base = old if old and old.member.incarnation == member.incarnation else None
        if base is not None:
            # A watch can be behind a heartbeat; what a router knows never shrinks.
            member = replace(member, seen=max(member.seen, base.member.seen))
        sighting = replace(base or Sighting(member, now), member=member, seen=now)
        return replace(self, sightings={**self.sightings, member.name: sighting})

    def hear(self, member: Member, vitals: Vitals, now: Millis) -> "Roster":
        """Return the roster after a heartbeat of a member."""
        sighting = Sighting(member, now, vitals, heard=now)
        return replace(self, sightings={**self.sightings, member.name: sighting})

    def remove(self, name: str) -> "Roster":
        """Return the roster without a member."""
        left = {k: v for k, v in self.sightings.items() if k != name}
        return replace(self, sightings=left)

    def lost(self, now: Millis) -> list[Member]:
        """Return the members that gave no sign of life for a lease."""
        return [s.member for s in self.sightings.values() if self._is_lost(s, now)]

    def present(self, now: Millis) -> list[Sighting]:
        """Return the members that gave a sign of life within a lease."""
        return [s for s in self.sightings.values() if not self._is_lost(s, now)]

    def _is_lost(self, sighting: Sighting, now: Millis) -> bool:
        return now - sighting.seen > self.lease

    def _list_known(self, seen: int) -> list[Sighting]:
        """Return the members that a router had to know at a revision."""
        return [s for s in self.sightings.values() if s.member.since <= seen]

    def is_platform_out(self, seen: int, now: Millis) -> bool:
        """Tell whether nobody heard renews, and a majority is heard.

        Then no router can be removed and no declaration accepted, because a
        removal needs half of those that the removed one knows.

        Parameters
        ----------
        seen
            Revision up to which this router knows the others' records.
        """
        heard = [
            sighting
            for sighting in self.sightings.values()
            if sighting.heard is not None and now - sighting.heard <= self.lease
        ]
        if any(sighting.vitals.renewing_for > 0 for sighting in heard):
            return False
        # Newcomers don't count: those that could remove this router don't
        # count them either.
        known = self._list_known(seen)
        voices = sum(sighting in heard for sighting in known) + 1
        return 2 * voices > len(known) + 1

    def may_remove(
        self, lost: Member, own: Member, renewing_for: Millis, now: Millis
    ) -> bool:
        """Tell whether a lost member's record may be removed.

        Only routers that the lost one can have known count, so that newcomers
        can't outvote a majority that was cut off together with it.  Each must
        have said, after the loss, that it has been renewing for a while.
        """
        sighting = self.sightings.get(lost.name)
        if sighting is None or not self._is_lost(sighting, now):
            return False
        since = sighting.seen + self.lease
        settled = _SETTLED_LEASES * self.lease
        known = self._list_known(lost.seen)
        voters = [
            s
            for s in known
            if s.heard is not None
            and s.heard >= since
            and s.vitals.renewing_for >= settled
        ]
        own_known = own.since <= lost.seen
        own_votes = own_known and renewing_for >= settled
        # A cut-off side that serves on has more than half, the lost one among
        # them; so half of all, without the lost one, meet it in some router.
        return 2 * (len(voters) + own_votes) >= len(known) + own_known
