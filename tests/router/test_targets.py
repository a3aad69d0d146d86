"""Tests that unanswered polls show which engines are silent."""

import asyncio
import unittest

from anvilshift.core.declarations import Catalogue, Engine, EngineGroup, TargetKind
from anvilshift.core.failures import Failure
from anvilshift.engines.http import TargetError
from anvilshift.router.targets import Targets
from anvilshift.standins.virtual import VirtualClock, run_virtual
from anvilshift.wire.response import ExchangeError


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
    def poll(self, seconds, look):
        """Return what targets say after engines were polled for a time."""

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
            return look(targets)

        return run_virtual(poll_engines())

    def list_silent(self, seconds):
        names = ("rejects", "times out", "hangs")
        return self.poll(
            seconds, lambda targets: [name for name in names if targets.is_silent(name)]
        )

    def test_engine_that_never_answered_a_poll_is_found_silent(self):
        """Guards against requests that wait until their deadline for a paused engine.

        The engine was paused before it answered its first poll.
        """
        self.assertEqual(self.list_silent(1.0), [])
        self.assertEqual(self.list_silent(5.0), ["times out", "hangs"])

    def test_engine_that_left_two_polls_unanswered_is_given_no_work_of_others(self):
        """Guards against work that moves to an engine that is silent itself."""
        look = Targets.list_unanswering
        self.assertEqual(self.poll(0.5, look), [])
        self.assertEqual(self.poll(1.0, look), ["times out", "hangs"])


if __name__ == "__main__":
    unittest.main()
