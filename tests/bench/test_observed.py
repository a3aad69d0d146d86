"""The soak's own books must not show faults that nobody made."""

import asyncio
import unittest

from bench.soak.network import Presence
from bench.soak.observed import ObservedStore, PresentView


class PresentViewTest(unittest.IsolatedAsyncioTestCase):
    async def test_killed_node_writes_nothing_once_its_successor_runs(self):
        """Guards against two incarnations of one node that fight over its record."""
        store = ObservedStore(lambda ledger: None)
        old, new = Presence("r1"), Presence("r1")
        old.dead = True
        writing = asyncio.create_task(
            PresentView(store, old).put("Router", "r1", {"incarnation": "old"}, 0)
        )
        await PresentView(store, new).put("Router", "r1", {"incarnation": "new"}, 0)
        await asyncio.sleep(0)
        self.assertFalse(writing.done())
        self.assertEqual(store.peek("Router", "r1"), {"incarnation": "new"})
        writing.cancel()

    async def test_frozen_node_goes_on_when_it_wakes(self):
        store = ObservedStore(lambda ledger: None)
        presence = Presence("r1")
        presence.running.clear()
        reading = asyncio.create_task(PresentView(store, presence).get("Router", "r1"))
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertFalse(reading.done())
        presence.running.set()
        self.assertIsNone(await reading)


if __name__ == "__main__":
    unittest.main()
