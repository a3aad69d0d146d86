"""Test how many targets one content crashes when routers can't exchange messages."""

import random
import unittest
from types import SimpleNamespace

from anvilshift.core.blame import MAX_CRASHES, CrashBlame
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.crashes import CrashTracker

DOMAINS = ("north", "south", "east")
NAMES = tuple(f"i-{n}" for n in range(12))


class Clock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class Router:
    """One router's view of the targets and of the content that crashed them."""

    def __init__(self, clock, names=NAMES):
        self.clock = clock
        self.loads = LoadMap()
        for name in names:
            self.declare(name)
        sender = SimpleNamespace(loads=self.loads)
        self.shared = SimpleNamespace(clock=clock, sender=sender, blame=CrashBlame())

    def declare(self, name, leaving=False, version=None):
        domain = DOMAINS[int(name[2:]) % 3]
        info = TargetInfo(
            name, "llm", "127.0.0.1:1", domain, 8, leaving, version=version
        )
        self.loads.declare(info)

    def list_allowed(self, content, prompt, version=None):
        tracker = CrashTracker(self.shared, content)
        forbidden = tracker.list_forbidden("llm", prompt, version)
        return sorted(set(self.loads.targets) - forbidden)

    def send(self, content, prompt, rng):
        """Send content that crashes its target to a random one that is allowed.

        Returns
        -------
        str or None
            The crashed target; None if none was allowed.
        """
        allowed = self.list_allowed(content, prompt)
        if not allowed:
            return None
        target = rng.choice(allowed)
        tracker = CrashTracker(self.shared, content)
        tracker.charge_target(target)
        tracker.end(target, ran=True)
        return target


class CrashTrackerTest(unittest.TestCase):
    def count_crashed(self, make_routers, prompt):
        """Return the number of targets that each of 50 contents crashes."""
        counts = []
        for seed in range(50):
            rng = random.Random(seed)
            routers = make_routers()
            lost = {
                router.send(f"poison {seed}", prompt, rng)
                for _ in range(4)
                for router in routers
            }
            counts.append(len(lost - {None}))
        return counts

    def test_routers_without_messages_crash_the_same_three_targets(self):
        """Guards against three crashed targets for each router.

        Each router bounds the crashes of a content by itself; without home targets that
        all compute alike, each would send it to three targets of its own.
        """
        for prompt in (Prompt(), Prompt((("a", 9), ("b", 7), ("c", 5)), 21, 9)):
            counts = self.count_crashed(
                lambda: [Router(Clock()) for _ in range(4)], prompt
            )
            self.assertEqual(set(counts), {3})

    def test_a_lost_target_is_not_replaced_until_its_entry_expires(self):
        """Guards against a fourth crash once the crashed targets are unregistered."""
        clock = Clock()
        router = Router(clock)
        homes = router.list_allowed("c", Prompt())
        for name in homes:
            router.loads.remove(name, clock.now())
        clock.time = 60_000.0
        self.assertEqual(router.list_allowed("c", Prompt()), [])
        clock.time = 121_000.0
        self.assertEqual(len(router.list_allowed("c", Prompt())), 3)

    def test_a_leaving_target_is_replaced(self):
        """Guards against refused requests while a release replaces the targets."""
        router = Router(Clock())
        homes = router.list_allowed("c", Prompt())
        for name in homes:
            router.declare(name, leaving=True)
        others = set(router.list_allowed("c", Prompt())) - set(homes)
        self.assertEqual(len(others), 3)

    def test_content_that_was_answered_completely_may_go_to_any_target(self):
        router = Router(Clock())
        CrashTracker(router.shared, "c").clear()
        self.assertEqual(router.list_allowed("c", Prompt()), sorted(NAMES))

    def test_prompts_that_share_parts_get_the_same_targets(self):
        """Guards against shared prompt parts that are computed at every target."""
        router = Router(Clock())
        first = Prompt((("a", 9), ("b", 7), ("c1", 5)), 21, 9)
        second = Prompt((("a", 9), ("b", 7), ("c2", 5)), 21, 9)
        self.assertEqual(
            router.list_allowed("c1", first), router.list_allowed("c2", second)
        )


