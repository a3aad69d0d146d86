"""Streams that are taken up after all routers were killed beside a change of versions.

The routers are processes of their own.
"""

import asyncio
import json

from anvilshift.core.errors import STREAM_NOT_RESUMABLE
from anvilshift.core.loadmap import LONGEST_RUN
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from tests.platform.gatewaycase import make_configuration
from tests.platform.processfleet import ProcessCase

BEGUN = 3
PATIENCE_MS = 60_000
"""Time that the callers wait in all; they may come back until it is over."""
COMING_BACK_S = LONGEST_RUN / 1_000.0 + 5.0
"""Time for which they come back: longer than a run, and less than they wait."""
PAUSE_S = 0.5


class LostFleetTest(ProcessCase):
    async def call_router(self, ip: str, identity: str, *headers: tuple[str, str]):
        self.address = Address(ip, self.front)
        return await self.call(
            "/chat/1",
            identity=identity,
            headers=list(headers),
            deadline=PATIENCE_MS,
            key=None,
        )

    async def begin(self, identity: str) -> None:
        with self.assertRaises(ExchangeError):
            await self.call_router(self.ips[0], identity)

    async def start_with(self, version: str) -> None:
        engine = await self.add_target(f"e-{version}", "llm", version=version)
        engine.breaks_new = BEGUN
        self.store_stub.put("config", "main", {**make_configuration(), "tenants": []})
        await self.start_all()

    async def try_until_whole(self, ip: str, identity: str) -> None:
        """Wait until a router has read the register, as a new stream shows."""
        async with asyncio.timeout(20):
            while (await self.call_router(ip, identity))[0] != 200:
                await asyncio.sleep(PAUSE_S)

    async def test_stream_of_the_old_version_is_never_joined(self):
        """Guards against streams joined from two versions after a loss of power."""
        await self.start_with("v1")
        await self.begin("a")
        old = self.targets["e-v1"]
        self.assertEqual(old.runs, ["a"])
        new = await self.add_target("e-v2", "llm", version="v2")
        self.store_stub.remove("servers", "e-v1")
        self.kill_all()
        await self.start_all()
        for ip in self.ips:
            await self.try_until_whole(ip, f"new-{ip}")
        resumed = ("last-event-id", str(BEGUN))
        until = asyncio.get_running_loop().time() + COMING_BACK_S
        number = 0
        while asyncio.get_running_loop().time() < until:
            ip = self.ips[number % len(self.ips)]
            for headers in ((resumed, ("resumes", "a")), (resumed,)):
                number += 1
                status, told, body = await self.call_router(ip, f"b{number}", *headers)
                self.assertEqual(status, 503, body)
                error = json.loads(body)["error"]
                self.assertEqual(error["code"], STREAM_NOT_RESUMABLE.number, error)
                self.assertEqual(error["fate"], "not run")
                self.assertIsNotNone(told.get("retry-after"))
            await asyncio.sleep(PAUSE_S)
        self.assertEqual([one for one in new.runs if one.startswith("b")], [])
        self.assertEqual(old.runs, ["a"])
