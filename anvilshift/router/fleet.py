"""Take part in the fleet: renew the own record, beat to others, remove the lost."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.lease import Lease
from anvilshift.core.membership import Member, Roster, Vitals
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import Body, ConflictError, ObjectStore, update
from anvilshift.peers.generated.peers_pb2 import (
    Crash,
    GiveBackReply,
    GiveBackRequest,
    Heartbeat,
    KeepReply,
    KeepRequest,
    PermitReply,
    PermitRequest,
    RelocateReply,
    RelocateRequest,
    StoreReply,
    StoreRequest,
)
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.router.following import ROUTER_KIND
from anvilshift.router.messages import (
    make_heartbeat,
    read_bills,
    read_member,
    read_vitals,
)
from anvilshift.router.relayed import RelayedStore, call_store
from anvilshift.router.treasury import Treasury
from anvilshift.router.witnesses import Witnesses

_RENEWALS_PER_LEASE = 4
_ACKNOWLEDGE_SPACING: Millis = 200.0
"""Least time between two writes of the record: a burst of declarations is
acknowledged together, at most five writes a second."""
_HEARD_WITHIN = 2
"""Heartbeats within which a router that is in touch is heard."""


def _ignore_newcomer(incarnation: str) -> None:
    return None


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error("heartbeat failed", exc_info=task.exception())


class Fleet:
    """One router's part in the fleet.

    Parameters
    ----------
    member
        This router, as the others shall know it.
    in_flight
        Tells how many requests this router has in flight.
    direct
        The own way to the platform, for calls made for other routers.
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
        direct: ObjectStore | None = None,
    ) -> None:
        self.member = member
        self.roster = Roster(lease)
        self.lease = Lease(lease)
        self.must_hold = 0
        """Revision that must be in force here before new work is taken."""
        self.tell_targets: Callable[[], Iterable[str]] = tuple
        self.hear_targets: Callable[[str, Iterable[str]], None] = lambda r, t: None
        self.tell_crashes: Callable[[], Iterable[Crash]] = tuple
        self.greet: Callable[[str], None] = _ignore_newcomer
        self.hear_crashes: Callable[[Iterable[Crash]], None] = lambda c: None
        self.at_roster: Callable[[], None] = lambda: None
        self.at_beat: Callable[[], None] = lambda: None
        self.relocate: Callable[[RelocateRequest], RelocateReply]
        self.issue_permit: Callable[[PermitRequest], Awaitable[PermitReply]]
        self.read_revision: Callable[[], int] = lambda: self.member.revision
        self.read_seen: Callable[[], int] = lambda: self.member.revision
        self._store = store
        self._direct = direct or store
        self._link = link
        self._clock = clock
        self._treasury = treasury
        self._heartbeat = heartbeat
        self._in_flight = in_flight
        self._sealed: set[str] = set()
        self._beats: dict[str, asyncio.Task[None]] = {}
        self._listed = asyncio.Event()
        self._renew_now = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.witnesses = Witnesses(link, clock, member, lambda: self.roster)
        treasury.keep_copies = self.witnesses.keep_copies
        treasury.ask_peers = self.ask_peers
        treasury.hooks.keep_witnessed = self.witnesses.keep_witnessed
        treasury.hooks.choose_witness = self.witnesses.choose

    def start(self) -> None:
        """Begin to beat and renew."""
        loop = asyncio.get_running_loop()
        for work in (self._keep_renewing(), self._keep_beating()):
            self.tasks.append(loop.create_task(work))

    def may_serve(self) -> bool:
        """Tell whether this router may take new work.

        Its lease holds, or the platform is out for all.  A router whose record
        was gone may have missed what was accepted without it, so it first
        holds what was stored when its record came back.
        """
        seen, now = self.read_seen(), self._clock.now()
        leased = self.lease.may_serve(self.roster, seen, now)
        return leased and self.read_revision() >= self.must_hold

    def is_partitioned(self) -> bool:
        """Tell whether some router of the fleet has not been heard lately."""
        span, now = _HEARD_WITHIN * self._heartbeat, self._clock.now()
        sightings = self.roster.sightings.values()
        return any(s.heard is None or now - s.heard > span for s in sightings)

    def find_common_revision(self) -> int:
        """Return the revision that every router known here has in force."""
        sightings = self.roster.sightings.values()
        return min([self.member.revision, *(s.member.revision for s in sightings)])

    def acknowledge(self, revision: int) -> None:
        """State that declarations of a revision are in force here."""
        if not self._listed.is_set():
            self.member = replace(self.member, since=revision)
            self._listed.set()
        if revision > self.member.revision:
            self.member = replace(self.member, revision=revision)
            self._renew_now.set()

    def take_router(self, name: str, body: Body | None) -> None:
        """Take in a router's record."""
        if name == self.member.name:
            return
        if body is None:
            self.roster = self.roster.remove(name)
            self.at_roster()
            return
        try:
            member = decode(Member, body)
        except AnvilshiftError as error:
            # One record that can't be read must not end the watch of all.
            logging.error("router record unreadable name=%s %s", name, error)
            return
        self.roster = self.roster.record(member, self._clock.now())
        self.at_roster()
        self.greet(member.incarnation)

    async def leave(self) -> None:
        """Tell everyone that this router is leaving."""
        self.member = replace(self.member, leaving=True)
        if self._listed.is_set():
            await self._renew()
        await self.beat_all()

    async def close(self) -> None:
        """Take the own record away and stop."""
        tasks = [*self.tasks, *self._beats.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(AnvilshiftError):
            found = await self._store.get(ROUTER_KIND, self.member.name)
            if found and found.body.get("incarnation") == self.member.incarnation:
                await self._store.delete(ROUTER_KIND, found.name, found.version)
        self._link.close()

    async def _keep_renewing(self) -> None:
        # A router joins once it has listed the declarations: before that it
        # could only hold up their acceptance.
        await self._listed.wait()
        pause = self.roster.lease / _RENEWALS_PER_LEASE
        spacing = min(_ACKNOWLEDGE_SPACING, pause)
        while True:
            self._renew_now.clear()
            await self._renew()
            await self._remove_lost()
            await asyncio.sleep(spacing / SECOND)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((pause - spacing) / SECOND):
                    await self._renew_now.wait()

    async def _renew(self) -> None:
        revision = max(self.member.revision, self.read_revision())
        beat = self.member.beat + 1
        self.member = replace(
            self.member, beat=beat, revision=revision, seen=self.read_seen()
        )
        body = encode(self.member)
        absent = False

        def change(old: Body | None) -> Body:
            nonlocal absent
            own = old is not None and old.get("incarnation") == self.member.incarnation
            absent = absent or not own
            return body

        self.lease.begin(self._clock.now())
        try:
            stored = await update(self._store, ROUTER_KIND, self.member.name, change)
        except AnvilshiftError as error:
            self.lease.fail()
            logging.warning("renewal failed code=%d", error.code.number)
            return
        if absent:
            self.must_hold = max(self.must_hold, stored.version)
        self.lease.succeed(self._clock.now())

    async def _remove_lost(self) -> None:
        now = self._clock.now()
        lost = self.roster.lost(now)
        self._sealed &= {member.incarnation for member in lost}
        if not self.lease.holds(now):
            return
        with contextlib.suppress(AnvilshiftError):
            await self._treasury.sweep(self._list_incarnations())
        for member in lost:
            try:
                await self._seal(member)
                if self._may_remove(member):
                    await self._remove(member)
            except AnvilshiftError as error:
                logging.warning("removal failed code=%d", error.code.number)

    def _may_remove(self, member: Member) -> bool:
        now = self._clock.now()
        renewing_for = self.lease.renewing_for(now)
        return self.roster.may_remove(member, self.member, renewing_for, now)

    async def _seal(self, member: Member) -> None:
        if member.incarnation in self._sealed:
            return
        logging.warning("sealing lost router=%s", member.name)
        await self._treasury.seal(member.incarnation)
        await self._treasury.sweep(self._list_incarnations())
        self._sealed.add(member.incarnation)

    async def _remove(self, member: Member) -> None:
        logging.warning("removing lost router=%s", member.name)
        found = await self._store.get(ROUTER_KIND, member.name)
        if found and found.body.get("incarnation") == member.incarnation:
            if decode(Member, found.body).beat > member.beat:
                return
            with contextlib.suppress(ConflictError):
                await self._store.delete(ROUTER_KIND, found.name, found.version)
        self.roster = self.roster.remove(member.name)

    def _list_incarnations(self) -> set[str]:
        return {s.member.incarnation for s in self.roster.sightings.values()}

    def _make_heartbeat(self) -> Heartbeat:
        vitals = Vitals(
            self._reaches_platform(),
            self.lease.renewing_for(self._clock.now()),
            self.may_serve() and not self.member.leaving,
            self._in_flight(),
        )
        member = replace(self.member, seen=self.read_seen())
        return make_heartbeat(member, vitals, self.tell_targets(), self.tell_crashes())

    def _reaches_platform(self) -> bool:
        if isinstance(self._store, RelayedStore):
            return self._store.reaches_platform
        return self.lease.holds(self._clock.now())

    def list_relays(self) -> list[str]:
        """Return the peer addresses of routers that reach the platform."""
        present = self.roster.present(self._clock.now())
        return [
            s.member.peer_address
            for s in present
            if s.vitals.reaches_platform and s.heard is not None
        ]

    def _hear(self, beat: Heartbeat) -> None:
        self.roster = self.roster.hear(
            read_member(beat), read_vitals(beat), self._clock.now()
        )
        self.at_roster()
        self.hear_targets(beat.router, beat.leaving_targets)
        self.greet(beat.incarnation)
        self.hear_crashes(beat.crashes)

    async def _keep_beating(self) -> None:
        # Each peer has its own beat: a peer that does not answer must not make
        # this router look lost to the others.
        while True:
            self.may_serve()
            self.at_beat()
            running = {a: t for a, t in self._beats.items() if not t.done()}
            self._beats = running
            for address in self._peer_addresses():
                if address not in running:
                    beat = asyncio.create_task(self._beat_one(address))
                    beat.add_done_callback(_log_failure)
                    running[address] = beat
            await asyncio.sleep(self._heartbeat / SECOND)

    async def beat_all(self) -> None:
        """Send a heartbeat to every other router now."""
        addresses = self._present_addresses()
        await asyncio.gather(*(self._beat_one(address) for address in addresses))

    def _peer_addresses(self) -> list[str]:
        return [s.member.peer_address for s in self.roster.sightings.values()]

    def _present_addresses(self) -> list[str]:
        # A lost router would cost each caller of these the whole timeout.
        present = self.roster.present(self._clock.now())
        return [sighting.member.peer_address for sighting in present]

    async def _beat_one(self, address: str) -> None:
        with contextlib.suppress(PeerError):
            self._hear(await self._link.beat(address, self._make_heartbeat()))

    async def ask_peers(self, account: str) -> None:
        """Ask the other routers to give unused tokens of a budget back."""
        request = GiveBackRequest(account=account)
        addresses = self._present_addresses()
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
        bills = read_bills(request, self._clock.wall())
        kept = self._treasury.copies.add(request.holder, bills, request.witness)
        return KeepReply(kept=kept)

    async def take_give_back(self, request: GiveBackRequest) -> GiveBackReply:
        """Give unused tokens of a budget back to the platform."""
        await self._treasury.give_back(request.account)
        return GiveBackReply()

    async def take_permit(self, request: PermitRequest) -> PermitReply:
        """Issue a permit for a target that has named a limit."""
        return await self.issue_permit(request)

    async def take_relocate(self, request: RelocateRequest) -> RelocateReply:
        """Take part in sending a content elsewhere than to its homes."""
        return self.relocate(request)

    async def take_call_store(self, request: StoreRequest) -> StoreReply:
        """Make a call of the platform for another router, on the own way only."""
        return await call_store(self._direct, request)
