import asyncio
import unittest

from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.allotting import KIND, NAME, Allotter, read_allotments
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.silent import SilentJournal

POUNDS = "pounds"


class Fleet:
    """Allotters of several hosts on one store; gifts take a millisecond."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.allotters: dict[str, Allotter] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.spent = 0
        self.births = 0

    def start(self, node: str, total: int = 10_000, version: int = 1) -> Allotter:
        self.births += 1
        allotter = Allotter(
            self.store.view(node),
            node,
            f"{node}.{self.births}",
            VirtualClock(),
            SilentJournal(),
            lambda name, tokens: self._ask(node, name, tokens),
        )
        allotter.configure(version, {POUNDS: total})
        self.allotters[node] = allotter
        self.tasks[node] = asyncio.create_task(allotter.run())
        return allotter

    def _ask(self, asker: str, name: str, tokens: int) -> None:
        for node, other in self.allotters.items():
            if node != asker:
                given = other.give(name, tokens)
                loop = asyncio.get_running_loop()
                loop.call_later(0.001, self.allotters[asker].receive, name, given)

    def kill(self, node: str) -> None:
        self.tasks.pop(node).cancel()
        self.spent += self.allotters.pop(node).wallet.purses[POUNDS].settled

    async def spend(self, node: str, key: str, tokens: int) -> bool:
        allotter = self.allotters[node]
        until = VirtualClock().now() + 5_000.0
        try:
            await allotter.reserve(POUNDS, key, tokens, until)
        except AnvilshiftError:
            return False
        allotter.settle(POUNDS, key, tokens)
        return True

    def count_spent(self) -> int:
        live = [a.wallet.purses[POUNDS].settled for a in self.allotters.values()]
        return self.spent + sum(live)

    def read(self):
        return read_allotments(self.store.peek(KIND, NAME)).of(POUNDS)

    def stop(self) -> None:
        for task in self.tasks.values():
            task.cancel()


class AllotterTest(unittest.TestCase):
    def play(self, course):
        async def run():
            fleet = Fleet()
            try:
                await course(fleet)
            finally:
                fleet.stop()

        run_virtual(run())

    def test_a_total_is_spent_to_its_end_and_not_beyond(self):
        async def course(fleet):
            for node in ("a", "b", "c"):
                fleet.start(node, total=3_000)
            served = 0
            for n in range(45):
                served += await fleet.spend("abc"[n % 3], str(n), 100)
            self.assertLessEqual(fleet.count_spent(), 3_000)
            self.assertGreaterEqual(served, 29)

        self.play(course)

    def test_work_goes_on_while_all_are_cut_from_the_store(self):
        """Every router is cut from the store for 8 s.

        One of them has spent its share while the others still have theirs;
        its callers would be refused though tokens are there.
        """

        async def course(fleet):
            for node in ("a", "b", "c", "d"):
                fleet.start(node, total=10_000)
            await asyncio.sleep(1.0)
            fleet.store.faults.cut = {"a", "b", "c", "d"}
            served = [await fleet.spend("a", str(n), 100) for n in range(9)]
            self.assertEqual(served, [True] * 9)
            self.assertLessEqual(fleet.count_spent(), 10_000)

        self.play(course)

    def test_killed_and_started_anew_again_and_again_nothing_is_overspent(self):
        async def course(fleet):
            for node in ("a", "b"):
                fleet.start(node, total=5_000)
            for n in range(40):
                await fleet.spend("ab"[n % 2], f"{n}", 250)
                if n % 7 == 3:
                    fleet.kill("a")
                    fleet.start("a", total=5_000)
                    await asyncio.sleep(0.5)
            self.assertLessEqual(fleet.count_spent(), 5_000)

        self.play(course)

    def test_a_start_ends_the_shares_of_its_former_incarnation(self):
        async def course(fleet):
            fleet.start("a")
            await asyncio.sleep(1.0)
            fleet.kill("a")
            fleet.start("a")
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.read().shares), {"a.2"})
            self.assertGreater(fleet.read().doubt, 0)

        self.play(course)

    def test_a_farewell_leaves_nothing_in_doubt(self):
        """A router stops as planned while it is cut from the store.

        Its share can't be handed back; counted as spent whole, a fifth of the
        organisation's tokens would be out of reach for the day.
        """

        async def course(fleet):
            fleet.start("a")
            other = fleet.start("b")
            await asyncio.sleep(1.0)
            await fleet.spend("a", "x", 100)
            spent = fleet.allotters["a"].list_spent()
            fleet.kill("a")
            other.note_ended("a.1", spent)
            await asyncio.sleep(2.0)
            self.assertNotIn("a.1", fleet.read().shares)
            self.assertEqual((fleet.read().closed, fleet.read().doubt), (100, 0))

        self.play(course)

    def test_a_write_whose_answer_is_lost_is_not_counted_on(self):
        async def course(fleet):
            allotter = fleet.start("a")
            await asyncio.sleep(1.0)
            for n in range(20):
                fleet.store.faults.lose_answers = n % 3
                await fleet.spend("a", str(n), 400)
                await asyncio.sleep(0.3)
            ceiling = fleet.read().shares["a.1"].ceiling
            self.assertLessEqual(allotter.wallet.purses[POUNDS].spent, ceiling)
            self.assertLessEqual(fleet.count_spent(), 10_000)

        self.play(course)

    def test_an_exhausted_total_is_told_from_one_out_of_reach(self):
        async def course(fleet):
            fleet.start("a", total=1_000)
            await asyncio.sleep(1.0)
            self.assertTrue(await fleet.spend("a", "x", 900))
            with self.assertRaises(AnvilshiftError) as caught:
                await fleet.allotters["a"].reserve(POUNDS, "y", 500, 60_000.0)
            self.assertEqual(caught.exception.code.number, 2001)
            fleet.store.faults.outage = True
            await asyncio.sleep(3.0)
            with self.assertRaises(AnvilshiftError) as caught:
                await fleet.allotters["a"].reserve(POUNDS, "z", 600, 60_000.0)
            self.assertEqual(caught.exception.code.number, 2002)

        self.play(course)

    def test_a_closed_share_is_handed_back_and_not_drawn_again(self):
        async def course(fleet):
            allotter = fleet.start("a")
            await asyncio.sleep(1.0)
            await fleet.spend("a", "x", 100)
            await allotter.close()
            await asyncio.sleep(3.0)
            self.assertEqual(fleet.read().shares, {})
            self.assertEqual(fleet.read().closed, 100)

        self.play(course)
