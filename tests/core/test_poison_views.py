"""Engines that a poison request crashes while routers' states differ."""

import random
import unittest

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.work import CacheEvent, DispatchSettings, Target, Work
from tests.core.test_dispatcher_poison import NAMES, POISON, Fleet

ROUTERS = 4
SEEDS = range(50)
PREFIXES = ("p1", "p2")


class DifferingFleet(Fleet):
    """Routers whose knowledge of the engines and of their caches differs.

    Parameters
    ----------
    told
        Whether the routers receive each other's crash reports; if not, each
        router is partitioned from all others.
    """

    def __init__(self, seed, told):
        super().__init__(seed, routers=ROUTERS, told=told)
        self.poison = f"{POISON} {seed}"
        for router in self.routers:
            router.set_partitioned(not told)

    def send(self, router, content):
        self.count += 1
        name = f"r{self.count}"
        work = Work(
            name,
            "org",
            "x",
            self.list_candidates(router),
            10,
            10,
            1e9,
            prefixes=PREFIXES,
            content=content,
        )
        self.take(router, self.routers[router].add_request(work, self.now))
        return name

    def list_candidates(self, router):
        return dict.fromkeys(NAMES, 0)

    def add_differing_cache_events(self):
        """Send each router one cache event, from a different engine each."""
        for router, name in zip(self.routers, NAMES, strict=False):
            router.cache_event(CacheEvent(name, 1, stored=PREFIXES), self.now)


class LateFleet(DifferingFleet):
    """A fleet whose last router doesn't have the last engine's declaration yet."""

    def __init__(self, seed, told):
        super().__init__(seed, told)
        settings = DispatchSettings(routers=ROUTERS)
        self.routers = [
            Dispatcher(settings, random.Random(seed + n)) for n in range(ROUTERS)
        ]
        engines = [Target(name, "north", 4 * ROUTERS) for name in NAMES]
        for router in self.routers:
            router.set_partitioned(not told)
            router.configure(engines[:-1], 0.0)
        for router in self.routers[:-1]:
            router.configure(engines, 0.0)

    def list_candidates(self, router):
        late = router == ROUTERS - 1
        return dict.fromkeys(NAMES[:-1] if late else NAMES, 0)


def send_at_once(fleet):
    """Send the poison request through all routers at the same instant."""
    fleet.run_poison([fleet.send(n, fleet.poison) for n in range(ROUTERS)])


def send_in_turn(fleet):
    """Send the poison request through each router in turn, five seconds apart."""
    for router in range(ROUTERS):
        fleet.run_poison([fleet.send(router, fleet.poison)])
        fleet.now += 5_000.0
        fleet.tick()


class DifferingViewsTest(unittest.TestCase):
    def count_lost(self, make, told, send=send_at_once, prepare=lambda fleet: None):
        """Return the number of engines that were lost in each seed's run."""
        lost = []
        for seed in SEEDS:
            fleet = make(seed, told)
            prepare(fleet)
            send(fleet)
            lost.append(len(set(fleet.lost)))
        return lost

    def check(self, *args, **kwargs):
        lost = self.count_lost(*args, **kwargs)
        self.assertGreaterEqual(min(lost), 1)
        self.assertLessEqual(max(lost), 2, f"engines lost in each run: {lost}")

    def test_each_router_expects_the_prefix_in_another_engines_cache(self):
        """Guards against sending to a cached prefix outside the content's homes."""
        add_events = DifferingFleet.add_differing_cache_events
        for told in (True, False):
            with self.subTest(told=told):
                self.check(DifferingFleet, told, prepare=add_events)

    def test_one_router_does_not_know_one_engine_yet(self):
        """Guards against other homes at a router without the newest declaration."""
        for told in (True, False):
            with self.subTest(told=told):
                self.check(LateFleet, told)

    def test_copies_arrive_in_turn_while_one_router_does_not_know_an_engine(self):
        """Guards against losing a third engine long after the first crash."""
        for told in (True, False):
            with self.subTest(told=told):
                self.check(LateFleet, told, send=send_in_turn)


if __name__ == "__main__":
    unittest.main()
