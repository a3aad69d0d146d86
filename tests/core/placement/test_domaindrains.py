"""Test which failure domains count as drained when news come late or out of order."""

import random
import unittest

from anvilshift.core.choosing import Demand, choose_engine
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.domaindrains import (
    DomainDrain,
    DomainDrains,
    DrainView,
)
from anvilshift.core.targetload import Prompt, TargetInfo

_DOMAINS = ("north", "south", "east")


def drain(domain: str, revision: int) -> DomainDrain:
    return DomainDrain(domain, revision, 0.0)


def view(revision: int, **drains: int) -> DrainView:
    return DrainView(revision, tuple(drain(*one) for one in drains.items()))


class DomainDrainsTest(unittest.TestCase):
    def setUp(self):
        self.drains = DomainDrains(is_followed=True)
        self.drains.merge(view(10))

    def list_drained(self) -> list[str]:
        return sorted(one for one in _DOMAINS if not self.drains.may_send(one))

    def test_nothing_is_sent_before_the_drains_are_known(self):
        """Guards against a router that starts in a drain and sends there at first."""
        drains = DomainDrains(is_followed=True)
        self.assertFalse(drains.may_send("north"))
        drains.begin(drain("south", 5))
        self.assertFalse(drains.may_send("north"), "one drain isn't all of them")
        drains.advance(5)
        self.assertTrue(drains.may_send("north"))
        self.assertFalse(drains.may_send("south"))

    def test_router_that_knows_nothing_tells_nothing(self):
        drains = DomainDrains(is_followed=True)
        drains.merge(DomainDrains(is_followed=True).get_view())
        self.assertFalse(drains.is_known)

    def test_all_is_sent_where_nothing_can_be_drained(self):
        self.assertTrue(DomainDrains().may_send("north"))

    def test_late_drain_does_not_undo_its_end(self):
        self.drains.begin(drain("north", 11))
        self.drains.end("north", 11)
        self.drains.advance(12)
        self.assertFalse(self.drains.begin(drain("north", 11)))
        self.assertFalse(self.drains.merge(view(11, north=11)))
        self.assertEqual(self.list_drained(), [])

    def test_late_end_does_not_undo_a_newer_drain(self):
        self.drains.begin(drain("north", 15))
        self.assertFalse(self.drains.end("north", 11))
        self.assertFalse(self.drains.merge(view(12)))
        self.assertFalse(self.drains.retain([], 12))
        self.assertEqual(self.list_drained(), ["north"])

    def test_drain_that_another_router_does_not_know_yet_stays(self):
        self.drains.merge(view(12, north=11))
        self.drains.begin(drain("south", 14))
        changes = self.drains.merge(view(13, north=11))
        self.assertFalse(changes)
        self.assertEqual(self.list_drained(), ["north", "south"])

    def test_end_is_learned_from_a_router_that_knows_more(self):
        self.drains.merge(view(12, north=11, south=12))
        changes = self.drains.merge(view(14, south=12))
        self.assertEqual([one.domain for one in changes.ended], ["north"])
        self.assertEqual(self.list_drained(), ["south"])

    def test_drain_that_is_written_again_stays_and_is_no_change(self):
        self.drains.begin(drain("north", 11))
        self.assertFalse(self.drains.begin(drain("north", 13)))
        self.assertFalse(self.drains.end("north", 11))
        self.assertTrue(self.drains.end("north", 13))

    def test_late_drain_does_not_replace_a_newer_one(self):
        """Guards against a newer drain that ends with an older one."""
        self.drains.begin(drain("north", 15))
        self.assertFalse(self.drains.begin(drain("north", 12)))
        self.assertFalse(self.drains.end("north", 12))
        self.assertEqual(self.list_drained(), ["north"])

    def test_domain_may_be_drained_again(self):
        for revision in (11, 13, 15):
            self.assertTrue(self.drains.begin(drain("north", revision)))
            self.drains.advance(revision)
            self.assertEqual(self.list_drained(), ["north"])
            self.assertTrue(self.drains.end("north", revision))
            self.drains.advance(revision + 1)
            self.assertEqual(self.list_drained(), [])

    def test_domain_without_targets_may_be_drained(self):
        self.drains.begin(drain("nowhere", 11))
        self.assertEqual(self.list_drained(), [])
        self.assertFalse(self.drains.may_send("nowhere"))

    def test_router_is_ahead_of_one_that_lacks_or_keeps_a_drain(self):
        self.drains.merge(view(12, north=11))
        self.assertTrue(self.drains.is_ahead_of(view(10)), "lacks a drain")
        self.assertTrue(self.drains.is_ahead_of(view(11, north=11, south=9)), "keeps")
        self.assertTrue(self.drains.is_ahead_of(view(0)), "knows nothing")
        self.assertFalse(self.drains.is_ahead_of(view(11, north=11)))
        self.assertFalse(self.drains.is_ahead_of(view(14)))
        self.assertFalse(self.drains.is_ahead_of(view(14, south=13)))


