"""A router without a direct connection calls the platform through its peers."""

import asyncio
import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import ConflictError, UncertainWriteError, update
from anvilshift.peers.link import PeerError
from anvilshift.router.relayed import RelayedStore, call_store
from anvilshift.standins.memory import MemoryStore


class Link:
    """Peer link to a single peer that relays store calls."""

    def __init__(self, store):
        self.store = store
        self.calls = 0
        self.lose_next_reply = False

    async def call_store(self, address, request):
        if address != "p1":
            raise PeerError("refused", sent=False)
        self.calls += 1
        reply = await call_store(self.store, request)
        if self.lose_next_reply:
            self.lose_next_reply = False
            raise PeerError("lost")
        return reply


class RelayedStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.platform = MemoryStore()
        self.link = Link(self.platform.view("peer"))
        self.peers = ["p1"]
        own = self.platform.view("own")
        self.store = RelayedStore(own, self.link, ManualClock(), lambda: self.peers)
        self.addCleanup(self.store.close)

    def cut(self, *callers):
        self.platform.faults.cut = set(callers)

    async def test_every_call_goes_through_a_peer_when_the_own_way_is_cut(self):
        self.cut("own")
        written = await self.store.put("Budget", "pounds", {"grant": 5}, 0)
        self.assertEqual(written.body, {"grant": 5})
        self.assertEqual(await self.store.get("Budget", "pounds"), written)
        self.assertEqual((await self.store.list(["Budget"])).items, (written,))
        self.assertIsNone(await self.store.get("Budget", "none"))
        changes = await self.store.watch(["Budget"], 0, 100.0)
        self.assertEqual([c.name for c in changes.changes], ["pounds"])
        self.assertEqual(await self.store.hosts(), ())
        with self.assertRaises(ConflictError):
            await self.store.put("Budget", "pounds", {}, 99)
        self.assertEqual(await self.store.delete("Budget", "pounds", 1), 2)
        self.assertFalse(self.store.reaches_platform)

    async def test_a_reachable_platform_is_called_directly(self):
        await self.store.put("Budget", "pounds", {}, 0)
        self.assertEqual((self.platform.calls["put"], self.link.calls), (1, 0))
        self.assertTrue(self.store.reaches_platform)

    async def test_write_with_a_lost_answer_is_not_sent_through_a_peer(self):
        """A write whose answer was lost must not be repeated through a peer.

        The write took effect.  If it were repeated without reading the object first,
        it would either conflict with itself or be applied twice.
        """
        self.platform.faults.lose_answers = 1
        with self.assertRaises(UncertainWriteError):
            await self.store.put("Ledger", "main", {"total": 10}, 0)
        self.assertEqual((self.platform.calls["put"], self.link.calls), (1, 0))

    async def test_lost_reply_of_a_peer_is_looked_up(self):
        """A relayed write whose reply was lost must not be applied twice.

        `update` must read the object and find the write there.
        """
        self.cut("own")
        self.link.lose_next_reply = True

        def add(body):
            return {**(body or {}), "invoice-1": 10}

        with self.assertRaises(UncertainWriteError):
            await self.store.put("Ledger", "main", add(None), 0)
        stored = await update(self.store, "Ledger", "main", add)
        self.assertEqual(stored.body, {"invoice-1": 10})
        self.assertEqual(self.platform.calls["put"], 1)

    async def test_call_is_not_passed_on_a_second_hop(self):
        """Relayed calls must not be relayed again.

        Otherwise two routers without a direct connection would call each other
        endlessly.
        """
        self.cut("own", "peer")
        with self.assertRaises(AnvilshiftError) as caught:
            await self.store.get("Budget", "pounds")
        self.assertEqual(caught.exception.code.number, 5001)
        self.assertEqual(self.link.calls, 1)

    async def test_watch_is_not_ended_by_a_failure_before_it(self):
        """Guards against a router that learns nothing until its probe is answered."""
        self.peers.clear()
        self.cut("own")
        with self.assertRaises(AnvilshiftError):
            await self.store.get("Budget", "pounds")
        # The probe has failed, and pauses.
        await asyncio.sleep(0.01)
        self.cut()
        watching = asyncio.create_task(self.store.watch(["Budget"], 0, 1_000.0))
        await asyncio.sleep(0.01)
        await self.platform.view("operator").put("Budget", "pounds", {}, 0)
        changes = await watching
        self.assertEqual([c.name for c in changes.changes], ["pounds"])

    async def test_dead_peer_is_passed_over(self):
        self.cut("own")
        self.peers = ["gone", "p1"]
        await self.store.put("Budget", "pounds", {}, 0)
        self.assertEqual(self.platform.calls["put"], 1)

    async def test_own_way_is_used_again_once_it_works(self):
        self.cut("own")
        await self.store.get("Budget", "pounds")
        self.cut()
        async with asyncio.timeout(5):
            while not self.store.reaches_platform:
                await asyncio.sleep(0)
        before = self.link.calls
        await self.store.get("Budget", "pounds")
        self.assertEqual(self.link.calls, before)
