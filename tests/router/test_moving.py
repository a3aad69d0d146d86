"""Work moves away from a hung engine, and heartbeats carry reports of crashes."""

import asyncio
import unittest

from anvilshift.core.work import CrashAnnouncement
from anvilshift.peers.generated.peers_pb2 import Crash
from anvilshift.standins.engine import make_answer
from bench.fleet import wait_until
from tests.router.fleetlet import Fleetlet
from tests.router.test_runs import read_events


class MovingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleetlet(engines=2)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def ask(self, prompt: str) -> str:
        answer = await self.fleet.chat(prompt, tokens=4, extra={"stream": True})
        return read_events(answer)[0]

    async def test_callers_at_a_hung_engine_are_answered_whole_by_another(self):
        """Requests at an engine that hangs must be completed by another engine.

        The hung engine accepts requests and never answers.  Each caller must get one
        complete answer well before its deadline of eight seconds, and no request may
        remain at the hung engine.
        """
        for index in range(8):
            await self.ask(f"warm {index}")
        hung = self.fleet.engines[0]
        hung.faults.hang = True
        prompts = [f"tank {index}" for index in range(8)]
        async with asyncio.timeout(4):
            texts = await asyncio.gather(*(self.ask(p) for p in prompts))
        self.assertEqual(texts, [make_answer(p, 4) for p in prompts])
        await wait_until(lambda: not hung._live)
        events = self.fleet.nodes[0].world.telemetry.events
        self.assertGreaterEqual(events.count("attempt_abandoned"), 1)

    async def test_heartbeats_carry_news_of_crashes(self):
        node = self.fleet.nodes[0]
        node.dispatch.act([CrashAnnouncement("poison", "es0")])
        heartbeat = node.fleet._make_heartbeat()
        found = [(crash.content, crash.target) for crash in heartbeat.crashes]
        self.assertEqual(found, [("poison", "es0")])
        for _ in range(2):
            node.fleet.receive_crash_reports([Crash(content="other", target="es1")])
        quarantine = node.dispatcher._state.quarantine
        self.assertTrue(quarantine.is_suspect("other"))
        self.assertFalse(quarantine.is_quarantined("other", node.clock.now()))


if __name__ == "__main__":
    unittest.main()
