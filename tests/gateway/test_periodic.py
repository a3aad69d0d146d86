"""What a router's periodic work sets by the size of its fleet."""

import unittest
from dataclasses import replace

from anvilshift.gateway.periodic import PeriodicWork
from tests.gateway.test_sharedwatches import Fleet


class SpareWritesTest(unittest.IsolatedAsyncioTestCase):
    async def find_sparing(self, routers: int, spares: bool = True) -> tuple:
        """Return whether a router spares writes, and how many keep tokens."""
        fleet = Fleet(routers)
        node = fleet.nodes["10.0.0.0"]
        node.settings = replace(node.settings, spare_writes=spares)
        node.allocators.is_sparing = spares
        fleet.meet()
        PeriodicWork(node)._work(fleet.clock.now())
        return node.recorder.is_sparing, node.recorder.routers

    async def test_only_larger_fleets_spare_writes(self):
        """Guards against other service in small fleets and where it is turned off."""
        self.assertEqual(await self.find_sparing(8), (False, 4))
        self.assertEqual(await self.find_sparing(9), (True, 2))
        self.assertEqual(await self.find_sparing(12, spares=False), (False, 4))
