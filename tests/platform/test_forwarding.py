"""What holds when a router sends its requests through another one."""

import asyncio

from anvilshift.wire.connection import Connection
from anvilshift.wire.response import ExchangeError
from tests.platform.cutnetwork import Cut
from tests.platform.gatewaycase import make_configuration
from tests.platform.test_cut_routers import CutCase

FAST_S = 0.5
"""Time within which a call that can't be served is refused."""
SILENT_ROUNDS, SILENT_ROUND_S = 10, 0.5
"""Calls come for five seconds to a silent host: a sound one may pause for a second."""


class ForwardingTest(CutCase):
    async def start_cut(self, how: Cut = Cut.RESET, names=("e1", "d1"), routers=3):
        """Start a fleet and cut its first router off from all targets."""
        for name in names:
            await self.add_target(name, "llm" if name.startswith("e") else "desk")
        await self.start_fleet(routers)
        self.cut_node = self.nodes[0]
        self.networks[0].cut(self.list_addresses(names), how)

    def list_events(self, event: str) -> list[dict]:
        return [fields for name, fields in self.journal.lines if name == event]

    def find_request(self, identity: str) -> dict:
        lines = self.list_events("request")
        return next(one for one in lines if one["id"] == identity)

    async def call_cut(self, path: str, **rest):
        return await self.call_at(self.cut_node, path, **rest)

    async def place_orders(self, count: int) -> list[int]:
        """Place orders at the cut router, each on a connection of its own."""
        statuses = []
        for number in range(count):
            self.cut_node.client.close()
            statuses.append((await self.call_cut(f"/order/{number}"))[0])
        return statuses

    async def test_an_answer_is_the_targets_own(self):
        await self.start_cut()
        status, headers, body = await self.call_cut(
            "/order/1", body=b"n1", identity="a"
        )
        self.assertEqual((status, body), (200, b"answer of n1"))
        self.assertEqual(headers.get("anvilshift-engine-signature"), "d1.1")
        self.assertTrue(self.find_request("a")["via"])
        self.assertEqual(self.targets["d1"].runs, ["a"])
        request = self.targets["d1"].requests[-1]
        self.assertEqual(request.headers.get("anvilshift-tenant"), "pounds")
        self.assertIsNone(request.headers.get("authorization"))

    async def test_tokens_are_billed_once_by_the_router_that_was_called(self):
        """Guards against a request that both routers reserve and settle."""
        await self.start_cut()
        before = self.count_settled()
        status, _, _ = await self.call_cut("/chat/1", identity="a")
        self.assertEqual(status, 200)
        # 100 prompt tokens and 6 events of 5.
        self.assertEqual(self.count_settled() - before, 130)
        self.assertEqual(self.find_request("a")["tokens"], 130)

    def count_settled(self) -> int:
        """Return the tokens that all routers have settled."""
        balances = [node.allotter.balances.by_name["pounds"] for node in self.nodes]
        return sum(one.settled for one in balances)

    async def test_the_time_spent_on_the_way_is_taken_off_the_deadline(self):
        await self.start_cut(Cut.HANG)
        await self.call_cut("/order/1", deadline=1_000)
        request = self.targets["d1"].requests[-1]
        left = int(request.headers.get("anvilshift-deadline-ms"))
        self.assertLessEqual(left, 1_000 - 200)
        self.assertGreater(left, 300)

    async def test_an_order_is_not_placed_again_when_the_way_breaks(self):
        """Guards against an order that is sent again though it may have run."""
        await self.start_cut(names=("e1", "d1", "d2"))
        for name in ("d1", "d2"):
            self.targets[name].hangs = True
        calling = asyncio.create_task(self.call_cut("/order/1", identity="a"))
        await self.wait_for(lambda: self.count_runs("a"))
        for node in self.nodes[1:]:
            for entrance in list(node.forwarding.server.entrances):
                entrance.abort()
        status, _, _ = await calling
        self.assertEqual((status, self.count_runs("a")), (502, 1))

    def count_runs(self, identity: str) -> int:
        return sum(target.runs.count(identity) for target in self.targets.values())

    async def test_a_stream_goes_on_when_the_router_in_between_ends(self):
        """Guards against a resumable stream that ends with the router in between."""
        await self.start_cut(names=("e1", "e2", "d1"))
        for name in ("e1", "e2"):
            self.targets[name].pace = 0.05
        calling = asyncio.create_task(self.call_cut("/chat/1", identity="a"))
        await self.wait_for(lambda: self.count_runs("a"))
        await asyncio.sleep(0.12)
        for node in self.nodes[1:]:
            for entrance in list(node.forwarding.server.entrances):
                entrance.abort()
        status, _, body = await calling
        ids = [line for line in body.splitlines() if line.startswith(b"id")]
        self.assertEqual((status, ids), (200, [b"id: %d" % n for n in range(1, 7)]))

    async def test_a_target_stops_when_the_caller_leaves(self):
        await self.start_cut()
        self.targets["e1"].pace = 0.2
        calling = asyncio.create_task(self.call_cut("/chat/1", identity="a"))
        await self.wait_for(lambda: self.count_runs("a"))
        calling.cancel()
        await self.wait_for(lambda: self.targets["e1"].gone == 1)

    async def test_a_cut_router_blames_no_target_and_no_request(self):
        """Guards against a cut router for which sound targets are ejected."""
        await self.start_cut(names=("e1", "e2", "e3", "d1"))
        for number in range(8):
            self.assertEqual((await self.call_cut(f"/chat/{number}"))[0], 200)
        events = self.journal.list_events()
        self.assertNotIn("target_ejected", events)
        self.assertNotIn("content_blamed", events)

    async def test_a_target_that_nobody_reaches_is_at_fault(self):
        """Guards against a dead target that is taken for a broken path."""
        await self.start_cut(names=("e1", "e2", "d1"))
        self.networks[0].heal()
        await self.targets["e1"].server.close()
        for number in range(6):
            self.assertEqual((await self.call_cut(f"/chat/{number}"))[0], 200)
        self.assertIn("target_ejected", self.journal.list_events())
        self.assertNotIn("path_broken", self.journal.list_events())

    async def test_calls_are_refused_at_once_when_nobody_reaches_any_target(self):
        """Guards against callers that wait for a way that doesn't exist."""
        await self.start_cut(names=("e1", "d1"))
        for target in self.targets.values():
            await target.server.close()
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, headers, _ = await self.call_cut("/order/1")
        self.assertEqual(status, 503)
        self.assertIsNotNone(headers.get("retry-after"))
        self.assertLess(loop.time() - began, FAST_S)

    async def test_requests_are_sent_directly_again_after_the_cut(self):
        """Guards against a router that goes on using the others when its links heal."""
        await self.start_cut()
        await self.call_cut("/order/1")
        await self.call_cut("/chat/1")
        self.networks[0].heal()
        await self.wait_for(lambda: len(self.list_events("path_restored")) == 2)
        await self.call_cut("/order/2", identity="a")
        self.assertEqual(self.find_request("a")["via"], "")

    async def test_a_request_is_handed_on_once_at_most(self):
        """Guards against requests that go round among cut routers."""
        await self.start_cut()
        self.networks[1].cut(self.list_addresses(("e1", "d1")), Cut.RESET)
        self.assertEqual(await self.place_orders(8), [200] * 8)
        self.assertEqual(self.nodes[1].forwarding.server.opened, 0)
        self.assertGreater(self.nodes[2].forwarding.server.opened, 0)

    async def test_a_router_without_forwarding_is_passed_over(self):
        """Guards against routers of an older build that don't listen for others."""
        await self.start_cut()
        await self.nodes[1].forwarding.server.close()
        self.assertEqual(await self.place_orders(6), [200] * 6)

    async def test_a_router_that_is_stopping_is_not_asked(self):
        await self.start_cut()
        stopping = asyncio.create_task(self.nodes[1].stop())
        beats = self.cut_node.peers.routers
        await self.wait_for(lambda: beats["n-127.0.0.3"].beat.leaving)
        self.assertEqual(await self.place_orders(8), [200] * 8)
        self.assertEqual(self.nodes[1].forwarding.server.opened, 0)
        stopping.cancel()

    async def test_nobody_but_a_router_is_forwarded(self):
        """Guards against callers that reach targets past keys and budgets."""
        await self.start_cut()
        reach = self.cut_node.reach
        reach.network.source = "127.0.0.99"
        with self.assertRaises(ExchangeError):
            await self.open_through(reach)
        reach.network.source = "127.0.0.2"
        opened = await self.open_through(reach)
        self.assertIsInstance(opened, Connection)
        opened.close()

    async def open_through(self, reach):
        info = self.cut_node.loads.targets["d1"].info
        async with reach.open(info, 0.0, False, lambda: None) as connection:
            return connection

    async def test_a_request_that_never_left_may_be_sent_again_by_its_caller(self):
        """Guards against 504 for an order whose connection never opened."""
        await self.start_cut(Cut.HANG)
        for network in self.networks[1:]:
            network.cut(self.list_addresses(("d1",)), Cut.HANG)
        status, _, _ = await self.call_cut("/order/1", deadline=300)
        self.assertEqual((status, self.targets["d1"].runs), (503, []))

    async def test_an_organisation_without_tokens_is_refused_as_ever(self):
        await self.start_cut()
        changed = make_configuration(version=2, reserved=50)
        self.store_stub.put("config", "main", changed)
        # A router that still has the old total would lend tokens.
        await self.wait_for(lambda: all(map(self.is_changed, self.nodes)))
        self.assertEqual((await self.call_cut("/chat/1"))[0], 402)

    async def test_a_target_that_is_silent_for_a_second_is_not_ejected(self):
        """Guards against sound targets that are ejected for a short silence."""
        await self.start_cut(names=("e1", "e2", "d1"))
        self.networks[0].heal()
        for network in self.networks:
            network.cut(self.list_addresses(("e1",)), Cut.HANG)
        calls = [self.call_cut(f"/chat/{n}") for n in range(3)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        for network in self.networks:
            network.heal()
        self.assertEqual(statuses, [200] * 3)
        self.assertIn("attempt_failed", self.journal.list_events())
        self.assertNotIn("target_ejected", self.journal.list_events())
        self.assertNotIn("content_blamed", self.journal.list_events())

    async def test_a_target_that_stays_silent_is_ejected(self):
        await self.start_cut(names=("e1", "e2", "d1"))
        # Without organisations no call is refused for want of tokens.
        changed = {**make_configuration(version=2), "tenants": []}
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: all(map(self.is_changed, self.nodes)))
        self.networks[0].heal()
        for network in self.networks:
            network.cut(self.list_addresses(("e1",)), Cut.HANG)
        for _ in range(SILENT_ROUNDS):
            calls = [self.call_cut(f"/chat/{n}") for n in range(12)]
            statuses = [status for status, _, _ in await asyncio.gather(*calls)]
            self.assertEqual(statuses, [200] * 12)
            await asyncio.sleep(SILENT_ROUND_S)
        self.assertIn("target_ejected", self.journal.list_events())
