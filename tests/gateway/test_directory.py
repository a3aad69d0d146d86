"""The routers that callers are told of, by what routers say of themselves."""

import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.gateway.datagrams import encode
from anvilshift.gateway.directory import RouterDirectory
from anvilshift.gateway.hostload import HostLoad
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.wire.messages import Address
from tests.gateway.silent import SilentJournal
from tests.gateway.test_peers import RecordingTransport, make_beat

SETTINGS = GatewaySettings(
    name="own",
    ip="10.0.0.200",
    failure_domain="north",
    front=Address("10.0.0.200", 80),
    ready=None,
    directory=None,
    peer_port=7000,
    forward_port=7001,
    store=Address("10.0.0.250", 80),
)
NORTH = (3, 6, 9, 12)
ELSEWHERE = (1, 2, 4, 5, 7, 8)
"""Routers of this domain and of others, as `make_beat` numbers them."""


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        peers = Peers(SETTINGS.ip, 7000, "north", self.clock, SilentJournal())
        peers._transport = RecordingTransport()
        for n in (*NORTH, *ELSEWHERE):
            beat = make_beat(n)
            peers.datagram_received(encode(beat), (beat.ip, 7000))
        self.peers = peers
        self.load = HostLoad(
            "own",
            SETTINGS.limits,
            peers,
            self.clock,
            SilentJournal(),
            lambda: self.fail("nothing is measured without limits"),
        )
        self.directory = RouterDirectory(
            SETTINGS, peers, lambda: True, self.load.list_full
        )

    def list_north(self) -> set[str]:
        return set(self.directory.list_endpoints("north").addresses)

    def test_router_that_says_it_is_full_is_not_named(self):
        self.load.apply(RouterLoad("r3", 1.0, True))
        self.assertEqual(len(self.list_north()), len(NORTH))
        self.assertNotIn("10.0.0.3:80", self.list_north())
        self.load.apply(RouterLoad("r3", 0.5, False))
        self.assertIn("10.0.0.3:80", self.list_north())

    def test_callers_of_a_full_domain_are_named_routers_with_room(self):
        for n in NORTH:
            self.load.apply(RouterLoad(f"r{n}", 1.0, True))
        near = {f"10.0.0.{n}:80" for n in NORTH} | {"10.0.0.200:80"}
        answers = []
        for _ in range(10):
            self.clock.advance(1_000.0)
            for n in NORTH:
                self.load.apply(RouterLoad(f"r{n}", 1.0, True))
            for peer in self.peers.routers.values():
                peer.heard = self.clock.now()
            answers.append(self.list_north())
        self.assertLessEqual(answers[0], near)
        self.assertTrue(any(found and not found & near for found in answers))

    def test_in_a_full_fleet_the_usual_ones_are_named(self):
        """Guards against a list without addresses."""
        before = self.list_north()
        for n in (*NORTH, *ELSEWHERE):
            self.load.apply(RouterLoad(f"r{n}", 1.0, True))
        self.assertEqual(self.list_north(), before)
