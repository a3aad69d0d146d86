"""One router without its sockets: the parts, joined and started in order.

The daemon puts sockets and signals round it; a seeded run puts fakes there.
"""

import asyncio
import contextlib
from typing import Any

from absl import logging

from anvilshift.core.addressing import Endpoint, order_endpoints
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Catalogue
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.former import MAX_CHANGE_LAG
from anvilshift.core.identity import make_identity
from anvilshift.core.membership import Member
from anvilshift.core.work import CrashAnnouncement, DispatchSettings, LoadReport, Target
from anvilshift.objects.paced import PacedStore
from anvilshift.router.accesscontrol import AccessControl
from anvilshift.router.budgets import RouterBudgets
from anvilshift.router.callers import CallerPort
from anvilshift.router.claims import ClaimStore
from anvilshift.router.crashes import CrashReports
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.fleet import Fleet
from anvilshift.router.following import Follower
from anvilshift.router.leavingtargets import LeavingTargets
from anvilshift.router.orders import Orders
from anvilshift.router.permits import Permits, PermitSources
from anvilshift.router.quarantined import QuarantineRecords
from anvilshift.router.relayed import RelayedStore
from anvilshift.router.relocationprotocol import RelocationProtocol
from anvilshift.router.runs import Shared
from anvilshift.router.stopping import PlannedStop, StopSteps
from anvilshift.router.targets import Targets
from anvilshift.router.world import World
from anvilshift.settings.router import RouterSettings

__all__ = ["Node", "World"]

_RECALL_PAUSE: Millis = 500.0


