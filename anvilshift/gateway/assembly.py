"""Assemble the parts of one gateway and connect them with each other."""

import random

from anvilshift.core.admission.linkqueue import LinkQueue
from anvilshift.core.allocators import AllocatorMap
from anvilshift.core.blame import CrashBlame
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.identity import make_identity
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.domaindrains import DomainDrains
from anvilshift.core.retention import MarkLog
from anvilshift.core.retries import RetryBudget
from anvilshift.core.routing import Configuration, RouteTable
from anvilshift.core.targetload import TargetInfo
from anvilshift.gateway.answering import send_error
from anvilshift.gateway.border import Dialect, make_server_limits
from anvilshift.gateway.coldmessages import TargetCold
from anvilshift.gateway.coldtargets import ColdTargets
from anvilshift.gateway.configurations import Configurations
from anvilshift.gateway.conversation import PeerMessenger
from anvilshift.gateway.directory import Endpoints, RouterDirectory
from anvilshift.gateway.domaindrains import DrainWatch
from anvilshift.gateway.following import Follower, WatchIntervals
from anvilshift.gateway.forwarding import Forwarding
from anvilshift.gateway.heldmemory import HeldMemory
from anvilshift.gateway.hostload import HostLoad
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.linkthrottle import LinkThrottle
from anvilshift.gateway.linktraffic import LinkTraffic
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.origins import StreamOrigins
from anvilshift.gateway.partstore import PartStore
from anvilshift.gateway.partwatch import PartWatch
from anvilshift.gateway.passing import RequestHandler
from anvilshift.gateway.peers import PeerCallbacks, Peers
from anvilshift.gateway.permits import Permits
from anvilshift.gateway.reach import TargetReach
from anvilshift.gateway.recording import Recorder
from anvilshift.gateway.registercheck import RegisterCheck
from anvilshift.gateway.reserving import Reservations
from anvilshift.gateway.retryshares import RetryShares
from anvilshift.gateway.sending import Sender
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.sharedwatches import SharedWatches
from anvilshift.gateway.shares import ShareManager
from anvilshift.gateway.slowstarts import SlowStarts
from anvilshift.gateway.targethealth import TargetHealth
from anvilshift.gateway.targetregistry import TargetRegistry
from anvilshift.gateway.targetstarts import TargetStarts
from anvilshift.gateway.tries import Tries
from anvilshift.objects.hedged import HedgedStore
from anvilshift.objects.store import ObjectStore
from anvilshift.wire.client import HttpClient, Network, TcpNetwork
from anvilshift.wire.messages import HttpRequest
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

_TARGETS_INTERVALS = WatchIntervals(wait=1.5 * SECOND, rest=500.0)
"""Engines renew their entries many times a second, so changes are read in batches.
An engine announces its departure two seconds ahead; a rest of 500 ms uses half a
second of these."""


