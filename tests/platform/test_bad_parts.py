"""A part of some prompts ends each engine that begins to answer them."""

import asyncio

from anvilshift.core.blame import MAX_CRASHES
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.crashes import CrashTracker
from tests.platform.partfleet import (
    CRASHES,
    MAX_ARRIVALS,
    PartFleetCase,
    PartTraffic,
    fix_others,
    vary_others,
)

LEAST_PART_SERVED = 0.5
"""Least part of what a family is served otherwise that it must be served while
requests with the part still come."""
GONE_S = 3.0
"""Time after engines ended by which their family is served elsewhere."""


class BadPartTest(PartFleetCase):
    async def play_part(
        self, traffic: PartTraffic, seconds: float = 12.0, **fleet
    ) -> None:
        await self.start_play(**fleet)
        await self.play(traffic, seconds)

    def check_part(self) -> None:
        """Check the users' bounds: few engines ended, sound requests are served."""
        self.assertGreater(len(self.ends), 0)
        self.assertLessEqual(len(self.ends), CRASHES, self.describe())
        self.assertLessEqual(self.count_late_arrivals(), MAX_ARRIVALS)
        since = self.ends[-1][0] + 6.0
        for kind in ("sound", "other"):
            served = self.find_served(kind, since)
            self.assertGreaterEqual(served, LEAST_PART_SERVED, self.describe())
        refused = self.find_refused("sound") + self.find_refused("other")
        self.assertEqual(refused, 0, self.describe())

    async def test_part_among_changing_ones_ends_five_engines_at_most(self):
        """Guards against engines that end one after the other on requests alike in a
        part only, since each request is another content.
        """
        await self.play_part(vary_others(self.rng))
        self.check_part()

    async def test_part_among_the_same_parts_leaves_their_family_served(self):
        """Guards against a family refused because its homes were the engines ended."""
        await self.play_part(fix_others(1))
        self.check_part()

    async def test_part_that_stands_first_ends_five_engines_at_most(self):
        """Guards against a bound that holds only where other parts come first."""
        await self.play_part(fix_others(0))
        self.check_part()

    async def test_part_is_known_to_one_router_alone(self):
        """Guards against tries that only another router could grant."""
        await self.play_part(vary_others(self.rng), routers=1, engines=6)
        self.check_part()

    async def test_long_prompts_at_five_a_second_end_five_engines_at_most(self):
        """Guards against several requests with the part that are read in at a time."""
        self.prefill_s = 0.4
        traffic = vary_others(self.rng)
        traffic.bad_rate = 5.0
        await self.play_part(traffic)
        self.check_part()

    async def test_part_is_found_where_streams_end_with_their_connection(self):
        """Guards against an engine's end that looks like a stream without events."""
        self.unframed_slots = frozenset(range(12))
        await self.play_part(fix_others(1))
        self.check_part()
        empty = [
            one for one in self.outcomes if one.kind == "bad" and one.status == 200
        ]
        self.assertEqual(empty, [])

    async def test_burst_of_the_part_ends_only_what_it_reached_at_once(self):
        """Guards against a burst in which each request counts for nothing."""
        traffic = vary_others(self.rng)
        traffic.bad_rate = 20.0
        await self.play_part(traffic)
        # Requests that are read in when the first engine ends can't be stopped.
        self.assertLessEqual(self.count_late_arrivals(), MAX_ARRIVALS, self.describe())
        since = self.ends[CRASHES - 1][0] + 6.0 if len(self.ends) >= CRASHES else 0.0
        served = self.find_served("sound", since)
        self.assertGreaterEqual(served, LEAST_PART_SERVED, self.describe())


class LostHomesTest(PartFleetCase):
    async def test_family_is_served_once_its_homes_ended_for_other_reasons(self):
        """Guards against a family refused for two minutes because its homes are names
        that never come back.
        """
        await self.start_play()
        traffic = fix_others(1)
        traffic.bad_rate = 0.0
        self.spawn(self.end_homes(["f", "m", "l"]))
        await self.play(traffic, 8.0)
        self.assertEqual(len(self.ends), MAX_CRASHES)
        since = self.ends[-1][0] + GONE_S
        self.assertGreaterEqual(self.find_served("sound", since), 0.98, self.describe())

    async def end_homes(self, shared: list[str]) -> None:
        """End the engines to which a family's new requests may be sent."""
        await asyncio.sleep(1.0)
        prompt = Prompt(tuple((part, 100) for part in [*shared, "own"]), 400, 30)
        shared_state = self.nodes[0].shared
        tracker = CrashTracker(shared_state, "another request")
        forbidden = tracker.list_forbidden("llm", prompt)
        for engine in self.engines:
            if engine.name not in forbidden:
                engine.end()


class InnocentPartTest(PartFleetCase):
    async def test_engines_that_end_in_series_get_no_part_refused(self):
        """Guards against a sound part refused because it was on engines that ended."""
        await self.start_play()
        traffic = vary_others(self.rng)
        traffic.bad_rate = 0.0
        self.spawn(self.end_in_series())
        await self.play(traffic, 8.0)
        self.assertGreaterEqual(len(self.ends), len(self.engines))
        refused = self.find_refused("sound") + self.find_refused("other")
        self.assertEqual(refused, 0, self.describe())

    async def end_in_series(self) -> None:
        await asyncio.sleep(0.5)
        for _ in range(2):
            for engine in self.rng.sample(self.engines, len(self.engines)):
                engine.end()
                await asyncio.sleep(0.2)
