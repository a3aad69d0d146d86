"""An accepted declaration is in force at every router that takes new work."""

import asyncio
import itertools
import random
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.objects.store import ChangeBatch, Listing, StoredObject
from anvilshift.operator.administration import (
    apply_differences,
    compare,
    read_stored,
    wait_until_in_force,
)
from anvilshift.router.following import Follower
from tests.router.nodes import LEASE, InProcessFleet, VirtualTestCase, wait_until


def make_budget(grant):
    return {("Budget", "pounds"): {"kind": "Budget", "name": "pounds", "grant": grant}}


class AcceptanceTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.fleet = InProcessFleet()
        await self.fleet.start("r1", "r2", "r3")
        await self.apply(make_budget(1))

    async def asyncTearDown(self):
        await self.fleet.close()

    async def store(self, documents):
        store = self.fleet.platform
        differences = compare(documents, await read_stored(store), prune=True)
        return await apply_differences(store, documents, differences)

    async def apply(self, documents, timeout=60_000.0):
        newest, lost = await self.store(documents)
        self.assertEqual(lost, [])
        clock = self.fleet.clock
        return await wait_until_in_force(self.fleet.platform, clock, newest, timeout)

    def grant(self, name):
        budget = self.fleet.nodes[name].access_control.catalogue.budgets.get("pounds")
        return budget.grant if budget else None

    async def test_accepted_is_in_force_at_once_everywhere(self):
        acceptance = await self.apply(make_budget(2))
        self.assertTrue(acceptance.accepted)
        self.assertEqual([self.grant(n) for n in ("r1", "r2", "r3")], [2, 2, 2])

    async def test_delete_waits_for_acknowledgement(self):
        """Guards against reporting a delete as accepted before it is in force.

        A delete used to write no revision to wait for, so `apply` reported it as
        accepted at once.
        """
        self.fleet.cut_from_platform("r3")
        self.fleet.cut_peers("r3")
        newest, _ = await self.store({})
        acceptance = await wait_until_in_force(
            self.fleet.platform, self.fleet.clock, newest, 0.0
        )
        self.assertIn("r3", acceptance.waiting)
        self.fleet.cut_from_platform()
        self.fleet.cut_peers()
        self.assertTrue((await self.apply({})).accepted)
        self.assertEqual([self.grant(n) for n in ("r1", "r2", "r3")], [None] * 3)

    async def test_router_cut_from_the_platform_only_works_through_peers(self):
        self.fleet.cut_from_platform("r3")
        acceptance = await self.apply(make_budget(2))
        self.assertTrue(acceptance.accepted)
        self.assertEqual(self.grant("r3"), 2)
        self.assertIn("r3", self.fleet.platform.names("Router"))
        self.assertIn("r3", self.fleet.ready())

    async def test_isolated_router_never_serves_under_replaced_declarations(self):
        """Guards against serving under replaced declarations.

        A router loses the platform and its peers, and a new declaration is
        accepted without it. Callers that still reach it would be served under the
        old one.
        """
        self.fleet.cut_from_platform("r3")
        self.fleet.cut_peers("r3")
        await wait_until(lambda: self.grant("r3") == 1)
        applying = asyncio.create_task(self.apply(make_budget(2)))
        while not applying.done():
            await asyncio.sleep(0.01)
        self.assertTrue(applying.result().accepted)
        self.assertNotIn("r3", self.fleet.ready())
        self.fleet.cut_from_platform()
        self.fleet.cut_peers()
        async with asyncio.timeout(60):
            while "r3" not in self.fleet.ready():
                await asyncio.sleep(0.001)
            served_old = self.grant("r3") == 1
        self.assertFalse(served_old)

    async def test_routers_serve_in_an_outage_and_a_new_router_waits_for_its_end(self):
        """The platform is unavailable for longer than every lease.

        All routers must go on serving. A router that starts during the outage has
        no declarations and must refuse callers until it holds the newest ones.
        """
        self.fleet.platform.faults.outage = True
        self.fleet.cut_from_platform()
        new_router = self.fleet.start_one("r4")
        clock = self.fleet.clock
        end = clock.now() + 4 * LEASE
        while clock.now() < end:
            self.assertEqual(self.fleet.ready(), {"r1", "r2", "r3"})
            await asyncio.sleep(0.02)
        self.fleet.platform.faults.outage = False
        await wait_until(new_router.is_ready)
        self.assertEqual(self.grant("r4"), 1)

    async def test_router_that_changes_sides_does_not_keep_its_vote(self):
        """Guards against removing a majority by a vote of one of its own routers.

        Four of six routers lose the platform, after an outage of all, and serve on.
        One of the two others joins them, having voted for their removal; one of the
        four then returns to the platform and votes too.  No three routers at once
        have reached it.
        """
        await self.change_sides(outage=True)

    async def test_router_that_changes_sides_after_a_sudden_cut(self):
        """Guards against the same order of events without an outage before it."""
        await self.change_sides(outage=False)

    async def change_sides(self, outage):
        for name in ("r4", "r5", "r6"):
            self.fleet.start_one(name)
        await wait_until(lambda: len(self.fleet.ready()) == 6)
        await asyncio.sleep(4 * LEASE / SECOND)
        if outage:
            self.divide(set(self.fleet.nodes), set())
            await asyncio.sleep(LEASE / 2 / SECOND)
        cut_off = {"r1", "r2", "r3", "r5"}
        self.divide(cut_off, {"r4", "r6"})
        await asyncio.sleep(3 * LEASE / SECOND)
        self.assertLessEqual(cut_off, self.fleet.ready())
        self.divide(cut_off, {"r4"}, {"r6"})
        await asyncio.sleep(LEASE / SECOND)
        self.divide(cut_off | {"r4"}, {"r6"})
        await asyncio.sleep(LEASE / SECOND)
        replaced = {"r1", "r2", "r3", "r4"}
        self.divide(replaced, {"r5", "r6"})
        acceptance = await self.apply(make_budget(2), timeout=10 * LEASE)
        self.assertLessEqual({"r1", "r2", "r3"}, self.fleet.ready())
        self.assertFalse(acceptance.accepted)
        self.divide(set(self.fleet.nodes))
        self.assertTrue((await self.apply(make_budget(3))).accepted)

    def divide(self, *groups):
        """Cut groups off from each other, and all but the last from the platform."""
        names = {name for group in groups for name in group}
        side = {name: group for group in groups for name in group}
        self.fleet.pair_cuts = {
            frozenset(pair)
            for pair in itertools.combinations(names, 2)
            if side[pair[0]] is not side[pair[1]]
        }
        self.fleet.cut_from_platform(*(names - groups[-1]))

    async def test_minority_with_the_platform_waits_for_the_majority(self):
        """One of three routers reaches the platform; the others only reach each other.

        The other two assume a platform outage and go on serving, so a declaration
        must not be accepted without them.
        """
        self.fleet.cut_from_platform("r2", "r3")
        self.fleet.cut_peers("r1")
        await wait_until(
            lambda: (
                len(self.fleet.nodes["r1"].fleet.members.lost(self.fleet.clock.now()))
                == 2
            )
        )
        acceptance = await self.apply(make_budget(2), timeout=4 * LEASE)
        self.assertEqual(set(acceptance.waiting), {"r2", "r3"})
        self.assertEqual(self.fleet.ready(), {"r1", "r2", "r3"})
        self.fleet.cut_from_platform()
        self.fleet.cut_peers()
        self.assertTrue((await self.apply(make_budget(2))).accepted)
        self.assertEqual([self.grant(n) for n in ("r1", "r2", "r3")], [2, 2, 2])

    async def test_conflicting_write_overwrites_nothing(self):
        store = self.fleet.platform
        stored = await read_stored(store)
        differences = compare(make_budget(5), stored, prune=False)
        await self.apply(make_budget(4))
        _, lost = await apply_differences(store, make_budget(5), differences)
        self.assertEqual([item.name for item in lost], ["pounds"])
        self.assertEqual(store.read_ignoring_faults("Budget", "pounds")["grant"], 4)

    async def test_delete_in_a_watch_gap_is_detected(self):
        """A budget is deleted in an outage, and the platform discards its history.

        A watch that resumed from the old revision would never receive the delete.
        """
        self.fleet.cut_from_platform("r1", "r2", "r3")
        await self.store({})
        self.fleet.platform.forget_history()
        self.fleet.cut_from_platform()
        await wait_until(lambda: self.grant("r1") is None)
        self.assertTrue((await self.apply({})).accepted)

    async def test_unreadable_router_record_does_not_end_the_watch(self):
        """Another program writes an invalid Router object.

        Routers whose watch ended with that error would never receive a change.
        """
        store = self.fleet.platform
        await store.put("Router", "r9", {"name": 5}, 0)
        newest, _ = await self.store(make_budget(2))
        await wait_until(lambda: {self.grant(n) for n in ("r1", "r2", "r3")} == {2})
        acceptance = await wait_until_in_force(store, self.fleet.clock, newest, 5_000.0)
        self.assertEqual(acceptance.waiting, ("r9",))

    async def test_unreadable_declaration_is_not_acknowledged(self):
        """A newer program stores a field that these routers can't read.

        They keep the last state that they could read, and `apply` lists them as
        waiting.
        """
        newest, _ = await self.store(make_budget("many"))
        acceptance = await wait_until_in_force(
            self.fleet.platform, self.fleet.clock, newest, LEASE
        )
        self.assertEqual(set(acceptance.waiting), {"r1", "r2", "r3"})
        self.assertEqual(self.grant("r1"), 1)
        self.assertTrue((await self.apply(make_budget(3))).accepted)


