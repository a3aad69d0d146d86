"""Connections to the store fall silent for good while new ones work."""

import asyncio
import itertools
import time
import unittest
from collections import Counter
from unittest import mock

from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.periodic import PeriodicWork
from anvilshift.platform.store import PlatformStore
from anvilshift.standins.virtual import run_virtual
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from tests.platform.cutnetwork import Cut, CutNetwork
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.platform.storeplay import Play

IN_TOUCH_AFTER = 3.0
"""Seconds after which a silence excuses nothing any more."""
DRAINED_AFTER = 5.0
"""Seconds from the acknowledgement of a drain until nothing is sent there any more."""
_ADDRESS = Address("10.0.0.1", 1)
_FLEETS = (1, 4, 5, 8, 12, 27)
_IDLE = (0, 1, 3, 8)


class SilentConnectionsTest(unittest.TestCase):
    """Guards against a router that waits for connections that have fallen silent."""

    def check(
        self, scenario, routers=_FLEETS, idle=_IDLE, bound: float = IN_TOUCH_AFTER
    ) -> None:
        """Check that a scenario's change is in force in time, over fleets."""

        async def play(count: int, spare: int) -> float:
            one = Play(count)
            await one.start(spare)
            try:
                return await scenario(one)
            finally:
                await one.stop()

        late = {
            (count, spare): round(took, 2)
            for count in routers
            for spare in idle
            if (took := run_virtual(play(count, spare))) > bound
        }
        self.assertEqual(late, {}, "seconds by routers and idle connections")

    def test_change_is_in_force_once_a_silence_excuses_nothing(self):
        async def scenario(play: Play) -> float:
            began = asyncio.get_running_loop().time()
            play.network.silence()
            await asyncio.sleep(0.02)
            play.put(2)
            return await play.measure(2, began)

        self.check(scenario)

    def test_silence_at_any_phase_of_a_watch(self):
        for phase in (0.0, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8, 3.2, 3.6, 4.0):
            with self.subTest(phase=phase):

                async def scenario(play: Play, phase: float = phase) -> float:
                    await asyncio.sleep(phase)
                    began = asyncio.get_running_loop().time()
                    play.network.silence()
                    await asyncio.sleep(0.9)
                    play.put(2)
                    return await play.measure(2, began)

                self.check(scenario, (4, 5, 27), (0, 3))

    def test_silences_in_a_row_count_from_the_last_one(self):
        for gap in (0.3, 1.2, 1.9, 2.1, 2.4, 2.9):
            with self.subTest(gap=gap):

                async def scenario(play: Play, gap: float = gap) -> float:
                    play.network.silence()
                    await asyncio.sleep(0.02)
                    play.put(2)
                    await asyncio.sleep(gap)
                    play.network.silence()
                    began = asyncio.get_running_loop().time()
                    play.put(3)
                    return await play.measure(3, began)

                self.check(scenario, (4, 12), (0, 3))

    def test_many_silences_in_a_row_count_from_the_last_one(self):
        """Guards against a store taken to be down although new connections open."""
        for count, gap in itertools.product((2, 4, 8), (1.0, 1.5, 2.0, 2.3, 2.9)):
            with self.subTest(count=count, gap=gap):

                async def scenario(
                    play: Play, count: int = count, gap: float = gap
                ) -> float:
                    for _ in range(count):
                        play.network.silence()
                        await asyncio.sleep(gap)
                    play.network.silence()
                    began = asyncio.get_running_loop().time()
                    play.put(2)
                    return await play.measure(2, began)

                self.check(scenario, (4, 8, 27), (3,))

    def test_change_just_before_a_silence_is_in_force(self):
        async def scenario(play: Play) -> float:
            began = asyncio.get_running_loop().time()
            play.put(2)
            play.network.silence()
            return await play.measure(2, began)

        self.check(scenario, (4, 12, 27), (0, 3))

    def test_suspension_that_was_noticed_leaves_nothing_to_wait_for(self):
        async def scenario(play: Play) -> float:
            play.network.silence()
            play.put(2)
            began = asyncio.get_running_loop().time()
            PeriodicWork(play.node)._discard(5_000.0)
            return await play.measure(2, began)

        self.check(scenario, bound=0.1)

    def test_target_that_leaves_is_known_beside_a_silence(self):
        async def scenario(play: Play) -> float:
            loop = asyncio.get_running_loop()
            entry = {"service": "llm", "address": "10.0.0.9:1", "zone": "north"}
            entry |= {"slots": 8, "state": "ready", "sequence": 1, "version": "v1"}
            play.store.put("servers", "e1", entry)
            await asyncio.sleep(play.factor * 3.0)
            began = loop.time()
            play.network.silence()
            play.store.put("servers", "e1", {**entry, "state": "draining"})
            target = play.node.loads.targets["e1"]
            while not target.info.leaving and loop.time() < began + 30.0:
                await asyncio.sleep(0.01)
                target = play.node.loads.targets["e1"]
            return loop.time() - began

        self.check(scenario)

    def check_babble(self, pause: float, piece: bytes) -> None:
        async def scenario(play: Play) -> float:
            play.store.pause, play.store.piece = pause, piece
            # A change ends the watches, and the next ones are answered without end.
            play.put(2)
            play.store.put("servers", "x", {})
            await asyncio.sleep(0.6)
            play.store.pause = None
            began = asyncio.get_running_loop().time()
            play.put(3)
            return await play.measure(3, began)

        self.check(scenario)

    def test_answer_without_end_holds_up_no_change(self):
        self.check_babble(0.05, b" " * 1_000)

    def test_answer_of_a_byte_a_second_holds_up_no_change(self):
        self.check_babble(1.0, b" ")


