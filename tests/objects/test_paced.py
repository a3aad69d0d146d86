"""Calls to the platform keep to the rate limit, and ledger calls go first."""

import asyncio

from anvilshift.objects.paced import PacedStore
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock
from tests.router.nodes import VirtualTestCase


class PacedStoreTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.platform = MemoryStore()
        clock = VirtualClock()
        self.store = PacedStore(self.platform, clock, rate=10.0, burst=2.0)
        self.order = []

    def now(self):
        return asyncio.get_running_loop().time()

    async def write(self, kind, name):
        await self.store.put(kind, name, {}, 0)
        self.order.append(name)

    async def test_ledger_writes_overtake_waiting_calls(self):
        """A burst of claims fills the queue before a ledger write arrives."""
        claims = [self.write("Claim", f"c{n}") for n in range(6)]
        lists = self.store.list(["Budget"])
        await asyncio.gather(lists, *claims, self.write("Ledger", "bill"))
        self.assertLessEqual(self.order.index("bill"), 2)

    async def test_rate_limit_is_kept(self):
        await asyncio.gather(*(self.write("Claim", f"c{n}") for n in range(22)))
        # A burst of two, then ten calls per second.
        self.assertAlmostEqual(self.now(), 2.0, delta=0.1)

    async def test_cancelled_call_takes_no_permit(self):
        await asyncio.gather(self.write("Claim", "a"), self.write("Claim", "b"))
        cancelled = asyncio.ensure_future(self.write("Claim", "never"))
        waiting = asyncio.ensure_future(self.write("Claim", "c"))
        await asyncio.sleep(0)
        cancelled.cancel()
        await waiting
        self.assertAlmostEqual(self.now(), 0.1, delta=0.02)
        self.assertEqual(self.platform.names("Claim"), ["a", "b", "c"])
