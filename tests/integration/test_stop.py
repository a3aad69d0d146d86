"""Planned stops of router processes, in running order and in an outage."""

import asyncio
import signal
import unittest

from anvilshift.client.client import Client, Conversation
from anvilshift.standins.engine import make_answer
from bench.fleet import LocalFleet, wait_until


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **options):
        self.fleet = LocalFleet(
            domains=("poprad", "zvolen"), router_options={"lease_ms": 3000.0, **options}
        )
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()
        self.assertTrue((await self.fleet.apply())["accepted"])
        await self.fleet.top_up("order-desk", 1_000_000, "invoice-1")
        # A caller that keeps the address of the router that stops.
        self.client = Client([self.fleet.addresses["r1"]], "counter-token")
        self.client.look_up = self.keep_address
        self.addCleanup(self.client.close)
        self.router = self.fleet.processes["r1"]

    async def keep_address(self):
        return [self.fleet.addresses["r1"]]

    async def ask(self, prompt, tokens):
        message = {"role": "user", "content": prompt}
        conversation = Conversation("quote", [message], tokens, deadline=15_000.0)
        answer = await self.client.ask(conversation)
        self.assertEqual(answer, make_answer(prompt, tokens))

    def begin(self, prompt, tokens):
        task = asyncio.create_task(self.ask(prompt, tokens))
        self.addCleanup(task.cancel)
        return task

    async def begin_long(self, tokens):
        task = self.begin("a long quote", tokens)
        await wait_until(self.runs)
        return task

    async def runs(self):
        return (await self.fleet.status("r1"))["in_flight"]

    async def is_leaving(self):
        return (await self.fleet.status("r1"))["leaving"]

    async def test_drain_serves_whoever_kept_the_address_and_settles(self):
        await self.start(keep_addresses_ms=1500.0)
        long = await self.begin_long(800)
        code, _ = await self.fleet.run_operator(
            "drain", str(self.fleet.operators["r1"]), "--token=operator-token"
        )
        self.assertEqual(code, 0)
        await wait_until(self.is_leaving)
        await self.ask("asked at the old address", 8)
        await long
        self.assertEqual(await self.router.wait(), 0)
        usage = (await self.fleet.usage())["order-desk"]
        self.assertEqual(usage["in_doubt"], 0)
        self.assertGreater(usage["spent"], 800)

    async def test_second_signal_names_what_it_cuts_off(self):
        await self.start()
        await self.begin_long(5_000)
        self.router.send(signal.SIGTERM)
        await wait_until(self.is_leaving)
        self.router.send(signal.SIGTERM)
        self.assertEqual(await self.router.wait(timeout=10), 1)
        log = self.router.log.read_text()
        self.assertIn("cut off request=", log)
        self.assertIn("organisation=counter", log)

    async def test_stop_in_an_outage_is_bounded(self):
        await self.start(keep_addresses_ms=500.0, grace_ms=4000.0)
        await self.ask("before the outage", 8)
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        self.router.send(signal.SIGTERM)
        self.assertEqual(await self.router.wait(timeout=12), 1)
        self.assertIn("unsettled", self.router.log.read_text())

    async def test_stop_settles_once_the_outage_ends(self):
        await self.start(keep_addresses_ms=500.0)
        await self.ask("before the outage", 8)
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        self.router.send(signal.SIGTERM)
        await wait_until(lambda: "renewal failed" in self.router.log.read_text())
        await self.fleet.set_faults(self.fleet.platform, outage=False)
        self.assertEqual(await self.router.wait(), 0)
