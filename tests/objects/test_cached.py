"""`CachedObject` needs the fewest calls, with and without other writers."""

import unittest

from anvilshift.objects.cached import CachedObject
from anvilshift.objects.store import update
from anvilshift.standins.memory import MemoryStore


def count(body):
    return {"n": (body or {"n": 0})["n"] + 1}


class CachedObjectTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.cached = CachedObject(self.store, "Note", "a")

    async def test_alone_it_writes_without_reading(self):
        for _ in range(5):
            await self.cached.update(count)
        self.assertEqual(self.store.calls, {"get": 1, "put": 5})

    async def test_contended_it_reads_first_and_wastes_one_write(self):
        """Another router writes between any two of this one's writes."""
        for _ in range(10):
            await self.cached.update(count)
            await update(self.store, "Note", "a", count)
        self.assertEqual(self.store.peek("Note", "a"), {"n": 20})
        self.assertEqual(self.store.calls["put"], 21)

    async def test_contended_it_retries_on_the_object_returned_with_a_conflict(self):
        """Another router writes between any two of this one's writes."""
        self.store.tells_conflicts = True
        for _ in range(10):
            await self.cached.update(count)
            await update(self.store, "Note", "a", count)
        self.assertEqual(self.store.peek("Note", "a"), {"n": 20})
        # The other writer reads each time, this one only once.  Nine of its writes
        # conflict and are retried.
        self.assertEqual(self.store.calls, {"get": 11, "put": 29})

    async def test_object_is_read_after_the_last_conflicting_write(self):
        self.store.tells_conflicts = True
        cached = CachedObject(self.store.view("r1"), "Note", "a")
        await cached.update(count)
        races = iter(range(13))

        async def interfere(caller, verb):
            if (caller, verb) == ("r1", "put") and next(races, None) is not None:
                await update(self.store.view("r2"), "Note", "a", count)

        self.store.faults.before = interfere
        await cached.update(count)
        # One write before the races, thirteen of the other writer, one after them.
        self.assertEqual(self.store.peek("Note", "a"), {"n": 15})

    async def test_lost_answer_is_not_taken_for_a_change_of_another(self):
        await self.cached.update(count)
        self.store.faults.lose_answers = 1
        await self.cached.update(lambda body: {"n": 7})
        await self.cached.update(count)
        self.assertEqual(self.store.peek("Note", "a"), {"n": 8})
