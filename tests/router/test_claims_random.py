"""Claims under random faults in virtual time: no key is sent to the target twice."""

import asyncio
import random
import types
import unittest
from collections import Counter

from anvilshift.core.claims import Answer
from anvilshift.core.errors import (
    ENGINE_FAILED,
    NO_ENGINE,
    PLATFORM_DOWN,
    AnvilshiftError,
)
from anvilshift.router.claimed import ClaimedRuns
from anvilshift.router.claims import CLAIM_KIND, ClaimStore
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual

SEEDS = 150
SENDINGS = 40
KEYS = 3


class World:
    """Three routers on a faulty platform, and a target that counts its requests."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryStore()
        self.store.faults.before = self.store.faults.after = self.delay_call
        self.sent: Counter[str] = Counter()
        self.answers: dict[str, set[str]] = {}
        self.fates: Counter[str] = Counter()
        self.fates_by_key: dict[str, set[str]] = {}
        self.senders: set[int] = set()
        self.claim_stores: list[ClaimStore] = []
        self.starts = 0
        self.routers = [self.start_router(index) for index in range(3)]

    async def delay_call(self, caller: str, verb: str) -> None:
        await asyncio.sleep(self.rng.expovariate(1 / 0.05))
        if caller not in self.names:
            raise AnvilshiftError(PLATFORM_DOWN, "the caller is dead")

    @property
    def names(self) -> list[str]:
        return [router.claims._holder for router in self.routers]

    def start_router(self, index: int) -> ClaimedRuns:
        self.starts += 1
        clock, holder = VirtualClock(), f"r{index}-{self.starts}"
        view = self.store.view(holder)
        claims = ClaimStore(view, clock, holder, self.rng, self.is_running)
        self.claim_stores.append(claims)
        return ClaimedRuns(claims, clock)

    def is_running(self, holder: str) -> bool:
        return holder in self.names

    async def send(self, key: str, count: int) -> Answer:
        """Send to the target, and fail at random before or after it runs."""
        chance = self.rng.random()
        if chance < 0.25:
            raise AnvilshiftError(NO_ENGINE)
        self.sent[key] += 1
        self.senders.add(count)
        await asyncio.sleep(self.rng.expovariate(1 / 0.3))
        if chance < 0.4:
            raise AnvilshiftError(ENGINE_FAILED)
        return Answer(200, "text/plain", f"{key} {count}")

    async def call(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, 20))
        key = f"k{self.rng.randrange(KEYS)}"
        deadline = VirtualClock().now() + self.rng.uniform(100, 8_000)
        job = types.SimpleNamespace(identity=key, content="same", deadline=deadline)
        router = self.rng.choice(self.routers)
        try:
            answer = await router.run(job, lambda: self.send(key, number))
            self.answers.setdefault(key, set()).add(answer.body)
            fate = "answered"
        except asyncio.CancelledError:
            fate = "connection lost"
        except AnvilshiftError as error:
            fate = error.code.fate.value
        self.fates[fate] += 1
        self.fates_by_key.setdefault(key, set()).add(fate)
        assert fate != "not run" or number not in self.senders

    async def inject_faults(self) -> None:
        """Inject random faults and kill routers until cancelled."""
        faults = self.store.faults
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            kind = self.rng.choice(["cut", "heal", "answer", "write", "out", "kill"])
            if kind == "cut":
                faults.cut.add(self.rng.choice(self.names))
            elif kind == "heal":
                faults.cut.clear()
                faults.outage = False
            elif kind == "answer":
                faults.lose_answers += 1
            elif kind == "write":
                faults.lose_writes += 1
            elif kind == "out":
                faults.outage = self.rng.random() < 0.3
            else:
                self.kill(self.rng.randrange(3))

    def kill(self, index: int) -> None:
        """Stop a router without recording its state, and start a new one."""
        dead = self.routers[index]
        dead.claims.close()
        for entry in dead._entries.values():
            entry.task.cancel()
        self.routers[index] = self.start_router(index)

    async def run(self) -> None:
        injecting = asyncio.create_task(self.inject_faults())
        calls = (self.call(number) for number in range(SENDINGS))
        await asyncio.gather(*calls, return_exceptions=False)
        injecting.cancel()
        self.store.faults.cut.clear()
        self.store.faults.outage = False
        await asyncio.sleep(60)
        for claims in self.claim_stores:
            claims.close()


class RandomClaimsTest(unittest.TestCase):
    def test_no_key_is_sent_twice_and_all_hear_one_answer(self):
        """No key may be sent twice, and all callers of a key must get one answer.

        The faults are cuts, lost answers, lost writes, outages and kills, several of
        them at a time.  A key sent twice means that an order ran twice, and so do
        different answers to two callers of one key.
        """
        fates: Counter[str] = Counter()
        for seed in range(SEEDS):
            world = World(seed)
            run_virtual(world.run())
            with self.subTest(seed=seed):
                self.assertLessEqual(max(world.sent.values(), default=0), 1)
                for key, bodies in world.answers.items():
                    self.assertEqual(len(bodies), 1, key)
                for key, key_fates in world.fates_by_key.items():
                    if key_fates == {"not run"}:
                        self.assertEqual(world.sent[key], 0, key)
                self.assertLessEqual(len(world.store.names(CLAIM_KIND)), KEYS)
            fates += world.fates
        for fate in ("answered", "not run", "unknown", "connection lost"):
            self.assertGreater(fates[fate], SEEDS // 4, fates)