class SilentDrainsTest(unittest.TestCase):
    """Guards against a drained failure domain that a silent connection hides."""

    def play(self, scenario, routers: int) -> float:
        async def run() -> float:
            one = Play(routers, DRAINED_AFTER * 1_000)
            if routers > 1:
                # As long a watch of the drains as beside other routers.
                one.node.drains.follower.max_wait = 20_000.0
            await one.start(idle=3)
            try:
                return await scenario(one)
            finally:
                await one.stop()

        return run_virtual(run())

    async def measure(self, play: Play) -> float:
        """Return how long after now a drain is in force, 30 s at most."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        play.store.put("evacuations", "north", {})
        drains = play.node.loads.drains
        while drains.may_send("north") and loop.time() < began + 30.0:
            await asyncio.sleep(0.01)
        return loop.time() - began

    def test_drain_is_in_force_beside_a_silence(self):
        async def scenario(play: Play) -> float:
            play.network.silence()
            await asyncio.sleep(0.02)
            return await self.measure(play)

        for routers in _FLEETS:
            self.assertLessEqual(self.play(scenario, routers), DRAINED_AFTER)

    def test_drain_is_in_force_at_once_after_a_suspension(self):
        async def scenario(play: Play) -> float:
            play.network.silence()
            measured = asyncio.create_task(self.measure(play))
            await asyncio.sleep(0.02)
            PeriodicWork(play.node)._discard(5_000.0)
            return await measured

        # Nothing has to be waited for: the router knows that it stood still.
        self.assertLessEqual(self.play(scenario, 1), 0.1)


class SlowStoreTest(unittest.TestCase):
    """Guards against a store that is asked ever more because it is slow or down."""

    def count(self, fault, seconds: float = 20.0) -> tuple[int, int]:
        """Return the calls and the connections of a fault's time."""

        async def play() -> tuple[int, int]:
            one = Play(4)
            await one.start(3)
            calls, opened = len(one.store.calls), len(one.network.opened)
            fault(one)
            await asyncio.sleep(seconds)
            await one.stop()
            return (
                len(one.store.calls) - calls,
                len(one.network.opened) - opened,
            )

        return run_virtual(play())

    def test_slow_store_gets_no_more_calls_and_no_connection(self):
        def slow(play: Play) -> None:
            handle = play.store.server.handler

            async def delay(request, responder) -> None:
                await asyncio.sleep(0.24)
                await handle(request, responder)

            play.store.server.handler = delay

        calls, opened = self.count(slow)
        # Two watches of 1.5 s each, which a slow answer makes longer.
        self.assertLessEqual(calls, 27)
        self.assertEqual(opened, 0)

    def test_store_that_is_down_is_not_stormed(self):
        def end(play: Play) -> None:
            play.network.is_down = True
            play.network.silence()

        _, opened = self.count(end)
        # Pauses of 0.9 s between tries that fail after one second, at two followers.
        self.assertLessEqual(opened, 24)


