"""Targets whose entries lapse and return while the store turns some routers away."""

import asyncio

from tests.platform.test_turned_away import WAYS, TurnedAwayCase

_CALLS = 10


class ReturnedTargetTest(TurnedAwayCase):
    """Guards against a router that refuses all work for a target that came back."""

    async def start(self) -> None:
        await super().start()
        self.others = self.nodes[1:]
        self.entry = self.store_stub.objects["servers", "d0"]["spec"]
        self.store_stub.remove("servers", "d1")
        await self.wait_until_leaving("d1")

    async def wait_until_leaving(self, name: str) -> None:
        """Wait until every router uses a target no more."""
        await self.wait_for(lambda: not any(self.uses(n, name) for n in self.nodes))

    async def wait_until_used(self, name: str) -> None:
        """Wait until every router uses a target."""
        await self.wait_for(lambda: all(self.uses(n, name) for n in self.nodes))

    def uses(self, node, name: str) -> bool:
        target = node.loads.targets.get(name)
        return target is not None and not target.info.leaving

    async def lapse(self) -> None:
        """Let the entry of the only plain target lapse and return."""
        self.store_stub.remove("servers", "d0")
        await self.wait_until_leaving("d0")
        self.store_stub.put("servers", "d0", self.entry)

    def serve_again(self) -> None:
        for door in self.doors:
            door.turn_away(None)

    async def count_served(self, node) -> int:
        """Return how many of some orders a router has served."""
        answers = [await self.call_at(node, f"/order/{n}") for n in range(_CALLS)]
        return sum(status == 200 for status, _, _ in answers)

    async def test_orders_are_served_once_the_store_serves_the_router_again(self):
        await self.start()
        for _ in range(2):
            await self.lapse()
        self.serve_again()
        await asyncio.sleep(2.5)
        for way, node in zip(WAYS, self.others, strict=True):
            with self.subTest(way):
                self.assertEqual(await self.count_served(node), _CALLS)

    async def test_orders_are_served_while_the_store_turns_the_router_away(self):
        """Guards against a return that a turned away router is not told of."""
        await self.start()
        await self.lapse()
        await self.wait_until_used("d0")
        for way, node in zip(WAYS, self.others, strict=True):
            with self.subTest(way):
                self.assertEqual(await self.count_served(node), _CALLS)

    async def test_other_start_is_not_used_before_its_entry_is_read(self):
        """Guards against requests at the address of an older start."""
        await self.start()
        self.entry = {**self.entry, "born": 2}
        await self.lapse()
        await self.wait_for(lambda: self.uses(self.nodes[0], "d0"))
        await asyncio.sleep(0.5)
        self.assertFalse(any(self.uses(node, "d0") for node in self.others))
        self.serve_again()
        await self.wait_until_used("d0")

    async def test_nothing_is_sent_to_a_target_that_drains_meanwhile(self):
        """Guards against announcements that count for nothing without an entry."""
        await self.start()
        self.store_stub.put("servers", "d0", {**self.entry, "state": "draining"})
        await self.wait_until_leaving("d0")
        before = len(self.targets["d0"].runs)
        self.serve_again()
        for node in self.nodes:
            self.assertEqual(await self.count_served(node), 0)
        self.assertEqual(len(self.targets["d0"].runs), before)

    async def test_nothing_is_sent_to_a_target_that_drains_after_its_return(self):
        """Guards against a return that outweighs a later departure."""
        await self.start()
        await self.lapse()
        await self.wait_until_used("d0")
        self.store_stub.put("servers", "d0", {**self.entry, "state": "draining"})
        await self.wait_until_leaving("d0")
        before = len(self.targets["d0"].runs)
        for node in self.nodes:
            self.assertEqual(await self.count_served(node), 0)
        self.serve_again()
        await asyncio.sleep(2.5)
        for node in self.nodes:
            self.assertEqual(await self.count_served(node), 0)
        self.assertEqual(len(self.targets["d0"].runs), before)


if __name__ == "__main__":
    import unittest

    unittest.main()
