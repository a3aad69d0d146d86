"""Routers that die or are paused with work in hand."""

import asyncio
import signal

from bench.fleet import wait_until
from tests.integration.fleetcase import FleetCase


class RouterLossTest(FleetCase):
    async def test_killed_router_costs_no_answer_and_doubles_no_order(self):
        """A router is killed with streams open and a booking at the service.

        Callers read on at the other routers, each character once.  The booking
        ran; nobody can say so, and nobody runs it again.
        """
        await self.fleet.set_faults(self.fleet.addresses["stock-1"], hold_ms=20_000.0)
        order = asyncio.create_task(self.order("drums", "r1", deadline=4_000.0))
        await wait_until(self.count_orders)
        streams = self.begin_streams_at_each(4, 400)
        await wait_until(lambda: self.is_busy("r1", 3))
        self.send("r1", signal.SIGKILL)
        await asyncio.gather(*streams)
        self.assertEqual(await order, "unknown")
        await self.fleet.set_faults(self.fleet.addresses["stock-1"], hold_ms=0.0)
        again = [await self.order("drums", name) for name in ("r2", "r3")]
        self.assertEqual(again, ["unknown", "unknown"])
        self.assertEqual(await self.count_orders(), {"drums": 1})
        await self.check_spend("kosice", self.justified)

    async def is_busy(self, name: str, least: int) -> bool:
        return (await self.fleet.status(name))["in_flight"] >= least

    async def test_paused_router_wakes_and_bills_nothing_twice(self):
        """A router is paused past its lease with streams open, and wakes.

        Its callers were answered elsewhere meanwhile, its grants sealed and
        handed to others.  It goes on with its streams as if nothing were.
        """
        streams = self.begin_streams(12, 500)
        name = await self.wait_busy(3)
        self.send(name, signal.SIGSTOP)
        others = [n for n in self.fleet.router_names if n != name]
        for other in others:
            await wait_until(lambda o=other: self.has_lost(o, name))
        self.send(name, signal.SIGCONT)
        await asyncio.gather(*streams)
        await self.fleet.wait_ready(name)
        await self.ask("after the pause", 10, self.client("kosice", name))
        await self.check_spend("kosice", self.justified)

    async def has_lost(self, router: str, lost: str) -> bool:
        return lost not in (await self.fleet.status(router))["peers"]
