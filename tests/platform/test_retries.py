"""Tests of requests that gateways send again, with services that reject them."""

import asyncio

from anvilshift.gateway.node import GatewayNode
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.repeats import RepeatRecord


class RetryLogTest(GatewayCase):
    async def test_repeats_are_logged_by_service(self):
        """Guards against repeats beyond the bound that no line accounts for."""
        for number in range(3):
            target = await self.add_target(f"d{number}", "desk")
            target.refuses = True
        await self.start_node()
        status, _, _ = await self.call("/read/1")
        self.assertEqual(status, 503)
        # The second that a line covers may end between two repeats.
        await asyncio.sleep(1.5)
        lines = [rest for event, rest in self.journal.lines if event == "retries"]
        sums = {
            name: sum(line[name] for line in lines)
            for name in ("requests", "repeats", "refused")
        }
        self.assertEqual(sums, {"requests": 1, "repeats": 2, "refused": 0})
        self.assertEqual({line["service"] for line in lines}, {"desk"})

    async def test_a_refused_repeat_is_logged(self):
        """Guards against a retry budget that is used up unseen."""
        for number in range(3):
            target = await self.add_target(f"d{number}", "desk")
            target.refuses = True
        await self.start_node()
        for _ in range(20):
            await self.call("/read/1")
        refused = [
            rest for event, rest in self.journal.lines if event == "retry_refused"
        ]
        self.assertTrue(refused)
        await asyncio.sleep(1.5)
        lines = [rest for event, rest in self.journal.lines if event == "retries"]
        self.assertEqual(sum(line["refused"] for line in lines), len(refused))
        self.assertEqual(refused[0]["service"], "desk")
        self.assertGreaterEqual(refused[0]["sends"], 1)


class RetryShareTest(GatewayCase):
    has_shares = False

    async def test_a_running_router_takes_up_its_share(self):
        """Guards against a share that is computed and never put in force."""
        await self.start_node()
        self.assertEqual(self.node.shared.retries.share, 0.0)
        self.node.retry_shares.shares.count = lambda now: 5
        await self.wait_for(lambda: self.node.shared.retries.share == 8.0)

    async def test_a_router_records_itself(self):
        await self.start_node()
        await self.wait_for(
            lambda: ("anvilshift-routers", "n1@127.0.0.1") in self.store_stub.objects
        )


class RejectionTest(GatewayCase):
    async def test_a_target_that_rejects_gets_few_first_tries(self):
        """Guards against a target that looks idle because it rejects requests."""
        for name in ("d0", "d1", "d2"):
            target = await self.add_target(name, "desk")
            target.refuses = name == "d0"
        await self.start_node()
        statuses = [(await self.call(f"/read/{n}"))[0] for n in range(40)]
        self.assertEqual(set(statuses), {200})
        # Chosen like the others it would get a third of the first tries.
        self.assertLess(len(self.targets["d0"].requests), 7)


class RetryBoundTest(GatewayCase):
    """Repeats at one service never exceed its bound, over all routers."""

    has_shares = False

    async def add_desk(self, targets: int = 3) -> None:
        """Add a plain service whose targets reject all requests."""
        for number in range(targets):
            target = await self.add_target(f"d{number}", "desk")
            target.refuses = True
        self.record = RepeatRecord()

    async def read_at(self, node: GatewayNode) -> None:
        """Send a request for the service to a router."""
        self.record.requests.append(asyncio.get_running_loop().time())
        await self.call_at(node, "/read/1")

    def find_excess(self) -> float:
        """Return by how much what the targets got exceeds the bound."""
        for name in [name for name in self.targets if name.startswith("d")]:
            target = self.targets[name]
            ids = [one.headers.get("anvilshift-attempt-id") for one in target.requests]
            self.record.arrivals += zip(target.arrivals, ids, strict=True)
        return self.record.find_excess(0.2, 10.0, self.allowance)

    async def test_answers_of_another_service_earn_no_repeats(self):
        """Guards against one budget for all services, spent where it wasn't earned."""
        self.allowance = 8.0
        await self.add_desk()
        await self.add_target("e1", "llm")
        await self.start_node()
        for _ in range(40):
            for _ in range(5):
                await self.call_at(self.node, "/chat/1")
            await self.read_at(self.node)
        self.assertLessEqual(self.find_excess(), 0.0)

    async def test_a_start_does_not_refill_the_budget(self):
        """Guards against a router that starts anew with what it had used up."""
        await self.add_desk()
        for _ in range(25):
            await self.start_node()
            for _ in range(6):
                await self.read_at(self.node)
            await self.node.close()
        self.assertLessEqual(self.find_excess(), 0.0)

    async def test_routers_that_see_no_others_keep_the_bound_of_the_fleet(self):
        """Guards against shares of a fleet that each router takes to be smaller."""
        await self.add_desk()
        self.store_stub.put("config", "main", make_configuration())
        for number in range(16):
            node = self.make_node(f"n{number}", "127.0.0.1")
            self.nodes.append(node)
            await node.start()
        await self.wait_for(lambda: all(node.is_ready() for node in self.nodes))
        await self.wait_for(
            lambda: all(len(node.loads.targets) == 3 for node in self.nodes)
        )
        for node in self.nodes:
            for _ in range(4):
                await self.read_at(node)
        self.assertLessEqual(self.find_excess(), 0.0)
