import asyncio
import unittest

from anvilshift.core.errors import PLATFORM_DOWN, AnvilshiftError
from anvilshift.objects.hedged import HedgedStore
from anvilshift.objects.store import ChangeBatch, Listing, UncertainWriteError
from anvilshift.standins.virtual import VirtualClock, run_virtual
from anvilshift.wire.response import ExchangeError

WAIT = 1_000.0


class LineStore:
    """A store whose watches wait for as long as its open connections are silent.

    Attributes
    ----------
    is_silent
        Whether watches that are made now are never answered.
    late
        Milliseconds by which the answers of watches are late.
    connections
        How many connections have been opened.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.late = 4.0
        self.watches: list[float] = []
        self.ended = 0
        self.renewals = 0
        self.connections = 0

    def renew(self) -> None:
        self.renewals += 1

    def count_connections(self) -> int:
        return self.connections

    async def watch(self, kinds, after, wait):
        self.watches.append(asyncio.get_running_loop().time())
        try:
            if self.is_silent:
                await asyncio.sleep((wait + 1_000.0) / 1_000.0)
                raise AnvilshiftError(PLATFORM_DOWN)
            await asyncio.sleep((wait + self.late) / 1_000.0)
            return ChangeBatch(after + len(self.watches))
        finally:
            self.ended += 1

    async def put(self, kind, name, body, version):
        await asyncio.sleep(0.1)
        cause = ExchangeError("no answer in time", True, True, silent=True)
        raise UncertainWriteError("no answer in time") from cause

    async def list(self, kinds):
        return Listing(7, ())

    async def get(self, kind, name):
        raise AnvilshiftError(PLATFORM_DOWN, "refused")


class HedgedStoreTest(unittest.TestCase):
    def setUp(self):
        self.line = LineStore()
        self.doubts: list[str] = []

    def play(self, scenario):
        async def run():
            store = HedgedStore(self.line, VirtualClock(), self.doubts.append)
            return await scenario(store)

        return run_virtual(run())

    def test_answer_in_time_needs_no_other_watch(self):
        found = self.play(lambda store: store.watch(["k"], 5, WAIT))
        self.assertEqual((found.revision, len(self.line.watches)), (6, 1))
        self.assertEqual(self.doubts, [])

    def test_overdue_watch_is_made_anew_and_the_first_answer_counts(self):
        """Guards against a watch that waits for a connection that is silent."""

        async def scenario(store):
            self.line.is_silent = True
            watching = asyncio.create_task(store.watch(["k"], 5, WAIT))
            await asyncio.sleep(0.5)
            self.line.is_silent = False
            return await watching

        self.assertEqual(self.play(scenario).revision, 7)
        first, second = self.line.watches
        self.assertAlmostEqual(second - first, 1.3, delta=0.01)
        self.assertEqual((self.line.renewals, self.line.ended), (1, 2))

    def test_call_without_an_answer_renews_the_watches_at_once(self):
        """Guards against watches that hang on after a call has shown the silence."""

        async def scenario(store):
            watching = asyncio.create_task(store.watch(["k"], 5, WAIT))
            await asyncio.sleep(0.1)
            with self.assertRaises(UncertainWriteError):
                await store.put("k", "a", {}, 1)
            await asyncio.sleep(0.01)
            count = len(self.line.watches)
            await watching
            return count

        self.assertEqual(self.play(scenario), 2)
        self.assertEqual(self.doubts, ["a call got no answer"])

    def test_single_answer_that_is_lost_is_no_reason_to_doubt(self):
        """Guards against watches made anew for each answer that a store loses."""

        async def scenario(store):
            losing = asyncio.create_task(store.put("k", "a", {}, 1))
            await asyncio.sleep(0.05)
            await store.list(["k"])
            with self.assertRaises(UncertainWriteError):
                await losing

        self.play(scenario)
        self.assertEqual(self.doubts, [])

    def test_refused_call_is_no_reason_to_doubt(self):
        async def scenario(store):
            with self.assertRaises(AnvilshiftError):
                await store.get("k", "a")

        self.play(scenario)
        self.assertEqual(self.doubts, [])

    def test_call_that_began_before_a_renewal_shows_nothing_new(self):
        """Guards against a renewal for each of many calls that one silence ends."""

        async def scenario(store):
            calls = []
            for _ in range(5):
                calls.append(asyncio.create_task(store.put("k", "a", {}, 1)))
                await asyncio.sleep(0.015)
            await asyncio.gather(*calls, return_exceptions=True)

        self.play(scenario)
        self.assertEqual(self.line.renewals, 1)

    def test_store_that_answers_nothing_is_given_up(self):
        """Guards against a store in an outage that is asked for ever more watches."""
        self.line.is_silent = True

        async def scenario(store):
            for _ in range(3):
                with self.assertRaises(AnvilshiftError):
                    await store.watch(["k"], 5, WAIT)

        self.play(scenario)
        # Two renewals of the first, and none of those that follow.
        self.assertEqual((len(self.line.watches), self.line.renewals), (5, 2))

    def test_store_that_accepts_connections_is_not_given_up(self):
        """Guards against connections that fall silent one after the other."""
        self.line.is_silent = True

        async def scenario(store):
            watching = asyncio.create_task(store.watch(["k"], 5, WAIT))
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.line.connections = len(self.line.watches)
            self.line.is_silent = False
            return await watching

        self.play(scenario)
        first, *others = self.line.watches
        self.assertEqual([round(at - first, 1) for at in others], [1.3, 2.6, 3.9, 5.2])

    def test_slow_answers_are_not_overdue(self):
        """Guards against a store that is asked twice because it is slow."""
        self.line.late = 200.0

        async def scenario(store):
            for late in (200.0, 300.0, 400.0, 600.0, 900.0):
                self.line.late = late
                await store.watch(["k"], 5, WAIT)

        self.play(scenario)
        self.assertLessEqual(self.line.renewals, 1)

    def test_renewal_makes_every_watch_anew(self):
        async def scenario(store):
            watches = [asyncio.create_task(store.watch([k], 5, WAIT)) for k in "ab"]
            await asyncio.sleep(0.1)
            store.renew()
            await asyncio.gather(*watches)

        self.play(scenario)
        self.assertEqual(len(self.line.watches), 4)

    def test_renewal_as_a_watch_ends_leaves_no_call_behind(self):
        """Guards against a watch that nobody waits for any more."""

        async def scenario(store):
            watching = asyncio.create_task(store.watch(["k"], 5, WAIT))
            await asyncio.sleep(0.1)
            watching.cancel()
            # The watch is being stopped, and has not ended yet.
            await asyncio.sleep(0)
            store.renew()
            await asyncio.gather(watching, return_exceptions=True)
            await asyncio.sleep(0.1)

        self.play(scenario)
        self.assertEqual((len(self.line.watches), self.line.ended), (1, 1))

    def test_watch_that_is_cancelled_leaves_no_call_behind(self):
        async def scenario(store):
            watching = asyncio.create_task(store.watch(["k"], 5, WAIT))
            await asyncio.sleep(0.1)
            store.renew()
            await asyncio.sleep(0.1)
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

        self.play(scenario)
        self.assertEqual((len(self.line.watches), self.line.ended), (2, 2))


if __name__ == "__main__":
    unittest.main()
