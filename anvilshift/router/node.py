"""One router without its sockets: the parts, joined and started in order.

The daemon puts sockets and signals round it; a seeded run puts fakes there.
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass
from typing import Any

from absl import logging

from anvilshift.core.clock import SECOND, Clock
from anvilshift.core.declarations import Catalogue
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.identity import make_identity
from anvilshift.core.membership import Member
from anvilshift.core.work import DispatchSettings, Target
from anvilshift.engines.engine import Connector
from anvilshift.peers.link import PeerLink
from anvilshift.platform.store import ObjectStore
from anvilshift.router.callers import CallerPort
from anvilshift.router.claims import ClaimBook
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.fleet import Fleet
from anvilshift.router.following import Follower
from anvilshift.router.gate import Gate
from anvilshift.router.runs import Shared
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry
from anvilshift.router.treasury import Treasury
from anvilshift.settings.router import RouterSettings

_HOSTS_INTERVAL_S = 0.5
_IDLE_CHECK_S = 0.02


@dataclass(frozen=True)
class World:
    """What a router needs of the outside.

    Parameters
    ----------
    rng
        Source of every random choice and name.
    """

    clock: Clock
    store: ObjectStore
    link: PeerLink
    connector: Connector
    telemetry: Telemetry
    rng: random.Random


class Node:
    """One router with all its parts but the sockets."""

    def __init__(self, settings: RouterSettings, world: World) -> None:
        self.settings = settings
        self.world = world
        self.clock = world.clock
        self.incarnation = f"{settings.name}-{make_identity(world.rng)[:12]}"
        self.treasury = Treasury(
            world.store, world.clock, self.incarnation, settings.commit_spacing
        )
        self.treasury.hooks.count_event = world.telemetry.count_event
        figures = DispatchSettings(
            settings.failure_domain, settings.queue_length, settings.attempts
        )
        self.dispatcher = Dispatcher(figures, world.rng)
        self.dispatch = DispatchLoop(self.dispatcher, world.clock)
        self.targets = Targets(world.connector, world.clock)
        self.gate = Gate()
        self.callers = self._make_caller_port()
        self.fleet = Fleet(
            world.store,
            world.link,
            world.clock,
            self._make_member(),
            self.treasury,
            settings.lease,
            settings.heartbeat,
            lambda: self.callers.in_flight,
        )
        self.follower = Follower(
            world.store, self._configure, self.fleet.take_router, world.rng
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _make_caller_port(self) -> CallerPort:
        world = self.world
        shared = Shared(
            self.incarnation,
            world.clock,
            self.treasury,
            self.dispatch,
            self.targets,
            world.telemetry,
        )
        self.claims = ClaimBook(
            world.store, world.clock, self.incarnation, world.rng, self._lives
        )
        return CallerPort(
            shared, self.gate, self.claims, self.is_ready, self.list_addresses
        )

    def _lives(self, incarnation: str) -> bool:
        """Tell whether an incarnation is known to live."""
        sightings = self.fleet.roster.sightings.values()
        return any(s.member.incarnation == incarnation for s in sightings)

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

    def start(self) -> None:
        """Begin every background task."""
        self.fleet.start()
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
        sweeping = self.claims.keep_sweeping()
        for work in (self.follower.run(), polling, self._watch_hosts(), sweeping):
            self._tasks.append(loop.create_task(work))

    async def drain(self, abandoned: asyncio.Event) -> int:
        """Leave the address answers, finish what runs; return what was cut off.

        Parameters
        ----------
        abandoned
            Set when the stop must end at once.
        """
        logging.info("planned stop begins in_flight=%d", self.callers.in_flight)
        try:
            async with asyncio.timeout(self.settings.grace / SECOND):
                await self.fleet.leave()
                # Callers keep an address for a stated time and are served for
                # as long; only then is new work turned away.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self.settings.keep_addresses / SECOND):
                        await abandoned.wait()
                self.callers.refusing = True
                while self.callers.in_flight and not abandoned.is_set():
                    await asyncio.sleep(_IDLE_CHECK_S)
        except TimeoutError:
            pass
        cut_off = self.callers.in_flight
        if cut_off:
            logging.error("planned stop cut off in_flight=%d", cut_off)
        return cut_off

    async def close(self) -> None:
        """Settle grants and stop every task."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.claims.close()
        await self.treasury.close()
        await self.fleet.close()

    async def _watch_hosts(self) -> None:
        """Take in the platform's list: a host on its way out gets no new work."""
        leaving: set[str] = set()
        while True:
            with contextlib.suppress(AnvilshiftError):
                listed = {h.name for h in await self.world.store.hosts() if h.leaving}
                now = self.clock.now()
                for name in listed - leaving:
                    self.dispatch.act(self.dispatcher.leaving(name, now))
                for name in leaving - listed:
                    self.dispatch.act(self.dispatcher.staying(name, now))
                leaving = listed
            await asyncio.sleep(_HOSTS_INTERVAL_S)
