"""Relocation of work whose homes are out of use, once all routers agree."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import NO_ENGINE
from anvilshift.core.homes import choose_homes
from anvilshift.core.work import Ask, DispatchSettings, Target
from tests.core.test_dispatcher_poison import NAMES, POISON, Fleet

HOMES = choose_homes("c", dict.fromkeys(NAMES, "north"))


class AskingFleet(Fleet):
    """Routers that ask each other for agreement, over links that may be cut."""

    def __init__(self, seed, routers=3, told=True):
        super().__init__(seed, routers, told)
        dispatch_settings = DispatchSettings(routers=routers, asks=True)
        self.routers = [
            Dispatcher(dispatch_settings, random.Random(seed + n))
            for n in range(routers)
        ]
        for router in self.routers:
            router.configure([Target(n, "north", 4 * routers) for n in NAMES], 0.0)
        self.homes = choose_homes(POISON, dict.fromkeys(NAMES, "north"))
        self.cut = set()
        self.outcome_loss = 0.0
        self.asked = []

    def take(self, router, actions):
        super().take(router, [a for a in actions if not isinstance(a, Ask)])
        self.asked += [(router, a) for a in actions if isinstance(a, Ask)]

    def tell(self, source, news):
        for n, router in enumerate(self.routers):
            if n != source and frozenset((n, source)) not in self.cut:
                router.crashed(news.content, news.target, self.now, times=news.times)

    def answer_all(self):
        """Answer all pending questions, one round trip after the other."""
        while self.asked:
            source, ask = self.asked.pop(0)
            others = [n for n in range(len(self.routers)) if n != source]
            reachable = [n for n in others if frozenset((n, source)) not in self.cut]
            prepared = [self.routers[n].prepare(ask, self.now) for n in reachable]
            agreed = all(prepared) and reachable == others
            self.settle(source, ask, agreed)
            for n in reachable:
                if self.rng.random() >= self.outcome_loss:
                    self.settle(n, ask, agreed)

    def settle(self, router, ask, agreed):
        self.take(router, self.routers[router].finish_relocation(ask, agreed, self.now))

    def take_down(self, target):
        for n, router in enumerate(self.routers):
            self.take(n, router.leaving(target, self.now))

    def bring_back(self, target):
        for n, router in enumerate(self.routers):
            self.take(n, router.staying(target, self.now))


class RelocationTest(unittest.TestCase):
    def make_fleet(self, down=HOMES):
        fleet = AskingFleet(1)
        fleet.now = 100_000.0
        for target in down:
            fleet.take_down(target)
        return fleet

    def test_work_whose_homes_are_out_runs_elsewhere_once_all_routers_agree(self):
        """Guards against refusing harmless work as long as two engines are down."""
        fleet = self.make_fleet()
        name = fleet.send(0, "c")
        self.assertNotIn(name, fleet.running)
        fleet.answer_all()
        self.assertNotIn(fleet.running[name][1], HOMES)

    def test_copies_at_other_routers_count_the_target_agreed_upon(self):
        """Guards against reaching both homes too after these come back."""
        fleet = self.make_fleet()
        first = fleet.send(0, "c")
        fleet.answer_all()
        target = fleet.running[first][1]
        for home in HOMES:
            fleet.bring_back(home)
        allowed = {target, HOMES[0]}
        for router in (0, 1, 2):
            name = fleet.send(router, "c")
            self.assertIn(fleet.running[name][1], allowed)

    def test_work_is_refused_when_one_router_has_sent_its_content_to_a_home(self):
        """Guards against losing a third engine to work sent by another router."""
        fleet = self.make_fleet(down=())
        fleet.send(1, "c")
        for home in HOMES:
            fleet.take_down(home)
        name = fleet.send(0, "c")
        fleet.answer_all()
        self.assertIs(fleet.refused[name].code, NO_ENGINE)
        self.assertGreater(fleet.refused[name].retry_after, 0.0)

    def test_work_is_refused_when_a_router_cannot_be_asked(self):
        """Guards against losing a third engine on the other side of a partition."""
        fleet = self.make_fleet()
        fleet.cut.add(frozenset((0, 2)))
        name = fleet.send(0, "c")
        fleet.answer_all()
        self.assertIs(fleet.refused[name].code, NO_ENGINE)
        fleet.bring_back(HOMES[0])
        self.assertEqual(fleet.running[fleet.send(1, "c")], (1, HOMES[0]))

    def test_router_that_agreed_and_gets_no_outcome_holds_the_content_back(self):
        """Guards against using a home after another router relocated the content."""
        fleet = self.make_fleet()
        fleet.outcome_loss = 1.0
        fleet.send(0, "c")
        fleet.answer_all()
        for home in HOMES:
            fleet.bring_back(home)
        fleet.now += 3_000.0
        name = fleet.send(1, "c")
        self.assertIs(fleet.refused[name].code, NO_ENGINE)

    def test_work_is_refused_after_a_router_was_lost_with_the_homes(self):
        """Guards against a third engine lost to work that only a lost router knew."""
        fleet = self.make_fleet()
        for router in fleet.routers:
            router.record_lost_router(fleet.now)
        name = fleet.send(0, "c")
        self.assertEqual(fleet.asked, [])
        self.assertIs(fleet.refused[name].code, NO_ENGINE)

    def test_work_that_waits_for_a_home_leaves_the_queue_when_both_are_gone(self):
        """Guards against callers that wait for engines that are gone."""
        fleet = self.make_fleet(down=())
        for _ in range(30):
            fleet.send(0, "c")
        waiting = [f"r{n}" for n in range(1, 31) if f"r{n}" not in fleet.running]
        self.assertTrue(waiting)
        for home in HOMES:
            fleet.take_down(home)
        self.assertLessEqual(set(waiting), set(fleet.refused))

    def change_view(self, fleet):
        """Report an engine as leaving or staying to one router or to all."""
        rng, target = fleet.rng, fleet.rng.choice((*NAMES, *fleet.homes, *fleet.homes))
        seen_by = rng.choice((range(4), [rng.randrange(4)]))
        for n in seen_by:
            router = fleet.routers[n]
            change = rng.choice((router.leaving, router.leaving, router.staying))
            fleet.take(n, change(target, fleet.now))

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 1_000_000))
    def test_poison_crashes_at_most_two_engines_during_partitions_and_outages(
        self, seed
    ):
        """Guards against orders of outages, cuts and questions that lose a third."""
        fleet = AskingFleet(seed, routers=4)
        rng, poison = fleet.rng, []
        pairs = [frozenset((a, b)) for a in range(4) for b in range(a)]
        fleet.outcome_loss = rng.choice((0.0, 0.3, 1.0))
        for _ in range(80):
            fleet.now += rng.expovariate(1 / 500)
            self.change_view(fleet)
            fleet.cut ^= {rng.choice(pairs)}
            if rng.random() < 0.5:
                poison.append(fleet.send(rng.randrange(4), POISON))
            if rng.random() < 0.7:
                fleet.answer_all()
            fleet.tick()
            fleet.run_poison(poison)
        self.assertLessEqual(len(set(fleet.lost)), 2)


if __name__ == "__main__":
    unittest.main()
