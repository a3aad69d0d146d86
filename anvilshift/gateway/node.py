"""One gateway without its process: the parts, joined and started in order."""

import asyncio
import random
import time
from dataclasses import dataclass, replace

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.ejection import State
from anvilshift.core.errors import AnvilshiftError, Fate
from anvilshift.core.identity import make_identity
from anvilshift.core.loadmap import LoadMap, Prompt
from anvilshift.core.retries import RetryBudget
from anvilshift.core.routing import Configuration, RouteTable
from anvilshift.gateway.allotting import Allotter
from anvilshift.gateway.attempts import Sender
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.following import Follower, Pace, Register
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import (
    Ask,
    Beat,
    Begun,
    Blamed,
    Ended,
    Farewell,
    Gift,
    Leaving,
    Message,
    Sent,
)
from anvilshift.gateway.passing import Passage, Shared
from anvilshift.gateway.peers import Hooks, Peer, Peers
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.objects.store import Change, ObjectStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Limits
from anvilshift.wire.server import CallerGoneError, HttpServer, Responder, render_error

_FOLLOW_CONFIGURATION = Pace(wait=1.5 * SECOND)
_FOLLOW_TARGETS = Pace(wait=1.5 * SECOND, rest=500.0)
"""Engines renew their entries many times a second; looked at together, a leaving
one is seen within half a second of the two that it gives."""
KEEP_ADDRESSES: Millis = 1 * SECOND
"""How long callers keep an address answer, some three times as long: a leaving
router must serve them for three of these within its grace of 8 s."""
_TICK: Millis = 100.0
_LAPSE: Millis = 700.0
"""A loop that was held up for so long was frozen or suspended, not merely busy."""
_FAREWELLS = 3
"""Copies of a datagram that is sent once in a router's life and may be lost."""
_BODY_TIMEOUT: Millis = 10 * SECOND


@dataclass(frozen=True)
class Entrances:
    """Where callers may connect."""

    addresses: tuple[str, ...]
    keep: Millis


