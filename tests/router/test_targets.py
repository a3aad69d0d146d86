"""Tests that unanswered polls show which engines are silent."""

import asyncio
import unittest

from anvilshift.core.declarations import Catalogue, Engine, EngineGroup, TargetKind
from anvilshift.core.work import Failure
from anvilshift.engines.http import TargetError
from anvilshift.router.targets import Targets
from anvilshift.standins.virtual import VirtualClock, run_virtual
from anvilshift.wire.client import ExchangeError


class StubEngine:
    """An engine that responds to polls as its name says."""

    def __init__(self, name):
        self.name = name

    async def load(self):
        if self.name == "rejects":
            raise TargetError(Failure.REJECTED, "no such path")
        if self.name == "times out":
            await asyncio.sleep(1.0)
            cause = ExchangeError("no answer in time", True)
            raise TargetError(Failure.BROKE_OFF, "no answer") from cause
        await asyncio.Event().wait()


class StubConnector:
    def engine(self, engine):
        return StubEngine(engine.name)


class SilenceTest(unittest.TestCase):
    def list_silent(self, seconds):
        async def poll_engines():
            targets = Targets(StubConnector(), VirtualClock())
            names = ("rejects", "times out", "hangs")
            engines = tuple(Engine(n, "127.0.0.1:1", "north") for n in names)
            group = EngineGroup("models", TargetKind.MODEL, engines)
            targets.configure(Catalogue(groups={"models": group}))
            nothing = lambda _: None  # noqa: E731
            polling = asyncio.ensure_future(targets.poll(nothing, nothing, nothing))
            await asyncio.sleep(seconds)
            polling.cancel()
            await asyncio.gather(polling, return_exceptions=True)
            return [name for name in names if targets.is_silent(name)]

        return run_virtual(poll_engines())

    def test_engine_that_never_answered_a_poll_is_found_silent(self):
        """Guards against requests that wait until their deadline for a paused engine.

        The engine was paused before it answered its first poll.
        """
        self.assertEqual(self.list_silent(1.0), [])
        self.assertEqual(self.list_silent(5.0), ["times out", "hangs"])


if __name__ == "__main__":
    unittest.main()
