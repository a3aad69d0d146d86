"""Tests of the ownership of orders, with and without checks of fencing numbers."""

import asyncio

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import PLATFORM_DOWN, AnvilshiftError
from anvilshift.core.orders import compute_takeover_wait
from tests.router.nodes import LEASE, InProcessFleet, VirtualTestCase, wait_until


class Engine:
    """An engine shared by all routers, which can delay the orders of some of them."""

    def __init__(self, clock, checks_fencing):
        self.clock = clock
        self.checks = checks_fencing
        self.fencing = 0
        self.loaded = {}
        self.taken = []
        self.paused = set()
        self.resume = asyncio.Event()

    async def give(self, router, order):
        if router in self.paused:
            await self.resume.wait()
        if self.checks and order.fencing < self.fencing:
            self.taken.append((router, "refused"))
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.loaded = dict(order.desired)
        self.taken.append((router, order.desired["model"]))
        return True


class EngineOfRouter:
    def __init__(self, engine, router):
        self._engine = engine
        self._router = router

    async def give(self, order):
        return await self._engine.give(self._router, order)

    async def state(self):
        return self._engine.loaded

    async def load(self):
        raise AnvilshiftError(PLATFORM_DOWN)


def make_group(model, checks_fencing):
    engine = {
        "name": "e1",
        "address": "127.0.0.1:9",
        "failure_domain": "north",
        "checks_fencing": checks_fencing,
    }
    return {
        "kind": "EngineGroup",
        "name": "advisors",
        "target": "model",
        "engines": [engine],
        "desired": {"model": model},
    }


class OrdersTest(VirtualTestCase):
    async def begin(self, checks_fencing):
        self.fleet = InProcessFleet(
            lambda engine, router: EngineOfRouter(self.engine, router)
        )
        self.addAsyncCleanup(self.fleet.close)
        self.engine = Engine(self.fleet.clock, checks_fencing)
        self.checks = checks_fencing
        await self.fleet.start("r1", "r2", "r3")
        await self.declare("old")

    async def declare(self, model):
        store = self.fleet.platform
        found = await store.get("EngineGroup", "advisors")
        body = make_group(model, self.checks)
        await store.put("EngineGroup", "advisors", body, found.version if found else 0)

    def isolate(self, *names):
        self.fleet.cut_from_platform(*names)
        self.fleet.cut_peers(*names)

    async def pause_owner_during_order(self):
        """Delay an order of r1, the owner, between its last check and its arrival."""
        self.engine.paused = {"r1"}
        await wait_until(lambda: self.fleet.nodes["r1"].orders.owns)
        await asyncio.sleep(2)
        self.isolate("r1")
        await self.declare("new")

    async def wait_loaded(self, model):
        await wait_until(lambda: self.engine.loaded.get("model") == model)

    async def test_one_router_orders_the_desired_state(self):
        await self.begin(checks_fencing=False)
        await self.wait_loaded("old")
        await self.declare("new")
        await self.wait_loaded("new")
        self.assertEqual(self.engine.taken, [("r1", "old"), ("r1", "new")])

    async def test_checking_engine_refuses_the_paused_owner(self):
        """The owner is paused while its order is in flight; another router takes
        over and orders a newer model.  The old order that then arrives is refused.
        """
        await self.begin(checks_fencing=True)
        await self.pause_owner_during_order()
        await self.wait_loaded("new")
        self.engine.resume.set()
        await wait_until(lambda: ("r1", "refused") in self.engine.taken)
        self.assertEqual(self.engine.loaded, {"model": "new"})
        self.assertEqual(self.engine.fencing, 2)

    async def test_engine_that_ignores_fencing_is_read_back_and_corrected(self):
        """As above, but the engine accepts any order: it loads the old model when
        the paused owner resumes.  The new owner must detect it and repeat its order.
        """
        await self.begin(checks_fencing=False)
        await self.pause_owner_during_order()
        await wait_until(lambda: self.fleet.nodes["r2"].orders.owns)
        taken_over = self.fleet.clock.now()
        await self.wait_loaded("new")
        waited = self.fleet.clock.now() - taken_over
        self.assertGreaterEqual(waited, compute_takeover_wait(LEASE) - SECOND / 10)
        await asyncio.sleep(5)
        self.engine.resume.set()
        await self.wait_loaded("old")
        resumed = self.fleet.clock.now()
        await self.wait_loaded("new")
        self.assertLessEqual(self.fleet.clock.now() - resumed, 2 * SECOND)
        self.assertEqual(self.engine.taken[-1], ("r2", "new"))

    async def test_replaced_owner_sends_no_orders(self):
        """An owner that was cut off reconnects after another router took over."""
        await self.begin(checks_fencing=False)
        await self.wait_loaded("old")
        self.isolate("r1")
        await self.declare("new")
        await self.wait_loaded("new")
        self.isolate()
        await wait_until(lambda: len(self.fleet.ready()) == 3)
        await asyncio.sleep(10)
        self.assertEqual(self.engine.taken, [("r1", "old"), ("r2", "new")])
        self.assertFalse(self.fleet.nodes["r1"].orders.owns)
