"""Streams that are taken up at a router that doesn't know what the others know."""

import asyncio

from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient
from tests.platform.gatewaycase import make_configuration
from tests.platform.stubs import LOOPBACK
from tests.platform.test_turned_away import StoreDoor
from tests.platform.test_versions import BEGUN, LONG_MS, VersionCase

_LONGEST_POLL_MS = 10


class SilentWatchDoor(StoreDoor):
    """A way to the store on which watches may fall silent while other calls work."""

    async def handle(self, request, responder) -> None:
        wait = int(request.query.get("waitMs", "0"))
        if self.way == "hold" and wait > _LONGEST_POLL_MS:
            await asyncio.Event().wait()
        await super().handle(request, responder)


class OutOfStepTest(VersionCase):
    """Guards against streams that go on at the only version that this router knows.

    They began on a version that has joined meanwhile, through a router that is gone:
    nobody here was told of them, and their callers come back as this router is in
    step again, before it has read what changed.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.door = SilentWatchDoor(self.store_stub)
        self.door_address = await self.door.server.start(LOOPBACK)

    async def asyncTearDown(self):
        await super().asyncTearDown()
        await self.door.server.close()

    def make_store(self) -> PlatformStore:
        return PlatformStore(HttpClient(), self.door_address)

    async def start(self) -> None:
        """Start a router that has known one version for long, and lose its watches."""
        await self.add_engines(e1="v1")
        await self.start_node()
        await self.pass_time(LONG_MS)
        await self.wait_for(self.infers)

    def infers(self) -> bool:
        """Return whether the router knows one version, as far as it has read."""
        history, clock = self.node.shared.origins.history, self.node.clock
        return history.find_only("llm", LONG_MS - 10_000.0, clock.now()) == "v1"

    async def lose_watches(self) -> None:
        """Let the watches fall silent; those that waited before end first."""
        self.door.way = "hold"
        await asyncio.sleep(1.6)

    async def take_up_unnamed(self):
        return await self.call_stream("a", headers=[("last-event-id", str(BEGUN))])

    async def test_stream_of_a_version_that_was_not_read_yet_is_refused(self):
        await self.start()
        await self.lose_watches()
        await self.add_engines(e2="v2")
        self.assertTrue(self.infers())
        self.check_refused(*await self.take_up_unnamed())
        self.assertEqual(self.find_runs("a"), [])

    async def test_stream_of_a_version_that_has_left_again_is_refused(self):
        await self.start()
        await self.lose_watches()
        await self.add_engines(e2="v2")
        self.store_stub.remove("servers", "e2")
        self.check_refused(*await self.take_up_unnamed())
        self.assertEqual(self.find_runs("a"), [])

    async def test_stream_of_a_route_that_leads_elsewhere_is_refused(self):
        await self.start()
        await self.lose_watches()
        changed = make_configuration(2)
        changed["routes"][0]["service"] = "other"
        self.store_stub.put("config", "main", changed)
        self.check_refused(*await self.take_up_unnamed())
        self.assertEqual(self.find_runs("a"), [])

    async def test_stream_is_refused_while_the_store_can_not_be_asked(self):
        for way in ("busy", "many", "reset", "silent"):
            with self.subTest(way):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.start()
                self.door.turn_away(way)
                await self.add_engines(e2="v2")
                self.assertTrue(self.infers())
                self.check_refused(*await self.take_up_unnamed())
                self.assertEqual(self.find_runs("a"), [])

    async def test_stream_of_the_only_version_goes_on_without_watches(self):
        """Guards against callers who are refused though nothing has changed."""
        await self.start()
        await self.lose_watches()
        self.check_went_on(*await self.take_up_unnamed())

    async def test_streams_that_come_back_together_share_few_calls(self):
        """Guards against a call to the store for each caller that comes back."""
        await self.start()
        before = len(self.store_stub.calls)
        headers = [("last-event-id", str(BEGUN))]
        calls = [self.call_stream(f"a{n}", headers=headers) for n in range(30)]
        for answer in await asyncio.gather(*calls):
            self.check_went_on(*answer)
        polls = [c for c in self.store_stub.calls[before:] if c.endswith("waitMs=1")]
        self.assertLessEqual(len(polls), 8)


if __name__ == "__main__":
    import unittest

    unittest.main()