class CourseTest(unittest.TestCase):
    """Guards against routers whose views differ for good once they have talked."""

    def test_views_agree_with_the_store_whatever_the_order_of_news(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        revision, present = 10, {}
        history = [(revision, {})]
        routers = [DomainDrains(is_followed=True) for _ in range(3)]
        late: list[DrainView] = []
        for _ in range(60):
            kind = rng.random()
            if kind < 0.3:
                revision += rng.randint(1, 3)
                domain = rng.choice(_DOMAINS)
                if present.pop(domain, None) is None:
                    present[domain] = revision
                history.append((revision, dict(present)))
            elif kind < 0.5:
                rng.choice(routers).merge(view(revision, **present))
            elif kind < 0.6:
                # One event of a watch, before its batch is complete.
                domain = rng.choice(_DOMAINS)
                if domain in present:
                    rng.choice(routers).begin(drain(domain, present[domain]))
            elif kind < 0.8:
                late.append(rng.choice(routers).get_view())
            elif late:
                rng.choice(routers).merge(rng.choice(late))
            for router in routers:
                self.check(router, history)
        for router in routers:
            router.merge(view(revision, **present))
            held = {one.domain: one.revision for one in router.list_drains()}
            self.assertEqual(held, present)

    def check(self, router: DomainDrains, history: list[tuple[int, dict]]) -> None:
        """Check that a router holds what was in force at its revision, or newer."""
        known = [held for at, held in history if at <= router.revision]
        expected = known[-1] if known else {}
        held = {one.domain: one.revision for one in router.list_drains()}
        old = {name: at for name, at in held.items() if at <= router.revision}
        newer = {name for name, at in held.items() if at > router.revision}
        self.assertEqual(
            old, {name: at for name, at in expected.items() if name not in newer}
        )


class PlacementTest(unittest.TestCase):
    """Guards against work, and fetches of cache entries, that reach a drained domain.

    Load: prompts whose shared parts are cached in the drained domain alone.
    """

    def setUp(self):
        self.drains = DomainDrains(is_followed=True)
        self.drains.merge(view(10))
        self.loads = LoadMap(self.drains)
        for number, domain in enumerate(("north", "north", "south", "south")):
            info = TargetInfo(f"e{number}", "llm", f"10.0.0.{number}:1", domain, 8)
            self.loads.declare(info)
        self.prompt = Prompt((("shared", 9_000), ("own", 10)), 9_010, 30)
        self.loads.hold("e0", self.prompt.parts, 100_000)
        for target in self.loads.targets.values():
            target.info = TargetInfo(
                **{**vars(target.info), "version": "v1"},
            )

    def choose(self):
        excluded = self.loads.list_drained("llm")
        demand = Demand(
            "llm", self.prompt, 100_000, "north", 500.0, fetch_per_token=0.001
        )
        return choose_engine(self.loads, demand, 0.0, random.Random(1), excluded)

    def test_cache_of_a_drained_domain_is_not_fetched_from(self):
        self.loads.targets["e0"].paused_until = 1e6
        self.assertEqual(self.choose().fetch_from.info.name, "e0")
        self.drains.begin(drain("north", 11))
        choice = self.choose()
        self.assertEqual(choice.target.info.failure_domain, "south")
        self.assertIsNone(choice.fetch_from)

    def test_service_is_drained_once_all_of_its_domains_are(self):
        self.drains.begin(drain("north", 11))
        self.assertFalse(self.loads.is_drained("llm"))
        self.assertFalse(self.loads.is_drained("unknown"))
        self.drains.begin(drain("south", 12))
        self.assertTrue(self.loads.is_drained("llm"))
        self.assertIsNone(self.choose())

    def test_homes_are_chosen_among_targets_that_may_be_sent_to(self):
        self.drains.begin(drain("north", 11))
        recent = {info.name for info in self.loads.list_recent("llm", 0.0)}
        self.assertEqual(recent, {"e2", "e3"})
        homes = self.loads.list_home_candidates("llm", 0.0, lambda at: True)
        self.assertEqual({info.name for info in homes}, {"e2", "e3"})


if __name__ == "__main__":
    unittest.main()
