"""Leave copies of unrecorded bills with other routers.

In an outage of the platform a bill is with its holder, with a witness and with a
few spare keepers, so that it outlasts the loss of any one of them.
"""

import asyncio
import zlib
from collections.abc import Callable

from absl import logging

from anvilshift.core.clock import Clock
from anvilshift.core.copies import Copies
from anvilshift.core.membership import Member, Roster
from anvilshift.peers.generated.peers_pb2 import KeepRequest
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.router.messages import Bills, make_keep_request
from anvilshift.router.sealing import belongs

_SPARE_COPIES = 2
"""Routers that keep copies besides the witness: with more, each answer in an
outage would cost a call to every router."""


class Witnesses:
    """The other routers as keepers of this one's copies.

    Parameters
    ----------
    own
        This router.
    read_roster
        Returns the others as this router sees them now.
    """

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        own: Member,
        read_roster: Callable[[], Roster],
    ) -> None:
        self._link = link
        self._clock = clock
        self._own = own
        self._read_roster = read_roster

    async def keep_copies(self, holder: str, bills: Bills, witness: str = "") -> bool:
        """Leave copies of bills with a few other routers; True if one took them.

        The witness gets its own, and a router that doesn't answer has none: the next
        ones are asked in its place.
        """
        request = make_keep_request(holder, bills)
        left = [
            member.peer_address
            for member in self._rank()
            if member.incarnation != witness and not belongs(holder, member.incarnation)
        ]
        kept = 0
        while left and kept < _SPARE_COPIES:
            missing = _SPARE_COPIES - kept
            asked, left = left[:missing], left[missing:]
            work = [self._keep_one(address, request) for address in asked]
            kept += sum(await asyncio.gather(*work))
        return kept > 0

    async def hand_on(self, copies: Copies) -> None:
        """Leave the copies kept here with others, before this router ends."""
        copies.stop()
        for holder in copies.list_holders():
            bills = copies.list(holder)
            if await self.keep_copies(holder, bills):
                logging.info("copies handed on holder=%s bills=%d", holder, len(bills))
            else:
                logging.error("copies end here holder=%s bills=%d", holder, len(bills))

    async def keep_witnessed(self, witness: str, holder: str, bills: Bills) -> bool:
        """Leave copies of bills with the holder's witness; True once it has them."""
        request = make_keep_request(holder, bills, witness)
        for sighting in self._read_roster().sightings.values():
            if sighting.member.incarnation == witness:
                return await self._keep_one(sighting.member.peer_address, request)
        return False

    def choose(self, current: str) -> str:
        """Return the incarnation of the router that is to keep copies here.

        The present one, while it is heard; else one of another failure domain,
        so that one lost domain doesn't take both.
        """
        ranked = [member.incarnation for member in self._rank()]
        if current in ranked or not ranked:
            return current if current in ranked else ""
        return ranked[0]

    def _rank(self) -> list[Member]:
        roster, now = self._read_roster(), self._clock.now()
        heard = [
            s.member
            for s in roster.sightings.values()
            if s.heard is not None
            and now - s.heard <= roster.lease
            and not s.member.leaving
        ]
        own = self._own.failure_domain
        return sorted(
            heard, key=lambda m: (m.failure_domain == own, self._mix(m.incarnation))
        )

    def _mix(self, name: str) -> int:
        # Another order at each router spreads the copies over the fleet.
        return zlib.crc32(f"{self._own.incarnation}/{name}".encode())

    async def _keep_one(self, address: str, request: KeepRequest) -> bool:
        try:
            return bool((await self._link.keep(address, request)).kept)
        except PeerError:
            return False
