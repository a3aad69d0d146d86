"""Orders to real engines, through the death and the pause of their owner."""

import json
import signal
import unittest

import yaml

from bench.fleet import LocalFleet, wait_until

OPTIONS = {"lease_ms": 1500.0, "heartbeat_ms": 200.0}
ENGINES = ("advisor-1", "advisor-2", "advisor-3")


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LocalFleet(router_options=OPTIONS)
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()

    async def declare(self, model):
        """Apply declarations in which the advisors shall have a model."""
        for path in self.fleet.declarations.rglob("*.yaml"):
            documents = list(yaml.safe_load_all(path.read_text()))
            for document in documents:
                if document["name"] == "advisors":
                    document["desired"] = {"model": model}
            path.write_text(yaml.safe_dump_all(documents))
        summary = await self.fleet.apply()
        self.assertTrue(summary["accepted"])

    async def has_loaded(self, model):
        for name in ENGINES:
            address = self.fleet.addresses[name]
            answer = await self.fleet.http.call(address, "GET", "/state")
            if json.loads(answer.body) != {"model": model}:
                return False
        return True

    async def find_owner(self):
        for name in self.fleet.router_names:
            if self.fleet.processes[name].exit_code is not None:
                continue
            if (await self.fleet.status(name))["owns_orders"]:
                return name
        return None

    async def test_orders_outlive_their_owner(self):
        """The owner's process is killed, the next one paused and woken."""
        await self.declare("one")
        await wait_until(lambda: self.has_loaded("one"))
        first = await self.find_owner()
        self.fleet.processes[first].end()
        await self.declare("two")
        await wait_until(lambda: self.has_loaded("two"))
        second = await self.find_owner()
        self.assertNotEqual(second, first)
        self.fleet.processes[second].send(signal.SIGSTOP)
        await self.declare("three")
        await wait_until(lambda: self.has_loaded("three"))
        self.fleet.processes[second].send(signal.SIGCONT)

        async def has_noticed():
            return not (await self.fleet.status(second))["owns_orders"]

        await wait_until(has_noticed)
        await self.fleet.wait_ready(second)
        self.assertTrue(await self.has_loaded("three"))
