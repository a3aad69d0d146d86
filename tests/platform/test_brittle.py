"""Targets that crash if they refuse too many requests in a second."""

import asyncio

from tests.platform.stubs import count_most
from tests.platform.test_limits import LoadedCase

STANDS = 4
"""Refusals in a second that the targets stand."""
LEARNING_S = 3.0
"""Time after the first announcement from which on it must be kept."""
WORK_S = 0.06


class BrittleTest(LoadedCase):
    async def load(self, gap: float) -> list[int]:
        """Call three routers beyond what two targets hold, whose queues are gone."""
        self.desks = [await self.add_target(name, "desk") for name in ("d1", "d2")]
        await self.add_target("e1", "llm")
        await self.start_fleet(3)
        # Debug mode would leave a single loop too slow for this load.
        asyncio.get_running_loop().set_debug(False)
        for desk in self.desks:
            desk.room, desk.brittle, desk.work = 6, str(STANDS), WORK_S
        self.began = asyncio.get_running_loop().time()
        return await self.keep_calling(6.0, gap=gap, path="/read")

    def count_refused(self) -> list[int]:
        since = self.began + LEARNING_S
        return [count_most(desk.refused, 1.0, since) for desk in self.desks]

    async def test_routers_together_stay_below_what_brittle_targets_stand(self):
        """Guards against targets that fall over because all routers try at once."""
        statuses = await self.load(gap=0.004)
        self.assertLess(max(self.count_refused()), STANDS)
        self.assertIn(200, statuses)

    async def test_half_of_what_brittle_targets_can_run_is_served(self):
        """Guards against callers refused while brittle targets have free places."""
        statuses = await self.load(gap=0.004)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreater(statuses.count(200), 0.5 * 6.0 * 2 * 6 / WORK_S)

    async def test_a_brittle_target_with_room_is_used_as_ever(self):
        statuses = await self.load(gap=0.02)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.count_refused(), [0, 0])

    async def test_refusals_stop_where_targets_have_fewer_places_than_slots(self):
        """Guards against a target that is filled up to places that it has lost."""
        loading = asyncio.create_task(self.load(gap=0.008))
        await self.wait_for(lambda: len(self.targets) == 3 and self.nodes)
        await asyncio.sleep(2.0)
        for desk in self.desks:
            desk.room = 3
        await loading
        self.assertLess(max(self.count_refused()), STANDS)

    async def test_a_target_that_is_sound_again_may_queue(self):
        await self.load(gap=0.02)
        node = self.nodes[0]
        self.assertEqual(node.loads.targets["d1"].brittle, STANDS)
        for desk in self.desks:
            desk.brittle = None
        for number in range(8):
            await self.call_at(node, f"/read/{number}")
        self.assertIsNone(node.loads.targets["d1"].brittle)
