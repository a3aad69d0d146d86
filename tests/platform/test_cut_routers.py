"""Callers of a router that has lost its way to the targets are served all the same."""

import asyncio

from anvilshift.wire.messages import Address
from tests.platform.cutnetwork import Cut, CutNetwork
from tests.platform.gatewaycase import GatewayCase, make_configuration

DETECTION_S = 1.0
"""Time from the start of a cut after which its router must serve again."""
PART_OF_OTHERS = 0.95
"""Least part of what the other routers serve that a cut router must serve."""
ROUNDS, GAP_S = 20, 0.1
EVENT_GAP_S = 0.04
"""Pause between the events of a stream, so that streams need several connections."""
PATHS = ("/chat", "/order", "/read", "/review")


class CutCase(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.networks: list[CutNetwork] = []

    def make_network(self) -> CutNetwork:
        self.networks.append(CutNetwork())
        return self.networks[-1]

    async def start(self, routers: int, rounds: int) -> None:
        for name, service in (("e1", "llm"), ("e2", "llm"), ("d1", "desk")):
            await self.add_target(name, service)
        await self.add_target("d2", "desk")
        await self.start_fleet(routers)
        # Without organisations no call is refused for want of tokens.
        changed = {**make_configuration(version=2), "tenants": []}
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: all(map(self.is_changed, self.nodes)))
        # Every router then also has open connections to the targets.
        served = await self.count_served(self.nodes, rounds)
        self.assertEqual(served, [rounds * len(PATHS)] * routers)

    @staticmethod
    def is_changed(node) -> bool:
        return node.shared.table.configuration.version == 2

    def list_addresses(self, names=("e1", "e2", "d1", "d2")) -> list[Address]:
        ports = [self.targets[name].server.port for name in names]
        return [Address("127.0.0.1", port) for port in ports]

    async def try_call(self, node, path: str, number: int) -> bool:
        """Return whether a caller's first try at a router is served."""
        try:
            async with asyncio.timeout(1.0):
                status, _, body = await self.call_at(
                    node, f"{path}/{number}", body=b"n%d" % number, deadline=1_000
                )
        except (OSError, TimeoutError):
            return False
        return status == 200 and bool(body)

    async def count_served(self, nodes, rounds: int = ROUNDS) -> list[int]:
        """Return how many tries of each path each router serves, all concurrently."""
        served = dict.fromkeys(nodes, 0)

        async def count(node, path, number):
            if await self.try_call(node, path, number):
                served[node] += 1

        tries = []
        for number in range(rounds):
            tries += [
                asyncio.create_task(count(node, path, 100 + number))
                for node in nodes
                for path in PATHS
            ]
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tries)
        return list(served.values())

    async def check(
        self, how: Cut, cut_routers: int, routers: int = 3, rounds: int = ROUNDS
    ) -> None:
        """Cut routers off from all targets, and check what callers get there.

        Parameters
        ----------
        rounds
            Calls of each kind at each router before the cut.
        """
        await self.start(routers, rounds)
        for target in self.targets.values():
            target.pace = EVENT_GAP_S
        for network in self.networks[:cut_routers]:
            network.cut(self.list_addresses(), how)
        during = asyncio.create_task(self.count_served(self.nodes))
        await asyncio.sleep(DETECTION_S)
        await during
        served = await self.count_served(self.nodes)
        others = min(served[cut_routers:])
        self.assertGreater(others, 0)
        for one in served[:cut_routers]:
            self.assertGreaterEqual(one, PART_OF_OTHERS * others, served)


class CutRouterTest(CutCase):
    async def test_callers_are_served_while_connections_to_all_targets_are_reset(self):
        """Guards against a router that refuses all calls while its own links fail."""
        await self.check(Cut.RESET, cut_routers=1)

    async def test_callers_are_served_while_connections_to_all_targets_hang(self):
        """Guards against calls that wait at dead connections until their deadlines."""
        await self.check(Cut.HANG, cut_routers=1)

    async def test_callers_are_served_while_no_new_connection_opens(self):
        """Guards against calls refused for want of a new connection to any target."""
        await self.check(Cut.KEEP_OPEN, cut_routers=1, rounds=1)

    async def test_callers_are_served_by_the_routers_left_of_a_failure_domain(self):
        """Guards against cut routers that ask only one another."""
        await self.check(Cut.HANG, cut_routers=2, routers=4)
