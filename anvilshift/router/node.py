"""One router without its sockets: creates, connects and starts its components.

The daemon adds sockets and signal handlers; seeded test runs pass in fakes instead.
"""

import asyncio
import contextlib
from typing import Any

from absl import logging

from anvilshift.core.clock import Millis
from anvilshift.core.declarations import Catalogue
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.identity import make_identity
from anvilshift.core.membership import Member
from anvilshift.core.work import CrashAnnouncement, DispatchSettings, LoadReport, Target
from anvilshift.objects.paced import RateLimitedStore
from anvilshift.router.accesscontrol import AccessControl
from anvilshift.router.addresses import describe_addresses
from anvilshift.router.budgets import RouterBudgets
from anvilshift.router.callers import CallerApi
from anvilshift.router.claims import ClaimStore
from anvilshift.router.crashes import CrashReports
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.fleet import Fleet
from anvilshift.router.following import Follower
from anvilshift.router.initialisation import Initialisation
from anvilshift.router.leavingtargets import LeavingTargets
from anvilshift.router.orders import Orders
from anvilshift.router.permits import Permits, PermitSources
from anvilshift.router.quarantined import QuarantineRecords
from anvilshift.router.relayed import RelayedStore
from anvilshift.router.relocationprotocol import RelocationProtocol
from anvilshift.router.runs import RunContext
from anvilshift.router.stopping import PlannedStop, StopCallbacks
from anvilshift.router.targets import Targets
from anvilshift.router.world import World
from anvilshift.settings.router import RouterSettings

__all__ = ["Node", "World"]


