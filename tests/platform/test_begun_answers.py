"""Streams that break off after their first event, and when they end for the caller."""

from anvilshift.core.clock import Millis
from anvilshift.wire.response import ExchangeError
from tests.platform.test_versions import VersionCase

AT_ONCE = 500.0
REST = 400.0
LONG_REST = 30_000.0


class BrokenStreamTest(VersionCase):
    async def measure_end(self) -> Millis:
        """Return how long after its first event a stream ends that breaks off."""
        with self.assertRaises(ExchangeError):
            await self.call_stream("a")
        requests = [fields for name, fields in self.journal.lines if name == "request"]
        return requests[-1]["took"] - requests[-1]["first"]

    async def test_stream_ends_at_once_where_no_other_engine_is_left(self):
        """Guards against callers who wait for an engine that can't come."""
        await self.add_engines(e1="v1")
        await self.start_node()
        self.assertLess(await self.measure_end(), AT_ONCE)

    async def test_stream_ends_at_once_where_only_other_versions_are_left(self):
        """Guards against callers who wait for engines that may not go on with it."""
        await self.add_engines(e1="v1", e2="v2")
        await self.start_node()
        self.rest("e2", LONG_REST)
        self.assertLess(await self.measure_end(), AT_ONCE)

    async def test_stream_goes_on_at_an_engine_that_rests_for_a_moment(self):
        """Guards against a stream that is cut just before its next engine may go on."""
        await self.add_engines(e1="v1", e2="v1")
        await self.start_node()
        self.rest("e2", REST)
        status, _, body = await self.call_stream("a")
        self.assertEqual(status, 200)
        self.assertEqual(body.count(b"\n\n"), 6)
        self.assertEqual(self.find_runs("a"), ["e1", "e2"])

    def rest(self, name: str, span: Millis) -> None:
        """Let the router spare an engine for a time."""
        target = self.node.loads.targets[name]
        target.paused_until = self.node.clock.now() + span