class SilentFleetTest(GatewayCase):
    """Guards against late changes at whole routers that are busy with callers."""

    history: float | None = None

    def make_node(self, *place, **rest) -> GatewayNode:
        return super().make_node(*place, **{**rest, "history": self.history})

    def make_store(self) -> PlatformStore:
        network = CutNetwork()
        self.networks = [*getattr(self, "networks", []), network]
        return PlatformStore(HttpClient(network=network), self.store_address)

    def silence(self) -> None:
        """Let nothing more through on the open connections of all routers."""
        for network in self.networks:
            network.cut([self.store_address], Cut.HANG)
            network.heal()

    async def measure(self, version: int, nodes: list[GatewayNode]) -> list[float]:
        """Return after how many seconds each router has a version in force."""
        began, took = time.monotonic(), {}
        while len(took) < len(nodes) and time.monotonic() < began + 8.0:
            for node in nodes:
                if node.shared.table.configuration.version >= version:
                    took.setdefault(node, time.monotonic() - began)
            await asyncio.sleep(0.01)
        return [round(took.get(node, 8.0), 2) for node in nodes]

    async def call_all(self) -> None:
        """Call the routers in turn, twenty times a second."""
        while True:
            for node in self.nodes:
                await self.call_at(node, "/read/1")
                await asyncio.sleep(0.05)

    async def start_callers(self) -> None:
        for number in range(4):
            await self.add_target(f"e{number}", "llm")
            await self.add_target(f"d{number}", "desk")
        await self.start_fleet(4)
        callers = [asyncio.create_task(self.call_all()) for _ in range(4)]
        self.addAsyncCleanup(self.end, callers)
        await asyncio.sleep(2.0)

    async def end(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_change_is_in_force_at_all_routers_beside_a_silence(self):
        await self.start_callers()
        self.silence()
        await asyncio.sleep(0.05)
        self.store_stub.put("config", "main", make_configuration(2))
        took = await self.measure(2, self.nodes)
        self.assertLessEqual(max(took), IN_TOUCH_AFTER - 0.05, took)

    async def test_change_is_in_force_after_a_suspension(self):
        """A suspended host's connections are dead; its steady clock has stood still."""
        await self.start_callers()
        self.silence()
        self.store_stub.put("config", "main", make_configuration(2))
        read, late = time.clock_gettime, 5.0
        with mock.patch("time.clock_gettime", lambda which: read(which) + late):
            took = await self.measure(2, self.nodes)
        # Nothing has to be waited for: the routers know that they stood still.
        self.assertLessEqual(max(took), 1.0, took)

    async def test_callers_are_served_beside_a_silence(self):
        """Guards against tokens that wait for one silent connection after another."""
        self.history = 20_000.0
        await self.start_callers()
        statuses: list[int] = []

        async def call(node: GatewayNode) -> None:
            status, _, _ = await self.call_at(node, "/chat/1")
            statuses.append(status)

        calls = []
        for number in range(240):
            if number == 30:
                self.silence()
            calls.append(asyncio.create_task(call(self.nodes[number % 4])))
            await asyncio.sleep(1 / 60)
        await asyncio.gather(*calls, return_exceptions=True)
        # A request waits for a record of its tokens for a second at most.
        self.assertGreaterEqual(statuses.count(200), 228, Counter(statuses))


if __name__ == "__main__":
    unittest.main()
