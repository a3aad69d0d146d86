"""Budgets, targets and planned stops of a gateway with stub targets and store."""

import asyncio
import json

from anvilshift.platform.entrance import DiscoveryHandler
from anvilshift.wire.messages import Address
from anvilshift.wire.server import HttpServer
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.platform.stubs import LOOPBACK, TargetStub


class BudgetTest(GatewayCase):
    async def test_a_total_that_is_spent_refuses_with_its_own_code(self):
        await self.add_target("e1", "llm")
        await self.start_node()
        changed = make_configuration(version=2, reserved=300)
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: self.node.shared.table.configuration.version == 2)
        statuses = [(await self.call(f"/chat/{n}"))[0] for n in range(4)]
        # 100 prompt tokens and 6 events of 5 are 130; 135 are reserved.
        self.assertEqual(statuses, [200, 200, 402, 402])
        balance = self.node.allotter.balances.by_name["pounds"]
        self.assertEqual(balance.settled, 260)

    async def test_share_of_a_killed_router_is_counted_by_its_usage_record(self):
        """A router's process is killed and started again on the same host.

        Its cushion was not spent.  If it counted as spent in full, each kill would
        reduce the tokens that are left of the total.
        """
        await self.add_target("e1", "llm")
        await self.start_node(history=20_000.0)
        self.assertEqual((await self.call("/chat/1"))[0], 200)
        # The second draw knows the remaining total; its usage record is written later.
        await self.wait_for(lambda: self.read_ceiling() > 10_000)
        held = self.read_ceiling()
        await self.wait_for(lambda: self.read_use().get("cushion", 0) >= 6_000)
        await self.node.close()
        await self.start_node(history=20_000.0)
        self.assertEqual((await self.call("/chat/2"))[0], 200)
        await self.wait_for(lambda: "share_ended" in self.journal.list_events())
        ended = dict(self.journal.lines)["share_ended"]
        self.assertTrue(ended["known"])
        self.assertLess(ended["most"], held)

    def read_spec(self, kind: str, name: str) -> dict:
        return self.store_stub.objects.get((kind, name), {}).get("spec", {})

    def read_ceiling(self) -> int:
        spec = self.read_spec("anvilshift-allotments", "main")
        shares = spec["organisations"]["pounds"]["shares"]
        return next(iter(shares.values()))["ceiling"]

    def read_use(self) -> dict:
        return self.read_spec("anvilshift-uses", "n1").get("uses", {}).get("pounds", {})

    async def test_plain_requests_cost_no_tokens(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        await self.call("/read/1")
        self.assertEqual(self.node.allotter.balances.by_name["pounds"].settled, 0)


class TargetsTest(GatewayCase):
    async def test_a_leaving_target_gets_nothing_more(self):
        first = await self.add_target("d1", "desk")
        second = await self.add_target("d2", "desk")
        await self.start_node()
        address = Address("127.0.0.1", first.server.port)
        self.register("d1", "desk", address, state="draining")
        await self.wait_for(lambda: self.node.loads.targets["d1"].info.leaving)
        for n in range(5):
            await self.call(f"/read/{n}")
        self.assertEqual((len(first.runs), len(second.runs)), (0, 5))

    async def test_malformed_entries_hide_no_valid_target(self):
        await self.add_target("d1", "desk")
        self.store_stub.put("servers", "junk", "no object")
        self.store_stub.put("servers", "half", {"service": "desk"})
        await self.start_node()
        self.assertEqual((await self.call("/read/1"))[0], 200)
        self.assertEqual(set(self.node.loads.targets), {"d1"})


class StopTest(GatewayCase):
    async def test_a_planned_stop_keeps_serving_and_returns_its_share(self):
        target = await self.add_target("e1", "llm")
        target.pace = 0.1
        await self.start_node()
        calling = asyncio.create_task(self.call("/review/1"))
        await self.wait_for(lambda: target.runs)
        stopping = asyncio.create_task(self.node.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.node.is_ready())
        self.assertEqual(self.node.list_endpoints().addresses, ())
        self.assertEqual((await self.call("/review/2"))[0], 200)
        self.assertEqual((await calling)[0], 200)
        await stopping
        spec = self.store_stub.objects["anvilshift-allotments", "main"]["spec"]
        self.assertEqual(spec["organisations"]["pounds"]["shares"], {})
        self.assertEqual(spec["organisations"]["pounds"]["closed"], 260)

    async def test_a_stream_that_a_stop_would_cut_off_is_refused_at_once(self):
        """A caller with a cached address connects 3.2 s after the signal to stop.

        Its stream takes four seconds and would be cut off when the grace period
        ends.  If it is refused at once as not run, another router can serve it.
        """
        target = await self.add_target("e1", "llm")
        await self.add_target("d1", "desk")
        await self.start_node()
        self.node.shared.ending = True
        status, headers, _ = await self.call("/chat/1")
        self.assertEqual((status, target.runs), (503, []))
        self.assertEqual(headers.get("retry-after"), "0.150")
        self.assertEqual((await self.call("/read/1"))[0], 200)

    async def test_a_stop_takes_no_new_streams_after_a_while(self):
        await self.start_node()
        stopping = asyncio.create_task(self.node.stop())
        await self.wait_for(lambda: self.node.shared.ending)
        await stopping


class EndpointTest(GatewayCase):
    async def test_callers_are_told_where_to_connect(self):
        await self.start_node()
        handler = DiscoveryHandler(self.node.is_ready, self.node.list_endpoints)
        server = HttpServer(handler.handle)
        address = await server.start(LOOPBACK)
        self.addAsyncCleanup(server.close)
        ready = await self.client.call(address, "GET", "/v1/readyz")
        self.assertEqual(ready.status, 200)
        found = await self.client.call(address, "GET", "/v1/resolve?name=shop.example")
        self.assertEqual(
            json.loads(found.body)["addresses"], [str(self.node.settings.front)]
        )
        other = await self.client.call(address, "GET", "/v1/other")
        self.assertEqual(other.status, 404)

    async def test_age_of_the_configuration_is_told(self):
        """Guards against a router that is behind and looks like any other."""
        await self.start_node()
        node = self.node
        handler = DiscoveryHandler(
            node.is_ready, node.list_endpoints, node.configurations.list_gauges
        )
        server = HttpServer(handler.handle)
        address = await server.start(LOOPBACK)
        self.addAsyncCleanup(server.close)
        answer = await self.client.call(address, "GET", "/metrics")
        lines = answer.body.decode().splitlines()
        values = dict(line.split() for line in lines if not line.startswith("#"))
        self.assertEqual(values["anvilshift_configuration_version"], "1")
        self.assertEqual(values["anvilshift_configuration_behind_milliseconds"], "0")
        age = float(values["anvilshift_configuration_age_milliseconds"])
        self.assertLess(age, 2_500.0)

    async def test_metrics_with_labels_are_described_once(self):
        """Guards against a page that monitoring can't read."""
        gauges = {'calls{kind="a"}': 1.0, 'calls{kind="b"}': 2.0}
        handler = DiscoveryHandler(bool, list, lambda: gauges)
        server = HttpServer(handler.handle)
        address = await server.start(LOOPBACK)
        self.addAsyncCleanup(server.close)
        answer = await self.client.call(address, "GET", "/metrics")
        told = '# TYPE calls gauge\ncalls{kind="a"} 1\ncalls{kind="b"} 2\n'
        self.assertEqual(answer.body.decode(), told)


class PoisonTest(GatewayCase):
    async def test_a_request_that_crashes_its_targets_costs_three_at_the_most(self):
        """A read crashes each target that runs it, and its caller retries it.

        Without a limit every target would crash in turn, with all the requests that
        run there.
        """
        for name in ("d1", "d2", "d3", "d4", "d5"):
            target = await self.add_target(name, "desk")
            target.poison = b"poison"
        await self.start_node()
        statuses = [(await self.call("/read/1", b"poison"))[0] for _ in range(6)]
        lost = [t for t in self.targets.values() if t.crashed]
        self.assertLessEqual(len(lost), 4)
        self.assertEqual(statuses[-1], 422)
        self.assertEqual((await self.call("/read/1", b"fine"))[0], 200)

    async def test_the_first_target_that_a_request_crashes_counts(self):
        """Guards against a fourth crash because the first one did not count."""
        for name in ("d1", "d2", "d3", "d4", "d5"):
            target = await self.add_target(name, "desk")
            target.poison = b"poison"
        await self.start_node()
        statuses = [(await self.call("/read/1", b"poison"))[0] for _ in range(6)]
        lost = [t for t in self.targets.values() if t.crashed]
        self.assertEqual(len(lost), 3)
        self.assertEqual(statuses[-1], 422)


class ReplacedTest(GatewayCase):
    async def test_a_replaced_target_is_called_once_and_not_by_every_request(self):
        """An engine crashes and its address is reassigned a moment later.

        Its entry stays in the store for seconds.  Each request that is still sent
        there is refused, retried elsewhere and uses up retry allowance; once that is
        used up, valid requests are refused.
        """
        target = await self.add_target("d1", "desk")
        await self.add_target("d2", "desk")
        target.name = "d9"
        await self.start_node()
        statuses = [(await self.call(f"/order/{n}"))[0] for n in range(12)]
        self.assertEqual(statuses, [200] * 12)
        self.assertLessEqual(len(target.requests), 1)

    async def test_a_target_that_moved_is_used_at_its_new_address(self):
        target = await self.add_target("d1", "desk")
        await self.add_target("d2", "desk")
        target.name = "d9"
        await self.start_node()
        for n in range(4):
            await self.call(f"/order/{n}")
        moved = TargetStub("d1")
        self.targets["moved"] = moved
        self.register("d1", "desk", await moved.start())
        address = f"127.0.0.1:{moved.server.port}"
        await self.wait_for(
            lambda: self.node.loads.targets["d1"].info.address == address
        )
        for n in range(20):
            await self.call(f"/read/{n}")
        self.assertGreater(len(moved.runs), 0)

    async def test_a_target_that_refuses_connections_is_left_at_once(self):
        target = await self.add_target("d1", "desk")
        await self.add_target("d2", "desk")
        await self.start_node()
        await target.server.close()
        statuses = [(await self.call(f"/order/{n}"))[0] for n in range(8)]
        self.assertEqual(statuses, [200] * 8)
        failed = self.journal.list_events().count("attempt_failed")
        self.assertLessEqual(failed, 1)
