"""What a router measures of its host, tells the others and decides by it."""

import unittest
from dataclasses import replace

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.admission.linkuse import Traffic
from anvilshift.core.clock import ManualClock
from anvilshift.gateway.datagrams import compress, decode, encode
from anvilshift.gateway.hostload import HostLoad
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.messages import Ended
from anvilshift.gateway.peers import Peers
from tests.gateway.silent import SilentJournal
from tests.gateway.test_peers import RecordingTransport, make_beat

MEGABIT = 125_000


class HostLoadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.peers = Peers("10.0.0.200", 7000, "north", self.clock, SilentJournal())
        self.transport = RecordingTransport()
        self.peers._transport = self.transport
        self.sent = 0
        self.load = self.make(HostLimits(link=10.0))
        beat = make_beat(1)
        self.peers.datagram_received(encode(beat), (beat.ip, 7000))

    def make(self, limits: HostLimits) -> HostLoad:
        return HostLoad(
            "own",
            limits,
            self.peers,
            self.clock,
            SilentJournal(),
            lambda: (Traffic(datagram_bytes=self.sent), Traffic()),
        )

    def send(self, megabits: float, seconds: float) -> None:
        """Send at a rate for some seconds."""
        for _ in range(round(10 * seconds)):
            self.clock.advance(100.0)
            self.sent += round(megabits * MEGABIT / 10)
            self.load.run_checks(self.clock.now())
            self.keep_present()

    def keep_present(self) -> None:
        self.peers.routers["r1"].heard = self.clock.now()

    def list_told(self) -> list[RouterLoad]:
        messages = [decode(data)[0] for _, data in self.transport.sent]
        return [one for one in messages if isinstance(one, RouterLoad)]

    def test_full_link_is_told_until_there_is_room(self):
        self.send(11.0, seconds=3)
        self.assertTrue(self.list_told()[-1].is_full)
        self.assertEqual(self.load.list_full(), {"own"})
        self.assertTrue(self.peers.batching.is_compact)
        self.send(1.0, seconds=8)
        self.assertFalse(self.list_told()[-1].is_full)
        self.assertEqual(self.load.list_full(), set())
        self.assertFalse(self.peers.batching.is_compact)

    def test_router_that_runs_out_of_descriptors_turns_callers_away(self):
        self.load = self.make(HostLimits(descriptors=1_000))
        self.load.count_sockets = lambda: 950
        self.send(1.0, seconds=3)
        self.assertIn(False, [self.load.takes_connection() for _ in range(20)])
        self.load.count_sockets = lambda: 500
        self.send(1.0, seconds=8)
        self.assertTrue(all(self.load.takes_connection() for _ in range(20)))

    def test_one_long_turn_of_the_loop_turns_nobody_away(self):
        """Guards against callers turned away after a suspension that is over."""
        self.send(1.0, seconds=1)
        self.clock.advance(5_000.0)
        self.send(1.0, seconds=1)
        self.assertTrue(all(self.load.takes_connection() for _ in range(20)))

    def test_loop_that_is_late_turn_after_turn_turns_callers_away(self):
        for _ in range(20):
            self.clock.advance(600.0)
            self.load.run_checks(self.clock.now())
            self.keep_present()
        self.assertIn(False, [self.load.takes_connection() for _ in range(20)])

    def test_without_limits_nothing_is_measured_or_told(self):
        self.load = self.make(HostLimits())
        before = len(self.transport.sent)
        self.send(1_000.0, seconds=3)
        self.assertTrue(self.load.takes_connection())
        self.assertEqual(len(self.transport.sent), before)
        self.assertEqual(self.load.list_gauges(), {})

    def test_full_router_is_known_near_it_though_its_link_loses_seconds_of_news(self):
        """Guards against a full router that is named while its link loses its news."""
        beat = replace(make_beat(1), failure_domain="north")
        self.peers.datagram_received(encode(beat), (beat.ip, 7000))
        near = self.make(HostLimits(link=10.0))
        self.send(11.0, seconds=3)
        near.apply(self.list_told()[-1])
        for _ in range(20):
            for span, is_lost in ((2.0, True), (0.3, False)):
                before = len(self.list_told())
                self.send(11.0, span)
                for load in [] if is_lost else self.list_told()[before:]:
                    near.apply(load)
                self.assertEqual(near.list_full(), {"own"})

    def test_full_link_refuses_callers_while_others_have_room(self):
        """Guards against callers that wait for seconds behind a full link."""
        asked: list[bool] = []
        self.load.set_listening = asked.append
        self.send(11.0, seconds=5)
        self.assertLess(sum(asked[-20:]), 5)
        self.load.apply(RouterLoad("r1", 1.1, True))
        self.send(11.0, seconds=1)
        self.assertTrue(all(asked[-10:]))
        self.send(1.0, seconds=8)
        self.assertTrue(all(asked[-10:]))

    def test_router_that_hears_no_other_refuses_nobody(self):
        """Guards against callers of a lone router that find none at all."""
        asked: list[bool] = []
        self.load.set_listening = asked.append
        self.peers.routers.clear()
        self.keep_present = lambda: None
        self.send(11.0, seconds=5)
        self.assertTrue(all(asked))

    def test_old_news_of_a_full_router_ends(self):
        """Guards against a router left out for good after it was killed while full."""
        self.load.apply(RouterLoad("r1", 1.1, True))
        self.assertEqual(self.load.list_full(), {"r1"})
        self.clock.advance(3_001.0)
        self.assertEqual(self.load.list_full(), set())


class CompactNewsTest(unittest.TestCase):
    def test_news_is_compressed_for_builds_that_read_it(self):
        """Guards against news that an older build can't read."""
        clock = ManualClock()
        peers = Peers("10.0.0.200", 7000, "north", clock, SilentJournal())
        peers._transport = transport = RecordingTransport()
        for n in (1, 2):
            beat = make_beat(n)
            peers.datagram_received(encode(beat), (beat.ip, 7000))
        peers.compact.add("r1")
        transport.sent.clear()
        ended = [Ended(f"own.1/{n}", "e1") for n in range(40)]
        lines = [encode(one) for one in ended]
        peers.batching = type(peers.batching)(is_compact=True)
        peers._waiting = {frozenset(): lines}
        peers._flush()
        lengths = {ip: len(data) for ip, data in transport.sent}
        self.assertLess(lengths["10.0.0.1"] * 3, lengths["10.0.0.2"])
        self.assertEqual(
            [one for line in compress(lines) for one in decode(line)], ended
        )

    def test_compressed_datagram_that_is_cut_off_is_an_error(self):
        [packed] = compress([encode(Ended("own.1/1", "e1"))] * 50)
        with self.assertRaises(ValueError):
            decode(packed[:-6])
        with self.assertRaises(ValueError):
            decode(b"\x01garbage")
