"""What routers tell each other of their use, and which of them callers are told of."""

import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.core.endpoints import Endpoint, choose_endpoints
from anvilshift.core.placement.routeruse import RouterLimits
from anvilshift.gateway.directory import RouterDirectory
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.messages import Beat
from anvilshift.gateway.peers import Peer
from anvilshift.gateway.routerloads import RouterLoads, UseSources
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.wire.messages import Address
from tests.gateway.silent import SilentJournal

LIMITS = RouterLimits(cores=1.0, memory=200.0, descriptors=1_000, link=10.0)
TICK = 500.0


class FakePeers:
    """Seven routers of two failure domains; records what is sent to them."""

    small = True

    def __init__(self, clock) -> None:
        self.clock = clock
        self.sent: list[RouterLoad] = []
        self.absent: set[str] = set()

    def list_present(self):
        domains = {f"n{n}": "north" for n in range(1, 4)}
        domains |= {f"s{n}": "south" for n in range(4)}
        return [
            Peer(
                Beat(
                    name, f"{name}.1", name, f"{name}:80", domain, 1, True, False, True
                ),
                self.clock.now(),
            )
            for name, domain in domains.items()
            if name not in self.absent
        ]

    def list_domains(self):
        return {peer.beat.failure_domain for peer in self.list_present()}

    def find_lateness(self):
        return 0.0

    def send_each(self, message, ips):
        self.sent.append(message)


class RouterLoadsTest(unittest.TestCase):
    def make(self, limits: RouterLimits | None = LIMITS) -> None:
        self.clock = ManualClock()
        self.peers = FakePeers(self.clock)
        self.idle = 0.0
        address = Address("n0", 80)
        settings = GatewaySettings(
            "n0", "n0", "north", address, None, None, 0, 0, address, limits=limits
        )
        self.journal = SilentJournal()
        self.loads = RouterLoads(
            settings, self.peers, self.clock, self.journal, lambda: True
        )
        self.loads.sources = UseSources(lambda: self.idle)
        self.directory = RouterDirectory(settings, self.peers, lambda: True, self.loads)

    def run_for(self, span: float, busy: float, told: float | None = None) -> None:
        """Run with a busy event loop, and hear that the near routers are as full."""
        end = self.clock.now() + span
        while self.clock.now() < end:
            self.clock.advance(TICK)
            self.idle += TICK * (1.0 - busy)
            if told is not None:
                for name in ("n1", "n2", "n3"):
                    self.loads.apply(RouterLoad(name, 1.0, told, False))
                for name in ("s0", "s1", "s2", "s3"):
                    self.loads.apply(RouterLoad(name, 1.0, 0.1, False))
            self.loads.run_checks(self.clock.now())

    def list_for(self, domain: str, asker: str = "a") -> set[str]:
        return set(self.directory.list_endpoints(domain, asker).addresses)

    def find_usual(self, domain: str) -> set[str]:
        found = [
            Endpoint(peer.beat.entrance, peer.beat.failure_domain)
            for peer in self.peers.list_present()
        ]
        return set(choose_endpoints([*found, Endpoint("n0:80", "north")], domain))

    def test_callers_of_a_full_domain_are_told_of_others(self):
        """Guards against callers who are told of full routers alone."""
        self.make()
        self.run_for(20_000.0, busy=0.95, told=0.95)
        far = {one for n in range(20) for one in self.list_for("north", str(n))}
        self.assertTrue(far & {"s0:80", "s1:80", "s2:80", "s3:80"})
        self.assertEqual(self.list_for("south"), self.find_usual("south"))
        self.assertIn("callers_moved", self.journal.list_events())
        self.assertGreater(
            self.loads.list_gauges()["anvilshift_domain_far_percent"], 10
        )

    def test_a_router_that_is_lost_is_not_listed_any_more(self):
        """Guards against a decision that outlives the routers it was made for."""
        self.make()
        self.run_for(20_000.0, busy=0.95, told=0.95)
        self.peers.absent = {"n1", "s1"}
        for asker in range(20):
            self.assertFalse(self.list_for("north", str(asker)) & {"n1:80", "s1:80"})

    def test_answers_are_the_usual_ones_while_there_is_room(self):
        """Guards against deployments that are served otherwise than before."""
        self.make()
        self.run_for(20_000.0, busy=0.5, told=0.5)
        for domain in ("north", "south", ""):
            self.assertEqual(self.list_for(domain), self.find_usual(domain))

    def test_nothing_is_measured_or_told_without_limits(self):
        """Guards against messages that no settings ask for."""
        self.make(limits=None)
        self.run_for(20_000.0, busy=1.0, told=1.0)
        self.assertEqual(self.peers.sent, [])
        self.assertEqual(self.loads.list_gauges(), {})
        self.assertEqual(self.list_for("north"), self.find_usual("north"))

    def test_use_that_doesnt_change_is_told_rarely(self):
        """Guards against news that fills links while nothing happens."""
        self.make()
        self.run_for(10_000.0, busy=0.3)
        before = len(self.peers.sent)
        self.run_for(60_000.0, busy=0.3)
        self.assertLessEqual(len(self.peers.sent) - before, 60_000.0 / 2_500.0)

    def test_a_router_that_tells_nothing_counts_as_neither_full_nor_idle(self):
        """Guards against routers of an older build that are flooded or left out."""
        self.make()
        self.run_for(20_000.0, busy=0.2)
        for domain in ("north", "south"):
            self.assertEqual(self.list_for(domain), self.find_usual(domain))
