"""The router process: it builds the parts, runs them and stops them in order."""

import asyncio
import contextlib
import random
import signal
import uuid
from typing import Any

from absl import logging

from anvilshift.core.clock import SECOND, MonotonicClock
from anvilshift.core.declarations import Catalogue
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.membership import Member
from anvilshift.core.work import DispatchSettings, Target
from anvilshift.platform.store import HttpObjectStore
from anvilshift.router.callers import CallerPort
from anvilshift.router.claims import ClaimBook
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.fleet import Fleet
from anvilshift.router.following import Follower
from anvilshift.router.gate import Gate
from anvilshift.router.operations import OperatorPort
from anvilshift.router.runs import Shared
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry
from anvilshift.router.treasury import Treasury
from anvilshift.settings.router import RouterSettings
from anvilshift.wire.client import HttpClient
from anvilshift.wire.server import HttpServer

_HOSTS_INTERVAL_S = 0.5
_IDLE_CHECK_S = 0.02


class Router:
    """One router with all its parts."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.incarnation = f"{settings.name}-{uuid.uuid4().hex[:12]}"
        self.clock = MonotonicClock()
        self.client = HttpClient()
        self.store = HttpObjectStore(
            self.client, settings.platform, settings.platform_credential
        )
        self.telemetry = Telemetry()
        self.treasury = Treasury(
            self.store, self.clock, self.incarnation, settings.commit_spacing
        )
        rng = random.Random(self.incarnation)
        self.dispatcher = Dispatcher(
            DispatchSettings(
                settings.failure_domain, settings.queue_length, settings.attempts
            ),
            rng,
        )
        self.dispatch = DispatchLoop(self.dispatcher, self.clock)
        self.targets = Targets(self.client, self.clock)
        self.gate = Gate()
        shared = Shared(
            self.incarnation,
            self.clock,
            self.treasury,
            self.dispatch,
            self.targets,
            self.telemetry,
        )
        claims = ClaimBook(self.store, self.clock, self.incarnation)
        self.callers = CallerPort(
            shared, self.gate, claims, self.is_ready, self.list_addresses
        )
        self.fleet = Fleet(
            self.store,
            self.clock,
            self._make_member(),
            self.treasury,
            settings.lease,
            settings.heartbeat,
            lambda: self.callers.in_flight,
        )
        self.follower = Follower(
            self.store, self._configure, self.fleet.take_router, rng
        )
        self.caller_server = HttpServer(self.callers.handle, settings.limits)
        operations = OperatorPort(
            self.telemetry,
            settings.operator_credential,
            self.is_ready,
            self.describe,
            self.begin_stop,
        )
        self.operator_server = HttpServer(operations.handle)
        self._stopping = asyncio.Event()
        self._abandoned = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def _make_member(self) -> Member:
        settings = self.settings
        return Member(
            settings.name,
            self.incarnation,
            settings.host,
            str(settings.listen),
            str(settings.peer_listen),
            settings.failure_domain,
        )

    def is_ready(self) -> bool:
        """Tell whether this router holds current declarations and its lease."""
        return self.follower.current.is_set() and self.fleet.may_serve()

    def _configure(self, catalogue: Catalogue) -> None:
        self.gate.configure(catalogue)
        self.targets.configure(catalogue)
        self.treasury.configure(dict(catalogue.budgets))
        targets = [
            Target(engine.name, engine.failure_domain, engine.slots)
            for group in catalogue.groups.values()
            for engine in group.engines
        ]
        self.dispatch.act(self.dispatcher.configure(targets, self.clock.now()))
        self.fleet.acknowledge(catalogue.revision)
        logging.info("declarations in force revision=%d", catalogue.revision)

    def list_addresses(self) -> dict[str, object]:
        """Return where callers shall connect, this router's domain first."""
        own = self.settings.failure_domain
        members = [self.fleet.member]
        members += [s.member for s in self.fleet.roster.sightings.values()]
        staying = [member for member in members if not member.leaving]
        staying.sort(key=lambda member: member.failure_domain != own)
        addresses = [
            {"address": m.address, "failure_domain": m.failure_domain} for m in staying
        ]
        return {"addresses": addresses, "keep_ms": self.settings.keep_addresses}

    def describe(self) -> dict[str, Any]:
        """Return this router's state for operators."""
        sightings = self.fleet.roster.sightings.values()
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "leaving": self.fleet.member.leaving,
            "revision": self.fleet.member.revision,
            "in_flight": self.callers.in_flight,
            "waiting": self.dispatch.waiting,
            "peers": sorted(s.member.name for s in sightings),
        }

    def begin_stop(self) -> None:
        """Begin a planned stop; a second call ends it at once."""
        if self._stopping.is_set():
            self._abandoned.set()
        self._stopping.set()

    async def run(self) -> int:
        """Serve until a planned stop; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_stop)
        await self.start()
        await self._stopping.wait()
        return await self.stop()

    async def start(self) -> None:
        """Listen and begin every background task."""
        settings = self.settings
        await self.operator_server.start(settings.operator_listen)
        await self.fleet.start(settings.peer_listen)
        self.treasury.start()
        loop = asyncio.get_running_loop()
        polling = self.targets.poll(
            lambda report: self.dispatch.act(
                self.dispatcher.load_report(report, self.clock.now())
            ),
            lambda event: self.dispatch.act(
                self.dispatcher.cache_event(event, self.clock.now())
            ),
        )
        for work in (self.follower.run(), polling, self._watch_hosts()):
            self._tasks.append(loop.create_task(work))
        await self.caller_server.start(settings.listen)
        logging.info("router listens address=%s", settings.listen)

    async def stop(self) -> int:
        """Drain: leave the address answers, finish what runs, settle, exit."""
        logging.info("planned stop begins in_flight=%d", self.callers.in_flight)
        try:
            async with asyncio.timeout(self.settings.grace / SECOND):
                await self.fleet.leave()
                # Callers keep an address for a stated time and are served for
                # as long; only then is new work turned away.
                await self._sleep_unless_abandoned(
                    self.settings.keep_addresses / SECOND
                )
                self.callers.refusing = True
                while self.callers.in_flight and not self._abandoned.is_set():
                    await asyncio.sleep(_IDLE_CHECK_S)
        except TimeoutError:
            self._abandoned.set()
        cut_off = self.callers.in_flight
        if cut_off:
            logging.error("planned stop cut off in_flight=%d", cut_off)
        await self.close()
        return 1 if cut_off else 0

    async def _sleep_unless_abandoned(self, span: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(span):
                await self._abandoned.wait()

    async def close(self) -> None:
        """Settle grants and stop every part."""
        self.caller_server.stop_listening()
        for task in self._tasks:
            task.cancel()
        await self.treasury.close()
        await self.fleet.close()
        await self.caller_server.close()
        await self.operator_server.close()
        self.client.close()

    async def _watch_hosts(self) -> None:
        """Take in the platform's list: a host on its way out gets no new work."""
        leaving: set[str] = set()
        while True:
            with contextlib.suppress(AnvilshiftError):
                listed = {h.name for h in await self.store.hosts() if h.leaving}
                now = self.clock.now()
                for name in listed - leaving:
                    self.dispatch.act(self.dispatcher.leaving(name, now))
                for name in leaving - listed:
                    self.dispatch.act(self.dispatcher.staying(name, now))
                leaving = listed
            await asyncio.sleep(_HOSTS_INTERVAL_S)
