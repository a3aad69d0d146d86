"""How one router learns that targets are cold, and when it believes it no more."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from anvilshift.core.health.coldtargets import ColdBounds, ColdNeeds, find_permit_rate
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.routing import Service
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.coldmessages import TargetCold
from anvilshift.gateway.coldtargets import ColdTargets
from anvilshift.gateway.datagrams import decode, encode
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.messages import SentBefore
from anvilshift.gateway.outgoing import AttemptError
from anvilshift.standins.virtual import VirtualClock
from tests.gateway.silent import SilentJournal

SERVICE = Service("llm", 64, cold=ColdNeeds(7.0, 3_000.0))


BOUNDS = ColdBounds(1.5, 5.0)


class PeersFake:
    """Keeps the messages to other routers."""

    small = False
    addresses: frozenset[str] = frozenset()
    routers: dict[str, object] = {}

    def __init__(self) -> None:
        self.messages: list[object] = []

    def broadcast(self, message) -> None:
        self.messages.append(message)

    def send(self, message, ip: str) -> None:
        self.messages.append(message)

    def list_present(self) -> list[object]:
        return []


class HandClock(VirtualClock):
    """A clock that stands where it is set."""

    time = 0.0

    def now(self) -> float:
        return self.time


class NewsTest(unittest.TestCase):
    def setUp(self):
        self.clock, self.peers = HandClock(), PeersFake()
        self.confirmed = -1e12
        self.loads = LoadMap()
        limits = RateLimits(
            "r1", "r1.0", self.loads, self.peers, self.clock, SilentJournal()
        )
        self.cold = ColdTargets(
            limits, self.clock, SilentJournal(), ColdBounds(1.5, 5.0)
        )
        self.cold.configure([SERVICE])
        self.cold.find_confirmed = lambda: self.confirmed

    def read(self, name="e1", left=0.0, **rest) -> None:
        until = self.clock.now() + left if left else float("-inf")
        info = TargetInfo(name, "llm", "10.0.0.1:80", "north", 8, cold_until=until)
        info = TargetInfo(**{**vars(info), "born": 1, **rest})
        self.loads.declare(info)
        self.cold.apply_entry(info)

    def find_left(self, name="e1") -> float:
        return self.cold.find_left(self.loads.targets[name])

    def wait(self, span: float) -> None:
        self.clock.time += span
        self.cold.run_checks(self.clock.time)

    def test_an_entry_says_how_long_and_the_others_are_told_once(self):
        self.read(left=2_000.0)
        self.assertEqual(self.find_left(), 2_000.0)
        self.wait(100.0)
        self.read(left=1_950.0)
        self.assertEqual(self.peers.messages, [TargetCold("e1", 1, 2_000.0)])
        self.wait(1_950.0)
        self.assertEqual(self.find_left(), 0.0)

    def test_a_target_that_becomes_cold_again_is_told_again(self):
        """Guards against routers that know only of the first time."""
        self.read(left=2_000.0)
        self.wait(1_500.0)
        self.read(left=3_000.0)
        self.assertEqual(len(self.peers.messages), 2)
        self.assertEqual(self.find_left(), 3_000.0)

    def test_a_message_of_a_newer_start_counts(self):
        """Guards against sending to a start whose entry hasn't been read yet."""
        self.read()
        self.cold.apply_message(TargetCold("e1", 2, 3_000.0))
        self.assertEqual(self.find_left(), 3_000.0)
        self.wait(500.0)
        self.read(born=2)
        self.assertEqual(self.find_left(), 2_500.0)

    def test_a_message_of_an_older_start_is_ignored(self):
        self.read(born=3)
        self.cold.apply_message(TargetCold("e1", 2, 3_000.0))
        self.assertEqual(self.find_left(), 0.0)

    def test_a_message_may_come_before_the_entry(self):
        self.cold.apply_message(TargetCold("e1", 1, 3_000.0))
        self.read()
        self.assertEqual(self.find_left(), 3_000.0)

    def test_an_entry_may_come_before_the_configuration(self):
        """Guards against a router that starts and sends to targets it read as cold."""
        self.cold.configure([replace(SERVICE, cold=None)])
        self.read(left=2_000.0)
        self.assertEqual(self.find_left(), 0.0)
        self.cold.configure([SERVICE])
        self.assertEqual(self.find_left(), 2_000.0)

    def test_an_ask_for_a_permit_tells_its_issuer(self):
        self.read()
        self.cold.apply_ask("e1", 1_000.0)
        self.assertEqual(self.find_left(), 1_000.0)
        self.cold.apply_ask("e1", 0.0)
        self.assertEqual(self.find_left(), 1_000.0)

    def test_a_new_router_is_told(self):
        self.read(left=2_000.0)
        self.peers.messages.clear()
        self.wait(500.0)
        self.cold.tell_new_router("10.0.0.9")
        self.assertEqual(self.peers.messages, [TargetCold("e1", 1, 1_500.0)])

    def test_the_issuer_is_told_what_was_sent_before(self):
        """Guards against permits beside a second's worth of earlier requests."""
        self.cold.limits.update_routers({"r1", "r2"}, ())
        beat = SimpleNamespace(ip="10.0.0.2")
        self.peers.routers = {"r2": SimpleNamespace(beat=beat)}
        names = [f"e{n}" for n in range(20)]
        name = next(n for n in names if self.cold.limits.find_issuer(n) == "r2")
        self.read(name)
        self.loads.send(name, "r1.0/1", Prompt(), 0, self.clock.now(), 0)
        self.clock.time += 300.0
        self.read(name, left=2_000.0)
        expected = SentBefore(name, 1, (("r1.0/1", 300.0),))
        self.assertIn(expected, self.peers.messages)

    def test_a_message_survives_its_way(self):
        message = TargetCold("e1", 7, 1_500.0)
        self.assertEqual(decode(encode(message)), [message])

    def test_targets_of_a_domain_are_presumed_cold_for_their_cold_time(self):
        self.read()
        self.read("e2", failure_domain="south")
        self.cold.presume_cold("north")
        self.assertEqual((self.find_left(), self.find_left("e2")), (3_000.0, 0.0))
        self.confirmed = -1.0
        self.wait(2_999.0)
        self.assertEqual(self.find_left(), 1.0)
        self.wait(1.0)
        self.assertEqual(self.find_left(), 0.0)

    def test_an_entry_read_late_enough_ends_a_presumption(self):
        """Guards against targets that are spared although they are warm."""
        self.read()
        self.cold.presume_cold("north")
        self.confirmed = 999.0
        self.wait(1_000.0)
        self.assertEqual(self.find_left(), 2_000.0)
        self.confirmed = 1_000.0
        self.wait(1.0)
        self.assertEqual(self.find_left(), 0.0)

    def test_the_end_of_a_presumption_keeps_what_the_target_said(self):
        self.read(left=2_000.0)
        self.cold.presume_cold("north")
        self.assertEqual(self.find_left(), 3_000.0)
        self.confirmed = 1_200.0
        self.wait(1_200.0)
        self.assertEqual(self.find_left(), 800.0)

    def test_a_target_that_accepts_no_connection_is_presumed_cold_until_it_does(self):
        """Guards against a return that no entry tells of, as the store is down."""
        self.read()
        target = self.loads.targets["e1"]
        self.cold.record_unreachable(target)
        self.wait(5_000.0)
        self.assertEqual(self.find_left(), 3_000.0)
        self.cold.record_reached(target)
        self.wait(2_999.0)
        self.assertEqual(self.find_left(), 1.0)
        self.cold.record_reached(target)
        self.wait(1.0)
        self.assertEqual(self.find_left(), 0.0)

    def test_a_target_that_is_not_tried_again_is_presumed_cold_for_a_while(self):
        self.read()
        self.cold.record_unreachable(self.loads.targets["e1"])
        self.wait(10_001.0)
        self.assertEqual(self.find_left(), 0.0)

    def test_services_without_a_cold_rate_are_never_limited(self):
        """Guards against a change for earlier deployments."""
        self.cold.configure([replace(SERVICE, cold=None)])
        self.read(left=2_000.0)
        self.cold.apply_message(TargetCold("e1", 1, 2_000.0))
        self.cold.presume_cold("north")
        target = self.loads.targets["e1"]
        self.assertIsNone(target.find_rate(self.clock.now()))
        self.assertEqual(self.cold.list_gauges(), {})
        self.assertEqual(self.peers.messages, [])

    def test_attempt_without_a_fresh_permit_is_turned_back(self):
        self.read()
        target = self.loads.targets["e1"]
        self.cold.check_permit(target, "r1/1")
        self.read(left=2_000.0)
        with self.assertRaises(AttemptError) as caught:
            self.cold.check_permit(target, "r1/1")
        self.assertTrue(caught.exception.never_ran)
        self.cold.record_permit("r1/2")
        self.clock.time += 150.0
        self.cold.check_permit(target, "r1/2")
        self.clock.time += 1.0
        with self.assertRaises(AttemptError):
            self.cold.check_permit(target, "r1/2")

    def test_a_separate_group_issues_its_part_of_the_rate(self):
        """Guards against four groups that use the whole rate each."""
        self.read(left=2_000.0)
        target, known = self.loads.targets["e1"], {f"10.0.0.{n}" for n in range(27)}
        group = {f"10.0.0.{n}" for n in range(6)}
        self.cold.view.update(group, known, set(), 0.0, interval=500.0)
        rate = self.cold.find_rate(target, None)
        self.assertAlmostEqual(rate or 0.0, find_permit_rate(7.0, BOUNDS) / 4)
        self.assertEqual(self.cold.find_rate(target, 0.5), 0.5)

    def test_the_gauge_counts_cold_targets(self):
        self.read(left=2_000.0)
        self.read("e2")
        self.assertEqual(self.cold.list_gauges(), {"anvilshift_cold_targets": 1})


if __name__ == "__main__":
    unittest.main()
