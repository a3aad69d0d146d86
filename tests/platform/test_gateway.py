"""The whole gateway on loopback, between stand-ins of the store and of targets."""

import asyncio
import json
import random
import unittest

from anvilshift.core.clock import MonotonicClock
from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.entrance import EntrancePort
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.messages import Address
from anvilshift.wire.server import HttpServer
from tests.gateway.silent import SilentJournal
from tests.platform.stand import LOOPBACK, StoreStand, TargetStand

ROUTES = {
    "chat": {
        "routeKind": "streaming",
        "service": "llm",
        "resumable": True,
        "maxAttempts": 2,
    },
    "review": {"routeKind": "streaming", "service": "llm", "maxAttempts": 1},
    "order": {"routeKind": "non_idempotent", "service": "desk", "maxAttempts": 1},
    "read": {"routeKind": "idempotent", "service": "desk", "maxAttempts": 2},
    "open": {"routeKind": "idempotent", "service": "desk", "anonymous": True},
}


def make_configuration(version: int = 1, reserved: int = 100_000, timeout: int = 2_000):
    routes = [
        {
            "name": name,
            "hostname": "shop.example",
            "pathPrefix": f"/{name}/",
            "timeoutMs": timeout,
            "latencyGoalMs": 500,
            "itlTargetMs": 100 if name == "chat" else None,
            **rest,
        }
        for name, rest in ROUTES.items()
    ]
    services = [
        {"name": "llm", "engineId": {"slots": 8, "kvCapacity": 100_000, "stride": 5}},
        {"name": "desk"},
    ]
    tenants = [{"name": "pounds", "apiKeys": ["k1"], "reserved": reserved}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": {},
    }


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stand = StoreStand()
        self.store_address = await self.stand.start()
        self.targets: dict[str, TargetStand] = {}
        self.client = HttpClient()
        self.count = 0
        self.node: GatewayNode | None = None
        self.journal = SilentJournal()

    async def asyncTearDown(self):
        self.client.close()
        if self.node is not None:
            await self.node.close()
        for target in self.targets.values():
            await target.server.close()
        await self.stand.server.close()

    async def add_target(self, name: str, service: str) -> TargetStand:
        target = TargetStand(name)
        self.targets[name] = target
        address = await target.start()
        self.register(name, service, address)
        return target

    def register(self, name: str, service: str, address: Address, **rest) -> None:
        entry = {"service": service, "address": str(address), "zone": "north"}
        figures = {"slots": 8, "state": "ready", "sequence": 1, "born": 1}
        self.stand.put("servers", name, {**entry, **figures, **rest})

    async def start_node(self, configured: bool = True) -> None:
        if configured:
            self.stand.put("config", "main", make_configuration())
        settings = GatewaySettings(
            "n1", "127.0.0.1", "north", LOOPBACK, None, None, 0, 0, self.store_address
        )
        store = PlatformStore(HttpClient(), self.store_address)
        self.node = GatewayNode(
            settings,
            PlatformDialect(),
            store,
            MonotonicClock(),
            self.journal,
            random.Random(1),
        )
        await self.node.start()
        self.address = Address("127.0.0.1", self.node.server.port)
        if configured:
            await self.wait_for(
                lambda: len(self.node.loads.targets) >= len(self.targets)
            )
            await self.wait_for(self.node.is_ready)

    async def wait_for(self, holds) -> None:
        async with asyncio.timeout(10):
            while not holds():
                await asyncio.sleep(0.01)

    async def call(self, path: str, body: bytes = b"", key: str | None = "k1", **rest):
        self.count += 1
        identity = rest.pop("identity", f"id-{self.count}")
        headers = [("anvilshift-attempt-id", identity)]
        if key is not None:
            headers.append(("authorization", f"Bearer {key}"))
        if path.startswith(("/chat", "/review")):
            headers += [
                ("anvilshift-token-usage", "100,30"),
                ("anvilshift-prefix-hash", "a:60,b:40"),
            ]
        headers.append(("anvilshift-deadline-ms", str(rest.pop("deadline", 2_000))))
        async with self.client.exchange(
            self.address, "POST", path, headers, body, host="shop.example"
        ) as response:
            return response.status, response.headers, await response.read()


