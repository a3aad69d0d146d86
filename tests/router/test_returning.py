"""Tests of an engine that returns and announces a limit in the same load report."""

import asyncio
import unittest

from anvilshift.core.failures import Failure
from anvilshift.core.work import LoadReport, Send, Work
from anvilshift.engines.http import TargetError
from anvilshift.standins.virtual import run_virtual
from tests.router.nodes import InProcessFleet, wait_until

ENGINES = [
    {"name": name, "address": "127.0.0.1:1", "failure_domain": "north", "slots": slots}
    for name, slots in (("e1", 8), ("e2", 1))
]
GROUP = {
    "kind": "EngineGroup",
    "name": "models",
    "target": "model",
    "models": ["advice"],
    "engines": ENGINES,
}


class StubEngine:
    """An engine that answers polls, and refuses connections while it is down."""

    def __init__(self, name, down):
        self.name, self._down = name, down

    async def load(self):
        if self.name in self._down:
            raise TargetError(Failure.NOT_SENT, "connection refused")
        limit = 0.5 if self.name == "e1" else None
        return LoadReport(self.name, 0, 0, 0.0, limit=limit)

    async def cache_events(self, after):
        return ()


class ReturningTest(unittest.TestCase):
    def test_waiting_work_keeps_to_the_limit_of_a_returning_engine(self):
        """Guards against sending the whole queue at once to a limited engine."""
        run_virtual(self.return_with_a_limit())

    async def return_with_a_limit(self):
        down = {"e1"}
        nodes = InProcessFleet(
            engine=lambda engine, router: StubEngine(engine.name, down)
        )
        await nodes.platform.put("EngineGroup", "models", GROUP, 0)
        await nodes.start("r1")
        node = nodes.nodes["r1"]
        await wait_until(lambda: "e1" in node.leaving_targets.leaving)
        sent = []
        act = node.dispatch.act

        def record_and_act(actions):
            sent.extend(a.target for a in actions if isinstance(a, Send))
            act(actions)

        node.dispatch.act = record_and_act
        now = nodes.clock.now()
        candidates = {"e1": 0, "e2": 0}
        for n in range(7):
            work = Work(f"w{n}", "org", "x", candidates, 10, 10, now + 60_000.0)
            record_and_act(node.dispatcher.add_request(work, now))
        self.assertEqual(sent, ["e2"])
        down.clear()
        await asyncio.sleep(1)
        self.assertNotIn("e1", node.leaving_targets.leaving)
        self.assertLessEqual(sent.count("e1"), 1)
        await nodes.close()


if __name__ == "__main__":
    unittest.main()
