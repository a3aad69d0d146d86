"""Answers that outlast the grace period of the router that forwards them."""

import asyncio
from dataclasses import replace

from tests.platform.cutnetwork import Cut
from tests.platform.gatewaycase import make_configuration
from tests.platform.test_cut_routers import CutCase

GRACE_MS = 5_000
DEADLINE_MS = 15_000
PACE_S = 1.0
"""Seconds between the six events of a stream."""


class StoppingTunnelTest(CutCase):
    async def start_cut(self, names: tuple[str, ...]) -> None:
        """Start three routers, the first of which reaches targets through others."""
        for name in names:
            await self.add_target(name, "llm" if name.startswith("e") else "desk")
        await self.start_fleet(3)
        changed = make_configuration(2, 10_000_000, DEADLINE_MS)
        for route in changed["routes"]:
            route["itlTargetMs"] = None
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: all(map(self.is_changed, self.nodes)))
        for node in self.nodes:
            node.settings = replace(node.settings, grace=GRACE_MS)
        for target in self.targets.values():
            target.pace = PACE_S
        self.networks[0].cut(self.list_addresses(names), Cut.RESET)

    async def call_beside_stop(self, path: str) -> tuple[int, bytes]:
        """Call the cut router; the router that forwards the call stops meanwhile."""
        calling = asyncio.create_task(
            self.call_at(self.nodes[0], path, deadline=DEADLINE_MS, identity="a")
        )
        await self.wait_for(lambda: any("a" in t.runs for t in self.targets.values()))
        await asyncio.sleep(0.2)
        stopping = next(n for n in self.nodes[1:] if n.forwarding.server.entrances)
        await stopping.stop()
        await stopping.close()
        status, _, body = await calling
        return status, body

    def check_stream(self, status: int, body: bytes) -> None:
        ids = [line for line in body.splitlines() if line.startswith(b"id")]
        self.assertEqual((status, ids), (200, [b"id: %d" % n for n in range(1, 7)]))

    async def test_stream_goes_on_at_another_target(self):
        """Guards against a stream that ends with the router that forwards it."""
        await self.start_cut(("e1", "e2"))
        self.check_stream(*await self.call_beside_stop("/chat/1"))

    async def test_stream_goes_on_at_its_only_target_through_another_router(self):
        """Guards against a sound target that is given up with the way to it."""
        await self.start_cut(("e1",))
        self.check_stream(*await self.call_beside_stop("/chat/1"))

    async def test_read_is_answered_by_another_target(self):
        """Guards against a read that ends with the router that forwards it."""
        await self.start_cut(("e1", "d1", "d2"))
        self.targets["d1"].work = self.targets["d2"].work = 5.0
        status, body = await self.call_beside_stop("/read/1")
        self.assertEqual((status, body), (200, b"answer of "))
