"""Tests of answers at engines that fall silent beside other events."""

import asyncio
import contextlib
import unittest
from unittest import mock

from anvilshift.standins.engine import make_answer
from bench.fleet import wait_until
from tests.router.fleetlet import Fleetlet
from tests.router.test_runs import read_events

TOKENS = 20
_SLOW = 10.0
"""Slows an engine's tokens down, so that an answer takes a while."""


class SilentRunsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, engines=2):
        self.fleet = Fleetlet(engines=engines)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.faults.slow = _SLOW
        self.awake = asyncio.Event()

    async def begin(self, stream=True):
        """Send a request; return its task and the engine that runs it."""
        extra = {"stream": True} if stream else None
        work = self.fleet.chat("tank", tokens=TOKENS, extra=extra)
        asking = asyncio.create_task(work)
        engines = self.fleet.engines
        await wait_until(lambda: any(r.tokens for e in engines for r in e.runs))
        return asking, next(engine for engine in engines if engine.runs)

    @contextlib.contextmanager
    def silence(self, *engines):
        """Let engines neither read nor write until `awake` is set."""

        async def pause(*arguments):
            await self.awake.wait()

        with contextlib.ExitStack() as pauses:
            for engine in engines:
                pauses.enter_context(mock.patch.object(engine, "_sleep", pause))
                server = engine._server
                pauses.enter_context(mock.patch.object(server, "handler", pause))
            yield

    async def remove(self, engine):
        """Take an engine out of the declarations."""
        store, index = self.fleet.store, self.fleet.engines.index(engine)
        found = await store.get("EngineGroup", "es")
        left = [e for e in found.body["engines"] if e["name"] != f"es{index}"]
        body = {**found.body, "engines": left}
        await store.put("EngineGroup", "es", body, found.version)
        targets = self.fleet.nodes[0].targets
        await wait_until(lambda: targets.engine(f"es{index}") is None)

    async def test_stream_leaves_a_hung_engine_that_is_no_longer_declared(self):
        """Guards against a stream that waits until its deadline at a hung engine, as
        the operator has removed the engine.
        """
        await self.start()
        asking, hung = await self.begin()
        with self.silence(hung):
            await self.remove(hung)
            async with asyncio.timeout(6):
                text, _, ended = read_events(await asking)
        self.assertEqual(text, make_answer("tank", TOKENS))
        self.assertTrue(ended)

    async def test_stream_stays_at_a_removed_engine_that_only_pauses(self):
        """Guards against an answer that is given up as its engine was removed."""
        await self.start()
        asking, engine = await self.begin()
        with self.silence(engine):
            await self.remove(engine)
            await asyncio.sleep(1.0)
        self.awake.set()
        text, _, ended = read_events(await asking)
        self.assertEqual(text, make_answer("tank", TOKENS))
        self.assertTrue(ended)
        self.assertEqual(sum(len(engine.runs) for engine in self.fleet.engines), 1)


if __name__ == "__main__":
    unittest.main()
