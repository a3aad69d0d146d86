import asyncio
import json
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.gateway.history import EMPTY_KIND, HistorySearch
from anvilshift.objects.store import ChangeBatch
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual

KIND = "Record"
HISTORY = 20 * SECOND
WRITES = 200
INTERVAL_S = 0.15
LINK_BYTES_PER_S = 3_000_000
RECORD = {"uses": "x" * 5_000}


class CountingStore:
    """A store behind a link; a watch takes as long as its answer's bytes need.

    Parameters
    ----------
    reports_loss
        Whether the empty kind reports that history is lost.
    """

    def __init__(self, store: MemoryStore, reports_loss: bool = True) -> None:
        self._store = store
        self._reports_loss = reports_loss
        self.received = 0

    async def watch(self, kinds, after, wait):
        found = await self._store.watch(kinds, after, wait)
        size = sum(len(json.dumps(change.body)) for change in found.changes)
        self.received += size
        await asyncio.sleep(size / LINK_BYTES_PER_S)
        if kinds == [EMPTY_KIND] and not self._reports_loss:
            return ChangeBatch(found.revision)
        return found


def search(reports_loss: bool = True, first: int = 1):
    """Write records for 30 s; search their revisions 1.9 s after the last pause."""

    async def run():
        clock = VirtualClock()
        store = MemoryStore(clock, HISTORY)
        version = 0
        for _ in range(WRITES):
            version = (await store.put(KIND, "a", RECORD, version)).version
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(1.9)
        link = CountingStore(store, reports_loss)
        begun = clock.now()
        revisions = range(first, WRITES + 1)
        found = await HistorySearch(link, KIND, clock).find_oldest(revisions)
        oldest = None if found is None else revisions[found.index]
        return oldest, link.received, clock.now() - begun

    return run_virtual(run())


# Writes are 150 ms apart; the last was 2,050 ms before the search, and a change is kept
# for 20,000 ms.  So the changes of 17,950 / 150 = 119 writes before the last one are
# kept as well, and the oldest that can be followed is the one before these.
OLDEST = WRITES - 119 - 1


class HistorySearchTest(unittest.TestCase):
    def test_search_transfers_no_records(self):
        """Guards against a restart that reads a megabyte of records over a slow link.

        Until it knows how long its former process ran, its tokens are out of reach.
        """
        oldest, received, span = search()
        self.assertEqual(oldest, OLDEST)
        self.assertEqual(received, 0)
        self.assertLess(span, 50.0)

    def test_store_whose_empty_kind_reports_no_loss(self):
        """Guards against a bound that the store never proved."""
        oldest, received, _ = search(reports_loss=False)
        self.assertGreaterEqual(oldest, OLDEST)
        self.assertGreater(received, 0)

    def test_nothing_is_found_once_the_history_is_lost(self):
        async def run():
            clock = VirtualClock()
            store = MemoryStore(clock, HISTORY)
            await store.put(KIND, "a", RECORD, 0)
            await store.put(KIND, "b", RECORD, 0)
            store.forget_history()
            return await HistorySearch(store, KIND, clock).find_oldest([0, 1])

        self.assertIsNone(run_virtual(run()))

    def test_the_first_revision_is_found_while_it_is_kept(self):
        oldest, _, _ = search(first=OLDEST + 5)
        self.assertEqual(oldest, OLDEST + 5)


if __name__ == "__main__":
    unittest.main()
