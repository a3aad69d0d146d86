"""What one content costs on the platform where routers can't tell each other."""

import random
import unittest
from types import SimpleNamespace

from anvilshift.core.blame import BlameBook
from anvilshift.core.loadmap import LoadMap, Prompt, TargetInfo
from anvilshift.gateway.crashes import CrashWatch

DOMAINS = ("north", "south", "east")
NAMES = tuple(f"i-{n}" for n in range(12))


class Clock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class Router:
    """One router's view of the targets and of what they crashed under."""

    def __init__(self, clock, names=NAMES):
        self.clock = clock
        self.loads = LoadMap()
        for name in names:
            self.declare(name)
        sender = SimpleNamespace(loads=self.loads)
        self.shared = SimpleNamespace(clock=clock, sender=sender, blame=BlameBook())

    def declare(self, name, leaving=False):
        domain = DOMAINS[int(name[2:]) % 3]
        info = TargetInfo(name, "llm", "127.0.0.1:1", domain, 8, leaving)
        self.loads.declare(info)

    def list_open(self, content, prompt):
        watch = CrashWatch(self.shared, content)
        return sorted(set(self.loads.targets) - watch.list_barred("llm", prompt))

    def send(self, content, prompt, rng):
        """Send a poison to any target that it may reach, which crashes."""
        found = self.list_open(content, prompt)
        if not found:
            return None
        target = rng.choice(found)
        watch = CrashWatch(self.shared, content)
        watch.begin(target)
        watch.end(target, ran=True)
        return target


class CrashWatchTest(unittest.TestCase):
    def count_lost(self, make_routers, prompt):
        """Return how many targets each of many contents costs."""
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

    def test_routers_that_tell_each_other_nothing_lose_the_same_three(self):
        """Guards against three lost targets for each router."""
        for prompt in (Prompt(), Prompt((("a", 9), ("b", 7), ("c", 5)), 21, 9)):
            counts = self.count_lost(
                lambda: [Router(Clock()) for _ in range(4)], prompt
            )
            self.assertEqual(set(counts), {3})

    def test_content_has_no_other_target_in_place_of_one_that_was_lost(self):
        """Guards against a fourth target once the crashed ones' entries are gone."""
        clock = Clock()
        router = Router(clock)
        homes = router.list_open("c", Prompt())
        for name in homes:
            router.loads.remove(name, clock.now())
        clock.time = 60_000.0
        self.assertEqual(router.list_open("c", Prompt()), [])
        clock.time = 121_000.0
        self.assertEqual(len(router.list_open("c", Prompt())), 3)

    def test_content_has_another_target_in_place_of_one_that_leaves(self):
        """Guards against refusals in a release."""
        router = Router(Clock())
        homes = router.list_open("c", Prompt())
        for name in homes:
            router.declare(name, leaving=True)
        others = set(router.list_open("c", Prompt())) - set(homes)
        self.assertEqual(len(others), 3)

    def test_content_that_was_answered_whole_goes_anywhere(self):
        router = Router(Clock())
        CrashWatch(router.shared, "c").clear()
        self.assertEqual(router.list_open("c", Prompt()), sorted(NAMES))

    def test_prompts_that_share_their_parts_meet_at_the_same_targets(self):
        """Guards against shared parts that are read at every target."""
        router = Router(Clock())
        first = Prompt((("a", 9), ("b", 7), ("c1", 5)), 21, 9)
        second = Prompt((("a", 9), ("b", 7), ("c2", 5)), 21, 9)
        self.assertEqual(router.list_open("c1", first), router.list_open("c2", second))


if __name__ == "__main__":
    unittest.main()
