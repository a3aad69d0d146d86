"""A router process whose way to the platform is cut goes on through its peers."""

import asyncio
import time

import yaml

from bench.fleet import wait_until
from tests.integration.fleetcase import FleetCase

BOUND_S = 4.0
"""The users' bound on the time until a change is in force."""


class CutFromPlatformTest(FleetCase):
    cut_off = ("r3",)

    async def cut(self, **faults):
        await self.fleet.set_faults(self.fleet.controls["net-r3"], **faults)

    async def change_declarations(self, number):
        path = next(self.fleet.declarations.rglob("budgets.yaml"))
        documents = list(yaml.safe_load_all(path.read_text()))
        documents[0]["grant"] = 30_000 + number
        path.write_text(yaml.safe_dump_all(documents))
        began = time.monotonic()
        await self.declare()
        return time.monotonic() - began

    async def test_it_serves_bills_and_follows_through_a_peer(self):
        """The switch between one router and the platform fails silently: what
        is sent vanishes, and no connection is refused.

        Its callers get whole answers, each billed once, and an operator's
        change is in force there as soon as elsewhere.
        """
        client = self.client("kosice", "r3")
        await self.ask("before", 10, client)
        await self.cut(cut_there=True, cut_back=True)
        spans = [await self.change_declarations(n) for n in range(3)]
        self.assertLess(max(spans), BOUND_S)
        status = await self.fleet.status("r3")
        self.assertTrue(status["ready"])
        await asyncio.gather(*(self.ask(f"cut {n}", 10, client) for n in range(6)))
        await self.check_spend("kosice", self.justified)
        await self.cut(cut_there=False, cut_back=False)
        spans.append(await self.change_declarations(9))
        await self.ask("after", 10, client)
        await self.check_spend("kosice", self.justified)
        print("seconds to acceptance, cut off:", [round(span, 2) for span in spans])

    async def test_it_stops_when_it_is_cut_off_from_all(self):
        await self.cut(cut_there=True, cut_back=True)
        await self.change_declarations(1)
        for name in ("r1", "r2"):
            self.fleet.processes[name].end()

        async def has_stopped():
            return not (await self.fleet.status("r3"))["ready"]

        await wait_until(has_stopped)
