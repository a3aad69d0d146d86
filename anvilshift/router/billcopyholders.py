"""Store copies of unrecorded bills at other routers.

During an outage of the platform, a bill is kept by its holder, by a witness and by a
few more routers, so that it survives the loss of any one of them.
"""

import asyncio
import zlib
from collections.abc import Callable

from absl import logging

from anvilshift.core.billcopies import BillCopies
from anvilshift.core.clock import Clock
from anvilshift.core.membership import Member, Roster
from anvilshift.peers.generated.peers_pb2 import KeepRequest
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.router.messages import Bills, make_keep_request
from anvilshift.router.sealing import belongs

_EXTRA_COPIES = 2
"""Number of routers that keep copies in addition to the witness.  If all routers kept
them, each answer during an outage would need a call to every router."""


class BillCopyHolders:
    """Store copies of this router's bills at other routers.

    Parameters
    ----------
    own
        Record of this router.
    read_members
        Returns the current table of the other routers.
    """

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        own: Member,
        read_members: Callable[[], Roster],
    ) -> None:
        self._link = link
        self._clock = clock
        self._own = own
        self._read_members = read_members

    async def keep_copies(self, holder: str, bills: Bills, witness: str = "") -> bool:
        """Store copies of bills at a few other routers; True if one accepted them.

        The witness is left out, because `store_at_witness` sends it its own copies.
        When a router doesn't answer, the next candidate is asked in its place.
        """
        request = make_keep_request(holder, bills)
        addresses = [
            member.peer_address
            for member in self._list_candidates()
            if member.incarnation != witness and not belongs(holder, member.incarnation)
        ]
        kept = 0
        while addresses and kept < _EXTRA_COPIES:
            missing = _EXTRA_COPIES - kept
            asked, addresses = addresses[:missing], addresses[missing:]
            work = [self._send_copies(address, request) for address in asked]
            kept += sum(await asyncio.gather(*work))
        return kept > 0

    async def transfer_copies(self, copies: BillCopies) -> list[str]:
        """Send the copies kept here to other routers before this router stops.

        Returns the holders of the copies that no router has taken.
        """
        copies.stop()
        left = []
        for holder in copies.list_holders():
            bills = copies.list(holder)
            if await self.keep_copies(holder, bills):
                logging.info("copies handed on holder=%s bills=%d", holder, len(bills))
            else:
                left.append(holder)
        return left

    async def store_at_witness(self, witness: str, holder: str, bills: Bills) -> bool:
        """Store copies of bills at the holder's witness; True once it has them."""
        request = make_keep_request(holder, bills, witness)
        for status in self._read_members().member_statuses.values():
            if status.member.incarnation == witness:
                return await self._send_copies(status.member.peer_address, request)
        return False

    def choose(self, current: str) -> str:
        """Return the incarnation of this router's witness, or an empty string.

        The current witness is kept while its heartbeats arrive.  Otherwise routers
        of another failure domain come first, so that the loss of one domain doesn't
        take both the holder and its witness.
        """
        candidates = [member.incarnation for member in self._list_candidates()]
        if current in candidates or not candidates:
            return current if current in candidates else ""
        return candidates[0]

    def _list_candidates(self) -> list[Member]:
        members, now = self._read_members(), self._clock.now()
        heard = [
            status.member
            for status in members.member_statuses.values()
            if status.last_heartbeat is not None
            and now - status.last_heartbeat <= members.lease
            and not status.member.leaving
        ]
        own = self._own.failure_domain
        return sorted(
            heard,
            key=lambda member: (
                member.failure_domain == own,
                self._hash_name(member.incarnation),
            ),
        )

    def _hash_name(self, name: str) -> int:
        # Each router gets a different order, which spreads the copies over the fleet.
        return zlib.crc32(f"{self._own.incarnation}/{name}".encode())

    async def _send_copies(self, address: str, request: KeepRequest) -> bool:
        try:
            return bool((await self._link.keep(address, request)).kept)
        except PeerError:
            return False
