"""Every router receives the report of a crash at once, and applies it only once."""

import asyncio

from anvilshift.core.clock import SECOND
from anvilshift.core.permits import LOST_ROUTER_TIMEOUT
from anvilshift.core.quarantine import CHARGE_LIFETIME
from anvilshift.core.work import CrashAnnouncement
from tests.router.nodes import HEARTBEAT, InProcessFleet, VirtualTestCase, wait_until


class CrashNewsTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.fleet = InProcessFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start("r1", "r2", "r3")
        self.heard = []
        for name, node in self.fleet.nodes.items():
            node.crashes._take = lambda c, t, age, name=name: self.heard.append(
                (name, c, t)
            )

    async def test_news_is_quicker_than_the_caller_that_sends_again(self):
        """A crash must be reported before the caller repeats the request elsewhere.

        Otherwise the router that gets the repeat sends it to a third target.
        """
        started_at = self.fleet.clock.now()
        self.fleet.nodes["r1"].dispatch.announce(CrashAnnouncement("poison", "e1"))
        await wait_until(lambda: len(self.heard) == 2)
        self.assertLess(self.fleet.clock.now() - started_at, HEARTBEAT / 5)
        self.assertEqual({name for name, _, _ in self.heard}, {"r2", "r3"})

    async def test_repeated_news_is_taken_once(self):
        self.fleet.nodes["r1"].dispatch.announce(CrashAnnouncement("poison", "e1"))
        await asyncio.sleep(20)
        self.assertEqual(len(self.heard), 2)
        self.assertEqual(len(self.fleet.nodes["r1"].crashes.list_reports_to_send()), 1)
        await asyncio.sleep(CHARGE_LIFETIME / SECOND)
        self.assertEqual(len(self.heard), 2)
        self.assertEqual(self.fleet.nodes["r1"].crashes.list_reports_to_send(), [])

    async def test_router_that_was_cut_off_hears_once_the_cut_has_healed(self):
        """A router that was partitioned must receive crash reports afterwards.

        If crashes were reported for only a few heartbeats, the same content would
        crash a third target through the router that missed them.
        """
        self.fleet.cut_peers("r3")
        self.fleet.nodes["r1"].dispatch.announce(CrashAnnouncement("poison", "e1"))
        await asyncio.sleep(30)
        self.assertEqual([name for name, _, _ in self.heard], ["r2"])
        self.fleet.cut_peers()
        await wait_until(lambda: len(self.heard) == 2)
        self.assertEqual(self.heard[1], ("r3", "poison", "e1"))

    async def test_news_goes_round_a_cut_between_two_routers(self):
        """A crash report must reach a router through a third one.

        Otherwise the content still runs at a router that can't reach the sender.
        """
        self.fleet.pair_cuts = {frozenset({"r1", "r3"})}
        self.fleet.nodes["r1"].dispatch.announce(CrashAnnouncement("poison", "e1"))
        started_at = self.fleet.clock.now()
        await wait_until(lambda: len(self.heard) == 2)
        self.assertLess(self.fleet.clock.now() - started_at, 3 * HEARTBEAT)
        self.assertEqual(self.heard[1], ("r3", "poison", "e1"))

    async def test_router_that_cannot_hear_another_knows_it(self):
        """A partitioned router must know that it may have missed crash reports.

        Otherwise it would treat contents as harmless that crashed targets elsewhere.
        """
        node = self.fleet.nodes["r1"]
        await wait_until(lambda: not node.dispatcher._state.partitioned)
        self.fleet.cut_peers("r3")
        await wait_until(lambda: node.dispatcher._state.partitioned)
        self.fleet.cut_peers()
        await wait_until(lambda: not node.dispatcher._state.partitioned)

    async def test_router_that_lost_its_record_behind_a_cut_is_reckoned_with(self):
        """A removed router must count as partitioned until it has surely stopped.

        It may still send a content to its targets, so that a third engine could
        crash on a content that already crashed two.
        """
        node = self.fleet.nodes["r1"]
        await wait_until(lambda: not node.dispatcher._state.partitioned)
        self.fleet.cut_from_platform("r3")
        self.fleet.cut_peers("r3")
        await wait_until(lambda: "r3" not in node.fleet.members.member_statuses)
        await asyncio.sleep(2 * HEARTBEAT / SECOND)
        self.assertTrue(node.dispatcher._state.partitioned)
        await asyncio.sleep(LOST_ROUTER_TIMEOUT / SECOND)
        self.assertFalse(node.dispatcher._state.partitioned)

    async def test_neighbours_of_a_crash_do_not_push_out_what_is_blamed(self):
        """Contents that were running during a crash must not displace a blamed one.

        Otherwise the blamed content is no longer reported after a crash with many
        requests in flight.
        """
        crashes = self.fleet.nodes["r1"].crashes
        crashes.report(CrashAnnouncement("poison", "e1"))
        for n in range(200):
            crashes.report(CrashAnnouncement(f"neighbour{n}", "e2", times=0))
        reported = [
            (crash.content, crash.target) for crash in crashes.list_reports_to_send()
        ]
        self.assertIn(("poison", "e1"), reported)
        self.assertEqual(len(reported), 50)

    async def test_router_that_missed_a_beat_hears_with_the_next(self):
        self.fleet.cut_peers("r3")
        self.fleet.nodes["r1"].dispatch.announce(CrashAnnouncement("poison", "e1"))
        await wait_until(lambda: len(self.heard) == 1)
        self.fleet.cut_peers()
        await wait_until(lambda: len(self.heard) == 2)
        self.assertEqual(self.heard[1], ("r3", "poison", "e1"))

    async def test_router_that_starts_anew_hears_what_is_quarantined(self):
        """A new router must receive the quarantined contents of the others.

        Otherwise the first repeat of such a request crashes a third target through
        the new router.
        """
        for target in ("e1", "e2"):
            self.fleet.nodes["r1"].dispatcher.crashed("poison", target, 0.0)
        await asyncio.sleep(30)
        await self.fleet.start("r4")
        node = self.fleet.nodes["r4"]
        await wait_until(node.is_ready)
        known = node.dispatcher.list_crashes(self.fleet.clock.now())
        expected = [
            CrashAnnouncement("poison", "e1"),
            CrashAnnouncement("poison", "e2"),
        ]
        self.assertEqual(known, expected)
