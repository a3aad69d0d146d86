"""Test that the in-memory platform behaves like the HTTP one, with faults."""

import asyncio
import unittest

from anvilshift.core.errors import PLATFORM_DOWN, AnvilshiftError
from anvilshift.objects.store import ConflictError, UncertainError, update
from anvilshift.standins.memory import MemoryStore


class MemoryStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    async def test_write_requires_the_current_version(self):
        first = await self.store.put("Note", "a", {"n": 1}, 0)
        with self.assertRaises(ConflictError):
            await self.store.put("Note", "a", {"n": 2}, 0)
        second = await self.store.put("Note", "a", {"n": 2}, first.version)
        await self.store.delete("Note", "a", second.version)
        self.assertIsNone(await self.store.get("Note", "a"))

    async def test_lost_answer_took_effect_and_lost_write_did_not(self):
        self.store.faults.lose_answers = 1
        with self.assertRaises(UncertainError):
            await self.store.put("Note", "a", {"n": 1}, 0)
        self.assertEqual(self.store.peek("Note", "a"), {"n": 1})
        self.store.faults.lose_writes = 1
        await update(self.store, "Note", "b", lambda _: {"n": 2})
        self.assertEqual(self.store.peek("Note", "b"), {"n": 2})

    async def test_cut_affects_only_one_caller(self):
        self.store.faults.cut = {"r1"}
        with self.assertRaises(AnvilshiftError) as caught:
            await self.store.view("r1").get("Note", "a")
        self.assertEqual(caught.exception.code, PLATFORM_DOWN)
        self.assertIsNone(await self.store.view("r2").get("Note", "a"))

    async def test_watch_returns_a_later_change(self):
        watching = asyncio.create_task(self.store.watch(["Note"], 0, 5_000.0))
        await self.store.put("Note", "a", {"n": 1}, 0)
        changes = await watching
        self.assertEqual([c.body for c in changes.changes], [{"n": 1}])
        self.store.forget_history()
        self.assertTrue((await self.store.watch(["Note"], 0, 0.0)).too_old)

    async def test_stored_body_is_a_copy(self):
        body = {"list": [1]}
        await self.store.put("Note", "a", body, 0)
        body["list"].append(2)
        self.assertEqual(self.store.peek("Note", "a"), {"list": [1]})