class FamilyTest(unittest.TestCase):
    """Homes of prompts that share all parts but the last, once they are lost."""

    PROMPT = Prompt((("a", 9), ("b", 7), ("c", 5)), 21, 9)

    def setUp(self):
        self.clock = Clock()
        self.router = Router(self.clock)
        self.homes = self.router.list_allowed("c1", self.PROMPT)

    def lose_homes(self):
        for name in self.homes:
            self.router.loads.remove(name, self.clock.time)

    def test_family_gets_other_homes_once_all_know_what_ran_at_the_lost_ones(self):
        """Guards against a family refused for two minutes after its homes ended."""
        self.lose_homes()
        self.assertEqual(self.router.list_allowed("c1", self.PROMPT), [])
        self.clock.time = 600.0
        others = self.router.list_allowed("c1", self.PROMPT)
        self.assertEqual((len(others), set(others) & set(self.homes)), (3, set()))

    def test_family_gets_other_homes_before_the_entries_of_ended_ones_expire(self):
        for name in self.homes:
            self.router.loads.mark_ended(name, 0.0)
        self.clock.time = 600.0
        others = self.router.list_allowed("c1", self.PROMPT)
        self.assertEqual((len(others), set(others) & set(self.homes)), (3, set()))

    def test_homes_are_kept_while_a_router_may_know_what_ended_them(self):
        """Guards against a fourth crash through a router that hears nothing."""
        silences = self.router.shared.blame.silences
        silences.record_loss("r2", heard=-200.0)
        self.lose_homes()
        self.clock.time = 29_000.0
        self.assertEqual(self.router.list_allowed("c1", self.PROMPT), [])
        silences.record_return("r2", now=2_000.0)
        self.assertEqual(self.router.list_allowed("c1", self.PROMPT), [])
        self.clock.time = 121_000.0
        self.assertEqual(len(self.router.list_allowed("c1", self.PROMPT)), 3)

    def test_content_ends_three_targets_although_its_family_gets_other_homes(self):
        """Guards against a fourth crash because homes are replaced."""
        for seed in range(50):
            clock, rng = Clock(), random.Random(seed)
            routers = [Router(clock) for _ in range(4)]
            crashed = set()
            for _ in range(8):
                for router in routers:
                    name = router.send("poison", self.PROMPT, rng)
                    if name is None:
                        continue
                    crashed.add(name)
                    for one in routers:
                        one.shared.blame.record_crash("poison", name, clock.time)
                        one.loads.remove(name, clock.time)
                    clock.time += 1_000.0
            self.assertEqual(len(crashed), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()


class VersionTest(unittest.TestCase):
    def setUp(self):
        self.router = Router(Clock())
        self.versions = {n: f"v{i % 2}" for i, n in enumerate(sorted(NAMES))}
        for name, version in self.versions.items():
            self.router.declare(name, version=version)

    def test_stream_may_go_on_at_three_targets_of_its_version(self):
        """Guards against broken streams that no home of theirs may go on with."""
        for number in range(50):
            allowed = self.router.list_allowed(f"c{number}", Prompt(), "v1")
            self.assertEqual({self.versions[name] for name in allowed}, {"v1"})
            self.assertEqual(len(allowed), MAX_CRASHES)

    def test_stream_that_goes_on_reaches_no_more_targets_than_any_content(self):
        """Guards against a poison that gets new targets by being taken up."""
        for number in range(50):
            content, rng = f"c{number}", random.Random(number)
            began = self.router.send(content, Prompt(), rng)
            version = self.versions[began]
            allowed = self.router.list_allowed(content, Prompt(), version)
            self.assertLessEqual(len({began, *allowed}), MAX_CRASHES)
            self.assertGreater(len(set(allowed) - {began}), 0)