class GatewayParts:
    """The parts of one gateway, connected but not started.

    Parameters
    ----------
    born
        Reading of the clock at which its process was already running; None unless the
        process runs this node only.
    network
        Opens the connections to targets and routers; TCP if omitted.
    boot_clock
        A clock that goes on while the host is suspended; the other one if omitted.
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
        network: Network | None = None,
        boot_clock: Clock | None = None,
    ) -> None:
        store = HedgedStore(
            store, clock, lambda why: journal.write("store_doubted", why=why)
        )
        self.store = store
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.journal = journal
        self.incarnation = f"{settings.name}.{make_identity(rng)[:12]}"
        drains = DomainDrains(settings.drain_bound is not None)
        self.loads = LoadMap(drains)
        self.peers = Peers(
            settings.ip,
            settings.peer_port,
            settings.failure_domain,
            clock,
            journal,
        )
        self.peers.addresses = {ip for ip in settings.seeds if ip != settings.ip}
        bound = settings.drain_bound
        self.drains = DrainWatch(
            settings.ip, bound, drains, self.peers, clock, journal, rng
        )
        self.allotter = ShareManager(
            store, settings.name, self.incarnation, clock, journal
        )
        self.marks = MarkLog(settings.history or 0.0)
        self.recorder = Recorder(
            store,
            settings.name,
            settings.ip,
            self.incarnation,
            clock,
            journal,
            self.allotter.balances,
            self.marks,
        )
        self.allocators = AllocatorMap(settings.name, settings.spare_writes)
        self.reservations = Reservations(self.allotter, self.allocators, clock, journal)
        if settings.history is not None:
            self.recorder.born = born
            self.allotter.bound_former_use = self.recorder.bound_former_use
            self.recorder.end_record = self.allotter.notify_waiters
            self.reservations.recorder = self.recorder
        self.client = HttpClient(network=network)
        self.limits = RateLimits(
            settings.name, self.incarnation, self.loads, self.peers, clock, journal
        )
        self.cold = ColdTargets(self.limits, clock, journal, settings.cold)
        self.permits = Permits(
            self.limits, settings.ip, self.loads, self.peers, clock, journal, self.cold
        )
        self.reach = TargetReach(
            self.client,
            self.peers,
            self.loads,
            clock,
            journal,
            rng,
            settings.failure_domain,
            settings.forward_port,
            network or TcpNetwork(),
        )
        self.forwarding = Forwarding(
            self.peers, self.loads, self.reach.paths, clock, network
        )
        self.starts = TargetStarts(self.client, dialect, clock, journal)
        link = settings.limits.link
        self.link_throttle = LinkThrottle(clock, LinkQueue(link) if link else None)
        self.traffic = LinkTraffic(self.peers, [self.client.traffic])
        self.link_throttle.count_written = self.traffic.count_written
        self.slow_starts = SlowStarts(
            self.incarnation,
            settings.failure_domain,
            self.loads,
            self.peers,
            clock,
            journal,
            settings.paces_returns,
        )
        sender = Sender(
            self.reach,
            dialect,
            self.loads,
            self.peers,
            clock,
            journal,
            self.limits,
            self.starts,
            self.cold,
            self.slow_starts,
            self.link_throttle,
        )
        blame = CrashBlame()
        parts = PartWatch(
            settings.name,
            self.limits,
            self.loads,
            self.peers,
            self.reach,
            clock,
            journal,
            blame.forgive,
        )
        self.shared = RouterContext(
            self.incarnation,
            clock,
            rng,
            dialect,
            sender,
            self.permits,
            self.reservations,
            journal,
            settings.failure_domain,
            RetryBudget(settings.retries),
            boot_clock or clock,
            TargetHealth(
                self.incarnation,
                settings.failure_domain,
                self.loads,
                self.peers,
                clock,
                journal,
                rng,
            ),
            StreamOrigins(
                settings.name, settings.ip, self.peers, self.loads, clock, journal
            ),
            parts,
            Tries(settings.ip, parts, self.peers, clock),
            blame=blame,
        )
        self.retry_shares = RetryShares.for_router(
            settings, store, self.shared, self.peers
        )
        self.part_store = PartStore(store, parts, clock, journal)
        self.messenger = self._make_messenger()
        self.targets = TargetRegistry(
            dialect,
            self.loads,
            self.client,
            self.peers,
            clock,
            journal,
            self.messenger.handle_lost_target,
            self.shared.health.reports.forget,
            self.shared.origins.note_target,
        )
        self.targets.connect(self.shared, self.messenger.add_handler)
        self.configurations = Configurations(
            settings,
            dialect,
            store,
            self.peers,
            clock,
            journal,
            rng,
            self._apply_configuration,
            network,
        )
        self.configuration_follower = self.configurations.follower
        self.configuration_follower.settle = self._settle_configurations
        self.target_follower = Follower(
            store,
            dialect.targets_kind,
            _TARGETS_INTERVALS,
            clock,
            journal,
            self.targets.apply_change,
            self._settle_targets,
        )
        self.target_follower.probe = self.configuration_follower
        self.shared_watches = SharedWatches(
            settings, self.peers, clock, journal, network
        )
        followers = (self.configuration_follower, self.target_follower)
        for follower in followers:
            self.shared_watches.share(follower, store)
        self.register_check = RegisterCheck(store, followers, clock, journal)
        self.shared.origins.confirm = self.register_check.confirm
        self.drains.follow(store, dialect.drains_kind, self.configuration_follower)
        self._connect_cold()
        self.server = HttpServer(self.handle)
        self.traffic.counters.append(self.server.traffic)
        self.host_load = HostLoad(
            settings.name,
            settings.limits,
            self.peers,
            clock,
            journal,
            self.traffic.find,
            self._count_sockets,
        )
        self.held = HeldMemory(settings.limits, self.shared)
        self.held.attach(self.server, self.client)
        if self.host_load.is_active:
            self.server.admission = self.host_load
            self.host_load.set_listening = self.server.set_listening
        self.messenger.add_handler(RouterLoad, self.host_load.apply)
        self.directory = RouterDirectory(
            settings, self.peers, self.is_ready, self.host_load.list_full
        )
        self.in_flight = 0
        self.leaving = False

    def _make_messenger(self) -> PeerMessenger:
        messenger = PeerMessenger(
            self.settings,
            self.incarnation,
            self.peers,
            self.loads,
            self.allotter,
            self.reservations,
            self.allocators,
            self.marks,
            self.shared,
            self.limits,
            self.drains,
            self.clock,
            self.journal,
            self.is_ready,
            lambda: self.leaving,
            lambda: self.configuration_follower.is_fresh(),
        )
        self.peers.hooks = PeerCallbacks(
            messenger.handle_message,
            messenger.handle_router_loss,
            messenger.make_heartbeat,
            messenger.send_known_state,
        )
        self.reservations.ask = messenger.ask_for_tokens
        self.recorder.on_new_mark = messenger.send_mark
        self.shared.on_target_lost = messenger.handle_lost_target
        return messenger

    def _connect_cold(self) -> None:
        cold, messenger = self.cold, self.messenger
        cold.find_confirmed = lambda: self.target_follower.confirmed
        self.targets.on_entry = self._apply_entry
        self.slow_starts.connect(self.shared.health, messenger.add_handler)
        self.drains.on_return = cold.presume_cold
        self.shared.health.on_unreachable = cold.record_unreachable
        messenger.add_handler(TargetCold, cold.apply_message)
        messenger.tell_new_router.append(cold.tell_new_router)

    def _apply_entry(self, info: TargetInfo) -> None:
        self.cold.apply_entry(info)
        self.slow_starts.apply_entry(info)

    def _settle_configurations(self, names: set[str]) -> None:
        if self.shared.table is None and self.dialect.configuration_name not in names:
            self.shared.origins.note_beginning()

    def _settle_targets(self, names: set[str]) -> None:
        self.shared.origins.note_list(self.target_follower.confirmed)
        self.targets.entries.settle(names)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.shared.table = RouteTable(configuration)
        self.shared.origins.routes.update(configuration.rules, self.clock.now())
        organisations = configuration.organisations
        totals = {name: one.reserved for name, one in organisations.items()}
        self.allotter.configure(configuration.version, totals)
        self.allotter.balances.set_allocators(self.allocators)
        self.reservations.forget_refusals()
        self.server.limits = make_server_limits(configuration.limits)
        self.cold.configure(configuration.services.values())

    # Callers

    def is_ready(self) -> bool:
        """Return whether callers should open new connections to this router."""
        is_informed = self.shared.parts.is_informed and self.loads.drains.is_known
        return self.shared.table is not None and is_informed and not self.leaving

    def list_gauges(self) -> dict[str, float]:
        """Return present values for monitoring, by metric."""
        agreed = (self.configurations, self.drains, self.cold, self.slow_starts)
        parts = (*agreed, self.shared.sender.told, self.host_load, self.held)
        return {
            name: value for one in parts for name, value in one.list_gauges().items()
        }

    def _count_sockets(self) -> int:
        """Return about how many sockets are open."""
        return len(self.server.connections) + self.in_flight + self.client.count_idle()

    def list_endpoints(self, domain: str = "") -> Endpoints:
        """Return the addresses to which callers of a failure domain may connect."""
        return self.directory.list_endpoints(domain)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a caller's request."""
        self.in_flight += 1
        try:
            await RequestHandler(self.shared, request, responder).run()
        except AnvilshiftError as error:
            await send_error(responder, error, self.journal)
        finally:
            self.in_flight -= 1