class StaleStore:
    """Return a new listing, then an older one, then the new one again."""

    def __init__(self):
        body = make_budget(2)["Budget", "pounds"]
        old = make_budget(1)["Budget", "pounds"]
        new = Listing(9, (StoredObject("Budget", "pounds", 9, body),))
        self.listings = [
            new,
            Listing(4, (StoredObject("Budget", "pounds", 4, old),)),
            new,
        ]

    async def list(self, kinds):
        if not self.listings:
            await asyncio.Event().wait()
        return self.listings.pop(0)

    async def watch(self, kinds, after, wait):
        return ChangeBatch(after, too_old=True)


class StaleListingTest(unittest.IsolatedAsyncioTestCase):
    async def test_older_listing_reverts_nothing(self):
        store = StaleStore()
        seen = []
        follower = Follower(store, seen.append, lambda n, b: None, random.Random(1))
        task = asyncio.create_task(follower.run())
        await wait_until(lambda: not store.listings)
        task.cancel()
        self.assertEqual({c.budgets["pounds"].grant for c in seen}, {2})
        self.assertEqual(follower.acknowledged, 9)


class EndedTaskTest(VirtualTestCase):
    async def test_router_whose_watch_has_ended_refuses_new_work(self):
        """An exception in the program ends the watch.

        The router would go on serving under old declarations, because it still
        renews its lease.
        """
        fleet = InProcessFleet()
        self.addAsyncCleanup(fleet.close)
        await fleet.start("r1", "r2")
        node = fleet.nodes["r1"]
        node.follower._take_catalogue = None
        await fleet.platform.put(
            "Budget", "pounds", make_budget(1)["Budget", "pounds"], 0
        )
        await wait_until(lambda: not node.is_ready())
        self.assertTrue(fleet.nodes["r2"].is_ready())
