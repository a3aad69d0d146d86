"""Test how routers learn of drained failure domains, while the store has troubles."""

import asyncio
import unittest

from anvilshift.standins.virtual import run_virtual
from tests.gateway.draincourse import NAMES as _NAMES
from tests.gateway.draincourse import play_course
from tests.gateway.drainfleet import BOUND_S, KIND, DrainFleet
from tests.gateway.drainfleet import DOMAINS as _DOMAINS

_SEEDS = 6


def plays(work):
    """Play a test's coroutine in virtual time, with a fleet of its own."""

    def test(self):
        async def play():
            self.fleet = DrainFleet()
            try:
                await work(self)
            finally:
                await self.fleet.stop()

        run_virtual(play())

    test.__name__, test.__doc__ = work.__name__, work.__doc__
    return test


class DrainCase(unittest.TestCase):
    fleet: DrainFleet

    async def start(self, names=_NAMES) -> None:
        self.fleet.start(*names)
        await asyncio.sleep(1.0)

    async def check_drained(self, *domains: str, bound=BOUND_S, names=None) -> None:
        """Check that all routers know these drains within the bound, and no others."""
        expected = sorted(domains)
        took = await self.fleet.measure(
            lambda one: one.drains.is_known and one.list_drained() == expected, names
        )
        self.assertLessEqual(took, bound)


class StoreTest(DrainCase):
    """Guards against a drain that isn't followed while the store has troubles."""

    @plays
    async def test_drains_begin_and_end_one_by_one_and_together(self):
        await self.start()
        await self.fleet.drain("north")
        await self.fleet.drain("south")
        await self.check_drained("north", "south")
        await self.fleet.end("north")
        await self.check_drained("south")
        await self.fleet.end("south")
        await self.check_drained()
        await self.fleet.drain("north")
        await self.check_drained("north")

    @plays
    async def test_entry_of_any_content_and_of_an_unknown_domain_counts(self):
        await self.start()
        await self.fleet.drain("north", {"what": ["is", None]})
        await self.fleet.drain("nowhere")
        await self.check_drained("north", "nowhere")

    @plays
    async def test_drain_is_known_although_the_history_is_lost(self):
        await self.start()
        self.fleet.turn_away(*_NAMES)
        await self.fleet.drain("north")
        await self.fleet.drain("south")
        await self.fleet.end("south")
        self.fleet.store.forget_history()
        self.fleet.turn_away()
        await self.check_drained("north")

    @plays
    async def test_end_is_known_although_the_history_is_lost(self):
        await self.start()
        await self.fleet.drain("north")
        await self.check_drained("north")
        self.fleet.turn_away(*_NAMES)
        await self.fleet.end("north")
        self.fleet.store.forget_history()
        self.fleet.turn_away()
        await self.check_drained()

    @plays
    async def test_end_while_the_store_is_down_is_known_once_it_is_back(self):
        """Until then the drain stays in force: nobody has said that it ended."""
        await self.start()
        await self.fleet.drain("north")
        await self.check_drained("north")
        self.fleet.turn_away(*_NAMES)
        await self.fleet.end("north")
        await asyncio.sleep(30.0)
        await self.check_drained("north", bound=0.0)
        self.fleet.turn_away()
        await self.check_drained()

    @plays
    async def test_watch_that_hangs_hides_no_drain_from_a_router_alone(self):
        await self.start(("n0",))
        for _ in range(4):
            hung = self.hang_next_watch()
            await hung.wait()
            await self.fleet.drain("north")
            await self.check_drained("north")
            await self.fleet.end("north")
            await self.check_drained()

    def hang_next_watch(self) -> asyncio.Event:
        """Let the next watch of the drains get no answer, as on a silent connection."""
        hung, watches = asyncio.Event(), []
        view, watch = self.fleet.store, self.fleet.routers["n0"].watch.follower.store

        async def lose(kinds, after, wait):
            kinds = list(kinds)
            if kinds == [KIND] and not watches:
                watches.append(after)
                hung.set()
                await asyncio.Event().wait()
            return await view.view("n0").watch(kinds, after, wait)

        watch._store.watch = lose
        return hung

    @plays
    async def test_routers_make_few_calls_on_a_calm_day(self):
        """A long watch each: four calls a minute, where a drain ends it at once."""
        await self.start()
        follower = self.fleet.routers["n0"].watch.follower
        calls, sent = [], self.fleet.sent
        inner = follower._begin
        follower._begin = lambda call: calls.append(call) or inner(call)
        await asyncio.sleep(60.0)
        self.assertLessEqual(len(calls), 4)
        self.assertEqual(self.fleet.sent, sent)


