"""Callers of every kind get whole answers beside planned work and short silences."""

import asyncio
import random

from tests.platform import test_endings_beside_changes as endings
from tests.platform.oddcaller import KINDS, OddCaller

PLAY_S = 5.0
RATE = 40.0
SILENCES_S = (0.5, 2.5)
SHORT_SILENCES_S = (0.3, 1.0)
"""Beside streams that must end within a grace period."""
STOP_S = 0.5
"""When a router stops."""
TURN_S = 2.0
"""Time after a stop's beginning until callers turn to another router; the slow ones
send the end of their requests 0.6 s later."""


class OddCallersTest(endings.EndingsCase):
    deadline_ms = 15_000
    timeouts_ms = (12_000, 20_000, 15_000)

    async def play_odd(self, seconds: float) -> None:
        """Let callers come at random instants, each with some calls."""
        loop = asyncio.get_running_loop()
        end, calls = loop.time() + seconds, []
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(RATE))
            node = self.rng.choice(self.nodes)
            kind = self.rng.choice(KINDS)
            path = self.rng.choice(("chat", "review", "order", "read"))
            caller = OddCaller(self, node, kind, path)
            calls.append(asyncio.create_task(caller.run(self.rng.randrange(1, 4))))
        await asyncio.gather(*calls)

    async def silence_some(self, silences: tuple[float, float]) -> None:
        """Let targets, some or all, fall silent again and again."""
        rng = random.Random(5)
        while True:
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            targets = self.list_pausing()
            some = rng.sample(targets, rng.randrange(1, len(targets) + 1))
            await self.pause(some, 0.0, rng.uniform(*silences))

    async def test_answers_are_whole_beside_silences(self):
        """Guards against an answer that depends on how its request was written."""
        await self.start_play()
        self.spawn(self.silence_some(SILENCES_S))
        await self.play_odd(PLAY_S)
        self.check_all_whole()

    async def test_answers_are_whole_beside_changes(self):
        """Guards against a change of any kind that ends what began before it."""
        for number in range(3):
            await self.add_pausing(f"e-annex{number}", "llm-annex")
            await self.add_pausing(f"d-annex{number}", "desk-annex")
        await self.start_play()
        self.spawn(self.silence_some(SHORT_SILENCES_S))
        self.spawn(endings.ConfigurationTest.change_all_kinds(self))
        await self.play_odd(PLAY_S)
        self.check_all_whole_but_crossed()

    change_kinds = endings.ConfigurationTest.change_kinds

    async def test_answers_are_whole_beside_targets_that_leave(self):
        """Guards against an entry's end that ends what its target is at work on."""
        await self.start_play()
        self.spawn(self.silence_some(SILENCES_S))
        self.spawn(self.replace_targets())
        await self.play_odd(PLAY_S)
        self.check_all_whole()

    async def replace_targets(self) -> None:
        """Let targets leave and remove their entries, with new ones in their place."""
        rng, number = random.Random(6), 0
        while True:
            entries = self.store_stub.objects
            present = [
                one for one in self.list_pausing() if ("servers", one.name) in entries
            ]
            old, number = rng.choice(present), number + 1
            entry = entries["servers", old.name]["spec"]
            new = await self.add_pausing(f"{old.name[0]}-new{number}", entry["service"])
            new.pace = old.pace
            self.store_stub.put("servers", old.name, {**entry, "state": "draining"})
            await asyncio.sleep(rng.uniform(0.3, 0.7))
            self.store_stub.remove("servers", old.name)
            await asyncio.sleep(rng.uniform(0.0, 0.3))

    async def test_answers_are_whole_beside_a_planned_stop(self):
        """Guards against a stop that cuts off a request that was sent before it."""
        await self.start_play(routers=3)
        self.spawn(self.silence_some(SHORT_SILENCES_S))
        stop = asyncio.create_task(self.stop_router(self.nodes[0]))
        self.spawn(self.turn_callers(self.nodes[0]))
        await self.play_odd(PLAY_S)
        await stop
        ended = [f for event, f in self.journal.lines if event == "stop_ended"]
        self.assertEqual([fields["cut_off"] for fields in ended], [0])
        self.check_all_whole_or_refused()

    def check_all_whole_or_refused(self) -> None:
        """Check all answers, except of requests that were refused and never ran.

        A stream is refused late in a stop, as one behind others on its connection.
        """
        runs, failed = self.list_runs(), self.list_failed()
        lost = [one for one in failed if one.kind != "503" or one.identity in runs]
        self.assertEqual(lost, [], self.describe())
        self.assertLess(len(failed), len(self.outcomes) / 50, self.describe())

    async def stop_router(self, node) -> None:
        await asyncio.sleep(STOP_S)
        try:
            await node.stop()
        finally:
            await node.close()

    async def turn_callers(self, node) -> None:
        await asyncio.sleep(STOP_S + TURN_S)
        self.nodes.remove(node)
