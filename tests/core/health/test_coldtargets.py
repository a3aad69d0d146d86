"""What a cold target is sent, by hand-worked figures."""

import math
import random
import unittest

from anvilshift.core.choosing import Choice, Demand, choose_engine
from anvilshift.core.clock import SECOND
from anvilshift.core.health.coldtargets import (
    PERMIT_LIFETIME,
    ColdBounds,
    ColdTerm,
    SteadyView,
    find_end,
    find_next,
    find_permit_rate,
)
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.permits import Bid, BidState, PermitQueue
from anvilshift.core.ratelimits import RateLimit, RequestLog
from anvilshift.core.targetload import Prompt, TargetInfo

BOUNDS = ColdBounds(1.5, 5.0)
MINUTE = 60 * SECOND
FLEET = {f"10.0.0.{n}" for n in range(27)}
"""Addresses of the other routers of a fleet of 28."""


class RateTest(unittest.TestCase):
    """Load: two issuers press a cold target at once, since their views differ."""

    def test_permits_of_two_issuers_stay_below_the_bound(self):
        """Guards against a hand-over that doubles what a cold target gets."""
        for rate in (2.0, 4.0, 7.0, 20.0, 100.0):
            with self.subTest(rate=rate):
                issued = find_permit_rate(rate, BOUNDS)
                span = (SECOND + PERMIT_LIFETIME) / SECOND
                most = math.floor(issued * span) + 1
                self.assertLessEqual(2 * most, BOUNDS.find_most(rate))

    def test_a_single_issuer_uses_most_of_the_rate(self):
        for rate in (2.0, 4.0, 7.0):
            with self.subTest(rate=rate):
                self.assertGreaterEqual(find_permit_rate(rate, BOUNDS), 0.7 * rate)

    def test_a_tight_bound_leaves_one_request_in_ten_seconds(self):
        """Guards against a rate of nothing, by which a target would be lost."""
        self.assertEqual(find_permit_rate(0.0, ColdBounds(1.0, 0.0)), 0.1)


class PaceTest(unittest.TestCase):
    """Load: a target got thirty requests a second until it became cold."""

    def test_no_second_holds_more_than_the_rate(self):
        sends = [1_000.0 - 33.0 * n for n in range(30)]
        now = 1_000.0
        due = find_next(sends, 5.0, now)
        # The fifth latest was sent at 868: a second later four are left in a second.
        self.assertEqual(due, 1_868.0)

    def test_permits_are_evenly_spaced_without_a_burst(self):
        """Guards against the tolerance that a limit has, which is four at once here."""
        meter = RequestLog()
        meter.cold_until = 10_000.0
        queue, granted = PermitQueue(meter), []
        for now in range(0, 4_000, 10):
            bid = Bid(f"r1/{now}", "pounds", 1, now, now + 1.0, now)
            if queue.ask(bid, 5.0, float(now)).state is BidState.GRANTED:
                granted.append(now)
        self.assertEqual(granted[:4], [0, 200, 400, 600])
        self.assertEqual(len(granted), 20)

    def test_a_permit_that_was_not_heard_of_expires(self):
        """Guards against an old permit that is used beside newer ones."""
        meter = RequestLog()
        meter.cold_until = 10_000.0
        queue = PermitQueue(meter)
        bid = Bid("r1/1", "pounds", 1, 0.0, 5_000.0, 0.0)
        self.assertIs(queue.ask(bid, 5.0, 0.0).state, BidState.GRANTED)
        self.assertIs(queue.ask(bid, 5.0, 100.0).state, BidState.GRANTED)
        other = Bid("r1/2", "pounds", 1, 0.0, 5_000.0, 0.0)
        self.assertIs(queue.ask(other, 5.0, 210.0).state, BidState.GRANTED)
        self.assertIs(queue.ask(bid, 5.0, 220.0).state, BidState.QUEUED)

    def test_a_queue_that_is_held_grants_nothing(self):
        queue = PermitQueue(RequestLog())
        queue.held_until = 900.0
        bid = Bid("r1/1", "pounds", 1, 0.0, 500.0, 0.0)
        verdict = queue.ask(bid, 5.0, 0.0)
        self.assertEqual((verdict.state, verdict.wait), (BidState.REFUSED, 900.0))


class TermTest(unittest.TestCase):
    def test_the_lower_of_two_limits_holds(self):
        loads = LoadMap()
        loads.declare(TargetInfo("e1", "llm", "10.0.0.1:80", "north", 8))
        target = loads.targets["e1"]
        target.limit = RateLimit(3.0, heard=0.0)
        target.set_cold(ColdTerm(5.0, until=1_000.0))
        self.assertEqual(target.find_rate(500.0), 3.0)
        target.limit = RateLimit(8.0, heard=0.0)
        self.assertEqual(target.find_rate(500.0), 5.0)
        self.assertEqual(target.find_rate(1_000.0), 8.0)

    def test_a_target_whose_entry_is_lost_stays_cold(self):
        """Guards against an outage of the store that ends a cold time."""
        loads = LoadMap()
        info = TargetInfo("e1", "llm", "10.0.0.1:80", "north", 8)
        loads.declare(info)
        loads.targets["e1"].set_cold(ColdTerm(5.0, until=1_000.0))
        loads.remove("e1", now=100.0)
        loads.declare(info)
        self.assertTrue(loads.targets["e1"].is_cold(200.0))
        self.assertEqual(loads.targets["e1"].meter.cold_until, 1_000.0)

    def test_an_absurd_time_ends_within_a_minute(self):
        for left in (math.inf, math.nan, 1e18, -1.0):
            with self.subTest(left=left):
                self.assertEqual(find_end(left, 0.0), MINUTE)


