"""An engine that is leaving gets no new work, whatever the first sign."""

import asyncio
import json
import signal
import time
import unittest

import yaml

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.operator.main import Commands
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE
from bench.fleet import LocalFleet, wait_until

WITHIN_S = 3.0
ENGINES = ("advisor-1", "advisor-2", "advisor-3")


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LocalFleet()
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()
        self.assertTrue((await self.fleet.apply())["accepted"])
        await self.fleet.top_up("order-desk", 1_000_000, "invoice-1")
        seeds = [self.fleet.addresses[name] for name in self.fleet.router_names]
        self.client = Client(seeds, "counter-token")
        self.failed = 0
        self.callers = [asyncio.create_task(self.call(n)) for n in range(6)]

    async def asyncTearDown(self):
        for task in self.callers:
            task.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        self.client.close()

    async def call(self, number):
        message = {"role": "user", "content": f"quote for drums, caller {number}"}
        while True:
            try:
                await self.client.ask(Conversation("quote", [message], 8))
            except CallError:
                self.failed += 1

    async def count_runs(self, name):
        return len((await self.fleet.audit(name))["runs"])

    async def hears(self, name, leaving):
        for router in self.fleet.router_names:
            status = await self.fleet.status(router)
            if (name in status["leaving_targets"]) is not leaving:
                return False
        return True

    async def check_idle_while_others_work(self, name):
        before = await self.count_runs(name)
        other = next(n for n in ENGINES if n != name)
        enough = await self.count_runs(other) + 30

        async def works():
            return await self.count_runs(other) >= enough

        await wait_until(works)
        self.assertEqual(await self.count_runs(name), before)

    async def check_leaves(self, name, began):
        await wait_until(lambda: self.hears(name, True))
        took = time.monotonic() - began
        self.assertLess(took, WITHIN_S)
        return took

    async def check_returns(self, name):
        await wait_until(lambda: self.hears(name, False))
        before = await self.count_runs(name)

        async def works():
            return await self.count_runs(name) > before

        await wait_until(works)

    def remove_engine(self, name):
        path = next(self.fleet.declarations.rglob("engines.yaml"))
        documents = list(yaml.safe_load_all(path.read_text()))
        for document in documents:
            engines = document["engines"]
            document["engines"] = [e for e in engines if e["name"] != name]
        path.write_text(yaml.safe_dump_all(documents))

    async def apply_here(self):
        """Apply the declarations as the operator command does once it has started."""
        arguments = str(self.fleet.declarations), str(self.fleet.platform)
        with self.assertRaises(SystemExit) as ended:
            await asyncio.to_thread(Commands().apply, *arguments)
        self.assertEqual(ended.exception.code, 0)

    async def set_hosts(self, **leaving):
        hosts = [
            {"name": n.replace("_", "-"), "leaving": v} for n, v in leaving.items()
        ]
        await self.fleet.http.call(
            self.fleet.platform,
            "POST",
            "/control/hosts",
            [JSON_TYPE],
            dump_json({"hosts": hosts}),
        )

    async def test_first_sign_from_any_source_ends_new_work(self):
        """A host is replaced while its callers are busiest.

        Its engine would take new requests until it is cut off, and they would
        end late or not at all.
        """
        took = {}
        began = time.monotonic()
        await self.set_hosts(advisor_1=True)
        took["host list"] = await self.check_leaves("advisor-1", began)
        await self.check_idle_while_others_work("advisor-1")
        await self.set_hosts(advisor_1=False)
        await self.check_returns("advisor-1")

        began = time.monotonic()
        address = self.fleet.addresses["advisor-2"]
        await self.fleet.set_faults(address, leaving=True)
        took["own report"] = await self.check_leaves("advisor-2", began)
        await self.check_idle_while_others_work("advisor-2")
        await self.fleet.set_faults(address, leaving=False)
        await self.check_returns("advisor-2")

        began = time.monotonic()
        self.fleet.processes["advisor-3"].send(signal.SIGKILL)
        took["refused"] = await self.check_leaves("advisor-3", began)
        self.fleet.start_target("advisor-3", "engine")
        await self.check_returns("advisor-3")

        self.remove_engine("advisor-1")
        began = time.monotonic()
        await self.apply_here()
        took["declaration"] = time.monotonic() - began
        self.assertLess(took["declaration"], WITHIN_S)
        await self.check_idle_while_others_work("advisor-1")
        self.assertEqual(self.failed, 0)
        figures = {sign: round(span, 2) for sign, span in took.items()}
        print(f"seconds until no router sends new work: {json.dumps(figures)}")
