import asyncio
import unittest

from anvilshift.peers.generated.peers_pb2 import (
    Heartbeat,
    KeepReply,
    KeepRequest,
    StoreReply,
    StoreRequest,
)
from anvilshift.peers.link import GrpcPeerLink, PeerError, PeerServer
from anvilshift.standins.relay import Relay
from anvilshift.wire.messages import Address
from bench.ports import take_free_port

TIMEOUT = 600.0
"""Milliseconds; a new channel opens well within them on a busy host too."""


class Handler:
    """A router that answers heartbeats after a while, and others at once."""

    delay = 0.0

    async def handle_heartbeat(self, beat):
        await asyncio.sleep(self.delay)
        return Heartbeat()

    async def handle_keep(self, request):
        return KeepReply()

    async def handle_call_store(self, request):
        await asyncio.sleep(1.5)
        return StoreReply(value=b"{}")


class SilentChannelTest(unittest.IsolatedAsyncioTestCase):
    """Guards against routers that never hear each other again after a silence."""

    async def asyncSetUp(self):
        self.handler = Handler()
        self.server = PeerServer(self.handler)
        server = Address("127.0.0.1", take_free_port())
        await self.server.start(server)
        self.relay = Relay(server)
        self.address = str(await self.relay.start(Address("127.0.0.1", 0)))
        self.link = GrpcPeerLink(timeout=5_000.0)
        await self.beat()
        self.link._timeout = TIMEOUT

    async def asyncTearDown(self):
        self.link.close()
        self.server.close()
        await self.relay.close()

    async def beat(self) -> None:
        await self.link.beat(self.address, Heartbeat())

    async def test_call_after_one_without_an_answer_goes_on_a_new_channel(self):
        for _ in range(3):
            self.relay.silence()
            with self.assertRaises(PeerError):
                await self.beat()
            await self.beat()

    async def test_calls_that_one_silence_ends_replace_the_channel_once(self):
        self.relay.silence()
        calls = [asyncio.create_task(self.beat()) for _ in range(5)]
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.gather(*(self.beat() for _ in range(5)))
        self.assertEqual(self.relay.accepted, 2)

    async def test_router_that_answers_others_keeps_its_channel(self):
        """Guards against a channel that is replaced for one slow call."""
        self.handler.delay = 1.0
        slow = asyncio.create_task(self.beat())
        await asyncio.sleep(0.1)
        await self.link.keep(self.address, KeepRequest())
        with self.assertRaises(PeerError):
            await slow
        await self.link.keep(self.address, KeepRequest())
        self.assertEqual(self.relay.accepted, 1)

    async def test_router_that_stands_still_gets_few_channels(self):
        """Guards against a connection for each heartbeat to a router that is frozen."""
        self.handler.delay = 5.0
        for _ in range(5):
            with self.assertRaises(PeerError):
                await self.beat()
        self.assertEqual(self.relay.accepted, 2)

    async def test_longer_call_goes_on_where_a_channel_is_replaced(self):
        """Guards against a relayed call that ends because a heartbeat was slow."""
        self.handler.delay = 1.0
        relayed = asyncio.create_task(
            self.link.call_store(self.address, StoreRequest(method="hosts"))
        )
        await asyncio.sleep(0.05)
        with self.assertRaises(PeerError):
            await self.beat()
        self.assertEqual((await relayed).value, b"{}")


if __name__ == "__main__":
    unittest.main()
