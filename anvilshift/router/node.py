"""One router without its sockets: the parts, joined and started in order.

The daemon puts sockets and signals round it; a seeded run puts fakes there.
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass
from typing import Any

from absl import logging

from anvilshift.core.clock import Clock
from anvilshift.core.declarations import Catalogue
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.identity import make_identity
from anvilshift.core.membership import Member
from anvilshift.core.work import DispatchSettings, LoadReport, Target
from anvilshift.engines.engine import Connector
from anvilshift.peers.link import PeerLink
from anvilshift.platform.relayed import RelayedStore
from anvilshift.platform.store import ObjectStore
from anvilshift.router.callers import CallerPort
from anvilshift.router.claims import ClaimBook
from anvilshift.router.departing import Departing
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.fleet import Fleet
from anvilshift.router.following import Follower
from anvilshift.router.gate import Gate
from anvilshift.router.orders import Orders
from anvilshift.router.runs import Shared
from anvilshift.router.stopping import PlannedStop, StopSteps
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry
from anvilshift.router.treasury import Treasury
from anvilshift.settings.router import RouterSettings


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
        self.store = RelayedStore(
            world.store, world.link, world.clock, lambda: self.fleet.list_relays()
        )
        self.incarnation = f"{settings.name}-{make_identity(world.rng)[:12]}"
        self.treasury = Treasury(
            self.store, world.clock, self.incarnation, settings.commit_spacing
        )
        self.treasury.hooks.count_event = world.telemetry.count_event
        figures = DispatchSettings(
            settings.failure_domain, settings.queue_length, settings.attempts
        )
        self.dispatcher = Dispatcher(figures, world.rng)
        self.dispatch = DispatchLoop(self.dispatcher, world.clock)
        self.targets = Targets(world.connector, world.clock)
        self.departing = Departing(self._tell_dispatcher)
        self.gate = Gate()
        self.callers = self._make_caller_port()
        self.fleet = Fleet(
            self.store,
            world.link,
            world.clock,
            self._make_member(),
            self.treasury,
            settings.lease,
            settings.heartbeat,
            lambda: self.callers.in_flight,
            world.store,
        )
        self.follower = Follower(
            self.store, self._configure, self.fleet.take_router, world.rng
        )
        self.orders = Orders(
            self.store, world.clock, self.fleet, lambda name: self.targets.engine(name)
        )
        self.fleet.tell_targets = lambda: self.departing.told
        self.fleet.hear_targets = self.departing.hear
        self.fleet.read_revision = lambda: self.follower.acknowledged
        self.settled = False
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
            self.store, world.clock, self.incarnation, world.rng, self._lives
        )
        return CallerPort(
            shared, self.gate, self.claims, self.is_ready, self.list_addresses
        )

    def _lives(self, incarnation: str) -> bool:
        """Tell whether an incarnation is known to live."""
        present = self.fleet.roster.present(self.clock.now())
        return any(s.member.incarnation == incarnation for s in present)

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
        self.departing.configure(catalogue)
        self.orders.configure(catalogue)
        self.fleet.acknowledge(catalogue.revision)
        logging.info("declarations in force revision=%d", catalogue.revision)

    def list_addresses(self) -> dict[str, object]:
        """Return where callers shall connect, this router's domain first."""
        now = self.clock.now()
        own = self.settings.failure_domain
        found = [
            (s.member, s.vitals.in_flight)
            for s in self.fleet.roster.present(now)
            if s.vitals.serving
        ]
        found.append((self.fleet.member, self.callers.in_flight))
        staying = [(m, load) for m, load in found if not m.leaving]
        staying.sort(key=lambda item: (item[0].failure_domain != own, item[1]))
        addresses = [
            {"address": m.address, "failure_domain": m.failure_domain}
            for m, _ in staying
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
            "owns_orders": self.orders.owns,
            "leaving_targets": sorted(self.departing.leaving),
        }

    def start(self) -> None:
        """Begin every background task."""
        self.fleet.start()
        self.treasury.start()
        loop = asyncio.get_running_loop()
        polling = self.targets.poll(
            self._take_report,
            lambda event: self.dispatch.act(
                self.dispatcher.cache_event(event, self.clock.now())
            ),
            self.departing.take_refusal,
        )
        leaving = self.departing.follow(self.store, self._name_routers)
        sweeping = self.claims.keep_sweeping()
        following = self.follower.run()
        for work in (following, polling, leaving, sweeping, self.orders.run()):
            self._tasks.append(loop.create_task(work))

    async def drain(self, abandoned: asyncio.Event) -> int:
        """Stop as planned; return how many requests were cut off.

        Parameters
        ----------
        abandoned
            Set when the stop must end at once.
        """
        steps = StopSteps(
            self._leave, self._refuse, self.treasury.give_back, self.callers.list_open
        )
        settings = self.settings
        keep, grace = settings.keep_addresses, settings.grace
        stop = PlannedStop(steps, keep, grace, abandoned)
        cut_off = await stop.run()
        self.settled = stop.settled
        return cut_off

    async def _leave(self) -> None:
        await self.fleet.leave()
        with contextlib.suppress(AnvilshiftError):
            await self.orders.release()

    def _refuse(self) -> None:
        self.callers.refusing = True

    async def close(self) -> None:
        """Settle grants and stop every task."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.claims.close()
        await self.treasury.close()
        await self.fleet.close()
        self.store.close()

    def _take_report(self, report: LoadReport) -> None:
        self.departing.take_report(report)
        self.dispatch.act(self.dispatcher.load_report(report, self.clock.now()))

    def _name_routers(self) -> set[str]:
        present = self.fleet.roster.present(self.clock.now())
        return {sighting.member.name for sighting in present}

    def _tell_dispatcher(self, target: str, leaving: bool) -> None:
        change = self.dispatcher.leaving if leaving else self.dispatcher.staying
        self.dispatch.act(change(target, self.clock.now()))
