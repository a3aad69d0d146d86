"""One gateway without its process: the parts, joined and started in order."""

import asyncio
import random
import time
from dataclasses import dataclass, replace

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.ejection import Health, State
from anvilshift.core.entrances import Entrance, choose_entrances
from anvilshift.core.errors import AnvilshiftError, Fate
from anvilshift.core.identity import make_identity
from anvilshift.core.keepers import KeeperMap
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.retention import MarkLog
from anvilshift.core.retries import RetryBudget
from anvilshift.core.routing import Configuration, RouteTable
from anvilshift.gateway.allotting import Allotter
from anvilshift.gateway.attempts import Sender
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.conversation import Conversation
from anvilshift.gateway.following import Follower, Pace, find_stretch
from anvilshift.gateway.intake import TargetIntake
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import LimitBook
from anvilshift.gateway.passing import Passage
from anvilshift.gateway.peers import Hooks, Peers
from anvilshift.gateway.permits import Permits
from anvilshift.gateway.recording import Recorder
from anvilshift.gateway.reserving import Reservations
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.gateway.shared import Shared
from anvilshift.objects.store import Change, ObjectStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import HttpRequest, Limits
from anvilshift.wire.server import CallerGoneError, HttpServer, Responder, render_error

_FOLLOW_CONFIGURATION = Pace(wait=1.5 * SECOND)
_FOLLOW_TARGETS = Pace(wait=1.5 * SECOND, rest=500.0)
"""Engines renew their entries many times a second; looked at together, a leaving
one is seen within half a second of the two that it gives."""
_KEEP_ADDRESSES: Millis = 1 * SECOND
"""How long callers keep an address answer, some three times as long: a leaving
router must serve them for three of these within its grace of 8 s."""
_KEEP_ADDRESSES_LARGE: Millis = 2 * SECOND
"""The same in a larger fleet, where a lost router takes few callers with it, and
hundreds of callers ask."""
_TAKE_STREAMS: Millis = 2_900.0
"""How long a stopping router takes new streams: one that lasts for four seconds still
ends within the grace."""
_TICK: Millis = 100.0
_LAPSE: Millis = 700.0
"""A loop that was held up for so long was frozen or suspended, not merely busy."""
_BODY_TIMEOUT: Millis = 10 * SECOND


@dataclass(frozen=True)
class Entrances:
    """Where callers may connect."""

    addresses: tuple[str, ...]
    keep: Millis


