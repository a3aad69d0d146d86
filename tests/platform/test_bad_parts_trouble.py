"""Routers are killed, replaced or cut off while a part of prompts ends engines."""

import asyncio

from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.partstore import KIND
from anvilshift.wire.messages import Address
from tests.platform.cutnetwork import Cut, CutNetwork
from tests.platform.partfleet import (
    CRASHES,
    MAX_ARRIVALS,
    PartFleetCase,
    fix_others,
    vary_others,
)

_LEAST_SERVED = 0.5
CLOSING_S = 0.05
"""Time until the sockets of a router that was closed are free again."""
KILL_DELAY_S, KILL_DELAY_TURNS = 0.05, 10
"""Time from a crash to the kill of a router, and turns of the loop that it lasts at
least: on a busy machine one turn may take as long, and the crash is then unread."""


class RouterTroubleCase(PartFleetCase):
    async def replace(self, node: GatewayNode) -> GatewayNode:
        """Kill a router and start it anew on its host."""
        index, s = self.nodes.index(node), node.settings
        await node.close()
        await asyncio.sleep(CLOSING_S)
        fresh = self.make_node(
            s.name, s.ip, s.peer_port, s.seeds, forward_port=s.forward_port
        )
        self.nodes[index] = fresh
        await fresh.start()
        return fresh

    async def wait_for_ends(self, count: int) -> None:
        while len(self.ends) < count:
            await asyncio.sleep(0.01)

    async def wait_for_proof(self) -> None:
        while "part_proven" not in self.journal.list_events():
            await asyncio.sleep(0.01)

    def check_bounds(self, most: int = CRASHES) -> None:
        self.assertLessEqual(len(self.ends), most, self.describe())
        self.assertLessEqual(self.count_late_arrivals(), MAX_ARRIVALS, self.describe())
        refused = self.find_refused("sound") + self.find_refused("other")
        self.assertEqual(refused, 0, self.describe())


class KilledRoutersTest(RouterTroubleCase):
    async def test_routers_killed_in_the_middle_let_no_sixth_engine_end(self):
        """Guards against crashes that count for nothing once their router is killed."""
        await self.start_play()
        self.spawn(self.kill_at_each_crash())
        await self.play(vary_others(self.rng), 12.0)
        self.check_bounds()

    async def kill_at_each_crash(self) -> None:
        for count in range(1, CRASHES):
            await self.wait_for_ends(count)
            for _ in range(KILL_DELAY_TURNS):
                await asyncio.sleep(KILL_DELAY_S / KILL_DELAY_TURNS)
            await self.replace(self.nodes[count % len(self.nodes)])

    async def test_rolled_routers_know_the_part_before_they_are_ready(self):
        """Guards against a part that is forgotten when each router was replaced."""
        await self.start_play()
        self.spawn(self.roll_after_proof())
        await self.play(fix_others(1), 12.0)
        self.check_bounds()
        served = self.find_served("sound", self.ends[-1][0] + 6.0)
        self.assertGreaterEqual(served, _LEAST_SERVED, self.describe())

    async def test_rolled_routers_are_told_by_the_others_where_the_store_is_not(self):
        """Guards against a part that only the platform's store remembers."""
        self.store_stub.refused_kind = KIND
        await self.start_play()
        self.spawn(self.roll_after_proof())
        await self.play(fix_others(1), 8.0)
        self.check_bounds()
        events = self.journal.list_events()
        self.assertIn("parts_store_lost", events)
        self.assertIn("parts_known", events)

    async def roll_after_proof(self) -> None:
        await self.wait_for_proof()
        for node in list(self.nodes):
            fresh = await self.replace(node)
            await self.wait_for(fresh.is_ready)
            await asyncio.sleep(0.7)

    async def test_all_routers_killed_at_once_know_the_part_again(self):
        """Guards against four more engines each time no router is left that knows."""
        await self.start_play()
        self.spawn(self.kill_all_after_proof())
        await self.play(fix_others(1), 12.0)
        self.check_bounds()

    async def kill_all_after_proof(self) -> None:
        await self.wait_for_proof()
        await asyncio.sleep(1.5)
        for _ in range(2):
            for node in self.nodes:
                await node.close()
            await asyncio.gather(*(self.replace(node) for node in list(self.nodes)))
            await asyncio.sleep(2.0)


class CutFleetTest(RouterTroubleCase):
    async def test_two_parts_of_a_cut_fleet_end_five_engines_each(self):
        """Guards against a part of the fleet that no router grants tries to."""
        await self.start_play()
        self.cut()
        self.spawn(self.heal())
        await self.play(vary_others(self.rng), 14.0)
        self.check_bounds(most=2 * CRASHES)
        before = len(self.ends)
        for number in range(10_000, 10_020):
            await self.call_with(self.pick_node(), ["f", "bad", "m"], number)
        self.assertEqual(len(self.ends), before)

    def cut(self) -> None:
        """Let no message pass between the first two routers and the others."""
        halves = self.nodes[:2], self.nodes[2:]
        for half, other in (halves, halves[::-1]):
            ips = {node.settings.ip for node in other}
            for node in half:
                receive = type(node.peers).datagram_received
                node.peers.datagram_received = self.drop_from(ips, receive, node)

    @staticmethod
    def drop_from(ips, receive, node):
        def receive_some(data, addr):
            if addr[0] not in ips:
                receive(node.peers, data, addr)

        return receive_some

    async def heal(self) -> None:
        await asyncio.sleep(8.0)
        for node in self.nodes:
            del node.peers.datagram_received


class CutRouterTest(RouterTroubleCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.networks: list[CutNetwork] = []

    def make_network(self) -> CutNetwork:
        self.networks.append(CutNetwork())
        return self.networks[-1]

    async def test_router_that_engines_reset_holds_no_part_for_bad(self):
        """Guards against sound parts refused because a cut looks like a crash."""
        await self.start_play()
        traffic = vary_others(self.rng)
        traffic.bad_rate = 0.0
        self.spawn(self.cut_again_and_again())
        await self.play(traffic, 6.0)
        self.assertEqual(self.ends, [])
        events = self.journal.list_events()
        self.assertEqual(events.count("part_crash"), 0)
        refused = self.find_refused("sound") + self.find_refused("other")
        self.assertEqual(refused, 0, self.describe())
        self.assertGreater(events.count("attempt_failed"), 0)

    async def cut_again_and_again(self) -> None:
        network = self.networks[0]
        while True:
            ports = [engine.port for engine in self.engines]
            network.cut([Address("127.0.0.1", port) for port in ports], Cut.RESET)
            await asyncio.sleep(0.3)
            network.heal()
            await asyncio.sleep(0.3)
