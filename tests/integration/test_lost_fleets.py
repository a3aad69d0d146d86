"""All routers are killed at once while answers are being read."""

import asyncio
import signal

from bench.fleet import wait_until
from tests.integration.fleetcase import FleetCase

TOKENS = 400


class AllRoutersLostTest(FleetCase):
    async def test_answers_are_read_on_from_the_text_that_callers_have(self):
        """Guards against characters that are lost or come twice after a loss of all.

        No engine declares a version here: each goes on from the text that the caller
        has received, which it is handed with the request.
        """
        streams = self.begin_streams_at_each(3, TOKENS)
        for name in self.fleet.router_names:
            await wait_until(lambda name=name: self.is_busy(name))
        for name in self.fleet.router_names:
            self.send(name, signal.SIGKILL)
        for name in self.fleet.router_names:
            await self.fleet.processes[name].wait()
        for index in range(len(self.fleet.router_names)):
            self.fleet.start_router(index)
        await asyncio.gather(*streams)

    async def is_busy(self, name: str) -> bool:
        return (await self.fleet.status(name))["in_flight"] >= 3