class GatewayNode:
    """One gateway with all its parts."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: ObjectStore,
        clock: Clock,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.journal = journal
        self.incarnation = f"{settings.name}.{make_identity(rng)[:12]}"
        self.loads = LoadMap()
        self.peers = Peers(settings.ip, settings.peer_port, clock, journal)
        self.peers.addresses = {ip for ip in settings.seeds if ip != settings.ip}
        self.peers.hooks = Hooks(self._hear, self._lose, self._make_beat, self._greet)
        self.allotter = Allotter(
            store, settings.name, self.incarnation, clock, journal, self._ask_peers
        )
        self.client = HttpClient()
        self.shared = Shared(
            self.incarnation,
            clock,
            rng,
            dialect,
            Sender(self.client, dialect, self.loads, self.peers, clock),
            self.allotter,
            journal,
            settings.failure_domain,
            RetryBudget(settings.retry_reserve),
        )
        self.shared.note_lost = self._note_lost
        self.register = Register(clock, self._remove_target)
        self.configuring = Follower(
            store,
            dialect.configuration_kind,
            _FOLLOW_CONFIGURATION,
            clock,
            journal,
            self._take_configuration,
        )
        self.registering = Follower(
            store,
            dialect.targets_kind,
            _FOLLOW_TARGETS,
            clock,
            journal,
            self._take_target,
            self.register.settle,
        )
        self.server = HttpServer(self.handle)
        self.in_flight = 0
        self.leaving = False
        self._gifts = 0
        self._received: set[tuple[str, int]] = set()
        self._unreadable: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    # The configuration and the targets

    def _take_configuration(self, change: Change) -> None:
        if change.name != self.dialect.configuration_name or change.body is None:
            return
        try:
            configuration = self.dialect.read_configuration(change.body)
        except AnvilshiftError as error:
            self.journal.write("configuration_unreadable", why=error.detail)
            return
        known = self.shared.table
        if known and configuration.version <= known.configuration.version:
            return
        self._put_in_force(configuration)

    def _put_in_force(self, configuration: Configuration) -> None:
        self.shared.table = RouteTable(configuration)
        organisations = configuration.organisations
        totals = {name: one.reserved for name, one in organisations.items()}
        self.allotter.configure(configuration.version, totals)
        limits = configuration.limits
        self.server.limits = Limits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_timeout=limits.head_timeout,
            body_timeout=_BODY_TIMEOUT,
            idle_timeout=limits.idle_timeout,
        )
        self.journal.write(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.rules),
            organisations=len(organisations),
        )

    def _take_target(self, change: Change) -> None:
        if change.body is None:
            self.register.drop(change.name)
            return
        info = self.dialect.read_target(change.name, change.body, self.clock.now())
        if info is None:
            if change.name not in self._unreadable:
                self._unreadable.add(change.name)
                self.journal.write("target_unreadable", target=change.name)
            self.loads.remove(change.name)
            return
        self.register.put(change.name, change.body)
        known = self.loads.targets.get(change.name)
        if known is None or known.info.born != info.born:
            self.journal.write(
                "target_found",
                target=info.name,
                service=info.service,
                address=info.address,
            )
            self.client.forget(Address.parse(info.address))
            if known is not None:
                self._note_lost(info.name)
        elif known.info.leaving and not info.leaving:
            # Another router knows that it leaves; its entry is older than that.
            info = replace(info, leaving=True)
        elif info.leaving and not known.info.leaving:
            self.journal.write("target_leaving", target=info.name)
            self.peers.tell(Leaving(info.name))
        if known is None or known.info != info:
            self.loads.declare(info)

    def _note_lost(self, name: str) -> None:
        """Blame what was running at a target that is found gone."""
        for content in self.shared.blame.lost(name, self.clock.now()):
            self.journal.write("content_blamed", content=content, target=name)
            self.peers.tell(Blamed(content, name))

    def _remove_target(self, name: str) -> None:
        self._note_lost(name)
        self.journal.write("target_gone", target=name)
        self.peers.tell(Leaving(name))
        self.loads.remove(name)

    # Other routers

    def _make_beat(self) -> Beat:
        table = self.shared.table
        return Beat(
            self.settings.name,
            self.incarnation,
            self.settings.ip,
            str(self.settings.front),
            self.settings.failure_domain,
            table.configuration.version if table else 0,
            self.is_ready(),
            self.leaving,
            self.configuring.is_fresh(),
            tuple(sorted(self.peers.addresses)),
        )

    def _ask_peers(self, organisation: str, tokens: int) -> None:
        ask = Ask(self.incarnation, self.settings.ip, organisation, tokens)
        for peer in self.peers.list_present():
            self.peers.send(ask, peer.beat.ip)

    def _hear_ask(self, ask: Ask) -> None:
        given = self.allotter.give(ask.organisation, ask.tokens)
        if given:
            self._gifts += 1
            holder, organisation = ask.holder, ask.organisation
            gift = Gift(self.incarnation, self._gifts, holder, organisation, given)
            self.peers.send(gift, ask.ip)

    def _hear_gift(self, gift: Gift) -> None:
        # A datagram may come twice; a gift that counted twice would overspend.
        key = (gift.giver, gift.number)
        if gift.holder == self.incarnation and key not in self._received:
            self._received.add(key)
            self.allotter.receive(gift.organisation, gift.tokens)

    def _hear(self, message: Message) -> None:
        now = self.clock.now()
        if isinstance(message, Sent):
            prompt = Prompt(message.parts, message.tokens, message.most_answer)
            capacity = self._find_capacity(message.target)
            self.loads.send(
                message.target,
                message.run,
                prompt,
                message.cached,
                now,
                capacity,
                message.disturbing,
            )
        elif isinstance(message, Begun):
            self.loads.begin(message.target, message.run, now)
        elif isinstance(message, Ended):
            self.loads.end(message.target, message.run)
        elif isinstance(message, Leaving):
            self._hear_leaving(message.target)
        elif isinstance(message, Blamed):
            self.shared.blame.hear(message.content, message.target, now)
        elif isinstance(message, Ask):
            self._hear_ask(message)
        elif isinstance(message, Gift):
            self._hear_gift(message)
        elif isinstance(message, Farewell):
            self.allotter.note_ended(message.holder, dict(message.spent))

    def _find_capacity(self, target: str) -> int:
        known, table = self.loads.targets.get(target), self.shared.table
        if known is None or table is None:
            return 0
        service = table.configuration.services.get(known.info.service)
        return service.model.cache_tokens if service and service.model else 0

    def _hear_leaving(self, target: str) -> None:
        known = self.loads.targets.get(target)
        if known is not None and not known.info.leaving:
            self.journal.write("target_leaving", target=target, told=True)
            self.loads.declare(replace(known.info, leaving=True))

    def _greet(self, beat: Beat) -> None:
        """Tell a new router what is known of its host's former incarnations."""
        for holder, spent in self.allotter.ended.items():
            if holder.rpartition(".")[0] == beat.router:
                self.peers.send(Farewell(holder, tuple(spent.items())), beat.ip)

    def _say_farewell(self) -> None:
        """Tell the others what was spent; from now on nothing is."""
        farewell = Farewell(self.incarnation, tuple(self.allotter.list_spent().items()))
        for peer in self.peers.list_present():
            for _ in range(_FAREWELLS):
                self.peers.send(farewell, peer.beat.ip)

    def _lose(self, peer: Peer) -> None:
        self.loads.forget_runs(f"{peer.beat.incarnation}/")

    # Callers

    def is_ready(self) -> bool:
        """Tell whether this router should get new connections."""
        return self.shared.table is not None and not self.leaving

    def list_entrances(self) -> Entrances:
        """Return where callers may connect."""
        found = [
            peer.beat.entrance
            for peer in self.peers.list_present()
            if peer.beat.serving and not peer.beat.leaving
        ]
        if self.is_ready():
            found.append(str(self.settings.front))
        return Entrances(tuple(found), KEEP_ADDRESSES)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a caller's request."""
        self.in_flight += 1
        try:
            await Passage(self.shared, request, responder).run()
        except AnvilshiftError as error:
            await self._answer_error(responder, error)
        finally:
            self.in_flight -= 1

    async def _answer_error(self, responder: Responder, error: AnvilshiftError) -> None:
        if responder.started:
            # An answer that ends early must not look whole.
            responder.abort()
            return
        reply = render_error(error)
        headers = [(n, v) for n, v in reply.headers if n != "retry-after"]
        if error.retry_after is not None and error.code.fate is Fate.NOT_RUN:
            headers.append(("retry-after", f"{error.retry_after / SECOND:.3f}"))
        try:
            await responder.send(replace(reply, headers=headers))
        except CallerGoneError:
            self.journal.write("caller_gone", code=error.code.number)

    # Time

    async def start(self) -> None:
        """Open the sockets and begin every background task."""
        await self.peers.start()
        await self.server.start(self.settings.front)
        loop = asyncio.get_running_loop()
        works = (
            self.peers.run(),
            self.configuring.run(),
            self.registering.run(),
            self.allotter.run(),
            self._tick(),
        )
        self._tasks = [loop.create_task(work) for work in works]
        for task in self._tasks:
            task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.journal.write("part_ended", why=repr(task.exception()))
            raise SystemExit(1)

    async def _tick(self) -> None:
        """Do what time brings, and notice when this process stood still."""
        before = self.clock.now()
        boot = time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND
        while True:
            await asyncio.sleep(_TICK / SECOND)
            now = self.clock.now()
            booted = time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND
            if max(now - before, booted - boot) > _LAPSE:
                self._note_lapse(max(now - before, booted - boot))
            before, boot = now, booted
            self._sweep(now)

    def _note_lapse(self, span: Millis) -> None:
        """Believe nothing old: what was known is as old as the pause."""
        self.journal.write("stood_still", span=round(span))
        self.client.close()
        self.configuring.restart()
        self.registering.restart()

    def _sweep(self, now: Millis) -> None:
        if not self.registering.is_fresh():
            self.register.note_outage()
        self.register.sweep()
        self.allotter.wallet.set_routers(1 + len(self.peers.list_present()))
        self.loads.expire(now)
        for target in self.loads.targets.values():
            health = target.health
            if health.state is State.EJECTED and now >= health.until:
                health.probe(now)

    async def stop(self) -> None:
        """Stop as planned: leave the answers, serve on, then hand back."""
        self.leaving = True
        self.journal.write("stop_begun", in_flight=self.in_flight)
        self.peers.beat()
        self.server.parting = True
        began = self.clock.now()
        last = began + self.settings.grace - 900.0
        while self.clock.now() < last:
            await asyncio.sleep(0.05)
            stayed = self.clock.now() - began >= 3 * KEEP_ADDRESSES + 300.0
            if stayed:
                self.server.stop_listening()
                if not self.in_flight:
                    break
        self.server.stop_listening()
        try:
            async with asyncio.timeout(0.4):
                await self.allotter.close()
        except (TimeoutError, AnvilshiftError) as error:
            self.journal.write("shares_not_handed_back", why=repr(error))
            self._say_farewell()
        self.journal.write("stop_ended", cut_off=self.in_flight)

    async def close(self) -> None:
        """Cut everything off."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        self.client.close()
        self.peers.close()
