import asyncio
import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.core.errors import PLATFORM_DOWN, AnvilshiftError
from anvilshift.gateway.following import Follower, TargetEntries, WatchIntervals
from anvilshift.objects.store import Listing, StoredObject
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.silent import SilentJournal


async def refuse_call(caller: str, verb: str) -> None:
    raise AnvilshiftError(PLATFORM_DOWN)


async def accept_call(caller: str, verb: str) -> None:
    return None


class ConfirmationTest(unittest.TestCase):
    def test_an_answer_confirms_what_was_so_when_it_was_asked_for(self):
        """Guards against knowledge taken for newer than the call that brought it."""

        async def run():
            store, clock = MemoryStore(), VirtualClock()
            store.faults.after = delay_answer
            follower = Follower(
                store.view("r1"),
                "config",
                WatchIntervals(wait=1_000.0),
                clock,
                SilentJournal(),
                lambda change: None,
            )
            began = clock.now()
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.6)
            listed = follower.confirmed - began
            await asyncio.sleep(1.6)
            task.cancel()
            return listed, follower.confirmed - began

        listed, watched = run_virtual(run())
        self.assertAlmostEqual(listed, 0.0, delta=1.0)
        self.assertAlmostEqual(watched, 500.0, delta=1.0)


async def delay_answer(caller: str, verb: str) -> None:
    await asyncio.sleep(0.5)


class FollowerTest(unittest.TestCase):
    def follow(self, scenario):
        """Run a scenario while a follower runs, in virtual time."""

        async def run():
            store = MemoryStore()
            seen = []
            follower = Follower(
                store,
                "config",
                WatchIntervals(wait=1_000.0),
                VirtualClock(),
                SilentJournal(),
                lambda change: seen.append((change.name, change.body)),
            )
            task = asyncio.create_task(follower.run())
            try:
                await scenario(store, follower, seen)
            finally:
                task.cancel()

        run_virtual(run())

    def test_existing_objects_and_changes_are_reported(self):
        async def scenario(store, follower, seen):
            await store.put("config", "main", {"version": 1}, 0)
            await asyncio.sleep(0.1)
            await store.put("config", "main", {"version": 2}, 1)
            await asyncio.sleep(0.1)
            self.assertEqual(seen, [("main", {"version": 1}), ("main", {"version": 2})])
            self.assertTrue(follower.is_fresh())

        self.follow(scenario)

    def test_following_continues_after_an_outage(self):
        async def scenario(store, follower, seen):
            await asyncio.sleep(0.1)
            store.faults.outage = True
            await asyncio.sleep(10.0)
            self.assertFalse(follower.is_fresh())
            store.faults.outage = False
            await store.put("config", "main", {"version": 3}, 0)
            await asyncio.sleep(1.5)
            self.assertEqual(seen, [("main", {"version": 3})])

        self.follow(scenario)

    def test_calls_become_less_frequent_during_a_long_outage(self):
        """The store is unreachable for 8 s, and each router has two followers.

        With dozens of routers, three calls per second and follower were expensive,
        because every call is priced.
        """

        async def scenario(store, follower, seen):
            probe = Follower(
                store,
                "targets",
                WatchIntervals(wait=1_000.0),
                VirtualClock(),
                SilentJournal(),
                lambda change: None,
            )
            follower.probe = probe
            task = asyncio.create_task(probe.run())
            await asyncio.sleep(2.0)
            store.calls.clear()
            store.faults.before = refuse_call
            await asyncio.sleep(8.0)
            # The probe pauses for 0.3, 0.45, 0.675 and then 0.9 s, so it makes at most
            # twelve calls.  The follower pauses for at least 1.2 s, so it makes at most
            # eight.
            self.assertLessEqual(store.calls.total(), 20)
            store.faults.before = accept_call
            await store.put("config", "main", {"version": 3}, 0)
            await asyncio.sleep(1.0)
            self.assertEqual(seen[-1:], [("main", {"version": 3})])
            task.cancel()

        self.follow(scenario)

    def test_lost_history_causes_a_new_list(self):
        async def scenario(store, follower, seen):
            await store.put("config", "main", {"version": 1}, 0)
            await asyncio.sleep(0.1)
            store.faults.outage = True
            await asyncio.sleep(2.0)
            store.faults.outage = False
            await store.put("config", "main", {"version": 2}, 1)
            store.forget_history()
            await asyncio.sleep(1.5)
            self.assertEqual(seen[-1], ("main", {"version": 2}))

        self.follow(scenario)


class ListingTest(unittest.TestCase):
    def test_listing_older_than_what_is_known_is_refused(self):
        """Guards against entries that come back because an answer was late."""

        class LateStore:
            """A store whose second listing is older than the first."""

            listings = [
                Listing(7, (StoredObject("targets", "e1", 7, {"state": "leaving"}),)),
                Listing(5, (StoredObject("targets", "e1", 5, {"state": "ready"}),)),
            ]

            async def list(self, kinds):
                return self.listings.pop(0)

        seen = []
        follower = Follower(
            LateStore(),
            "targets",
            WatchIntervals(wait=1_000.0),
            ManualClock(),
            SilentJournal(),
            lambda change: seen.append(change.body["state"]),
        )
        self.assertTrue(asyncio.run(follower.poll()))
        follower.restart()
        self.assertFalse(asyncio.run(follower.poll()))
        self.assertEqual(seen, ["leaving"])


class RegisterTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(start=100_000.0)
        self.removed = []
        self.entries = TargetEntries(self.clock, self.removed.append)

    def test_a_missing_entry_is_removed_at_once_without_an_outage(self):
        self.entries.put("e1", 1)
        self.entries.drop("e1")
        self.assertEqual(self.removed, ["e1"])

    def test_an_entry_that_expired_in_an_outage_may_return(self):
        """A target's entry expires during an outage of the store.

        If the entry counted as removed when the store is back, a healthy target would
        get no work for the two seconds that it needs to register again.
        """
        self.entries.put("e1", 1)
        self.entries.note_outage()
        self.clock.advance(500.0)
        self.entries.drop("e1")
        self.clock.advance(1_500.0)
        self.entries.remove_missing()
        self.assertEqual(self.removed, [])
        self.entries.put("e1", 1)
        self.clock.advance(5_000.0)
        self.entries.remove_missing()
        self.assertEqual(self.removed, [])

    def test_an_entry_that_stays_missing_after_an_outage_is_removed(self):
        self.entries.put("e1", 1)
        self.entries.note_outage()
        self.entries.drop("e1")
        self.clock.advance(2_300.0)
        self.entries.remove_missing()
        self.assertEqual(self.removed, ["e1"])

    def test_entries_missing_in_a_list_are_removed(self):
        self.entries.put("e1", 1)
        self.entries.put("e2", 1)
        self.entries.settle({"e2"})
        self.assertEqual(self.removed, ["e1"])
