"""The platform's client against a platform that answers badly or not at all."""

import asyncio
import contextlib
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.objects.store import ConflictError, UncertainWriteError, update
from anvilshift.standins.platform import PlatformStandin
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, Headers, HttpResponse

LOOPBACK = Address("127.0.0.1", 0)


class HttpStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = PlatformStandin(seed=1)
        self.addAsyncCleanup(self.platform.close)
        address = await self.platform.start(LOOPBACK)
        client = HttpClient()
        self.addCleanup(client.close)
        self.store = HttpObjectStore(client, address, timeout=500.0)

    async def code_of(self, call):
        with self.assertRaises(AnvilshiftError) as caught:
            await call
        return caught.exception.code.number

    async def test_reads_name_what_went_wrong(self):
        for faults, code in (({"errors": 1.0}, 5001), ({"garbage": 1.0}, 5003)):
            with self.subTest(faults=faults):
                vars(self.platform.faults).update({"errors": 0.0, **faults})
                for call in (
                    self.store.get("Note", "a"),
                    self.store.list(["Note"]),
                    self.store.hosts(),
                    self.store.watch(["Note"], 1, 10.0),
                ):
                    self.assertEqual(await self.code_of(call), code)

    async def test_write_without_a_clear_answer_is_uncertain(self):
        for fault in ("errors", "garbage", "lose_answers"):
            with self.subTest(fault=fault):
                setattr(self.platform.faults, fault, 1.0)
                with self.assertRaises(UncertainWriteError):
                    await self.store.put("Note", fault, {}, 0)
                setattr(self.platform.faults, fault, 0.0)

    async def test_silence_ends_by_the_timeout(self):
        self.platform.faults.delay_ms = 5_000.0
        self.assertEqual(await self.code_of(self.store.get("Note", "a")), 5001)
        with self.assertRaises(UncertainWriteError):
            await self.store.put("Note", "a", {}, 0)

    async def test_race_is_a_conflict_and_update_goes_on(self):
        await self.store.put("Note", "a", {"n": 1}, 0)
        with self.assertRaises(ConflictError):
            await self.store.put("Note", "a", {"n": 2}, 0)
        await asyncio.gather(
            *(update(self.store, "Note", "a", self.add) for _ in range(4))
        )
        self.assertEqual((await self.store.get("Note", "a")).body, {"n": 5})

    @staticmethod
    def add(body):
        return {"n": body["n"] + 1}

    async def test_lost_answers_are_looked_up(self):
        """Every second write takes effect and gets no answer.

        A top-up sent again without a look would count twice.
        """
        self.platform.faults.lose_answers = 0.5
        for number in range(20):
            identity = f"invoice-{number}"

            def change(body, identity=identity):
                return {**(body or {}), identity: 5}

            try:
                await update(self.store, "Ledger", "main", change)
            except UncertainWriteError:
                await update(self.store, "Ledger", "main", change)
        self.platform.faults.lose_answers = 0.0
        stored = await self.store.get("Ledger", "main")
        self.assertEqual(sum(stored.body.values()), 100)

    async def test_watch_that_is_too_old_says_so(self):
        await self.store.put("Note", "a", {}, 0)
        self.platform.state.forgotten = 10
        self.assertTrue((await self.store.watch(["Note"], 1, 10.0)).too_old)

    async def test_deleting_returns_a_revision(self):
        stored = await self.store.put("Note", "a", {}, 0)
        revision = await self.store.delete("Note", "a", stored.version)
        self.assertGreater(revision, stored.version)
        with self.assertRaises(ConflictError):
            await self.store.delete("Note", "a", stored.version)


class Answering:
    """An HTTP client whose every call gets one answer."""

    def __init__(self, status, body):
        self.answer = HttpResponse(status, Headers([]), body)

    async def call(self, *arguments):
        return self.answer


LEAVES = st.sampled_from([None, True, float("inf"), float("nan"), "", "x", -1, 10**400])
ITEMS = st.fixed_dictionaries(
    {
        "kind": st.just("Note") | LEAVES,
        "name": st.just("a") | LEAVES,
        "version": st.integers(0, 9) | LEAVES,
        "body": st.just({}) | LEAVES,
    }
)
VALUES = (
    ITEMS
    | LEAVES
    | st.lists(LEAVES, max_size=2)
    | st.fixed_dictionaries(
        {
            "items": st.lists(ITEMS | LEAVES, max_size=2) | LEAVES,
            "changes": st.lists(ITEMS | LEAVES, max_size=2) | LEAVES,
            "hosts": st.lists(ITEMS | LEAVES, max_size=2) | LEAVES,
            "revision": st.integers(0, 9) | LEAVES,
            "version": st.integers(0, 9) | LEAVES,
        }
    )
)


class GarbageTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(VALUES, st.sampled_from([200, 200, 200, 204, 301, 404, 409, 410, 429, 500]))
    def test_any_answer_is_read_or_is_a_numbered_error(self, value, status):
        client = Answering(status, json.dumps(value).encode())
        store = HttpObjectStore(client, LOOPBACK)

        async def call_all():
            for call in (
                lambda: store.get("Note", "a"),
                lambda: store.list(["Note"]),
                lambda: store.put("Note", "a", {}, 0),
                lambda: store.delete("Note", "a", 1),
                lambda: store.watch(["Note"], 1, 10.0),
                store.hosts,
            ):
                with contextlib.suppress(AnvilshiftError):
                    await call()

        asyncio.run(call_all())
