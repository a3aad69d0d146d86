"""Membership of one router in the fleet.

The router renews its record in the platform, exchanges heartbeats with the other
routers, and removes the records of lost ones.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.lease import Lease
from anvilshift.core.membership import HeartbeatStatus, Member, Roster
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import Body, ObjectStore, update
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
from anvilshift.router.billcopyholders import BillCopyHolders
from anvilshift.router.budgets import RouterBudgets
from anvilshift.router.following import ROUTER_KIND
from anvilshift.router.lostrouters import LostRouters
from anvilshift.router.messages import (
    make_heartbeat,
    read_bills,
    read_heartbeat_status,
    read_member,
)
from anvilshift.router.relayed import RelayedStore, call_store

_RENEWALS_PER_LEASE = 4
_MIN_WRITE_INTERVAL: Millis = 200.0
"""Minimum time between two writes of the router's record.  Declarations that change in
a burst are acknowledged together, with at most five writes per second."""
_PARTITIONED_AFTER = 2
"""Heartbeat intervals after which a router that was not heard counts as partitioned."""


def _ignore_incarnation(incarnation: str) -> None:
    return None


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error("heartbeat failed", exc_info=task.exception())


class Fleet:
    """Membership of one router in the fleet.

    Parameters
    ----------
    member
        Record of this router that the other routers read.
    in_flight
        Returns the number of requests in flight at this router.
    direct
        This router's direct connection to the platform, for calls made on behalf of
        other routers.
    """

    def __init__(
        self,
        store: ObjectStore,
        link: PeerLink,
        clock: Clock,
        member: Member,
        budgets: RouterBudgets,
        lease: Millis,
        heartbeat: Millis,
        in_flight: Callable[[], int],
        direct: ObjectStore | None = None,
    ) -> None:
        self.member = member
        self.members = Roster(lease)
        self.lease = Lease(lease)
        self.required_revision = 0
        """Revision that must be in force here before this router takes new work."""
        self.list_leaving_targets: Callable[[], Iterable[str]] = tuple
        self.receive_leaving_targets: Callable[[str, Iterable[str]], None] = (
            lambda _, __: None
        )
        self.list_crash_reports: Callable[[], Iterable[Crash]] = tuple
        self.note_incarnation: Callable[[str], None] = _ignore_incarnation
        self.receive_crash_reports: Callable[[Iterable[Crash]], None] = lambda _: None
        self.on_members_changed: Callable[[], None] = lambda: None
        self.on_heartbeat: Callable[[], None] = lambda: None
        self.relocate: Callable[[RelocateRequest], RelocateReply]
        self.issue_permit: Callable[[PermitRequest], Awaitable[PermitReply]]
        self.read_revision: Callable[[], int] = lambda: self.member.revision
        self.read_received_revision: Callable[[], int] = lambda: self.member.revision
        self._store = store
        self._direct = direct or store
        self._link = link
        self._clock = clock
        self._budgets = budgets
        self._heartbeat = heartbeat
        self._in_flight = in_flight
        self._lost_routers = LostRouters(
            store,
            budgets,
            self.lease,
            clock,
            lambda: self.members,
            lambda: self.member,
            self._remove_member,
        )
        self._beats: dict[str, asyncio.Task[None]] = {}
        self._declarations_listed = asyncio.Event()
        self._renewal_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.bill_copies = BillCopyHolders(link, clock, member, lambda: self.members)
        budgets.keep_copies = self.bill_copies.keep_copies
        budgets.ask_peers = self.ask_peers
        budgets.hooks.store_at_witness = self.bill_copies.store_at_witness
        budgets.hooks.choose_witness = self.bill_copies.choose
        budgets.hooks.has_peers = lambda: bool(self.members.member_statuses)

    def start(self) -> None:
        """Start to send heartbeats and to renew the record."""
        loop = asyncio.get_running_loop()
        for work in (self._keep_renewing(), self._keep_sending_heartbeats()):
            self.tasks.append(loop.create_task(work))

    def may_serve(self) -> bool:
        """Tell whether this router may take new work.

        Its lease must be valid, unless the platform is unreachable for all routers.
        While the router's record was missing, declarations may have been accepted
        without it.  It must therefore first have in force the revision at which its
        record was created again.
        """
        seen, now = self.read_received_revision(), self._clock.now()
        leased = self.lease.may_serve(self.members, seen, now)
        return leased and self.read_revision() >= self.required_revision

    def is_partitioned(self) -> bool:
        """Tell whether some router of the fleet has not been heard recently."""
        span, now = _PARTITIONED_AFTER * self._heartbeat, self._clock.now()
        member_statuses = self.members.member_statuses.values()
        return any(
            status.last_heartbeat is None or now - status.last_heartbeat > span
            for status in member_statuses
        )

    def find_common_revision(self) -> int:
        """Return the newest revision that all known routers have in force."""
        member_statuses = self.members.member_statuses.values()
        return min(
            [
                self.member.revision,
                *(status.member.revision for status in member_statuses),
            ]
        )

    def acknowledge(self, revision: int) -> None:
        """Publish that the declarations up to a revision are in force here."""
        if not self._declarations_listed.is_set():
            self.member = replace(self.member, since=revision)
            self._declarations_listed.set()
        if revision > self.member.revision:
            self.member = replace(self.member, revision=revision)
            self._renewal_requested.set()

    def apply_router_record(self, name: str, body: Body | None) -> None:
        """Add another router's record to the table, or remove it if it is None."""
        if name == self.member.name:
            return
        if body is None:
            self._remove_member(name)
            self.on_members_changed()
            return
        try:
            member = decode(Member, body)
        except AnvilshiftError as error:
            # One unreadable record must not stop the watch of all other records.
            logging.error("router record unreadable name=%s %s", name, error)
            return
        self.members = self.members.record_renewal(member, self._clock.now())
        self.on_members_changed()
        self.note_incarnation(member.incarnation)

    async def leave(self) -> None:
        """Tell all other routers that this one is leaving."""
        self.member = replace(self.member, leaving=True)
        if self._declarations_listed.is_set():
            await self._renew()
        await self.send_heartbeats()

    async def close(self) -> None:
        """Stop all tasks and delete this router's record."""
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
        # A router joins the fleet only when it has listed the declarations, because
        # until then it would only delay the acceptance of new ones.
        await self._declarations_listed.wait()
        pause = self.members.lease / _RENEWALS_PER_LEASE
        min_interval = min(_MIN_WRITE_INTERVAL, pause)
        while True:
            self._renewal_requested.clear()
            await self._renew()
            await self._lost_routers.seal_and_remove()
            await asyncio.sleep(min_interval / SECOND)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((pause - min_interval) / SECOND):
                    await self._renewal_requested.wait()

    async def _renew(self) -> None:
        revision = max(self.member.revision, self.read_revision())
        beat = self.member.beat + 1
        self.member = replace(
            self.member,
            beat=beat,
            revision=revision,
            seen=self.read_received_revision(),
        )
        body = encode(self.member)
        absent = False

        def change(old: Body | None) -> Body:
            nonlocal absent
            is_own = (
                old is not None and old.get("incarnation") == self.member.incarnation
            )
            absent = absent or not is_own
            return body

        self.lease.begin(self._clock.now())
        try:
            stored = await update(self._store, ROUTER_KIND, self.member.name, change)
        except AnvilshiftError as error:
            self.lease.fail()
            logging.warning("renewal failed code=%d", error.code.number)
            return
        if absent:
            self.required_revision = max(self.required_revision, stored.version)
        self.lease.succeed(self._clock.now())

    def _remove_member(self, name: str) -> None:
        self.members = self.members.remove(name)

    def _make_heartbeat(self) -> Heartbeat:
        heartbeat_status = HeartbeatStatus(
            self._reaches_platform(),
            self.lease.renewing_for(self._clock.now()),
            self.may_serve() and not self.member.leaving,
            self._in_flight(),
        )
        member = replace(self.member, seen=self.read_received_revision())
        return make_heartbeat(
            member,
            heartbeat_status,
            self.list_leaving_targets(),
            self.list_crash_reports(),
        )

    def _reaches_platform(self) -> bool:
        if isinstance(self._store, RelayedStore):
            return self._store.reaches_platform
        return self.lease.holds(self._clock.now())

    def list_relays(self) -> list[str]:
        """Return the peer addresses of routers that can relay calls to the platform."""
        present = self.members.list_alive(self._clock.now())
        return [
            status.member.peer_address
            for status in present
            if status.heartbeat_status.reaches_platform
            and status.last_heartbeat is not None
        ]

    def _apply_heartbeat(self, beat: Heartbeat) -> None:
        self.members = self.members.record_heartbeat(
            read_member(beat), read_heartbeat_status(beat), self._clock.now()
        )
        self.on_members_changed()
        self.receive_leaving_targets(beat.router, beat.leaving_targets)
        self.note_incarnation(beat.incarnation)
        self.receive_crash_reports(beat.crashes)

    async def _keep_sending_heartbeats(self) -> None:
        # Each peer gets heartbeats from a task of its own, so that a peer that does
        # not answer can't delay those to the others, which would take this router
        # for lost.
        while True:
            self.may_serve()
            self.on_heartbeat()
            running = {
                address: task
                for address, task in self._beats.items()
                if not task.done()
            }
            self._beats = running
            for address in self._list_addresses():
                if address not in running:
                    beat = asyncio.create_task(self._exchange_heartbeat(address))
                    beat.add_done_callback(_log_failure)
                    running[address] = beat
            await asyncio.sleep(self._heartbeat / SECOND)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to every other router now."""
        addresses = self._list_present_addresses()
        await asyncio.gather(
            *(self._exchange_heartbeat(address) for address in addresses)
        )

    def _list_addresses(self) -> list[str]:
        return [
            status.member.peer_address
            for status in self.members.member_statuses.values()
        ]

    def _list_present_addresses(self) -> list[str]:
        # Lost routers are left out, because each call to one waits for the timeout.
        present = self.members.list_alive(self._clock.now())
        return [status.member.peer_address for status in present]

    async def _exchange_heartbeat(self, address: str) -> None:
        with contextlib.suppress(PeerError):
            self._apply_heartbeat(
                await self._link.beat(address, self._make_heartbeat())
            )

    async def ask_peers(self, account: str) -> None:
        """Ask the other routers to return unused tokens of a budget to the ledger."""
        request = GiveBackRequest(account=account)
        addresses = self._list_present_addresses()
        await asyncio.gather(
            *(self._ask_peer(address, request) for address in addresses)
        )

    async def _ask_peer(self, address: str, request: GiveBackRequest) -> None:
        with contextlib.suppress(PeerError):
            await self._link.give_back(address, request)

    async def handle_heartbeat(self, beat: Heartbeat) -> Heartbeat:
        """Apply another router's heartbeat and reply with this router's."""
        self._apply_heartbeat(beat)
        return self._make_heartbeat()

    async def handle_keep(self, request: KeepRequest) -> KeepReply:
        """Store copies of another router's bills, and tell whether they were kept."""
        bills = read_bills(request, self._clock.wall())
        kept = self._budgets.copies.add(request.holder, bills, request.witness)
        return KeepReply(kept=kept)

    async def handle_give_back(self, request: GiveBackRequest) -> GiveBackReply:
        """Return unused tokens of a budget to the ledger."""
        await self._budgets.give_back(request.account)
        return GiveBackReply()

    async def handle_permit(self, request: PermitRequest) -> PermitReply:
        """Issue a permit for a target that has announced a rate limit."""
        return await self.issue_permit(request)

    async def handle_relocate(self, request: RelocateRequest) -> RelocateReply:
        """Handle one step of relocating a content to a target that isn't its home."""
        return self.relocate(request)

    async def handle_call_store(self, request: StoreRequest) -> StoreReply:
        """Call the platform for another router, only over the direct connection."""
        return await call_store(self._direct, request)
