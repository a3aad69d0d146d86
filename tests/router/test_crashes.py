"""Every router hears of a crash at once, and of each crash once."""

import asyncio

from anvilshift.core.clock import SECOND
from anvilshift.core.permits import LOST_FOR
from anvilshift.core.quarantine import FORGET_AFTER
from anvilshift.core.work import Announce
from tests.router.nodes import HEARTBEAT, Nodes, VirtualTestCase, wait_until


class CrashNewsTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.fleet = Nodes()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start("r1", "r2", "r3")
        self.heard = []
        for name, node in self.fleet.nodes.items():
            node.crashes._take = lambda c, t, age, name=name: self.heard.append(
                (name, c, t)
            )

    async def test_news_is_quicker_than_the_caller_that_sends_again(self):
        """A poisonous request crashes a target; its caller sends it again
        through another router, which must not lose a third target to it.
        """
        began = self.fleet.clock.now()
        self.fleet.nodes["r1"].dispatch.announce(Announce("poison", "e1"))
        await wait_until(lambda: len(self.heard) == 2)
        self.assertLess(self.fleet.clock.now() - began, HEARTBEAT / 5)
        self.assertEqual({name for name, _, _ in self.heard}, {"r2", "r3"})

    async def test_repeated_news_is_taken_once(self):
        self.fleet.nodes["r1"].dispatch.announce(Announce("poison", "e1"))
        await asyncio.sleep(20)
        self.assertEqual(len(self.heard), 2)
        self.assertEqual(len(self.fleet.nodes["r1"].crashes.list_told()), 1)
        await asyncio.sleep(FORGET_AFTER / SECOND)
        self.assertEqual(len(self.heard), 2)
        self.assertEqual(self.fleet.nodes["r1"].crashes.list_told(), [])

    async def test_router_that_was_cut_off_hears_once_the_cut_has_healed(self):
        """A poison costs two targets while one router is cut off from the others.

        News was told for three heartbeats only, so half a minute later the
        same work cost a third target through the router that had missed it.
        """
        self.fleet.cut_peers("r3")
        self.fleet.nodes["r1"].dispatch.announce(Announce("poison", "e1"))
        await asyncio.sleep(30)
        self.assertEqual([name for name, _, _ in self.heard], ["r2"])
        self.fleet.cut_peers()
        await wait_until(lambda: len(self.heard) == 2)
        self.assertEqual(self.heard[1], ("r3", "poison", "e1"))

    async def test_news_goes_round_a_cut_between_two_routers(self):
        """Guards against a poison that runs on where the news' teller isn't heard."""
        self.fleet.pair_cuts = {frozenset({"r1", "r3"})}
        self.fleet.nodes["r1"].dispatch.announce(Announce("poison", "e1"))
        began = self.fleet.clock.now()
        await wait_until(lambda: len(self.heard) == 2)
        self.assertLess(self.fleet.clock.now() - began, 3 * HEARTBEAT)
        self.assertEqual(self.heard[1], ("r3", "poison", "e1"))

    async def test_router_that_cannot_hear_another_knows_it(self):
        """Guards against a router that takes what it wasn't told for harmless."""
        node = self.fleet.nodes["r1"]
        await wait_until(lambda: not node.dispatcher._state.partitioned)
        self.fleet.cut_peers("r3")
        await wait_until(lambda: node.dispatcher._state.partitioned)
        self.fleet.cut_peers()
        await wait_until(lambda: not node.dispatcher._state.partitioned)

    async def test_router_that_lost_its_record_behind_a_cut_is_reckoned_with(self):
        """Guards against a third engine lost where two were, by copies it served."""
        node = self.fleet.nodes["r1"]
        await wait_until(lambda: not node.dispatcher._state.partitioned)
        self.fleet.cut_from_platform("r3")
        self.fleet.cut_peers("r3")
        await wait_until(lambda: "r3" not in node.fleet.roster.sightings)
        await asyncio.sleep(2 * HEARTBEAT / SECOND)
        self.assertTrue(node.dispatcher._state.partitioned)
        await asyncio.sleep(LOST_FOR / SECOND)
        self.assertFalse(node.dispatcher._state.partitioned)

    async def test_neighbours_of_a_crash_do_not_push_out_what_is_blamed(self):
        """Guards against a poison that is no longer told of after a busy crash."""
        crashes = self.fleet.nodes["r1"].crashes
        crashes.announce(Announce("poison", "e1"))
        for n in range(200):
            crashes.announce(Announce(f"neighbour{n}", "e2", times=0))
        told = [(crash.content, crash.target) for crash in crashes.list_told()]
        self.assertIn(("poison", "e1"), told)
        self.assertEqual(len(told), 50)

    async def test_router_that_missed_a_beat_hears_with_the_next(self):
        self.fleet.cut_peers("r3")
        self.fleet.nodes["r1"].dispatch.announce(Announce("poison", "e1"))
        await wait_until(lambda: len(self.heard) == 1)
        self.fleet.cut_peers()
        await wait_until(lambda: len(self.heard) == 2)
        self.assertEqual(self.heard[1], ("r3", "poison", "e1"))

    async def test_router_that_starts_anew_hears_what_is_quarantined(self):
        """A router is killed and replaced after a poison cost two targets.

        Its successor knew nothing of it and lost a third target to the first
        request that its callers sent again.
        """
        for target in ("e1", "e2"):
            self.fleet.nodes["r1"].dispatcher.crashed("poison", target, 0.0)
        await asyncio.sleep(30)
        await self.fleet.start("r4")
        node = self.fleet.nodes["r4"]
        await wait_until(node.is_ready)
        known = node.dispatcher.list_crashes(self.fleet.clock.now())
        expected = [Announce("poison", "e1"), Announce("poison", "e2")]
        self.assertEqual(known, expected)
