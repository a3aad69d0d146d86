"""A store that turns some routers away, while it serves the others and the operator."""

import asyncio
import time

from anvilshift.gateway.node import GatewayNode
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, Reply
from anvilshift.wire.server import HttpServer
from tests.platform.cutnetwork import CutNetwork
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.platform.stubs import LOOPBACK, StoreStub

IN_FORCE_AFTER = 7.0
"""Seconds from the acknowledgement of a change to its effect at the latest, while the
store is in trouble but neither down nor slow."""
WAYS = ("busy", "many", "reset", "silent")


class StoreDoor:
    """An address of the store, at which it may turn callers away in some way."""

    def __init__(self, store: StoreStub) -> None:
        self._store = store
        self.way: str | None = None
        self.server = HttpServer(self.handle)

    async def handle(self, request, responder) -> None:
        if self.way == "busy":
            await responder.send(Reply(503))
        elif self.way == "many":
            await responder.send(Reply(429))
        elif self.way == "reset":
            responder.abort()
        elif self.way == "silent":
            await asyncio.Event().wait()
        else:
            await self._store.handle(request, responder)

    def turn_away(self, way: str | None) -> None:
        """Turn callers away from now on; watches that wait are cut off."""
        self.way = way
        if way is not None:
            for connection in list(self.server.connections):
                connection.abort()


class TurnedAwayCase(GatewayCase):
    """A fleet of which the store turns all routers but the first one away."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.doors: list[StoreDoor] = []
        self.addresses: list[Address] = []
        for _ in range(len(WAYS) + 1):
            door = StoreDoor(self.store_stub)
            self.doors.append(door)
            self.addresses.append(await door.server.start(LOOPBACK))

    async def asyncTearDown(self):
        await super().asyncTearDown()
        for door in self.doors:
            await door.server.close()

    def make_store(self) -> PlatformStore:
        return PlatformStore(HttpClient(), self.addresses[len(self.nodes)])

    def make_network(self) -> CutNetwork:
        """Let each router connect to the others from its own address."""
        return CutNetwork()

    async def start(self) -> None:
        for number in range(2):
            await self.add_target(f"e{number}", "llm")
            await self.add_target(f"d{number}", "desk")
        await self.start_fleet(len(WAYS) + 1)
        for door, way in zip(self.doors[1:], WAYS, strict=True):
            door.turn_away(way)
        await asyncio.sleep(1.0)


class TurnedAwayTest(TurnedAwayCase):
    """Guards against a router that learns nothing while others beside it know."""

    async def measure(self, version: int) -> dict[str, float]:
        """Return after how many seconds each router that is turned away is current."""
        began, took = time.monotonic(), {}
        nodes: dict[str, GatewayNode] = dict(zip(WAYS, self.nodes[1:], strict=True))
        while len(took) < len(nodes) and time.monotonic() < began + 8.0:
            for way, node in nodes.items():
                if node.shared.table.configuration.version >= version:
                    took.setdefault(way, round(time.monotonic() - began, 2))
            await asyncio.sleep(0.01)
        return {way: took.get(way, 8.0) for way in WAYS}

    async def test_changes_are_in_force_at_routers_that_are_turned_away(self):
        await self.start()
        for version in (2, 5):
            self.store_stub.put("config", "main", make_configuration(version))
            took = await self.measure(version)
            self.assertLessEqual(max(took.values()), IN_FORCE_AFTER, took)

    async def test_routes_and_keys_that_are_gone_are_refused(self):
        """Guards against a part of a configuration that comes by another way."""
        await self.start()
        changed = make_configuration(2)
        changed["routes"] = [r for r in changed["routes"] if r["name"] != "read"]
        changed["tenants"][0]["apiKeys"] = ["k2"]
        self.store_stub.put("config", "main", changed)
        await self.measure(2)
        for way, node in zip(WAYS, self.nodes[1:], strict=True):
            with self.subTest(way):
                gone, _, _ = await self.call_at(node, "/read/1", key="k2")
                revoked, _, _ = await self.call_at(node, "/order/1", key="k1")
                served, _, _ = await self.call_at(node, "/order/1", key="k2")
                self.assertEqual((gone, revoked, served), (404, 401, 200))

    async def test_router_never_goes_back_to_an_older_version(self):
        """Guards against a router that takes what one behind it has in force."""
        await self.start()
        for version in range(2, 12):
            self.store_stub.put("config", "main", make_configuration(version))
            await asyncio.sleep(0.15)
        seen = [node.shared.table.configuration.version for node in self.nodes]
        for door in self.doors:
            door.turn_away("busy")
        self.doors[0].turn_away(None)
        for _ in range(40):
            await asyncio.sleep(0.05)
            found = [node.shared.table.configuration.version for node in self.nodes]
            for before, now in zip(seen, found, strict=True):
                self.assertGreaterEqual(now, before)
            seen = found


if __name__ == "__main__":
    import unittest

    unittest.main()