class RouteTest(GatewayCase):
    async def test_a_router_without_a_configuration_says_so(self):
        await self.start_node(configured=False)
        status, headers, body = await self.call("/read/1")
        self.assertEqual((status, json.loads(body)["error"]["fate"]), (503, "not run"))
        self.assertGreater(float(headers.get("retry-after")), 0)

    async def test_unknown_routes_and_credentials_are_refused(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        self.assertEqual((await self.call("/nowhere/1"))[0], 404)
        self.assertEqual((await self.call("/read/1", key="k9"))[0], 401)
        self.assertEqual((await self.call("/read/1", key=None))[0], 401)
        self.assertEqual((await self.call("/open/1", key=None))[0], 200)

    async def test_an_answer_passes_unchanged_and_the_target_sees_the_organisation(
        self,
    ):
        target = await self.add_target("d1", "desk")
        await self.start_node()
        status, headers, body = await self.call("/order/1?x=2", b"lobsters")
        self.assertEqual((status, body), (200, b"answer of lobsters"))
        self.assertEqual(headers.get("anvilshift-engine-signature"), "d1.1")
        (request,) = target.requests
        self.assertEqual((request.target, request.body), ("/order/1?x=2", b"lobsters"))
        self.assertEqual(request.headers.get("host"), "shop.example")
        self.assertEqual(request.headers.get("anvilshift-tenant"), "pounds")
        self.assertIsNone(request.headers.get("authorization"))

    async def test_a_new_configuration_is_in_force_and_an_old_one_never_again(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        changed = make_configuration(version=5)
        changed["routes"] = [r for r in changed["routes"] if r["name"] != "read"]
        self.stand.put("config", "main", changed)
        await self.wait_for(lambda: self.node.shared.table.configuration.version == 5)
        self.assertEqual((await self.call("/read/1"))[0], 404)
        self.stand.put("config", "main", make_configuration(version=4))
        self.stand.put("config", "main", {"version": "junk"})
        await self.wait_for(
            lambda: "configuration_unreadable" in self.journal.list_events()
        )
        self.assertEqual((await self.call("/read/1"))[0], 404)


class RepeatTest(GatewayCase):
    async def test_an_order_runs_once_though_its_answer_is_lost(self):
        """A target runs an order and its connection breaks.

        The caller must not be told "not run", and the order must not be sent
        to another target: the franchisee would pay twice.
        """
        targets = [await self.add_target(name, "desk") for name in ("d1", "d2")]
        for target in targets:
            target.echo = "another-id"
        await self.start_node()
        status, _, body = await self.call("/order/1")
        self.assertEqual((status, json.loads(body)["error"]["fate"]), (502, "unknown"))
        self.assertEqual(sum(len(target.runs) for target in targets), 1)

    async def test_an_order_that_was_refused_goes_to_another_target(self):
        first, second = [await self.add_target(n, "desk") for n in ("d1", "d2")]
        first.refuses = True
        await self.start_node()
        for _ in range(4):
            self.assertEqual((await self.call("/order/1"))[0], 200)
        self.assertEqual((len(first.runs), len(second.runs)), (0, 4))

    async def test_when_all_refuse_the_caller_hears_not_run_and_when_to_return(self):
        target = await self.add_target("d1", "desk")
        target.refuses = True
        await self.start_node()
        status, headers, body = await self.call("/order/1")
        self.assertEqual((status, json.loads(body)["error"]["fate"]), (503, "not run"))
        self.assertGreater(float(headers.get("retry-after")), 0)

    async def test_a_read_that_hangs_is_served_by_another_target(self):
        first, second = [await self.add_target(n, "desk") for n in ("d1", "d2")]
        first.hangs = True
        await self.start_node()
        statuses = [(await self.call(f"/read/{n}"))[0] for n in range(3)]
        self.assertEqual(statuses, [200, 200, 200])
        self.assertGreaterEqual(len(second.runs), 3)

    async def test_another_target_at_the_address_runs_nothing(self):
        """An engine is gone and its address is another's now."""
        target = await self.add_target("d1", "desk")
        target.name = "d9"
        await self.start_node()
        self.assertEqual((await self.call("/order/1"))[0], 503)
        self.assertEqual(target.runs, [])

    async def test_an_unsigned_success_is_no_answer(self):
        target = await self.add_target("d1", "desk")
        target.signs = False
        await self.start_node()
        self.assertEqual((await self.call("/order/1"))[0], 502)

    async def test_a_request_that_hangs_gets_its_final_answer_at_its_routes_timeout(
        self,
    ):
        target = await self.add_target("d1", "desk")
        target.hangs = True
        await self.start_node()
        began = asyncio.get_running_loop().time()
        status, _, body = await self.call("/order/1", deadline=60_000)
        took = asyncio.get_running_loop().time() - began
        self.assertEqual((status, json.loads(body)["error"]["fate"]), (504, "unknown"))
        self.assertTrue(1.9 < took < 2.4, took)
        await self.wait_for(lambda: target.gone == 1)


class StreamTest(GatewayCase):
    async def test_a_stream_goes_on_elsewhere_after_its_last_whole_event(self):
        """An engine crashes in the midst of an event of a resumable stream.

        The caller must get each event once and in order, and no piece of the
        event that came in part.
        """
        first, second = [await self.add_target(n, "llm") for n in ("e1", "e2")]
        first.crash_after = second.crash_after = 3
        await self.start_node()

        async def mend():
            await self.wait_for(lambda: first.runs or second.runs)
            (second if first.runs else first).crash_after = None

        mending = asyncio.create_task(mend())
        status, _, body = await self.call("/chat/1")
        await mending
        expected = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 7))
        self.assertEqual((status, body), (200, expected))
        self.assertEqual(len(first.runs) + len(second.runs), 2)

    async def test_a_stream_that_can_not_go_on_looks_cut(self):
        target = await self.add_target("e1", "llm")
        await self.add_target("e2", "llm")
        for one in self.targets.values():
            one.crash_after = 3
        await self.start_node()
        with self.assertRaises(ExchangeError):
            await self.call("/review/1")
        self.assertEqual(sum(len(t.runs) for t in self.targets.values()), 1)
        self.assertIsNotNone(target)

    async def test_a_caller_that_leaves_ends_the_work_at_once(self):
        target = await self.add_target("e1", "llm")
        target.pace = 0.2
        await self.start_node()
        calling = asyncio.create_task(self.call("/review/1"))
        await self.wait_for(lambda: target.runs)
        calling.cancel()
        await self.wait_for(lambda: target.gone == 1)
        await self.wait_for(lambda: self.node.in_flight == 0)

    async def test_a_silent_engine_is_left_where_the_stream_may_go_on(self):
        first, second = [await self.add_target(n, "llm") for n in ("e1", "e2")]
        first.hangs = second.hangs = True
        await self.start_node()

        async def mend():
            await self.wait_for(lambda: first.runs or second.runs)
            (second if first.runs else first).hangs = False

        mending = asyncio.create_task(mend())
        status, _, body = await self.call("/chat/1")
        await mending
        self.assertEqual((status, body.count(b"\n\n")), (200, 6))