class PeersTest(DrainCase):
    """Guards against a router that learns nothing while others beside it know."""

    @plays
    async def test_router_that_the_store_turns_away_is_told_at_once(self):
        await self.start()
        self.fleet.turn_away("n1", "n4")
        await self.fleet.drain("north")
        await self.check_drained("north", bound=0.1)
        await self.fleet.end("north")
        await self.check_drained(bound=0.1)

    @plays
    async def test_one_router_that_the_store_answers_tells_all(self):
        """Half of the messages are lost."""
        await self.start()
        self.fleet.loss = 0.5
        for domain in (*_DOMAINS, *_DOMAINS):
            self.fleet.turn_away(*(set(_NAMES) - {"n3"}))
            await self.fleet.drain(domain)
            await self.check_drained(domain)
            await self.fleet.end(domain)
            await self.check_drained()

    @plays
    async def test_large_fleet_is_told_by_one_router(self):
        names = tuple(f"n{number}" for number in range(100))
        await self.start(names)
        self.fleet.turn_away(*names[1:])
        await self.fleet.drain("north")
        await self.check_drained("north")

    @plays
    async def test_late_message_neither_begins_nor_ends_a_drain(self):
        await self.start()
        await self.fleet.drain("north")
        await self.check_drained("north")
        older = self.fleet.routers["n1"].watch._describe()
        await self.fleet.end("north")
        await self.check_drained()
        await asyncio.sleep(0.5)
        ended = self.fleet.routers["n1"].watch._describe()
        self.fleet.routers["n2"].watch.apply_told(older)
        await self.check_drained(bound=0.0)
        await self.fleet.drain("north")
        await self.check_drained("north")
        self.fleet.routers["n2"].watch.apply_told(ended)
        await self.check_drained("north", bound=0.0)

    @plays
    async def test_router_that_kept_an_ended_drain_is_told_of_its_end(self):
        """It stood apart for longer than routers repeat what they know."""
        await self.start()
        await self.fleet.drain("north")
        await self.check_drained("north")
        self.fleet.turn_away("n1")
        self.fleet.loss = 1.0
        await self.fleet.end("north")
        await asyncio.sleep(60.0)
        self.assertEqual(self.fleet.routers["n1"].list_drained(), ["north"])
        self.fleet.loss = 0.0
        await self.check_drained()


class StartTest(DrainCase):
    """Guards against a router that starts in a drain and sends there at first."""

    @plays
    async def test_router_sends_nothing_until_the_store_has_answered(self):
        await self.fleet.drain("north")
        self.fleet.turn_away("n0")
        await self.start(("n0",))
        await asyncio.sleep(20.0)
        router = self.fleet.routers["n0"]
        self.assertFalse(any(router.drains.may_send(one) for one in _DOMAINS))
        self.fleet.turn_away()
        await self.check_drained("north")
        self.assertTrue(router.drains.may_send("south"))

    @plays
    async def test_router_that_starts_is_told_by_another_one(self):
        await self.start()
        await self.fleet.drain("north")
        await self.check_drained("north")
        for loss, bound in ((0.0, 0.1), (0.5, BOUND_S)):
            self.fleet.loss = loss
            self.fleet.kill("n1")
            self.fleet.turn_away("n1")
            await asyncio.sleep(1.0)
            self.fleet.start("n1")
            await self.check_drained("north", bound=bound)

    @plays
    async def test_router_that_starts_on_a_calm_day_is_told_as_well(self):
        """The first message to it is lost, and nothing is repeated."""
        await self.start()
        self.fleet.kill("n1")
        self.fleet.turn_away("n1")
        self.fleet.loss = 1.0
        await asyncio.sleep(1.0)
        self.fleet.start("n1")
        await asyncio.sleep(0.01)
        self.fleet.loss = 0.0
        await self.check_drained(bound=1.0)

    @plays
    async def test_router_where_nothing_can_be_drained_asks_nobody(self):
        self.fleet.bound = None
        await self.fleet.drain("north")
        await self.start()
        router = self.fleet.routers["n0"]
        self.assertIsNone(router.watch.follower)
        self.assertTrue(router.drains.may_send("north"))
        self.assertEqual((router.watch.list_gauges(), self.fleet.sent), ({}, 0))


class ReturnTest(DrainCase):
    """Guards against targets that are sent to as if they were warm."""

    @plays
    async def test_end_is_announced_once_before_anything_is_sent_there(self):
        await self.start()
        router = self.fleet.routers["n1"]
        self.fleet.turn_away("n1")
        await self.fleet.drain("north")
        await self.check_drained("north")
        await self.fleet.end("north")
        await self.fleet.measure(lambda one: one.drains.may_send("north"), ["n1"])
        self.assertEqual(router.returned, ["north"])
        await asyncio.sleep(5.0)
        self.assertEqual(router.returned, ["north"])
        events = router.journal.list_events()
        self.assertLess(events.index("domain_drained"), events.index("domain_returned"))

    @plays
    async def test_gauge_counts_the_drains_in_force(self):
        await self.start()
        watch = self.fleet.routers["n1"].watch
        metric = "anvilshift_drained_domains"
        self.assertEqual(watch.list_gauges(), {metric: 0})
        await self.fleet.drain("north")
        await self.check_drained("north")
        self.assertEqual(watch.list_gauges(), {metric: 1})


class CourseTest(unittest.TestCase):
    """Guards against orders of events that nobody thought of.

    Drains begin and end beside kills of routers, routers that the store turns away, and
    lost messages, and connections open late.  One router goes on and is answered by the
    store all the while.
    """

    def test_nothing_is_sent_to_a_drained_domain_later_than_the_bound(self):
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play_course(seed), [])

    def test_router_that_nobody_answers_yet_sends_nothing(self):
        """Guards against a router that starts and takes what it lacks for no drain."""
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play_course(seed, starts_unheard=True), [])


if __name__ == "__main__":
    unittest.main()
