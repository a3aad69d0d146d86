"""What one content may cost where routers know different things."""

import random
import unittest

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.work import CacheEvent, DispatchSettings, Target, Work
from tests.core.test_dispatcher_poison import NAMES, POISON, Fleet

ROUTERS = 4
SEEDS = range(50)
PREFIXES = ("p1", "p2")


class DifferingFleet(Fleet):
    """Routers that don't know the same of the engines and of their caches.

    Parameters
    ----------
    told
        Whether the routers hear each other's news; if not, all are cut off.
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
        self.take(router, self.routers[router].arrive(work, self.now))
        return name

    def list_candidates(self, router):
        return dict.fromkeys(NAMES, 0)

    def let_each_believe_another_holder(self):
        """Let each router hear one cache event, of an engine of its own."""
        for router, name in zip(self.routers, NAMES, strict=False):
            router.cache_event(CacheEvent(name, 1, stored=PREFIXES), self.now)


class LateFleet(DifferingFleet):
    """The last router has not heard yet that the last engine was declared."""

    def __init__(self, seed, told):
        super().__init__(seed, told)
        figures = DispatchSettings(routers=ROUTERS)
        self.routers = [
            Dispatcher(figures, random.Random(seed + n)) for n in range(ROUTERS)
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
    """Send the poison through all routers at one instant."""
    fleet.run_poison([fleet.send(n, fleet.poison) for n in range(ROUTERS)])


def send_in_turn(fleet):
    """Send the poison through one router after the other, five seconds apart."""
    for router in range(ROUTERS):
        fleet.run_poison([fleet.send(router, fleet.poison)])
        fleet.now += 5_000.0
        fleet.tick()


class DifferingViewsTest(unittest.TestCase):
    def count_lost(self, make, told, send=send_at_once, prepare=lambda fleet: None):
        """Return how many engines each seed's run lost."""
        lost = []
        for seed in SEEDS:
            fleet = make(seed, told)
            prepare(fleet)
            send(fleet)
            lost.append(len(set(fleet.lost)))
        return lost

    def check(self, *rest, **named):
        lost = self.count_lost(*rest, **named)
        self.assertGreaterEqual(min(lost), 1)
        self.assertLessEqual(max(lost), 2, f"engines lost a run: {lost}")

    def test_each_router_believes_another_engine_to_hold_the_prefix(self):
        """Guards against a holder of the prefix beside the content's own two."""
        believe = DifferingFleet.let_each_believe_another_holder
        for told in (True, False):
            with self.subTest(told=told):
                self.check(DifferingFleet, told, prepare=believe)

    def test_one_router_does_not_know_one_engine_yet(self):
        """Guards against another order of engines where one is not declared yet."""
        for told in (True, False):
            with self.subTest(told=told):
                self.check(LateFleet, told)

    def test_copies_one_after_the_other_where_an_engine_is_not_known(self):
        """Guards against a third engine lost long after the first crash."""
        for told in (True, False):
            with self.subTest(told=told):
                self.check(LateFleet, told, send=send_in_turn)


if __name__ == "__main__":
    unittest.main()
