"""Send this router's messages to the others, and handle the messages they send."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.allocators import AllocatorMap
from anvilshift.core.clock import Clock
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.targetmemory import RouterCounts
from anvilshift.core.retention import Mark, MarkLog
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.domaindrains import DrainWatch
from anvilshift.gateway.drainmessages import DrainsTold
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.messages import (
    Ask,
    Beat,
    Begun,
    Blamed,
    Ended,
    Failed,
    Farewell,
    Gift,
    Held,
    Lack,
    Limited,
    Marked,
    Message,
    Paused,
    PermitAnswer,
    PermitAsk,
    PermitDropped,
    Sent,
    SentBefore,
    Settled,
)
from anvilshift.gateway.partmessages import (
    PartRecorded,
    PartsAnswered,
    PartsTold,
    StartAlive,
    TryAnswer,
    TryAsk,
    TryEnded,
)
from anvilshift.gateway.peers import Peer, Peers
from anvilshift.gateway.reserving import Reservations
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.shares import ShareManager
from anvilshift.gateway.streammessages import (
    HistorySeen,
    OriginAnswer,
    OriginAsk,
    StreamBegan,
)

_FAREWELL_COPIES = 3
"""Copies of the final message: its datagram may be lost, and a router that has stopped
can't send it again."""


@dataclass
class PeerMessenger:
    """Exchange messages between this router and the others.

    Parameters
    ----------
    is_ready, is_leaving, is_fresh
        Return whether this router accepts new callers, whether it is stopping as
        planned, and whether the store has answered it recently.
    tell_new_router
        Called with the address of each new router.
    """

    settings: GatewaySettings
    incarnation: str
    peers: Peers
    loads: LoadMap
    allotter: ShareManager
    reservations: Reservations
    allocators: AllocatorMap
    marks: MarkLog
    shared: RouterContext
    limits: RateLimits
    drains: DrainWatch
    clock: Clock
    journal: Journal
    is_ready: Callable[[], bool]
    is_leaving: Callable[[], bool]
    is_fresh: Callable[[], bool]
    tell_new_router: list[Callable[[str], None]] = field(default_factory=list)
    _lending_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _handlers: dict[type, Callable[[Any], None]] = field(init=False)

    def __post_init__(self) -> None:
        self._handlers = self._make_handlers()

    def make_heartbeat(self) -> Beat:
        """Return this router's heartbeat."""
        table = self.shared.table
        return Beat(
            self.settings.name,
            self.incarnation,
            self.settings.ip,
            str(self.settings.front),
            self.settings.failure_domain,
            table.configuration.version if table else 0,
            self.is_ready(),
            self.is_leaving(),
            self.is_fresh(),
            tuple(sorted(self.peers.addresses)),
        )

    # Tokens

    def update_routers(self) -> None:
        """Update the set of present routers, and with it the allocators of tokens."""
        peers = self.peers.list_present()
        names = {one.beat.router for one in peers if not one.beat.leaving}
        if not self.is_leaving():
            names.add(self.settings.name)
        leaving = {one.beat.router for one in peers if one.beat.leaving}
        self.limits.update_routers(names, leaving)
        self.shared.origins.update_routers()
        self.shared.tries.update_routers(self.limits.presence.routers)
        self.allotter.has_no_peers = not peers
        domain = self.settings.failure_domain
        near = sum(one.beat.failure_domain == domain for one in peers)
        heard = None if self.peers.small else near
        self.loads.routers = RouterCounts(domain, len(peers), heard)
        known = self.allocators.routers
        if names and self.allocators.set_routers(names):
            self.allotter.balances.set_allocators(self.allocators)
            if names - known:
                self.allotter.last_discovery = self.clock.now()

    def ask_for_tokens(
        self, allocator: str, number: int, organisation: str, tokens: int
    ) -> bool:
        """Ask an allocator for tokens.

        Returns
        -------
        bool
            Whether the request was sent; False if the allocator is not present.
        """
        peer = self.peers.routers.get(allocator)
        if peer is None:
            return False
        keeping = self.allocators.is_allocator(organisation)
        ip = self.settings.ip
        ask = Ask(self.incarnation, number, ip, organisation, tokens, keeping)
        self.peers.send(ask, peer.beat.ip)
        return True

    def return_unused_tokens(self) -> None:
        """Return the unused tokens of this router to the allocators."""
        for gift, ip in self.reservations.return_idle(self._find_allocator):
            self.peers.send(gift, ip)
        for report, ip in self.reservations.settlements.list_due(self._find_allocator):
            self.peers.send(report, ip)

    def _find_allocator(self, organisation: str) -> tuple[str, str] | None:
        """Return the incarnation and address of an allocator that is present."""
        for name in self.allocators.list_others(organisation):
            peer = self.peers.routers.get(name)
            if peer is not None:
                return peer.beat.incarnation, peer.beat.ip
        return None

    def _handle_ask(self, ask: Ask) -> None:
        task = asyncio.get_running_loop().create_task(self._lend_tokens(ask))
        self._lending_tasks.add(task)
        task.add_done_callback(self._lending_tasks.discard)

    async def _lend_tokens(self, ask: Ask) -> None:
        answer = await self.reservations.answer_ask(ask)
        if answer is not None:
            self.peers.send(answer, ask.ip)

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each type of message; heartbeats need none."""
        shared, limits = self.shared, self.limits
        return {
            Sent: self._handle_sent,
            Held: self._handle_held,
            Begun: self._handle_begun,
            Ended: self._handle_ended,
            Failed: shared.health.apply_report,
            Blamed: self._handle_blamed,
            Ask: self._handle_ask,
            Gift: self.reservations.apply_gift,
            Lack: self.reservations.apply_lack,
            Settled: self.reservations.settlements.apply,
            Farewell: self._handle_farewell,
            Limited: limits.apply_limit,
            Paused: limits.apply_pause,
            PermitAsk: shared.permits.handle_ask,
            PermitAnswer: shared.permits.handle_answer,
            PermitDropped: shared.permits.handle_withdrawal,
            SentBefore: limits.add_sends,
            StreamBegan: shared.origins.apply_told,
            OriginAsk: shared.origins.answer,
            OriginAnswer: shared.origins.apply_answer,
            HistorySeen: shared.origins.adopt_history,
            PartRecorded: shared.parts.apply_record,
            PartsAnswered: shared.parts.apply_answer,
            PartsTold: lambda one: shared.parts.note_informed(),
            StartAlive: shared.parts.apply_alive,
            TryAsk: shared.tries.handle_ask,
            TryAnswer: shared.tries.handle_answer,
            TryEnded: shared.tries.handle_end,
            Marked: self._handle_marks,
            DrainsTold: self.drains.apply_told,
        }

    def handle_message(self, message: Message) -> None:
        """Handle a message of another router."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def add_handler(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Handle a further type of message."""
        self._handlers[kind] = handler

    def _handle_sent(self, message: Sent) -> None:
        prompt = Prompt(message.parts, message.tokens, message.most_answer)
        self.loads.send(
            message.target,
            message.run,
            prompt,
            message.cached,
            self.clock.now(),
            self._find_capacity(message.target),
            message.disturbing,
            is_news=True,
        )

    def _handle_held(self, message: Held) -> None:
        capacity = self._find_capacity(message.target)
        self.loads.hold(message.target, message.parts, capacity)

    def _handle_begun(self, message: Begun) -> None:
        now = self.clock.now()
        self.loads.begin(message.target, message.run, now)
        self.shared.sender.told.apply(message, now)
        self._hear_outcome(message)

    def _handle_ended(self, message: Ended) -> None:
        # The told figures contain the run.
        self.shared.sender.told.apply(message, self.clock.now())
        self.loads.end(message.target, message.run)
        self._hear_outcome(message)

    def _hear_outcome(self, message: Begun | Ended) -> None:
        if self.shared.sender.slow_starts is not None:
            self.shared.sender.slow_starts.hear(message)

    def _handle_blamed(self, message: Blamed) -> None:
        now = self.clock.now()
        self.shared.blame.record_crash(message.content, message.target, now)

    def _handle_farewell(self, message: Farewell) -> None:
        self.allotter.record_ended(message.holder, dict(message.spent))

    def _handle_marks(self, message: Marked) -> None:
        now = self.clock.now()
        for revision, age in message.marks:
            self.marks.add(Mark(now - age, revision))

    def _find_capacity(self, target: str) -> int:
        known, table = self.loads.targets.get(target), self.shared.table
        if known is None or table is None:
            return 0
        service = table.configuration.services.get(known.info.service)
        return service.model.cache_tokens if service and service.model else 0

    def send_known_state(self, beat: Beat) -> None:
        """Send a new router what it needs to know of the time before its start.

        These are the spending of former incarnations of its host, the marks of the
        store's history, the limits of targets, what was seen of versions and routes,
        the parts of prompts that may end engines, and the drained failure domains.
        Without marks from others it could not prove the age of its own records until it
        had followed the store for as long as the store keeps its history.
        """
        self.shared.blame.silences.record_return(beat.router, self.clock.now())
        for holder, spent in self.allotter.ended.items():
            if holder.rpartition(".")[0] == beat.router:
                most = tuple((name, one.most) for name, one in spent.items())
                self.peers.send(Farewell(holder, most), beat.ip)
        now = self.clock.now()
        marks = [(m.revision, now - m.followed) for m in self.marks.list_marks()]
        if marks:
            self.peers.send(Marked(tuple(marks)), beat.ip)
        for limited in self.limits.list_limits():
            self.peers.send(limited, beat.ip)
        if self.shared.origins.informs(beat.incarnation):
            self.peers.send(self.shared.origins.describe_history(), beat.ip)
        self.shared.parts.tell_new_router(beat.ip)
        self.drains.tell(beat.ip)
        for tell in self.tell_new_router:
            tell(beat.ip)

    def send_mark(self, mark: Mark) -> None:
        """Send the other routers a new mark of the store's history."""
        age = self.clock.now() - mark.followed
        self.peers.broadcast(Marked(((mark.revision, age),)))

    def send_farewell(self) -> None:
        """Send the other routers this router's final spending.

        Nothing may be spent after this call.
        """
        farewell = Farewell(self.incarnation, tuple(self.allotter.list_spent().items()))
        for peer in self.peers.list_present():
            for _ in range(_FAREWELL_COPIES):
                self.peers.send(farewell, peer.beat.ip)

    def handle_router_loss(self, peer: Peer) -> None:
        """Remove the runs of a router that is lost, and what it may know alone."""
        if not peer.beat.leaving:
            self.shared.blame.silences.record_loss(peer.beat.router, peer.heard)
        self.loads.remove_runs(f"{peer.beat.incarnation}/")
        self.shared.tries.end_router(peer.beat.incarnation)

    def handle_lost_target(self, name: str) -> None:
        """Blame the content that was running at a target that is found lost.

        The other routers are told of each blamed content.
        """
        for content in self.shared.blame.lost(name, self.clock.now()):
            self.journal.write("content_blamed", content=content, target=name)
            # All of its targets are told each time: a message may have been lost.
            for target in self.shared.blame.list_targets(content):
                self.peers.broadcast(Blamed(content, target))