class BudgetTest(GatewayCase):
    async def test_a_total_that_is_spent_refuses_with_its_own_code(self):
        await self.add_target("e1", "llm")
        await self.start_node()
        changed = make_configuration(version=2, reserved=300)
        self.stand.put("config", "main", changed)
        await self.wait_for(lambda: self.node.shared.table.configuration.version == 2)
        statuses = [(await self.call(f"/chat/{n}"))[0] for n in range(4)]
        # 100 prompt tokens and 6 events of 5 are 130; 135 are set aside.
        self.assertEqual(statuses, [200, 200, 402, 402])
        purse = self.node.allotter.wallet.purses["pounds"]
        self.assertEqual(purse.settled, 260)

    async def test_plain_requests_cost_no_tokens(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        await self.call("/read/1")
        self.assertEqual(self.node.allotter.wallet.purses["pounds"].settled, 0)


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

    async def test_junk_among_the_entries_hides_no_target(self):
        await self.add_target("d1", "desk")
        self.stand.put("servers", "junk", "no object")
        self.stand.put("servers", "half", {"service": "desk"})
        await self.start_node()
        self.assertEqual((await self.call("/read/1"))[0], 200)
        self.assertEqual(set(self.node.loads.targets), {"d1"})


class StopTest(GatewayCase):
    async def test_a_planned_stop_serves_on_and_hands_its_share_back(self):
        target = await self.add_target("e1", "llm")
        target.pace = 0.1
        await self.start_node()
        calling = asyncio.create_task(self.call("/review/1"))
        await self.wait_for(lambda: target.runs)
        stopping = asyncio.create_task(self.node.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.node.is_ready())
        self.assertEqual(self.node.list_entrances().addresses, ())
        self.assertEqual((await self.call("/review/2"))[0], 200)
        self.assertEqual((await calling)[0], 200)
        await stopping
        spec = self.stand.objects["anvilshift-allotments", "main"]["spec"]
        self.assertEqual(spec["organisations"]["pounds"]["shares"], {})
        self.assertEqual(spec["organisations"]["pounds"]["closed"], 260)


class EntranceTest(GatewayCase):
    async def test_callers_are_told_where_to_connect(self):
        await self.start_node()
        port = EntrancePort(self.node.is_ready, self.node.list_entrances)
        server = HttpServer(port.handle)
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


class PoisonTest(GatewayCase):
    async def test_a_request_that_crashes_its_targets_costs_three_at_the_most(self):
        """A read crashes each target that runs it, and its caller sends it again.

        Without a limit every target would be lost in turn, with all that runs
        there.
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


class ReplacedTest(GatewayCase):
    async def test_a_replaced_target_is_asked_once_and_not_by_every_request(self):
        """An engine crashes and its address is another's a moment later.

        Its entry stays in the store for seconds.  Each request that still went
        there would be refused, sent again elsewhere and use up a retry; when
        these are used up, proper requests are refused.
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
        moved = TargetStand("d1")
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
