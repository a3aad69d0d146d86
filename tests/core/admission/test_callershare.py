"""Which new connections a full router takes, under callers that prefer it."""

import itertools
import random
import unittest

from anvilshift.core.admission.callershare import (
    FULL,
    CallerShare,
    ResourceUse,
)
from anvilshift.core.admission.linkuse import LinkUse, Traffic
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.endpoints import Endpoint, choose_endpoints

ROUTERS = 10
ROOM = 100.0
"""Requests per second that each router carries."""
REQUEST_BYTES = 10_000
TICK: Millis = 100.0


class PreferredRouterPlay:
    """Callers of which many prefer one router, and leave it out once it closed on them.

    Parameters
    ----------
    demand
        Requests per second of all callers.
    preferred
        Part of them that connects to the first router as long as that takes it.
    """

    def __init__(self, demand: float, preferred: float) -> None:
        self.routers = [CallerShare() for _ in range(ROUTERS)]
        self.links = [
            LinkUse(rate=ROOM * REQUEST_BYTES * 8 / 1e6) for _ in range(ROUTERS)
        ]
        self.sent = [Traffic() for _ in range(ROUTERS)]
        self.demand, self.preferred = demand, preferred
        self.rng = random.Random(1)
        self.now: Millis = 0.0
        self.uses: list[list[float]] = []
        self.refused = 0

    def run(self, span: Millis) -> None:
        """Let callers connect for a time; loads of the last tick are kept."""
        end = self.now + span
        while self.now < end:
            self.now += TICK
            loads = [0] * ROUTERS
            for _ in range(round(self.demand * TICK / SECOND)):
                self.connect(loads)
            uses = [load * SECOND / TICK / ROOM for load in loads]
            self.uses.append(uses)
            for n, load in enumerate(loads):
                self.sent[n] += Traffic(datagram_bytes=load * REQUEST_BYTES)
                self.links[n].update(self.sent[n], Traffic(), self.now)
                self.routers[n].update(ResourceUse(memory=self.links[n].sent), self.now)

    def connect(self, loads: list[int]) -> None:
        first = 0
        if self.rng.random() >= self.preferred:
            first = self.rng.randrange(ROUTERS)
        second = self.rng.choice([n for n in range(ROUTERS) if n != first])
        for n in (first, second):
            if self.routers[n].take(self.now):
                loads[n] += 1
                return
        self.refused += 1

    def find_use(self, router: int, span: Millis) -> float:
        """Return the mean use of a router in the last while."""
        last = self.uses[-round(span / TICK) :]
        return sum(uses[router] for uses in last) / len(last)


class CallerShareTest(unittest.TestCase):
    def test_callers_that_prefer_one_router_are_spread(self):
        """Guards against one full router among idle neighbours."""
        play = PreferredRouterPlay(demand=400.0, preferred=0.5)
        play.run(3 * SECOND)
        play.refused = 0
        play.run(10 * SECOND)
        self.assertLess(play.find_use(0, 10 * SECOND), 1.0)
        self.assertGreater(play.find_use(0, 10 * SECOND), 0.5)
        self.assertEqual(play.refused, 0)

    def test_all_are_taken_again_once_demand_has_fallen(self):
        play = PreferredRouterPlay(demand=400.0, preferred=0.5)
        play.run(5 * SECOND)
        play.demand = 50.0
        play.run(5 * SECOND)
        self.assertTrue(all(one.share == 1.0 for one in play.routers))

    def test_router_that_stays_full_takes_some_each_second(self):
        """Guards against a router that is ready and takes no one."""
        callers = CallerShare()
        taken = []
        for tick in range(600):
            now = tick * 50.0
            callers.update(ResourceUse(memory=1.5), now)
            if callers.take(now):
                taken.append(now)
        gaps = [after - before for before, after in itertools.pairwise(taken)]
        self.assertLessEqual(max(gaps), 1_000.0)

    def test_any_resource_makes_a_router_full(self):
        for use in (
            ResourceUse(link=FULL),
            ResourceUse(memory=FULL),
            ResourceUse(descriptors=FULL),
            ResourceUse(late=360.0),
        ):
            callers = CallerShare()
            callers.update(use, now=0.0)
            self.assertTrue(callers.is_full, use)

    def test_full_link_turns_nobody_away(self):
        """Guards against callers that are cut off, though their requests only wait.

        Their requests are on the link by then, and many of them have one try more.
        """
        callers = CallerShare()
        for tick in range(100):
            callers.update(ResourceUse(link=1.2), tick * 100.0)
        self.assertTrue(callers.is_full)
        self.assertTrue(all(callers.take(10_000.0) for _ in range(100)))
        self.assertTrue(callers.keep())

    def test_connections_of_a_router_that_runs_out_end_with_their_answers(self):
        callers = CallerShare()
        callers.update(ResourceUse(descriptors=0.95), now=0.0)
        self.assertFalse(callers.keep())

    def test_use_between_the_bounds_changes_nothing(self):
        callers = CallerShare()
        callers.update(ResourceUse(memory=0.85), now=0.0)
        self.assertFalse(callers.is_full)
        callers.update(ResourceUse(memory=1.0), now=500.0)
        callers.update(ResourceUse(memory=0.85), now=1_000.0)
        self.assertTrue(callers.is_full)
        self.assertAlmostEqual(callers.share, 0.7)


class FullRouterListTest(unittest.TestCase):
    def make(self, domain: str, full: int, roomy: int) -> list[Endpoint]:
        return [
            Endpoint(f"{domain}-{n}", domain, n < full) for n in range(full + roomy)
        ]

    def test_full_router_is_not_named_beside_roomy_ones(self):
        routers = self.make("north", 1, 9) + self.make("south", 0, 10)
        self.assertEqual(
            choose_endpoints(routers, "north"),
            tuple(f"north-{n}" for n in range(1, 10)),
        )

    def test_callers_of_a_full_domain_are_told_of_others(self):
        routers = self.make("north", 10, 0) + self.make("south", 0, 10)
        chosen = choose_endpoints(routers, "north", is_far=True)
        self.assertEqual(chosen, tuple(f"south-{n}" for n in range(10)))

    def test_in_a_full_fleet_the_near_ones_are_named(self):
        """Guards against an empty list, and against crossing domains for nothing."""
        routers = self.make("north", 9, 1) + self.make("south", 9, 1)
        chosen = choose_endpoints(routers, "north", is_far=True)
        self.assertEqual(len(chosen), 10)
        self.assertTrue(all(one.startswith("north") for one in chosen))