class PlacementTest(unittest.TestCase):
    """Load: a popular prompt's engine is busy, and an idle one has just returned."""

    def choose(self, is_cold: bool) -> Choice:
        loads = LoadMap()
        for name in ("busy", "idle"):
            info = TargetInfo(name, "llm", "10.0.0.1:80", "north", 8, version="v1")
            loads.declare(info)
        prompt = Prompt((("a", 9_000), ("b", 10)), 9_010, 50)
        loads.hold("busy", prompt.parts[:1], 100_000)
        other = Prompt((("c", 20_000),), 20_000, 50)
        loads.send("busy", "r1/1", other, 0, now=0.0, capacity=100_000)
        if is_cold:
            loads.targets["idle"].set_cold(ColdTerm(5.0, until=3_000.0))
        demand = Demand("llm", prompt, 100_000, "north", 500.0, fetch_per_token=0.001)
        choice = choose_engine(loads, demand, 0.0, random.Random(1))
        assert choice is not None
        return choice

    def test_no_prompt_is_fetched_to_a_cold_target(self):
        """Guards against a heap of transfers to all engines that have just returned."""
        self.assertEqual(self.choose(is_cold=True).cached, 0)
        self.assertIsNone(self.choose(is_cold=True).fetch_from)

    def test_a_warm_target_still_fetches(self):
        fetch_from = self.choose(is_cold=False).fetch_from
        self.assertEqual(fetch_from.info.name if fetch_from else None, "busy")


class ViewTest(unittest.TestCase):
    """Load: callers press a cold target at routers that don't see each other."""

    def make_view(self, present=FLEET, now=0.0) -> SteadyView:
        view = SteadyView(now)
        view.update(present, FLEET, set(), now, interval=500.0)
        return view

    def find_opening(self, view: SteadyView, now: float) -> float:
        return view.find_opening(now, math.inf)

    def test_nothing_is_issued_before_the_first_look_at_the_others(self):
        self.assertEqual(SteadyView(0.0).find_opening(0.0, 3_000.0), 3_000.0)

    def test_a_view_is_steady_two_heartbeat_intervals_after_the_start(self):
        self.assertEqual(self.find_opening(self.make_view(), 0.0), 1_000.0)

    def test_a_view_that_grows_by_several_routers_begins_again(self):
        """Guards against a lone router that issues as soon as it sees a second one."""
        view = self.make_view({"10.0.0.1"})
        view.update(FLEET, FLEET, set(), 5_000.0, interval=500.0)
        self.assertEqual(self.find_opening(view, 5_000.0), 6_000.0)

    def test_routers_that_appear_one_by_one_begin_it_again_as_well(self):
        view, seen = self.make_view(set()), set()
        for number, name in enumerate(sorted(FLEET)):
            seen.add(name)
            view.update(seen, FLEET, set(), 5_000.0 + 100.0 * number, interval=500.0)
        self.assertEqual(self.find_opening(view, 7_600.0), 8_600.0)

    def test_one_router_that_returns_stops_nobody(self):
        """Guards against a rolling restart that stops all permits for its length."""
        view = self.make_view(FLEET - {"10.0.0.1"})
        view.update(FLEET, FLEET, set(), 9_000.0, interval=500.0)
        self.assertEqual(self.find_opening(view, 9_000.0), 1_000.0)

    def test_a_router_that_sees_none_of_the_others_sends_nothing(self):
        view = self.make_view(set())
        self.assertEqual(view.find_part(0.0), 0.0)
        self.assertEqual(view.find_opening(9_000.0, 12_000.0), 12_000.0)
        self.assertEqual(view.find_part(60 * MINUTE), 0.0)

    def test_a_single_configured_router_is_served(self):
        view = SteadyView(0.0)
        view.update(set(), set(), set(), 0.0, interval=150.0)
        self.assertEqual(view.find_part(0.0), 1.0)
        self.assertEqual(self.find_opening(view, 0.0), 300.0)

    def test_halves_use_their_part_for_longer_than_a_minute(self):
        """Guards against two whole rates from the second minute of a partition on."""
        half = {f"10.0.0.{n}" for n in range(13)}
        view = self.make_view(half)
        self.assertEqual(view.find_part(0.0), 0.5)
        self.assertEqual(view.find_part(2 * MINUTE), 0.5)

    def test_a_small_group_sends_nothing(self):
        """Guards against fourteen pairs that each send one request in a second."""
        view = self.make_view({"10.0.0.1"})
        self.assertEqual(view.find_part(0.0), 0.0)

    def test_a_router_that_stopped_as_planned_is_not_missed(self):
        view = self.make_view()
        view.update(FLEET, FLEET, {"10.0.0.1"}, 1_000.0, interval=500.0)
        view.update(FLEET - {"10.0.0.1"}, FLEET, set(), 2_000.0, interval=500.0)
        self.assertEqual(view.find_part(2_000.0), 1.0)

    def test_a_suspended_router_looks_anew(self):
        view = self.make_view()
        view.restart(8_000.0)
        self.assertEqual(self.find_opening(view, 8_000.0), 9_000.0)


if __name__ == "__main__":
    unittest.main()
