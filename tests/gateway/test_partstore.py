"""The parts that end engines outlive the routers that found them."""

import asyncio
import unittest

from anvilshift.core.partrecord import PartCrash, PartKey
from anvilshift.gateway.partstore import KIND, NAME, PartStore
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.partrouter import SCOPE, PartRouter

BAD = PartKey(SCOPE, "bad")


class PartStoreTest(unittest.TestCase):
    def run_scenario(self, scenario):
        async def run():
            self.clock = VirtualClock()
            self.store = MemoryStore(self.clock)
            self.tasks = []
            try:
                await scenario()
            finally:
                for task in self.tasks:
                    task.cancel()

        run_virtual(run())

    def start(self, name="r1"):
        router = PartRouter(self.clock, name)
        self.forgiven = router.forgiven
        view = self.store.view(name)
        part_store = PartStore(view, router.watch, self.clock, router.journal)
        self.tasks.append(asyncio.create_task(part_store.run()))
        return router.watch

    def prove(self, watch, part="bad"):
        for number in range(4):
            start = f"{part}-{number}/1"
            crash = PartCrash(start, 1_000.0 * number, tried=number > 1)
            watch.blame.record_crash(SCOPE, [part], crash)
        watch.on_crash()

    def is_refused(self, watch, *parts):
        return watch.blame.is_refused(SCOPE, parts, self.clock.now())

    def test_proven_part_is_known_to_a_router_that_starts_later(self):
        async def scenario():
            self.prove(self.start("r1"))
            await asyncio.sleep(2)
            late = self.start("r2")
            self.assertFalse(late.is_informed)
            await asyncio.sleep(0.1)
            self.assertTrue(late.is_informed)
            self.assertTrue(self.is_refused(late, "bad"))
            self.assertEqual(sorted(self.forgiven), [f"bad-{n}" for n in range(4)])

        self.run_scenario(scenario)

    def test_two_routers_that_prove_parts_at_once_store_both(self):
        async def scenario():
            first, second = self.start("r1"), self.start("r2")
            await asyncio.sleep(1)
            self.prove(first)
            self.prove(second, "worse")
            await asyncio.sleep(3)
            third = self.start("r3")
            await asyncio.sleep(0.1)
            self.assertTrue(self.is_refused(third, "bad"))
            self.assertTrue(self.is_refused(third, "worse"))

        self.run_scenario(scenario)

    def test_part_that_is_answered_is_stored_no_longer(self):
        """Guards against a part refused anew at each start although it is sound."""

        async def scenario():
            watch = self.start()
            self.prove(watch)
            watch.adopt(watch.blame.describe(BAD))
            watch._note_proven()
            await asyncio.sleep(1)
            watch._clear(SCOPE, ["bad"])
            await asyncio.sleep(1)
            self.assertFalse(self.is_refused(watch, "bad"))
            late = self.start("r2")
            await asyncio.sleep(0.1)
            self.assertFalse(self.is_refused(late, "bad"))

        self.run_scenario(scenario)

    def test_suspect_part_is_not_stored(self):
        async def scenario():
            watch = self.start()
            watch.blame.record_crash(SCOPE, ["rare"], PartCrash("e1/1", 0.0))
            watch.on_crash()
            await asyncio.sleep(2)
            self.assertIsNone(await self.store.view("x").get(KIND, NAME))

        self.run_scenario(scenario)

    def test_entries_that_cannot_be_read_are_left_out(self):
        async def scenario():
            entries = [3, {"scope": SCOPE}, {"scope": SCOPE, "part": "b", "crashes": 1}]
            await self.store.view("x").put(KIND, NAME, {"parts": entries}, 0)
            watch = self.start()
            await asyncio.sleep(0.1)
            self.assertTrue(watch.is_informed)
            lines = watch.journal.list_events()
            self.assertEqual(lines.count("stored_part_unreadable"), 3)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
