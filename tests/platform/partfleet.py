"""Whole gateways on loopback while a part of some prompts ends engines.

Engines end as soon as they begin to write an answer to a prompt with the part, and are
back some time later under another name.  The harness itself counts what they saw and
what callers got.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.gateway.node import GatewayNode
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from bench.ports import take_free_port
from tests.platform.gatewaycase import GatewayCase, make_configuration

BAD = "bad"
STABLE_S = 3.0
"""Time after the fifth crash from which arrivals of the part are limited."""
CRASHES = 5
MAX_ARRIVALS = 3
_EVENT_S = 0.015
_EVENTS = 4
_BACK_AFTER_S = 1.5
_DEADLINE_MS = 3_000

Parts = list[str]


@dataclass
class PartTraffic:
    """The prompts of a play and how often they come.

    Parameters
    ----------
    bad, sound, other
        Make the shared parts of a request with the part, of a sound one of the same
        family, and of another family.
    bad_rate, sound_rate, other_rate
        Requests a second.
    """

    bad: Callable[[random.Random], Parts]
    sound: Callable[[random.Random], Parts]
    other: Callable[[random.Random], Parts]
    bad_rate: float = 4.0
    sound_rate: float = 20.0
    other_rate: float = 20.0


def vary_others(rng: random.Random) -> PartTraffic:
    """Return traffic whose other parts vary; the bad one stands in the middle."""

    def draw(first: str) -> Parts:
        return [first, f"{first}-{rng.randrange(6)}", f"{first}+{rng.randrange(6)}"]

    def draw_bad(_: random.Random) -> Parts:
        first, middle, last = draw("f")
        return [first, middle, BAD, last]

    return PartTraffic(draw_bad, lambda _: draw("f"), lambda _: draw("g"))


def fix_others(place: int) -> PartTraffic:
    """Return traffic with the same shared parts always, the bad one at a place."""
    sound = ["f", "m", "l"]
    bad = list(sound)
    bad[place] = BAD
    return PartTraffic(lambda _: bad, lambda _: sound, lambda _: ["g", "n", "k"])


@dataclass(frozen=True)
class Arrival:
    """A request that reached an engine, and when, in seconds of the loop."""

    at: float
    engine: str
    is_bad: bool


@dataclass(frozen=True)
class Outcome:
    """A caller's first attempt: its kind, when it was sent, and what it got."""

    kind: str
    at: float
    status: int
    code: str = ""


