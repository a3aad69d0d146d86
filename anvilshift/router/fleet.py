"""Take part in the fleet: renew the own record, beat to others, remove the lost."""

import asyncio
import contextlib
import zlib
from collections.abc import Callable
from dataclasses import replace

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.ledger import Bill
from anvilshift.core.membership import Member, Roster
from anvilshift.peers.generated.peers_pb2 import (
    GiveBackReply,
    GiveBackRequest,
    Heartbeat,
    KeepReply,
    KeepRequest,
    PendingBill,
)
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.platform.records import decode, encode
from anvilshift.platform.store import Body, ConflictError, ObjectStore, update
from anvilshift.router.following import ROUTER_KIND
from anvilshift.router.treasury import Treasury

_RENEWALS_PER_LEASE = 4
_SPARE_COPIES = 2
"""Routers that keep copies besides the witness: with more, each answer in an
outage would cost a call to every router."""


class Fleet:
    """One router's part in the fleet.

    Parameters
    ----------
    member
        This router, as the others shall know it.
    in_flight
        Tells how many requests this router has in flight.
    """

    def __init__(
        self,
        store: ObjectStore,
        link: PeerLink,
        clock: Clock,
        member: Member,
        treasury: Treasury,
        lease: Millis,
        heartbeat: Millis,
        in_flight: Callable[[], int],
    ) -> None:
        self.member = member
        self.roster = Roster(lease)
        self._store = store
        self._link = link
        self._clock = clock
        self._treasury = treasury
        self._heartbeat = heartbeat
        self._in_flight = in_flight
        self._renewed = clock.now() - 2 * lease
        self._reaches_platform = False
        self._renew_now = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        treasury.keep_copies = self.keep_copies
        treasury.ask_peers = self.ask_peers
        treasury.hooks.keep_witnessed = self.keep_witnessed
        treasury.hooks.choose_witness = self.choose_witness

    def start(self) -> None:
        """Begin to beat and renew."""
        loop = asyncio.get_running_loop()
        for work in (self._keep_renewing(), self._keep_beating()):
            self._tasks.append(loop.create_task(work))

    def may_serve(self) -> bool:
        """Tell whether this router's lease, or an outage of all, lets it serve."""
        return self.roster.may_serve(self._renewed, self._clock.now())

    def acknowledge(self, revision: int) -> None:
        """State that declarations of a revision are in force here."""
        if revision > self.member.revision:
            self.member = replace(self.member, revision=revision)
            self._renew_now.set()

    def take_router(self, name: str, body: Body | None) -> None:
        """Take in a router's record."""
        if name == self.member.name:
            return
        if body is None:
            self.roster = self.roster.remove(name)
            return
        self.roster = self.roster.record(decode(Member, body), self._clock.now())

    async def leave(self) -> None:
        """Tell everyone that this router is leaving."""
        self.member = replace(self.member, leaving=True)
        await self._renew()
        await self._beat_all()

    async def close(self) -> None:
        """Take the own record away and stop."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        with contextlib.suppress(AnvilshiftError):
            found = await self._store.get(ROUTER_KIND, self.member.name)
            if found and found.body.get("incarnation") == self.member.incarnation:
                await self._store.delete(ROUTER_KIND, found.name, found.version)
        self._link.close()

    async def _keep_renewing(self) -> None:
        pause = self.roster.lease / _RENEWALS_PER_LEASE / SECOND
        while True:
            self._renew_now.clear()
            await self._renew()
            await self._remove_lost()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._renew_now.wait()

    async def _renew(self) -> None:
        self.member = replace(self.member, beat=self.member.beat + 1)
        body = encode(self.member)
        began = self._clock.now()
        try:
            await update(self._store, ROUTER_KIND, self.member.name, lambda _: body)
            # Counted from before the call: the others may have seen it then.
            self._renewed = began
            self._reaches_platform = True
        except AnvilshiftError as error:
            self._reaches_platform = False
            logging.warning("renewal failed code=%d", error.code.number)

    async def _remove_lost(self) -> None:
        if not self._reaches_platform:
            return
        with contextlib.suppress(AnvilshiftError):
            await self._treasury.sweep(self._list_incarnations())
        for member in self.roster.lost(self._clock.now()):
            try:
                await self._remove(member)
            except AnvilshiftError as error:
                logging.warning("removal failed code=%d", error.code.number)

    async def _remove(self, member: Member) -> None:
        logging.warning("removing lost router=%s", member.name)
        await self._treasury.seal(member.incarnation)
        await self._treasury.sweep(self._list_incarnations())
        found = await self._store.get(ROUTER_KIND, member.name)
        if found and found.body.get("incarnation") == member.incarnation:
            with contextlib.suppress(ConflictError):
                await self._store.delete(ROUTER_KIND, found.name, found.version)
        self.roster = self.roster.remove(member.name)

    def _list_incarnations(self) -> set[str]:
        return {s.member.incarnation for s in self.roster.sightings.values()}

    def _make_heartbeat(self) -> Heartbeat:
        member = self.member
        return Heartbeat(
            router=member.name,
            incarnation=member.incarnation,
            host=member.host,
            address=member.address,
            peer_address=member.peer_address,
            failure_domain=member.failure_domain,
            leaving=member.leaving,
            revision=member.revision,
            beat=member.beat,
            reaches_platform=self._reaches_platform,
            in_flight=self._in_flight(),
        )

    def _hear(self, beat: Heartbeat) -> None:
        member = Member(
            beat.router,
            beat.incarnation,
            beat.host,
            beat.address,
            beat.peer_address,
            beat.failure_domain,
            beat.revision,
            beat.leaving,
            beat.beat,
        )
        self.roster = self.roster.hear(
            member, beat.reaches_platform, beat.in_flight, self._clock.now()
        )

    async def _keep_beating(self) -> None:
        while True:
            await self._beat_all()
            await asyncio.sleep(self._heartbeat / SECOND)

    async def _beat_all(self) -> None:
        addresses = self._peer_addresses()
        await asyncio.gather(*(self._beat_one(address) for address in addresses))

    def _peer_addresses(self) -> list[str]:
        return [s.member.peer_address for s in self.roster.sightings.values()]

    async def _beat_one(self, address: str) -> None:
        with contextlib.suppress(PeerError):
            self._hear(await self._link.beat(address, self._make_heartbeat()))

    async def keep_copies(
        self, holder: str, bills: tuple[tuple[str, Bill], ...]
    ) -> bool:
        """Leave copies of bills with a few other routers; True if one took them."""
        request = make_keep_request(holder, bills)
        chosen = self._rank_keepers()[:_SPARE_COPIES]
        work = [self._keep_one(member.peer_address, request) for member in chosen]
        return any(await asyncio.gather(*work))

    async def keep_witnessed(
        self, witness: str, holder: str, bills: tuple[tuple[str, Bill], ...]
    ) -> bool:
        """Leave copies of bills with the holder's witness; True once it has them."""
        request = make_keep_request(holder, bills, witness)
        for sighting in self.roster.sightings.values():
            if sighting.member.incarnation == witness:
                return await self._keep_one(sighting.member.peer_address, request)
        return False

    def choose_witness(self, current: str) -> str:
        """Return the incarnation of the router that is to keep copies here.

        The present one, while it is heard; else one of another failure domain,
        so that one lost domain doesn't take both.
        """
        ranked = [member.incarnation for member in self._rank_keepers()]
        if current in ranked or not ranked:
            return current if current in ranked else ""
        return ranked[0]

    def _rank_keepers(self) -> list[Member]:
        now = self._clock.now()
        heard = [
            s.member
            for s in self.roster.sightings.values()
            if s.heard is not None
            and now - s.heard <= self.roster.lease
            and not s.member.leaving
        ]
        own = self.member.failure_domain
        return sorted(
            heard, key=lambda m: (m.failure_domain == own, self._mix(m.incarnation))
        )

    def _mix(self, name: str) -> int:
        # Another order at each router spreads the copies over the fleet.
        return zlib.crc32(f"{self.member.incarnation}/{name}".encode())

    async def _keep_one(self, address: str, request: KeepRequest) -> bool:
        try:
            return bool((await self._link.keep(address, request)).kept)
        except PeerError:
            return False

    async def ask_peers(self, account: str) -> None:
        """Ask the other routers to give unused tokens of a budget back."""
        request = GiveBackRequest(account=account)
        addresses = self._peer_addresses()
        await asyncio.gather(*(self._ask_one(a, request) for a in addresses))

    async def _ask_one(self, address: str, request: GiveBackRequest) -> None:
        with contextlib.suppress(PeerError):
            await self._link.give_back(address, request)

    async def take_beat(self, beat: Heartbeat) -> Heartbeat:
        """Take in a heartbeat and return the own."""
        self._hear(beat)
        return self._make_heartbeat()

    async def take_copies(self, request: KeepRequest) -> KeepReply:
        """Keep copies of another router's bills."""
        wall = self._clock.wall()
        bills = tuple(
            (
                item.account,
                Bill(
                    item.key,
                    item.organisation,
                    item.tokens,
                    request.holder,
                    wall,
                    item.after,
                ),
            )
            for item in request.bills
        )
        kept = self._treasury.copies.add(request.holder, bills, request.witness)
        return KeepReply(kept=kept)

    async def take_give_back(self, request: GiveBackRequest) -> GiveBackReply:
        """Give unused tokens of a budget back to the platform."""
        await self._treasury.give_back(request.account)
        return GiveBackReply()


def make_keep_request(
    holder: str, bills: tuple[tuple[str, Bill], ...], witness: str = ""
) -> KeepRequest:
    """Return the request to keep copies of a holder's bills."""
    pending = [
        PendingBill(
            account=account,
            key=bill.key,
            organisation=bill.organisation,
            tokens=bill.tokens,
            after=bill.after,
        )
        for account, bill in bills
    ]
    return KeepRequest(holder=holder, bills=pending, witness=witness)