class Node:
    """One router with all its parts but the sockets."""

    def __init__(self, settings: RouterSettings, world: World) -> None:
        self.settings = settings
        self.world = world
        self.clock = world.clock
        direct = PacedStore(
            world.store, world.clock, settings.platform_rate, settings.platform_burst
        )
        self.store = RelayedStore(
            direct, world.link, world.clock, lambda: self.fleet.list_relays()
        )
        self.incarnation = f"{settings.name}-{make_identity(world.rng)[:12]}"
        self.budgets = RouterBudgets(
            self.store, world.clock, self.incarnation, settings.commit_spacing
        )
        self.budgets.hooks.count_event = world.telemetry.count_event
        figures = DispatchSettings(
            settings.failure_domain, settings.queue_length, settings.attempts, asks=True
        )
        self.dispatcher = Dispatcher(figures, world.rng)
        self.dispatch = DispatchLoop(self.dispatcher, world.clock)
        self.targets = Targets(world.connector, world.clock)
        self.leaving_targets = LeavingTargets(self._tell_dispatcher, world.clock)
        self.access_control = AccessControl()
        self.callers = self._make_caller_port()
        self.fleet = Fleet(
            self.store,
            world.link,
            world.clock,
            self._make_member(),
            self.budgets,
            settings.lease,
            settings.heartbeat,
            lambda: self.callers.in_flight,
            direct,
        )
        self.follower = Follower(
            self.store, self._configure, self.fleet.apply_router_record, world.rng
        )
        self.orders = Orders(
            self.store, world.clock, self.fleet, lambda name: self.targets.engine(name)
        )
        self.crashes = CrashReports(
            world.clock, self._take_crash, self.fleet.send_heartbeats
        )
        self.quarantined = QuarantineRecords(self.store, world.clock)
        sources = PermitSources(
            self.fleet.member,
            lambda: self.fleet.members,
            world.link,
            self.dispatch,
            world.telemetry,
            world.clock,
            settings.heartbeat,
        )
        self.permits = Permits(sources)
        self.fleet.issue_permit = self.permits.handle_permit
        self.relocation_protocol = RelocationProtocol(
            self.dispatch,
            self.dispatcher,
            world.link,
            world.clock,
            lambda: self.fleet.members,
        )
        self.fleet.relocate = self.relocation_protocol.handle_relocate
        self.dispatch.relocate = self.relocation_protocol.ask
        self.dispatch.announce = self._announce
        self.dispatcher.renew = self.access_control.renew
        self.crashes.take_other = self._take_other_crash
        self.fleet.list_crash_reports = self.crashes.list_reports_to_send
        self.fleet.receive_crash_reports = self.crashes.receive
        self.fleet.note_incarnation = self.crashes.note_incarnation
        self.crashes.list_quarantined = lambda: self.dispatcher.list_crashes(
            self.clock.now()
        )
        self.fleet.on_heartbeat = self._count_routers
        self.fleet.on_members_changed = lambda: self.dispatcher.set_has_others(
            bool(self.fleet.members.member_statuses)
        )
        self.fleet.list_leaving_targets = lambda: self.leaving_targets.told
        self.fleet.receive_leaving_targets = self.leaving_targets.receive_leaving
        self.fleet.read_revision = lambda: self.follower.acknowledged
        self.fleet.read_received_revision = lambda: self.follower.seen
        self.settled = False
        self._routers = 1
        self._broken = False
        self._introduced = False
        self._tasks: list[asyncio.Task[None]] = []

    def _make_caller_port(self) -> CallerPort:
        world = self.world
        shared = Shared(
            self.incarnation,
            world.clock,
            self.budgets,
            self.dispatch,
            self.targets,
            world.telemetry,
        )
        self.claims = ClaimStore(
            self.store, world.clock, self.incarnation, world.rng, self._lives
        )
        return CallerPort(
            shared, self.access_control, self.claims, self.is_ready, self.list_addresses
        )

    def _lives(self, incarnation: str) -> bool:
        """Tell whether an incarnation is known to live."""
        present = self.fleet.members.list_alive(self.clock.now())
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
        return self._introduced and self.fleet.may_serve() and not self._broken

    async def _introduce(self) -> None:
        """Hear the platform and the other routers once before serving.

        A router that starts anew doesn't know what crashed targets lately;
        what it served before the others told it could cost two more.
        """
        await self.follower.current.wait()
        await self._recall()
        await self.fleet.send_heartbeats()
        self._count_routers()
        # One that is behind may still send a content to targets that are gone.
        until = self.clock.now() + MAX_CHANGE_LAG
        while self.fleet.find_common_revision() < self.fleet.member.since:
            if self.clock.now() > until:
                logging.warning("some router stays behind, serving beside it")
                break
            await asyncio.sleep(self.settings.heartbeat / SECOND)
        self._introduced = True

    async def _recall(self) -> None:
        """Take in what the platform keeps of contents that crashed targets."""
        while True:
            try:
                found = await self.quarantined.read()
                break
            except AnvilshiftError as error:
                logging.warning("no quarantine records code=%d", error.code.number)
                await asyncio.sleep(_RECALL_PAUSE / SECOND)
        for news in found:
            self.dispatcher.crashed(news.content, news.target, self.clock.now())

    def _announce(self, news: CrashAnnouncement) -> None:
        self.crashes.report(news)
        logging.warning(
            "engine reached without an answer content=%s engine=%s blamed=%d",
            news.content,
            news.target,
            news.times,
        )
        targets = self.dispatcher.list_only_targets(news.content)
        if targets and news.times:
            self.quarantined.add(news.content, targets)

    def _configure(self, catalogue: Catalogue) -> None:
        self.access_control.configure(catalogue)
        self.targets.configure(catalogue)
        self.budgets.configure(dict(catalogue.budgets))
        targets = [
            Target(engine.name, engine.failure_domain, engine.slots, group.offers)
            for group in catalogue.groups.values()
            for engine in group.engines
        ]
        now = self.clock.now()
        self.dispatch.act(self.dispatcher.configure(targets, now, catalogue.revision))
        self.leaving_targets.configure(catalogue)
        self.orders.configure(catalogue)
        self.fleet.acknowledge(catalogue.revision)
        logging.info("declarations in force revision=%d", catalogue.revision)

    def list_addresses(self) -> dict[str, object]:
        """Return where callers shall connect, this router's domain first."""
        endpoints = [
            Endpoint(
                s.member.address,
                s.member.failure_domain,
                s.heartbeat_status.in_flight,
                s.member.leaving,
            )
            for s in self.fleet.members.list_alive(self.clock.now())
            if s.heartbeat_status.serving
        ]
        own = self.fleet.member
        in_flight = self.callers.in_flight
        endpoints.append(
            Endpoint(own.address, own.failure_domain, in_flight, own.leaving)
        )
        ordered = order_endpoints(endpoints, own.failure_domain, self.world.rng)
        addresses = [
            {"address": e.address, "failure_domain": e.failure_domain} for e in ordered
        ]
        return {"addresses": addresses, "keep_ms": self.settings.keep_addresses}

    def describe(self) -> dict[str, Any]:
        """Return this router's state for operators."""
        member_statuses = self.fleet.members.member_statuses.values()
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "leaving": self.fleet.member.leaving,
            "holds_lease": self.fleet.lease.holds(self.clock.now()),
            "reaches_platform": self.store.reaches_platform,
            "revision": self.fleet.member.revision,
            "in_flight": self.callers.in_flight,
            "waiting": self.dispatch.waiting,
            "peers": sorted(s.member.name for s in member_statuses),
            "owns_orders": self.orders.owns,
            "leaving_targets": sorted(self.leaving_targets.leaving),
        }

    def start(self) -> None:
        """Begin every background task."""
        self.fleet.start()
        self.budgets.start()
        loop = asyncio.get_running_loop()
        polling = self.targets.poll(
            self._take_report,
            lambda event: self.dispatch.act(
                self.dispatcher.cache_event(event, self.clock.now())
            ),
            self.leaving_targets.count_refusal,
        )
        leaving = self.leaving_targets.follow(
            self.store, self._name_routers, self.world.rng
        )
        works = (
            self.follower.run(),
            polling,
            leaving,
            self.orders.run(),
            self.claims.keep_sweeping(),
        )
        for work in works:
            task = loop.create_task(work)
            task.add_done_callback(self._note_end)
            self._tasks.append(task)
        self._tasks.append(loop.create_task(self._introduce()))
        for task in self.fleet.tasks:
            task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Take no new work once a part that must always run has ended.

        Without its watch, say, a router would serve on under old declarations
        and look well; callers are better off elsewhere.
        """
        if task.cancelled():
            return
        logging.error("a part ended, no new work is taken", exc_info=task.exception())
        self._broken = True

    async def drain(self, abandoned: asyncio.Event) -> int:
        """Stop as planned; return how many requests were cut off.

        Parameters
        ----------
        abandoned
            Set when the stop must end at once.
        """
        steps = StopSteps(
            self._leave,
            self._refuse,
            self.budgets.settle_all,
            lambda: self.callers.in_flight,
            self.callers.list_open,
        )
        settings = self.settings
        keep, grace = settings.keep_addresses, settings.grace
        stop = PlannedStop(steps, keep, grace, abandoned)
        cut_off = await stop.run()
        self.settled = stop.settled
        if not abandoned.is_set():
            await self.fleet.bill_copies.transfer_copies(self.budgets.copies)
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
        self.permits.close()
        self.dispatch.close()
        self.relocation_protocol.close()
        self.quarantined.close()
        await self.budgets.close()
        await self.fleet.close()
        self.store.close()

    def _take_report(self, report: LoadReport) -> None:
        self.permits.apply_report(report)
        # A target that is back may announce a limit in the same report: what waits for
        # it is sent as soon as it counts as back.
        self.dispatcher.update_rate_limit(report)
        self.leaving_targets.apply_load_report(report)
        self.dispatch.act(self.dispatcher.load_report(report, self.clock.now()))

    def _name_routers(self) -> set[str]:
        present = self.fleet.members.list_alive(self.clock.now())
        return {status.member.name for status in present}

    def _take_crash(self, content: str, target: str, age: Millis) -> None:
        self.dispatcher.crashed(content, target, self.clock.now(), age)

    def _take_other_crash(self, news: CrashAnnouncement) -> None:
        now = self.clock.now()
        self.dispatcher.crashed(news.content, news.target, now, times=news.times)

    def _count_routers(self) -> None:
        """Tell the dispatcher with how many routers it shares the targets."""
        self.permits.update_routers()
        self.relocation_protocol.update_routers()
        # One that lost its lease and its record may yet serve behind a cut.
        silent = self.fleet.is_partitioned() or self.permits.has_lost_routers()
        self.dispatcher.set_partitioned(silent)
        common = self.fleet.find_common_revision()
        self.dispatch.act(self.dispatcher.confirm_revision(common, self.clock.now()))
        present = self.fleet.members.list_alive(self.clock.now())
        routers = 1 + sum(s.heartbeat_status.serving for s in present)
        if routers != self._routers:
            self._routers = routers
            self.dispatcher.set_routers(routers)

    def _tell_dispatcher(self, target: str, leaving: bool) -> None:
        change = self.dispatcher.leaving if leaving else self.dispatcher.staying
        self.dispatch.act(change(target, self.clock.now()))
