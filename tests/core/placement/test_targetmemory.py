"""Forty routers that hear each other late, and few targets with little memory."""

import unittest
from functools import partial

from anvilshift.core.placement.targetmemory import MemoryNeed, RouterCounts
from anvilshift.core.targetload import Prompt, TargetInfo, TargetLoad
from tests.core.placement.unevenfleet import ROUTERS, UnevenFleet

MEMORY = 318_000
"""Tokens that a target holds."""
DOSSIER, ANSWER = 12_000, 500
WORK = 1_200.0
"""Milliseconds that a target works on such a prompt."""
SLOTS = 12
DELAY = (40.0, 250.0)
"""Shortest and longest time of a message between routers, in milliseconds."""


class HeldFleet(UnevenFleet):
    """A fleet whose routers send long prompts, and how much of them targets hold."""

    delay = DELAY
    capacity = MEMORY
    work = WORK

    def __init__(self, targets: int, seed: int) -> None:
        super().__init__([1.0] * targets, SLOTS, engines=True, seed=seed)
        self.learn()
        self.held = dict.fromkeys(self.targets, 0)
        self.most = 0
        self.refused = 0

    def make_prompt(self, run: str) -> Prompt:
        return Prompt((("map", 5_382), (run, DOSSIER - 5_382)), DOSSIER, ANSWER)

    def refuse(self) -> None:
        self.refused += 1

    def note_begin(self, name: str) -> None:
        self.held[name] += DOSSIER + ANSWER
        self.most = max(self.most, self.held[name])

    def note_end(self, name: str) -> None:
        self.held[name] -= DOSSIER + ANSWER


class TargetMemoryTest(unittest.TestCase):
    def test_prompts_at_once_at_few_targets_stay_within_their_memory(self):
        """Guards against a target that ends under what many routers send at once."""
        for seed in range(5):
            for targets in (2, 3, 6):
                fleet = HeldFleet(targets, seed)
                for wave in range(3):
                    for n in range(ROUTERS):
                        fleet.at(wave * 20.0, partial(fleet.arrive, n))
                fleet.run()
                with self.subTest(targets=targets, seed=seed):
                    self.assertLessEqual(fleet.most, MEMORY)
                    self.assertGreater(sum(fleet.sent.values()), 10 * targets)

    def test_idle_targets_take_a_long_prompt_of_any_router_of_a_large_fleet(self):
        """Guards against a guess at unheard routers that refuses what fits."""
        prompt = Prompt((), 200_000, ANSWER)
        targets = {
            domain: TargetLoad(TargetInfo(domain, "advice", "10.0.0.1:80", domain, 12))
            for domain in ("north", "south")
        }
        for others, near in ((39, 9), (2_199, 81)):
            routers = RouterCounts("north", others, near)
            for count in (2, 400):
                need = MemoryNeed.estimate(prompt, MEMORY, 0, count, routers)
                for domain, target in targets.items():
                    with self.subTest(others=others, targets=count, domain=domain):
                        self.assertTrue(need.fits(target, 0.0))

    def test_lasting_overload_stays_within_their_memory(self):
        """Guards against requests that pile up at targets that are full already."""
        for seed in range(3):
            fleet = HeldFleet(3, seed)
            fleet.load(100.0, 5.0)
            fleet.run()
            self.assertLessEqual(fleet.most, MEMORY)
            self.assertGreater(sum(fleet.sent.values()), 100)

    def test_prompts_that_fit_are_not_refused(self):
        """Guards against a margin that refuses what targets could hold."""
        for seed in range(3):
            fleet = HeldFleet(12, seed)
            fleet.load(60.0, 5.0)
            fleet.run()
            self.assertEqual(fleet.refused, 0)


if __name__ == "__main__":
    unittest.main()
