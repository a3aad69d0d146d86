"""Random courses of a fleet whose engines change from one version to the next.

Engines break streams off, some with a framed end inside an event; routers are killed
and cut off from engines; callers take their streams up at any router.  All checks are
on what callers and engines have seen.
"""

import asyncio
import random
from dataclasses import dataclass, field

from anvilshift.wire.endings import Ending
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from tests.platform.cutnetwork import Cut
from tests.platform.gatewaycase import make_configuration
from tests.platform.test_cut_routers import CutCase

EVENTS = 24
PACE_S = 0.01
TRIES = 4
STREAMS = 60
GAP_S = 0.05
LEAST_RESUMED = 12
"""Resumptions from which on their share is judged."""
LEAVING = 0.6
"""Share of tries whose caller loses its connection in their midst."""
SHARE = 0.5
"""Least share of resumptions that go on, of the share of new streams that begin."""


@dataclass
class Stream:
    """What one caller has received over its tries.

    Attributes
    ----------
    versions
        Versions of the engines whose events it holds.
    ids
        Ids of these events, in order.
    """

    name: str
    versions: set[str] = field(default_factory=set)
    ids: list[int] = field(default_factory=list)
    is_told_whole: bool = False
    refused: int = 0

    def receive(self, body: bytes) -> bool:
        """Add the complete events of a try; return whether there were any."""
        events = body.split(b"\n\n")[:-1]
        for event in events:
            identity, data = event.split(b"\n")
            self.ids.append(int(identity.removeprefix(b"id: ")))
            self.versions.add(data.removeprefix(b"data: ").split(b"-")[0].decode())
        return bool(events)


class RollCase(CutCase):
    async def prepare(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.streams: list[Stream] = []
        self.refused: list[tuple[str, int]] = []
        self.begun = self.asked = self.went_on = self.taken_up = 0
        self.new = 0
        await self.add_target("d1", "desk")
        for number in range(4):
            await self.add_engine(f"a{number}", "v1")
        await self.start_fleet(4)
        changed = {**make_configuration(version=2, timeout=8_000), "tenants": []}
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: all(map(self.is_changed, self.nodes)))
        self.alive = list(self.nodes)
        for engine in self.targets.values():
            engine.pace = PACE_S

    async def add_engine(self, name: str, version: str) -> None:
        engine = await self.add_target(name, "llm", version=version)
        engine.mark = version.encode() + b"-"
        engine.events = EVENTS
        engine.half_ends = self.rng.random() < 0.5

    def retire(self, name: str) -> None:
        address = Address("127.0.0.1", self.targets[name].server.port)
        version = self.targets[name].mark.decode().rstrip("-")
        self.register(name, "llm", address, version=version, state="draining")

    async def disturb(self) -> None:
        """Break streams off at one engine or another until cancelled."""
        while True:
            engine = self.targets[self.rng.choice(sorted(self.targets))]
            engine.crash_after = self.rng.randrange(EVENTS)
            await asyncio.sleep(self.rng.uniform(0.05, 0.2))
            engine.crash_after = None

    async def roll(self) -> None:
        """Replace the engines one by one, and lose two routers meanwhile."""
        for number in range(4):
            await self.add_engine(f"b{number}", "v2")
            self.targets[f"b{number}"].pace = PACE_S
            await asyncio.sleep(self.rng.uniform(0.2, 0.5))
            if number == 1:
                lost = self.alive.pop(self.rng.randrange(len(self.alive)))
                await lost.close()
            if number == 2:
                cut = self.networks[self.nodes.index(self.rng.choice(self.alive))]
                cut.cut(self.list_addresses(("a3", "b0", "b1")), Cut.RESET)
            self.retire(f"a{number}")
            await asyncio.sleep(self.rng.uniform(0.2, 0.5))

    async def run_caller(self, number: int) -> None:
        stream = Stream(f"s{number}")
        self.streams.append(stream)
        for attempt in range(TRIES):
            await self.try_stream(stream, f"s{number}-{attempt}")
            if stream.is_told_whole:
                return
            await asyncio.sleep(self.rng.uniform(0.02, 0.2))

    async def choose_router(self):
        """Return the router that a caller tries next."""
        return self.rng.choice(self.alive)

    def names_first(self) -> bool:
        """Return whether a caller names the first attempt of its stream."""
        return True

    async def try_stream(self, stream: Stream, identity: str) -> None:
        node = await self.choose_router()
        address = Address(node.settings.ip, node.server.port)
        headers = [
            ("anvilshift-attempt-id", identity),
            ("anvilshift-token-usage", "100,120"),
            ("anvilshift-prefix-hash", f"{stream.name}:100"),
            ("anvilshift-deadline-ms", "8000"),
        ]
        is_resumed = bool(stream.ids)
        if is_resumed:
            headers.append(("last-event-id", str(stream.ids[-1])))
            if self.names_first():
                headers.append(("resumes", stream.name))
        else:
            stream.name = identity
        served = self.count_engines(stream)
        body = bytearray()
        ending = None
        exchange = self.client.exchange(
            address, "POST", "/chat/1", headers, identity.encode(), host="shop.example"
        )
        try:
            async with asyncio.timeout(10), exchange as response:
                if response.status != 200:
                    stream.refused += 1
                    self.refused.append((identity, response.status))
                    await response.read()
                else:
                    most = self.draw_loss()
                    async for chunk in response.chunks():
                        body += chunk
                        if body.count(b"\n\n") >= most:
                            break
                    ending = response.ending
        except ExchangeError:
            pass
        went_on = stream.receive(bytes(body))
        if ending is Ending.FRAMED:
            stream.is_told_whole = True
        if not is_resumed:
            self.new += 1
            self.begun += went_on
        elif served >= 2 and stream.ids[-1] < EVENTS:
            self.taken_up += 1
            self.went_on += went_on

    def draw_loss(self) -> int:
        """Return the number of events after which a caller loses its connection."""
        is_lost = self.rng.random() < LEAVING
        return self.rng.randrange(1, EVENTS) if is_lost else EVENTS + 1

    def count_engines(self, stream: Stream) -> int:
        """Return how many engines of a stream's version take new work."""
        entries = {
            name: one["spec"]
            for (kind, name), one in self.store_stub.objects.items()
            if kind == "servers"
        }
        return sum(
            one["state"] == "ready" and {one.get("version")} == stream.versions
            for one in entries.values()
        )

    async def play(self, seed: int) -> None:
        """Play one course, and check what callers and engines have seen."""
        await self.prepare(seed)
        background = [asyncio.create_task(one) for one in (self.disturb(), self.roll())]
        callers = []
        for number in range(STREAMS):
            callers.append(asyncio.create_task(self.run_caller(number)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*callers)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.check()

    def check(self) -> None:
        """Check all that callers have seen."""
        self.check_streams()
        if self.taken_up >= LEAST_RESUMED:
            began, went_on = self.begun / self.new, self.went_on / self.taken_up
            self.assertGreaterEqual(went_on, SHARE * began)

    def check_streams(self) -> None:
        """Check that no stream holds two versions, or events twice or not at all."""
        for stream in self.streams:
            whole = list(range(1, EVENTS + 1))
            self.assertLessEqual(len(stream.versions), 1, stream)
            self.assertEqual(stream.ids, whole[: len(stream.ids)], stream)
            if stream.is_told_whole:
                self.assertEqual(stream.ids, whole, stream)


class RollTest(RollCase):
    async def test_first_course(self):
        """Guards against mixed versions and half answers while versions change."""
        await self.play(1)

    async def test_second_course(self):
        """Guards against the same in another order of events."""
        await self.play(2)
