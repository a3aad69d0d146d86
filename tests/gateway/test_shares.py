import asyncio
import unittest

from anvilshift.core.allocators import list_allocators
from anvilshift.core.errors import AnvilshiftError
from tests.gateway.fleet import POUNDS, run_scenario


class ShareManagerTest(unittest.TestCase):
    def test_the_whole_total_can_be_spent_and_not_more(self):
        async def scenario(fleet):
            for node in ("a", "b", "c"):
                fleet.start(node, total=3_000)
            served = 0
            for n in range(45):
                served += await fleet.spend("abc"[n % 3], str(n), 100)
            self.assertLessEqual(fleet.count_spent(), 3_000)
            self.assertGreaterEqual(served, 29)

        run_scenario(scenario)

    def test_routers_that_start_together_do_not_all_write_the_shares(self):
        """After a power failure twelve routers start 110 ms apart.

        A router that knew few others considered itself an allocator and wrote its
        share.  The writes conflicted, and callers waited for the two actual allocators.
        """

        async def scenario(fleet):
            for n in range(12):
                fleet.start(f"r{n}", total=100_000)
                await asyncio.sleep(0.11)
            await asyncio.sleep(2.0)
            writers = {
                node
                for node, journal in fleet.journals.items()
                if "shares_written" in journal.list_events()
            }
            allocators = list_allocators(POUNDS, [f"r{n}" for n in range(12)])
            self.assertLessEqual(writers, set(allocators))

        run_scenario(scenario)

    def test_requests_are_served_while_no_router_reaches_the_store(self):
        """No router reaches the store for 8 s.

        One router spends its share while the others still have theirs.  Its callers
        would be refused although there are tokens left.
        """

        async def scenario(fleet):
            for node in ("a", "b", "c", "d"):
                fleet.start(node, total=10_000)
            await asyncio.sleep(1.0)
            fleet.store.faults.cut = {"a", "b", "c", "d"}
            served = [await fleet.spend("a", str(n), 100) for n in range(9)]
            self.assertEqual(served, [True] * 9)
            self.assertLessEqual(fleet.count_spent(), 10_000)

        run_scenario(scenario)

    def test_repeated_kills_and_restarts_cause_no_overspending(self):
        async def scenario(fleet):
            for node in ("a", "b"):
                fleet.start(node, total=5_000)
            for n in range(40):
                await fleet.spend("ab"[n % 2], f"{n}", 250)
                if n % 7 == 3:
                    fleet.kill("a")
                    fleet.start("a", total=5_000)
                    await asyncio.sleep(0.5)
            self.assertLessEqual(fleet.count_spent(), 5_000)

        run_scenario(scenario)

    def test_a_restart_ends_the_share_of_the_former_incarnation(self):
        async def scenario(fleet):
            fleet.start("a")
            await asyncio.sleep(1.0)
            fleet.kill("a")
            fleet.start("a")
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.read().shares), {"a.2"})
            self.assertGreater(fleet.read().doubt, 0)

        run_scenario(scenario)

    def test_a_farewell_leaves_nothing_in_doubt(self):
        """A planned stop of a router happens while it can't reach the store.

        The router can't return its share.  If all of it counted as spent, a fifth of
        the organisation's tokens would be unavailable for the day.
        """

        async def scenario(fleet):
            fleet.start("a")
            other = fleet.start("b")
            await asyncio.sleep(1.0)
            await fleet.spend("a", "x", 100)
            spent = fleet.allotters["a"].list_spent()
            fleet.kill("a")
            other.record_ended("a.1", spent)
            await asyncio.sleep(2.0)
            self.assertNotIn("a.1", fleet.read().shares)
            self.assertEqual((fleet.read().closed, fleet.read().doubt), (100, 0))

        run_scenario(scenario)

    def test_tokens_of_an_unanswered_write_are_not_spent(self):
        async def scenario(fleet):
            allotter = fleet.start("a")
            await asyncio.sleep(1.0)
            for n in range(20):
                fleet.store.faults.lose_answers = n % 3
                await fleet.spend("a", str(n), 400)
                await asyncio.sleep(0.3)
            ceiling = fleet.read().shares["a.1"].ceiling
            self.assertLessEqual(allotter.balances.by_name[POUNDS].spent, ceiling)
            self.assertLessEqual(fleet.count_spent(), 10_000)

        run_scenario(scenario)

    def test_an_exhausted_total_and_an_unreachable_store_have_different_codes(self):
        async def scenario(fleet):
            fleet.start("a", total=1_000)
            await asyncio.sleep(1.0)
            self.assertTrue(await fleet.spend("a", "x", 900))
            with self.assertRaises(AnvilshiftError) as caught:
                await fleet.reservations["a"].reserve(POUNDS, "y", 500, 60_000.0)
            self.assertEqual(caught.exception.code.number, 2001)
            fleet.store.faults.outage = True
            await asyncio.sleep(3.0)
            with self.assertRaises(AnvilshiftError) as caught:
                await fleet.reservations["a"].reserve(POUNDS, "z", 600, 60_000.0)
            self.assertEqual(caught.exception.code.number, 2002)

        run_scenario(scenario)

    def test_a_closed_router_returns_its_share_and_draws_no_more(self):
        async def scenario(fleet):
            allotter = fleet.start("a")
            await asyncio.sleep(1.0)
            await fleet.spend("a", "x", 100)
            await allotter.close()
            await asyncio.sleep(3.0)
            self.assertEqual(fleet.read().shares, {})
            self.assertEqual(fleet.read().closed, 100)

        run_scenario(scenario)
