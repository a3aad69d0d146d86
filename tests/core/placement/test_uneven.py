import unittest
from functools import partial

from anvilshift.core.placement.toldload import ToldLoad
from tests.core.placement.unevenfleet import ROUTERS, UnevenFleet, find_percentile

ENGINES = [0.6 + 1.0 * n / 69 for n in range(70)]
PLAIN = [0.6 + n / 11 for n in range(12)]
MOST = 1.25
"""A target's slots and a quarter: more must never be there at one time."""


def add_slow_moments(fleet: UnevenFleet, count: int) -> None:
    """Let one target after the other work 2.5 times as long for 400 ms."""
    names = list(fleet.targets)
    for n in range(count):
        slow = fleet.targets[names[fleet.rng.randrange(len(names))]]
        fleet.at(n * 500.0, lambda t=slow: setattr(t, "slow", 2.5))
        fleet.at(n * 500.0 + 400.0, lambda t=slow: setattr(t, "slow", 1.0))


class HerdTest(unittest.TestCase):
    def test_routers_that_know_the_fastest_engine_do_not_flood_it(self):
        """Guards against forty routers that send to the fastest engine at once."""
        for seed in range(3):
            fleet = UnevenFleet(ENGINES, 12, engines=True, seed=seed)
            fleet.learn()
            for n in range(ROUTERS):
                fleet.at(0.0, partial(fleet.arrive, n))
            fleet.load(390.0, 1.0, start=1_000.0)
            fleet.run()
            self.assertLessEqual(fleet.find_most(), MOST)

    def test_routers_that_hear_nothing_do_not_flood_the_fastest_plain_target(self):
        """Guards against a fast plain target that every router takes for idle."""
        for seed in range(5):
            fleet = UnevenFleet(PLAIN, 6, engines=False, seed=seed)
            fleet.learn()
            fleet.load(150.0, 4.0)
            fleet.run()
            self.assertLessEqual(fleet.find_most(), MOST)

    def test_few_plain_targets_with_slow_moments_are_not_flooded(self):
        """Guards against requests that pile up at a target in its slow moment."""
        fleet = UnevenFleet([0.6, 1.0, 1.0, 1.6], 6, engines=False)
        fleet.learn()
        add_slow_moments(fleet, 20)
        fleet.load(100.0, 10.0)
        fleet.run()
        self.assertLessEqual(fleet.find_most(), MOST)

    def test_targets_that_always_say_that_they_are_idle_are_not_flooded(self):
        """Guards against a told figure in the place of what is known."""
        idle = ToldLoad(0, 0, 12, 0.1)
        fleet = UnevenFleet(
            ENGINES,
            12,
            engines=True,
            tells=lambda t: idle if t.info.name == "t0" else t.tell(),
        )
        fleet.learn()
        fleet.load(390.0, 2.0)
        fleet.run()
        self.assertLessEqual(fleet.find_most(), MOST)


class SlowMomentsTest(unittest.TestCase):
    def play(self, told: bool, engines: bool, seed: int) -> list[float]:
        paces, slots = ([1.0] * 12, 12) if engines else ([1.0] * 4, 6)
        fleet = UnevenFleet(
            paces,
            slots,
            engines,
            tells=(lambda t: t.tell()) if told else (lambda t: None),
            seed=seed,
        )
        fleet.learn()
        fleet.load(200.0 if engines else 100.0, 10.0)
        add_slow_moments(fleet, 20)
        fleet.run()
        return fleet.spans

    def test_work_avoids_targets_that_tell_that_they_are_slow(self):
        """Guards against work at a target that runs 2.5 times as long for a moment."""
        for engines in (True, False):
            late = {}
            for told in (True, False):
                spans = [s for n in range(2) for s in self.play(told, engines, n)]
                late[told] = sum(spans) / len(spans)
            with self.subTest(engines=engines):
                self.assertLess(late[True], late[False])

    def test_fast_targets_get_more_of_the_work(self):
        fleet = UnevenFleet(ENGINES, 12, engines=True)
        fleet.learn()
        fleet.load(200.0, 4.0)
        fleet.run()
        slowest = sum(fleet.sent[f"t{n}"] for n in range(50, 70))
        fastest = sum(fleet.sent[f"t{n}"] for n in range(20))
        self.assertGreater(fastest, 2 * slowest)
        self.assertLess(find_percentile(fleet.spans, 0.95), 126.0 * 1.6)


if __name__ == "__main__":
    unittest.main()