class PartEngine:
    """An engine at one address, through all its starts.

    Parameters
    ----------
    bad
        Parts that end it.

    Attributes
    ----------
    name
        Name of its present start; empty while it is down.
    """

    def __init__(self, fleet: "PartFleetCase", slot: int, moves: bool) -> None:
        self.fleet = fleet
        self.slot = slot
        self.moves = moves
        self.name = ""
        self.starts = itertools.count(1)
        self.born = 0
        self.runs: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._port = 0 if moves else take_free_port()

    @property
    def port(self) -> int:
        return self._port

    async def start(self) -> None:
        self.born = next(self.starts)
        port = 0 if self.moves else self._port
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        # A start that isn't registered yet can't end.
        self.name = f"i-{self.slot}-{self.born}"
        address = Address("127.0.0.1", self._port)
        zone = ("north", "south", "east")[self.slot % 3]
        self.fleet.register(
            self.name, "llm", address, zone=zone, born=self.born, slots=64
        )

    def end(self) -> None:
        """End the process: every connection breaks off, and it is back later."""
        if not self.name:
            return
        self.fleet.ends.append((asyncio.get_running_loop().time(), self.name))
        ended, self.name = self.name, ""
        assert self._server is not None
        self._server.close()
        for run in self.runs:
            run.cancel()
        self.fleet.spawn(self._come_back(ended))

    async def _come_back(self, ended: str) -> None:
        await asyncio.sleep(_BACK_AFTER_S)
        self.fleet.store_stub.remove("servers", ended)
        await self.start()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for run in self.runs:
            run.cancel()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.runs.add(task)
        task.add_done_callback(self.runs.discard)
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.CancelledError, EOFError, ConnectionError):
            writer.transport.abort()

    async def _answer(self, reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").splitlines()
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        if head[0].startswith("GET /v1/report "):
            body = b'{"born":%d}' % self.born
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body)
            return
        if fields.get("anvilshift-expect-instance") != self.name:
            writer.write(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        entries = fields.get("anvilshift-prefix-hash", "").split(",")
        shared = [entry.partition(":")[0] for entry in entries][:-1]
        is_bad = any(part in self.fleet.bad_parts for part in shared)
        now = asyncio.get_running_loop().time()
        self.fleet.arrivals.append(Arrival(now, self.name, is_bad))
        if "last-event-id" in fields:
            writer.write(b"HTTP/1.1 503 Full\r\nAnvilshift-Not-Executed: 1\r\n")
            writer.write(b"Content-Length: 0\r\n\r\n")
            return
        await self._stream(fields, writer, is_bad)

    async def _stream(self, fields, writer, is_bad: bool) -> None:
        is_framed = not self.fleet.has_unframed(self.slot)
        lines = [
            "HTTP/1.1 200 OK",
            f"Anvilshift-Attempt-Id: {fields['anvilshift-attempt-id']}",
            f"Anvilshift-Engine-Signature: {self.name}.1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked" if is_framed else "Connection: close",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        await asyncio.sleep(self.fleet.prefill_s * self.fleet.rng.uniform(0.7, 1.3))
        if is_bad:
            self.end()
            await asyncio.sleep(1)
        for number in range(1, _EVENTS + 1):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            chunk = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(chunk if is_framed else event)
            await writer.drain()
            await asyncio.sleep(_EVENT_S)
        if not is_framed:
            writer.close()
            await writer.wait_closed()
            raise EOFError
        writer.write(b"0\r\n\r\n")


class PartFleetCase(GatewayCase):
    """Routers, engines and callers of one play; a play has one seed."""

    seed = 1
    unframed_slots = frozenset({0, 5})
    """Engines whose streams have neither a length nor chunks."""
    prefill_s = 0.04
    """Mean time until an engine begins its answer."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rng = random.Random(self.seed)
        self.engines: list[PartEngine] = []
        self.bad_parts = {BAD}
        self.arrivals: list[Arrival] = []
        self.ends: list[tuple[float, str]] = []
        self.outcomes: list[Outcome] = []
        self.background: set[asyncio.Task[None]] = set()
        self.numbers = itertools.count()
        self.broken: list[BaseException | None] = []

    async def asyncTearDown(self):
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        for engine in self.engines:
            engine.close()
        await super().asyncTearDown()

    def has_unframed(self, slot: int) -> bool:
        return slot in self.unframed_slots

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.broken.append(task.exception())

    async def start_play(
        self, routers: int = 4, engines: int = 12, moves: bool = False
    ) -> None:
        for slot in range(engines):
            engine = PartEngine(self, slot, moves)
            self.engines.append(engine)
            await engine.start()
        await self.start_routers(routers)

    async def start_routers(self, count: int) -> None:
        self.targets = dict.fromkeys((e.name for e in self.engines), None)
        try:
            await self.start_fleet(count)
        finally:
            self.targets = {}
        changed = {**make_configuration(version=2, reserved=50_000_000)}
        self.store_stub.put("config", "main", changed)
        await self.wait_for(
            lambda: all(
                node.shared.table.configuration.version == 2 for node in self.nodes
            )
        )
        self.arrivals.clear()

    async def play(self, traffic: PartTraffic, seconds: float) -> None:
        """Send callers' requests for some seconds, and wait for their answers."""
        loop = asyncio.get_running_loop()
        self.began = loop.time()
        kinds = {
            "bad": (traffic.bad, traffic.bad_rate),
            "sound": (traffic.sound, traffic.sound_rate),
            "other": (traffic.other, traffic.other_rate),
        }
        await asyncio.gather(
            *(self._send_kind(k, m, r, seconds) for k, (m, r) in kinds.items())
        )
        while self.calls:
            await asyncio.sleep(0.05)
        self.assertEqual(self.broken, [], "a part of the play itself failed")

    calls = 0

    async def _send_kind(self, kind: str, make, rate: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while rate and loop.time() < until:
            self.spawn(self._call_once(kind, make(self.rng)))
            await asyncio.sleep(self.rng.expovariate(rate))

    def pick_node(self) -> GatewayNode:
        return self.rng.choice([node for node in self.nodes if node.is_ready()])

    async def _call_once(self, kind: str, shared: Parts) -> None:
        self.calls += 1
        number = next(self.numbers)
        began = asyncio.get_running_loop().time()
        try:
            status, body = await self.call_with(self.pick_node(), shared, number)
        except (ExchangeError, TimeoutError, IndexError) as error:
            status, body = 0, repr(error).encode()
        finally:
            self.calls -= 1
        code = body[:60].decode("latin-1") if status != 200 else ""
        self.outcomes.append(Outcome(kind, began, status, code))

    async def call_with(self, node: GatewayNode, shared: Parts, number: int):
        """Return the status and body that one request with some shared parts gets."""
        parts = [*shared, f"own{number}"]
        headers = [
            ("anvilshift-attempt-id", f"p-{number}"),
            ("authorization", "Bearer k1"),
            ("anvilshift-token-usage", f"{100 * len(parts)},30"),
            ("anvilshift-prefix-hash", ",".join(f"{part}:100" for part in parts)),
            ("anvilshift-deadline-ms", str(_DEADLINE_MS)),
        ]
        address = Address(node.settings.ip, node.server.port)
        path, body = f"/chat/{number}", b"ask %d" % number
        async with (
            asyncio.timeout(_DEADLINE_MS / 1_000 + 1),
            self.client.exchange(
                address, "POST", path, headers, body, host="shop.example"
            ) as response,
        ):
            return response.status, await response.read()

    # What the play showed

    def find_limited_from(self) -> float:
        """Return from when on arrivals of the part are limited."""
        if len(self.ends) < CRASHES:
            return float("inf")
        return self.ends[CRASHES - 1][0] + STABLE_S

    def count_late_arrivals(self) -> int:
        """Return the arrivals of the part later than three seconds after the fifth."""
        since = self.find_limited_from()
        return sum(one.is_bad and one.at > since for one in self.arrivals)

    def find_served(self, kind: str, since: float, until: float = float("inf")):
        """Return the share served of a kind's requests sent in a span of time."""
        statuses = [
            one.status
            for one in self.outcomes
            if one.kind == kind and since <= one.at < until
        ]
        return sum(s == 200 for s in statuses) / max(1, len(statuses))

    def find_refused(self, kind: str, status: int = 422) -> int:
        return sum(one.kind == kind and one.status == status for one in self.outcomes)

    def describe(self) -> str:
        """Return the figures of a play in one line."""
        first = self.ends[0][0] if self.ends else float("inf")
        settled = self.ends[min(len(self.ends), CRASHES) - 1][0] if self.ends else 0.0
        later = settled + 2 * STABLE_S
        return (
            f"ended {len(self.ends)}, late {self.count_late_arrivals()}, "
            f"sound {self.find_served('sound', 0, first):.2f} / "
            f"{self.find_served('sound', later):.2f}, "
            f"others {self.find_served('other', 0, first):.2f} / "
            f"{self.find_served('other', later):.2f}, "
            f"refused {self.find_refused('sound')}+{self.find_refused('other')} "
            f"of {sum(one.kind != 'bad' for one in self.outcomes)}"
        )