class GatewayNode:
    """One gateway with all its parts.

    Parameters
    ----------
    born
        When its process had begun to run, by the clock, if it is alone in it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: ObjectStore,
        clock: Clock,
        journal: Journal,
        rng: random.Random,
        born: Millis | None = None,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.journal = journal
        self.incarnation = f"{settings.name}.{make_identity(rng)[:12]}"
        self.loads = LoadMap()
        self.peers = Peers(
            settings.ip,
            settings.peer_port,
            settings.failure_domain,
            clock,
            journal,
        )
        self.peers.addresses = {ip for ip in settings.seeds if ip != settings.ip}
        self.allotter = Allotter(store, settings.name, self.incarnation, clock, journal)
        self.marks = MarkLog(settings.history or 0.0)
        self.recorder = Recorder(
            store,
            settings.name,
            settings.ip,
            self.incarnation,
            clock,
            journal,
            self.allotter.wallet,
            self.marks,
        )
        self.keepers = KeeperMap(settings.name)
        self.reservations = Reservations(self.allotter, self.keepers, clock, journal)
        if settings.history is not None:
            self.recorder.born = born
            self.allotter.settle_former = self.recorder.settle_former
            self.recorder.end_record = self.allotter.end_round
            self.reservations.recorder = self.recorder
        self.client = HttpClient()
        self.limits = LimitBook(
            settings.name, self.incarnation, self.loads, self.peers, clock, journal
        )
        self.permits = Permits(
            self.limits, settings.ip, self.loads, self.peers, clock, journal
        )
        sender = Sender(
            self.client, dialect, self.loads, self.peers, clock, journal, self.limits
        )
        self.shared = Shared(
            self.incarnation,
            clock,
            rng,
            dialect,
            sender,
            self.permits,
            self.reservations,
            journal,
            settings.failure_domain,
            RetryBudget(settings.find_retry_reserve(1)),
        )
        self.talk = self._make_conversation()
        self.targets = TargetIntake(
            dialect,
            self.loads,
            self.client,
            self.peers,
            clock,
            journal,
            self.talk.note_lost,
        )
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
            self.targets.take,
            self.targets.register.settle,
        )
        self.registering.scout = self.configuring
        self.server = HttpServer(self.handle)
        self.in_flight = 0
        self.leaving = False
        self._tasks: list[asyncio.Task[None]] = []

    def _make_conversation(self) -> Conversation:
        talk = Conversation(
            self.settings,
            self.incarnation,
            self.peers,
            self.loads,
            self.allotter,
            self.reservations,
            self.keepers,
            self.marks,
            self.shared,
            self.limits,
            self.clock,
            self.journal,
            self.is_ready,
            lambda: self.leaving,
            lambda: self.configuring.is_fresh(),
        )
        self.peers.hooks = Hooks(talk.hear, talk.lose, talk.make_beat, talk.greet)
        self.reservations.ask = talk.ask_for_tokens
        self.recorder.tell_mark = talk.tell_mark
        self.shared.note_lost = talk.note_lost
        self.shared.note_replaced = talk.note_replaced
        return talk

    # The configuration

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
        self.allotter.wallet.set_keepers(self.keepers)
        self.reservations.forget_refusals()
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

    # Callers

    def is_ready(self) -> bool:
        """Tell whether this router should get new connections."""
        return self.shared.table is not None and not self.leaving

    def list_entrances(self, domain: str = "") -> Entrances:
        """Return where callers of a failure domain may connect."""
        found = [
            Entrance(peer.beat.entrance, peer.beat.failure_domain)
            for peer in self.peers.list_present()
            if peer.beat.serving and not peer.beat.leaving
        ]
        if self.is_ready():
            own = Entrance(str(self.settings.front), self.settings.failure_domain)
            found.append(own)
        return Entrances(choose_entrances(found, domain), self._find_keep())

    def _find_keep(self) -> Millis:
        return _KEEP_ADDRESSES if self.peers.small else _KEEP_ADDRESSES_LARGE

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
            self._record(),
            self._tick(),
        )
        self._tasks = [loop.create_task(work) for work in works]
        for task in self._tasks:
            task.add_done_callback(self._note_end)

    async def _record(self) -> None:
        """Record this router's use once its former process' share is ended."""
        while self.settings.history is None or not self.allotter.begun:
            await asyncio.sleep(_TICK / SECOND)
        await self.recorder.run()

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
        for target in self.loads.targets.values():
            # Connections that broke meanwhile say nothing of the targets.
            target.health = Health()
        self.permits.note_lapse()
        self.configuring.restart()
        self.registering.restart()

    def _sweep(self, now: Millis) -> None:
        if not self.registering.is_fresh():
            self.targets.register.note_outage()
        self.targets.register.sweep()
        self.talk.note_routers()
        routers = 1 + len(self.peers.list_present())
        self.shared.retries.limit(self.settings.find_retry_reserve(routers))
        for follower in (self.configuring, self.registering):
            follower.stretch = find_stretch(routers)
        self.recorder.routers = self.keepers.count_recording()
        self.allotter.wallet.set_provable(self.recorder.is_provable())
        self.talk.return_idle()
        self.loads.expire(now)
        self.permits.sweep(now)
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
            self.shared.ending = self.clock.now() - began >= _TAKE_STREAMS
            stayed = self.clock.now() - began >= 3 * self._find_keep() + 300.0
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
            self.talk.say_farewell()
        self.journal.write("stop_ended", cut_off=self.in_flight)

    async def close(self) -> None:
        """Cut everything off."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        self.client.close()
        self.peers.close()
