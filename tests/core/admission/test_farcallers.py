"""How callers of uneven domains and routers fare with the lists that they are given."""

import random
import unittest
from collections import Counter

from anvilshift.core.admission.callershare import CallerShare, ResourceUse
from anvilshift.core.admission.farcallers import FarCallers
from anvilshift.core.admission.linkuse import LinkUse, Traffic
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.endpoints import Endpoint, choose_endpoints

DOMAINS = ("north", "south", "west")
ROUTERS, CALLERS = 10, 60
"""Routers and callers in each domain."""
ROOM = 100.0
"""Requests per second that a router carries."""
REQUEST_BYTES = 10_000
TICK: Millis = 100.0
TOLD_EACH: Millis = 300.0
WARM_UP: Millis = 10 * SECOND
SPAN: Millis = 60 * SECOND
LIST_LIVES = (2 * SECOND, 2 * SECOND, 6 * SECOND)
"""How long callers keep what they are told: some three times as long."""


class Router:
    """A router with a link that carries so many requests a second."""

    def __init__(self, name: str, domain: str, room: float = ROOM) -> None:
        self.name, self.domain, self.room = name, domain, room
        self.callers = CallerShare()
        self.link = LinkUse(rate=room * REQUEST_BYTES * 8 / 1e6)
        self.sent = Traffic()

    def carry(self, load: int, now: Millis) -> float:
        """Return the part of a tick's requests that is served."""
        self.sent += Traffic(datagram_bytes=load * REQUEST_BYTES)
        self.link.update(self.sent, Traffic(), now)
        self.callers.update(ResourceUse(link=self.link.sent), now)
        return min(1.0, self.room * TICK / SECOND / load) if load else 1.0


def play(routers: list[Router], demand: dict[str, float]) -> dict[str, float]:
    """Return the part of each domain's requests that is served.

    Parameters
    ----------
    demand
        Requests per second of each domain's callers.
    """
    rng, far, now = random.Random(1), FarCallers(), 0.0
    callers = [
        (domain, rng.choice(LIST_LIVES)) for domain in DOMAINS for _ in range(CALLERS)
    ]
    lists: list[tuple[str, ...]] = [()] * len(callers)
    ends = [0.0] * len(callers)
    told: list[Endpoint] = []
    served: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    while now < SPAN:
        now += TICK
        if not told or now % TOLD_EACH < TICK:
            told = [Endpoint(r.name, r.domain, r.callers.is_full) for r in routers]
        sent: dict[str, list[str]] = {router.name: [] for router in routers}
        for n, (domain, life) in enumerate(callers):
            if now >= ends[n]:
                near = [one.is_full for one in told if one.failure_domain == domain]
                far.update(domain, sum(near) / len(near), now)
                lists[n] = choose_endpoints(told, domain, far.take(domain))
                ends[n] = now + life * (rng.uniform(0.1, 1.0) if not ends[n] else 1.0)
            wanted = demand[domain] / CALLERS * TICK / SECOND
            for _ in range(int(wanted) + (rng.random() < wanted % 1)):
                sent[rng.choice(lists[n])].append(domain)
        for router in routers:
            part = router.carry(len(sent[router.name]), now)
            if now > WARM_UP:
                for domain in sent[router.name]:
                    asked[domain] += 1
                    served[domain] += part
    return {domain: served[domain] / asked[domain] for domain in DOMAINS}


class UnevenFleetTest(unittest.TestCase):
    def test_callers_beside_ten_times_the_demand(self):
        """Guards against one domain's callers that pay for its full routers."""
        for most in (1_200.0, 1_500.0):
            routers = [Router(f"{d}{n}", d) for d in DOMAINS for n in range(ROUTERS)]
            demand = {"north": most, "south": most / 10, "west": most / 10}
            found = play(routers, demand)
            others = (found["south"] + found["west"]) / 2
            self.assertGreaterEqual(found["north"], 0.9 * others, found)
            self.assertGreaterEqual(others, 0.9, found)

    def test_one_router_in_four_is_slowed(self):
        """Guards against callers that pay for a slow router beside idle ones."""
        routers = [
            Router(f"{d}{n}", d, 0.3 * ROOM if n % 4 == 0 else ROOM)
            for d in DOMAINS
            for n in range(ROUTERS)
        ]
        found = play(routers, dict.fromkeys(DOMAINS, 600.0))
        for domain in DOMAINS:
            self.assertGreaterEqual(found[domain], 0.8, found)

    def test_few_callers_stay_in_their_domains(self):
        """Guards against bytes between domains that nobody needs."""
        far = FarCallers()
        for second in range(60):
            far.update("north", 0.4, second * SECOND)
        self.assertFalse(any(far.take("north") for _ in range(100)))
