"""Which routers carry the work of those that lost their paths."""

import random
import unittest
from collections import Counter

from anvilshift.core.forwarders import Forwarder, ForwarderChoice

ASKED = 3
"""Routers that one request may ask."""


class ForwarderTest(unittest.TestCase):
    def run_cut(self, routers: int, domains: int, cut, calls: int):
        """Return how many calls found a way, the asks, and the load of each router.

        Each cut router makes its calls one after the other and keeps the connections.
        """
        rng = random.Random(routers)
        peers = [Forwarder(f"r{n}", f"zone-{n % domains}") for n in range(routers)]
        lost = [one for one in peers if cut(one)]
        served, asks, load = 0, 0, Counter()
        for one in lost:
            others = [peer for peer in peers if peer is not one]
            choice, own = ForwarderChoice(), Counter()
            for number in range(calls):
                now = 10.0 * number
                target = f"zone-{rng.randrange(domains)}"
                left = list(others)
                for _ in range(ASKED):
                    asked = choice.choose(left, target, own, now, rng)
                    left.remove(asked)
                    asks += 1
                    if asked in lost:
                        choice.avoid(asked, now)
                        continue
                    choice.accept(asked)
                    served += 1
                    own[asked.name] += 1
                    load[asked.name] += 1
                    break
        return served, asks, load

    def test_a_cut_failure_domain_is_carried_by_all_the_others(self):
        """Guards against cut routers that ask only one another."""
        for routers, domains in ((5, 4), (78, 9), (2_200, 27)):
            with self.subTest(routers=routers):
                calls = 20
                served, asks, load = self.run_cut(
                    routers, domains, lambda one: one.failure_domain == "zone-0", calls
                )
                lost = len(range(0, routers, domains))
                self.assertEqual(served, lost * calls)
                # Each cut router asks its own domain once at most.
                self.assertLessEqual(asks - served, lost)
                mean = served / (routers - lost)
                self.assertLessEqual(max(load.values()), 4 * mean + 8)

    def test_a_single_cut_router_spreads_its_work(self):
        served, asks, load = self.run_cut(5, 4, lambda one: one.name == "r0", 100)
        self.assertEqual((served, asks), (100, 100))
        self.assertEqual(set(load.values()), {25})

    def test_a_router_that_could_not_help_is_asked_again_after_a_while(self):
        choice, rng = ForwarderChoice(), random.Random(1)
        peers = [Forwarder("r1", "a"), Forwarder("r2", "b")]
        choice.avoid(peers[0], now=0.0)
        early = choice.choose(peers, "a", {}, 999.0, rng)
        late = choice.choose(peers, "a", {}, 1_001.0, rng)
        self.assertEqual((early.name, late.name), ("r2", "r1"))