class Node:
    """One router with all its components except the sockets."""

    def __init__(self, settings: RouterSettings, world: World) -> None:
        self.settings = settings
        self.world = world
        self.clock = world.clock
        direct_store = RateLimitedStore(
            world.store, world.clock, settings.platform_rate, settings.platform_burst
        )
        self.store = RelayedStore(
            direct_store, world.link, world.clock, lambda: self.fleet.list_relays()
        )
        self.incarnation = f"{settings.name}-{make_identity(world.rng)[:12]}"
        self.budgets = RouterBudgets(
            self.store, world.clock, self.incarnation, settings.commit_spacing
        )
        self.budgets.hooks.count_event = world.telemetry.count_event
        dispatch_settings = DispatchSettings(
            settings.failure_domain, settings.queue_length, settings.attempts, asks=True
        )
        self.dispatcher = Dispatcher(dispatch_settings, world.rng)
        self.dispatch = DispatchLoop(self.dispatcher, world.clock)
        self.targets = Targets(world.connector, world.clock)
        self.leaving_targets = LeavingTargets(self._set_target_leaving, world.clock)
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
            direct_store,
        )
        self.follower = Follower(
            self.store, self._apply_catalogue, self.fleet.apply_router_record, world.rng
        )
        self.orders = Orders(
            self.store, world.clock, self.fleet, lambda name: self.targets.engine(name)
        )
        self.crashes = CrashReports(
            world.clock, self._record_crash, self.fleet.send_heartbeats
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
        self.dispatch.announce = self._announce_crash
        self.dispatcher.renew = self.access_control.renew
        self.dispatcher.list_silent = self.targets.list_unanswering
        self.crashes.take_other = self._record_further_crash
        self.fleet.list_crash_reports = self.crashes.list_reports_to_send
        self.fleet.receive_crash_reports = self.crashes.receive
        self.fleet.note_incarnation = self.crashes.note_incarnation
        self.crashes.list_quarantined = lambda: self.dispatcher.list_crashes(
            self.clock.now()
        )
        self.fleet.on_heartbeat = self._update_fleet_state
        self.fleet.on_members_changed = lambda: self.dispatcher.set_has_others(
            bool(self.fleet.members.member_statuses)
        )
        self.fleet.list_leaving_targets = lambda: self.leaving_targets.told
        self.fleet.receive_leaving_targets = self.leaving_targets.receive_leaving
        self.fleet.read_revision = lambda: self.follower.acknowledged
        self.fleet.read_received_revision = lambda: self.follower.seen
        self._initialisation = Initialisation(
            self.follower,
            self.quarantined,
            self.dispatcher,
            self.fleet,
            world.clock,
            settings.heartbeat,
            self._update_fleet_state,
        )
        self.settled = False
        self._router_count = 1
        self._task_failed = False
        self._tasks: list[asyncio.Task[None]] = []

    def _make_caller_port(self) -> CallerApi:
        world = self.world
        shared = RunContext(
            self.incarnation,
            world.clock,
            self.budgets,
            self.dispatch,
            self.targets,
            world.telemetry,
        )
        self.claims = ClaimStore(
            self.store, world.clock, self.incarnation, world.rng, self._is_alive
        )
        return CallerApi(
            shared, self.access_control, self.claims, self.is_ready, self.list_addresses
        )

    def _is_alive(self, incarnation: str) -> bool:
        """Tell whether this router currently counts an incarnation as alive."""
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
        """Tell whether this router may take new work.

        It has completed its initialisation, its lease permits serving, and none of
        its background tasks has ended.
        """
        return (
            self._initialisation.done
            and self.fleet.may_serve()
            and not self._task_failed
        )

    def _announce_crash(self, crash: CrashAnnouncement) -> None:
        self.crashes.report(crash)
        logging.warning(
            "engine reached without an answer content=%s engine=%s blamed=%d",
            crash.content,
            crash.target,
            crash.times,
        )
        targets = self.dispatcher.list_only_targets(crash.content)
        if targets and crash.times:
            self.quarantined.add(crash.content, targets)

    def _apply_catalogue(self, catalogue: Catalogue) -> None:
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
        """Return the routers' addresses for callers, this failure domain first."""
        return describe_addresses(
            self.fleet.member,
            self.callers.in_flight,
            self.fleet.members.list_alive(self.clock.now()),
            self.settings.keep_addresses,
            self.world.rng,
        )

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
        """Start every background task."""
        self.fleet.start()
        self.budgets.start()
        loop = asyncio.get_running_loop()
        polling = self.targets.poll(
            self._handle_load_report,
            lambda event: self.dispatch.act(
                self.dispatcher.cache_event(event, self.clock.now())
            ),
            self.leaving_targets.count_refusal,
        )
        following = self.leaving_targets.follow(
            self.store, self._list_router_names, self.world.rng
        )
        coroutines = (
            self.follower.run(),
            polling,
            following,
            self.orders.run(),
            self.claims.keep_sweeping(),
        )
        for coroutine in coroutines:
            task = loop.create_task(coroutine)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)
        self._tasks.append(loop.create_task(self._initialisation.run()))
        for task in self.fleet.tasks:
            task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Stop taking new work once a task that must always run has ended.

        Without its watch on the platform, for example, a router would go on
        serving under old declarations and still report that it is ready. Callers
        are better served by another router.
        """
        if task.cancelled():
            return
        logging.error(
            "a background task has ended, refusing new work", exc_info=task.exception()
        )
        self._task_failed = True

    async def drain(self, abandoned: asyncio.Event) -> int:
        """Run the planned stop; return how many requests were cut off.

        Parameters
        ----------
        abandoned
            Event that is set when the stop must end at once.
        """
        callbacks = StopCallbacks(
            self._leave_fleet,
            self._refuse_new_work,
            self.budgets.settle_all,
            lambda: self.callers.in_flight,
            self.callers.list_open,
        )
        settings = self.settings
        keep, grace = settings.keep_addresses, settings.grace
        stop = PlannedStop(callbacks, keep, grace, abandoned)
        cut_off = await stop.run()
        self.settled = stop.settled
        if not abandoned.is_set():
            copies = self.budgets.copies
            left = await self.fleet.bill_copies.transfer_copies(copies)
            await self.budgets.submit_copies(left, abandoned)
        return cut_off

    async def _leave_fleet(self) -> None:
        await self.fleet.leave()
        with contextlib.suppress(AnvilshiftError):
            await self.orders.release()

    def _refuse_new_work(self) -> None:
        self.callers.refusing = True

    async def close(self) -> None:
        """Record the bills, give the grants back and stop every task."""
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

    def _handle_load_report(self, report: LoadReport) -> None:
        self.permits.apply_report(report)
        # Apply the rate limit before the health: a recovered target may announce a
        # limit in the same report, and the requests waiting for it are sent as soon
        # as it counts as recovered.
        self.dispatcher.update_rate_limit(report)
        self.leaving_targets.apply_load_report(report)
        self.dispatch.act(self.dispatcher.load_report(report, self.clock.now()))

    def _list_router_names(self) -> set[str]:
        present = self.fleet.members.list_alive(self.clock.now())
        return {status.member.name for status in present}

    def _record_crash(self, content: str, target: str, age: Millis) -> None:
        self.dispatcher.crashed(content, target, self.clock.now(), age)

    def _record_further_crash(self, crash: CrashAnnouncement) -> None:
        now = self.clock.now()
        self.dispatcher.crashed(crash.content, crash.target, now, times=crash.times)

    def _update_fleet_state(self) -> None:
        """Update the dispatcher after a heartbeat.

        It needs the number of routers that share the targets, whether the fleet
        may be partitioned, and the revision that all routers have in force.
        """
        self.permits.update_routers()
        self.relocation_protocol.update_routers()
        # A router that lost its lease and its record may still be serving on the
        # other side of a network partition.
        partitioned = self.fleet.is_partitioned() or self.permits.has_lost_routers()
        self.dispatcher.set_partitioned(partitioned)
        common = self.fleet.find_common_revision()
        self.dispatch.act(self.dispatcher.confirm_revision(common, self.clock.now()))
        present = self.fleet.members.list_alive(self.clock.now())
        routers = 1 + sum(s.heartbeat_status.serving for s in present)
        if routers != self._router_count:
            self._router_count = routers
            self.dispatcher.set_routers(routers)

    def _set_target_leaving(self, target: str, leaving: bool) -> None:
        change = self.dispatcher.leaving if leaving else self.dispatcher.staying
        self.dispatch.act(change(target, self.clock.now()))
