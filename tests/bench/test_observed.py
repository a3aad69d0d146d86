"""The soak's own fakes must not cause faults that the package doesn't have."""

import asyncio
import unittest

from bench.soak.network import NodeProcess
from bench.soak.observed import ObservedStore, ProcessView


class ProcessViewTest(unittest.IsolatedAsyncioTestCase):
    async def test_killed_node_writes_nothing_once_its_successor_runs(self):
        """Guards against two incarnations of a node that both write its record."""
        store = ObservedStore(lambda ledger: None)
        old, new = NodeProcess("r1"), NodeProcess("r1")
        old.dead = True
        writing = asyncio.create_task(
            ProcessView(store, old).put("Router", "r1", {"incarnation": "old"}, 0)
        )
        await ProcessView(store, new).put("Router", "r1", {"incarnation": "new"}, 0)
        await asyncio.sleep(0)
        self.assertFalse(writing.done())
        self.assertEqual(store.peek("Router", "r1"), {"incarnation": "new"})
        writing.cancel()

    async def test_frozen_node_continues_when_resumed(self):
        store = ObservedStore(lambda ledger: None)
        process = NodeProcess("r1")
        process.running.clear()
        reading = asyncio.create_task(ProcessView(store, process).get("Router", "r1"))
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertFalse(reading.done())
        process.running.set()
        self.assertIsNone(await reading)


if __name__ == "__main__":
    unittest.main()
