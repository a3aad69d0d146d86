"""Answers that callers receive from a gateway with stub targets and a stub store."""

import asyncio
import json

from anvilshift.wire.response import ExchangeError
from tests.platform.gatewaycase import GatewayCase, make_configuration


class RouteTest(GatewayCase):
    async def test_a_router_without_a_configuration_refuses_as_not_run(self):
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
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: self.node.shared.table.configuration.version == 5)
        self.assertEqual((await self.call("/read/1"))[0], 404)
        self.store_stub.put("config", "main", make_configuration(version=4))
        self.store_stub.put("config", "main", {"version": "junk"})
        await self.wait_for(
            lambda: "configuration_unreadable" in self.journal.list_events()
        )
        self.assertEqual((await self.call("/read/1"))[0], 404)


class RepeatTest(GatewayCase):
    async def test_an_order_runs_once_though_its_answer_is_lost(self):
        """A target runs an order but its answer is lost.

        The caller must not be told "not run", and the order must not be sent to
        another target, or the franchisee would pay twice.
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

    async def test_caller_gets_not_run_and_retry_after_when_all_targets_refuse(self):
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

    async def test_a_request_to_a_reassigned_address_is_not_run(self):
        """Guards against requests to a target whose address was reassigned."""
        target = await self.add_target("d1", "desk")
        target.name = "d9"
        await self.start_node()
        self.assertEqual((await self.call("/order/1"))[0], 503)
        self.assertEqual(target.runs, [])

    async def test_an_unsigned_success_is_rejected(self):
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
    async def test_a_stream_resumes_on_another_target_after_its_last_whole_event(self):
        """An engine crashes while it sends an event of a resumable stream.

        The caller must get each event once and in order, and nothing of the
        incomplete event.
        """
        first, second = [await self.add_target(n, "llm") for n in ("e1", "e2")]
        first.crash_after = second.crash_after = 3
        first.on_run = lambda: setattr(second, "crash_after", None)
        second.on_run = lambda: setattr(first, "crash_after", None)
        await self.start_node()
        status, _, body = await self.call("/chat/1")
        expected = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 7))
        self.assertEqual((status, body), (200, expected))
        self.assertEqual(len(first.runs) + len(second.runs), 2)

    async def test_a_stream_that_can_not_be_resumed_is_aborted(self):
        target = await self.add_target("e1", "llm")
        await self.add_target("e2", "llm")
        for one in self.targets.values():
            one.crash_after = 3
        await self.start_node()
        with self.assertRaises(ExchangeError):
            await self.call("/review/1")
        self.assertEqual(sum(len(t.runs) for t in self.targets.values()), 1)
        self.assertIsNotNone(target)

    async def test_a_disconnected_caller_cancels_its_request_at_once(self):
        target = await self.add_target("e1", "llm")
        target.pace = 0.2
        await self.start_node()
        calling = asyncio.create_task(self.call("/review/1"))
        await self.wait_for(lambda: target.runs)
        calling.cancel()
        await self.wait_for(lambda: target.gone == 1)
        await self.wait_for(lambda: self.node.in_flight == 0)

    async def test_a_resumable_stream_moves_away_from_a_silent_engine(self):
        first, second = [await self.add_target(n, "llm") for n in ("e1", "e2")]
        first.hangs = second.hangs = True
        first.on_run = lambda: setattr(second, "hangs", False)
        second.on_run = lambda: setattr(first, "hangs", False)
        await self.start_node()
        status, _, body = await self.call("/chat/1")
        self.assertEqual((status, body.count(b"\n\n")), (200, 6))
