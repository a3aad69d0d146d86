import asyncio
import unittest

from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import ConflictError, RateLimitedError
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient
from tests.platform.stubs import StoreStub


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stub = StoreStub()
        self.client = HttpClient()
        self.store = PlatformStore(self.client, await self.stub.start())

    async def asyncTearDown(self):
        self.client.close()
        await self.stub.server.close()

    async def test_objects_are_created_read_and_replaced_on_their_revision(self):
        made = await self.store.put("notes", "a", {"n": 1}, 0)
        found = await self.store.get("notes", "a")
        self.assertEqual((found.version, found.body), (made.version, {"n": 1}))
        await self.store.put("notes", "a", {"n": 2}, made.version)
        for version in (made.version, 0):
            with self.assertRaises(ConflictError) as refused:
                await self.store.put("notes", "a", {"n": 3}, version)
            self.assertEqual(refused.exception.found.body, {"n": 2})
        with self.assertRaises(ConflictError) as refused:
            await self.store.put("notes", "b", {"n": 3}, 7)
        self.assertIsNone(refused.exception.found)
        self.assertIsNone(await self.store.get("notes", "b"))

    async def test_a_list_is_read_page_by_page(self):
        self.stub.page = 2
        for name in "abcde":
            self.stub.put("notes", name, {})
        listing = await self.store.list(["notes"])
        self.assertEqual([item.name for item in listing.items], list("abcde"))
        self.assertEqual(listing.revision, self.stub.revision)

    async def test_each_page_and_each_refused_write_counts_as_a_call(self):
        """Guards against calls that are paid for and that no operator sees."""
        self.stub.page = 2
        for name in "abc":
            self.stub.put("notes", name, {})
        await self.store.list(["notes"])
        with self.assertRaises(ConflictError):
            await self.store.put("notes", "a", {}, 1)
        await self.stub.server.close()
        self.client.close()
        with self.assertRaises(AnvilshiftError):
            await self.store.get("notes", "a")
        self.assertEqual(
            self.store.counts.describe(),
            {"notes get 0": 1, "notes list 200": 2, "notes put 409": 1},
        )

    async def test_a_watch_reports_writes_and_deletions(self):
        self.stub.put("notes", "a", {"n": 1})
        start = self.stub.revision
        watching = asyncio.create_task(self.store.watch(["notes"], start, 1_000.0))
        await asyncio.sleep(0.02)
        self.stub.remove("notes", "a")
        found = await watching
        self.assertEqual([(c.name, c.body) for c in found.changes], [("a", None)])
        self.assertEqual(found.revision, self.stub.revision)

    async def test_a_watch_reports_lost_history(self):
        self.stub.forgotten = 50
        self.assertTrue((await self.store.watch(["notes"], 3, 10.0)).too_old)

    async def test_a_spec_that_is_not_a_mapping_is_read_as_empty(self):
        self.stub.put("notes", "a", "bytes")
        listing = await self.store.list(["notes"])
        self.assertEqual(listing.items[0].body, {})

    async def test_unavailability_is_distinguished_from_rate_limiting(self):
        self.stub.status = 429
        with self.assertRaises(RateLimitedError):
            await self.store.get("notes", "a")
        self.stub.status = 503
        with self.assertRaises(AnvilshiftError) as caught:
            await self.store.put("notes", "a", {}, 0)
        self.assertEqual(caught.exception.code.number, 5001)
        self.assertNotIsInstance(caught.exception, ConflictError)
