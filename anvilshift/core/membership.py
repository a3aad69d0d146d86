"""Who is in the fleet, who is lost, and whether this router may serve.

A router gives two signs of life: its record in the platform, which it renews,
and heartbeats to the other routers.  It counts as lost only when both have
been absent for a lease.  Removing a lost router is safe without any clock
(its grants are sealed); the lease only decides when that is tried.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import Millis


@dataclass(frozen=True)
class Member:
    """A router as the others know it.

    Parameters
    ----------
    revision
        Newest revision of the declarations that it has in force.
    beat
        Number of the renewal, so that two records can be told apart.
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


@dataclass(frozen=True)
class Sighting:
    """A member and when it last gave a sign of life."""

    member: Member
    seen: Millis
    reaches_platform: bool = True
    in_flight: int = 0
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
        sighting = replace(base or Sighting(member, now), member=member, seen=now)
        return replace(self, sightings={**self.sightings, member.name: sighting})

    def hear(
        self, member: Member, reaches_platform: bool, in_flight: int, now: Millis
    ) -> "Roster":
        """Return the roster after a heartbeat of a member."""
        sighting = Sighting(member, now, reaches_platform, in_flight, heard=now)
        return replace(self, sightings={**self.sightings, member.name: sighting})

    def remove(self, name: str) -> "Roster":
        """Return the roster without a member."""
        left = {k: v for k, v in self.sightings.items() if k != name}
        return replace(self, sightings=left)

    def lost(self, now: Millis) -> list[Member]:
        """Return the members that gave no sign of life for a lease."""
        return [
            sighting.member
            for sighting in self.sightings.values()
            if now - sighting.seen > self.lease
        ]

    def may_serve(self, renewed: Millis, now: Millis) -> bool:
        """Tell whether a router whose record was last renewed then may serve.

        Past its lease others may have removed it, and a declaration may have
        been accepted without it.  It goes on only while most of the fleet is
        within its hearing and reaches the platform no more than itself: then
        the platform is out and nothing can have been accepted.
        """
        if now - renewed <= self.lease:
            return True
        heard = [
            sighting
            for sighting in self.sightings.values()
            if sighting.heard is not None and now - sighting.heard <= self.lease
        ]
        if any(sighting.reaches_platform for sighting in heard):
            return False
        fleet = len(self.sightings) + 1
        return 2 * (len(heard) + 1) > fleet
