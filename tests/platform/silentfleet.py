"""Whole gateways on loopback while sound engines fall silent for a time and go on.

The harness itself counts what engines ran and what callers got.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from tests.platform.gatewaycase import ROUTES, GatewayCase, make_configuration

EVENTS = 20
PACE_S = 0.04
PLAIN_WORK_S = 0.03
DEADLINE_MS = 6_000
PAUSE_OBJECTIVE_MS = 300
PATHS = tuple(ROUTES)


@dataclass(frozen=True)
class Outcome:
    """What a caller got.

    Parameters
    ----------
    kind
        `whole`, `cut` for a stream that ended early, `closed` for a connection that
        ended without an answer, or the status of another answer.
    events
        Complete events that were received.
    """

    path: str
    identity: str
    at: float
    kind: str
    events: int = 0


class PausingNetwork:
    """Opens TCP connections; to a host that is silent as a whole once it wakes.

    Attributes
    ----------
    source
        Address of the router whose connections it opens.
    """

    def __init__(self, fleet: "SilentFleetCase") -> None:
        self._fleet = fleet
        self.source = "127.0.0.1"

    async def open(self, protocol, address: Address) -> None:
        """Connect a protocol to an address."""
        target = self._fleet.find_target(address)
        if target is not None and self._fleet.hosts_fall_silent:
            await target.wait_awake()
        loop = asyncio.get_running_loop()
        source = (self.source, 0)
        await loop.create_connection(
            lambda: protocol, address.ip, address.port, local_addr=source
        )


class PausingTarget:
    """A sound target that at times neither reads nor writes, and then goes on.

    Attributes
    ----------
    runs
        Attempt ids of the requests that it began to run, in order.
    rejects
        Whether it rejects requests as not run.
    pace
        Seconds between two events of a stream.
    reports
        Whether it says when it started.
    answer
        Body of its plain answers.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.reports = True
        self.answer = b"ok"
        self.runs: list[str] = []
        self.rejects = False
        self.pace = 0.0
        self._awake = asyncio.Event()
        self._awake.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def server(self) -> "PausingTarget":
        """Return what a test case closes at its end."""
        return self

    @property
    def port(self) -> int:
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address("127.0.0.1", self.port)

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def fall_silent(self) -> None:
        self._awake.clear()

    def wake(self) -> None:
        self._awake.set()

    async def wait_awake(self) -> None:
        await self._awake.wait()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.CancelledError, EOFError, ConnectionError):
            writer.transport.abort()

    async def _answer(self, reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").splitlines()
        await self._awake.wait()
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        if head[0].startswith("GET /v1/report "):
            body = b'{"born": 1}' if self.reports else b"{}"
            await self._write(writer, _make_head(200, [], len(body)) + body)
            return
        if self.rejects:
            rejection = _make_head(503, ["Anvilshift-Not-Executed: 1"], 0)
            await self._write(writer, rejection)
            return
        identity = fields["anvilshift-attempt-id"]
        self.runs.append(identity)
        lines = [
            f"Anvilshift-Attempt-Id: {identity}",
            f"Anvilshift-Engine-Signature: {self.name}.1",
        ]
        if "anvilshift-token-usage" in fields:
            since = int(fields.get("last-event-id", 0))
            await self._stream(writer, lines, since)
        else:
            await asyncio.sleep(PLAIN_WORK_S)
            head = _make_head(200, lines, len(self.answer))
            await self._write(writer, head + self.answer)

    async def _stream(self, writer, lines: list[str], since: int) -> None:
        lines = [*lines, "Content-Type: text/event-stream"]
        head = _make_head(200, [*lines, "Transfer-Encoding: chunked"])
        await self._write(writer, head)
        for number in range(since + 1, EVENTS + 1):
            await asyncio.sleep(self.pace)
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            await self._write(writer, b"%x\r\n%b\r\n" % (len(event), event))
        await self._write(writer, b"0\r\n\r\n")

    async def _write(self, writer, data: bytes) -> None:
        await self._awake.wait()
        writer.write(data)
        await writer.drain()


def _make_head(status: int, lines: list[str], length: int | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} Said", *lines]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


class SilentFleetCase(GatewayCase):
    """Plays of callers at routers whose targets fall silent.

    Attributes
    ----------
    deadline_ms, goal_ms, pause_ms
        Deadline of the callers, and the objectives of the routes.
    hosts_fall_silent
        Whether the hosts of silent targets open no connections either.
    """

    hosts_fall_silent = False

    deadline_ms = DEADLINE_MS
    goal_ms = 500
    pause_ms: int | None = PAUSE_OBJECTIVE_MS

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rng = random.Random(9)
        self.outcomes: list[Outcome] = []
        self.version = 1
        self._spawned: set[asyncio.Task[None]] = set()

    async def asyncTearDown(self):
        for task in self._spawned:
            task.cancel()
        await super().asyncTearDown()

    def spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    # The fleet

    async def start_play(
        self, routers: int = 2, engines: int = 6, plain: int = 6
    ) -> None:
        for number in range(engines):
            await self.add_pausing(f"e{number}", "llm")
        for number in range(plain):
            await self.add_pausing(f"d{number}", "desk")
        await self.start_fleet(routers)
        for target in self.list_pausing():
            target.pace = PACE_S
        self.change_configuration()
        await self.wait_for(lambda: all(map(self.is_up_to_date, self.nodes)))

    async def add_pausing(self, name: str, service: str) -> PausingTarget:
        target = PausingTarget(name)
        address = await target.start()
        self.targets[name] = target
        self.register(name, service, address)
        return target

    def make_network(self) -> PausingNetwork:
        return PausingNetwork(self)

    def find_target(self, address: Address) -> PausingTarget | None:
        """Return the target that listens on an address; None if there is none."""
        found = (one for one in self.list_pausing() if one.port == address.port)
        return next(found, None)

    def is_up_to_date(self, node) -> bool:
        return node.shared.table.configuration.version == self.version

    def change_configuration(self, **changes) -> None:
        """Put a new version in force, with the objectives of this play."""
        self.version += 1
        made = make_configuration(self.version, 10_000_000, self.deadline_ms)
        for route in made["routes"]:
            route["latencyGoalMs"] = self.goal_ms
            route["itlTargetMs"] = self.pause_ms if route["name"] == "chat" else None
        self.store_stub.put("config", "main", {**made, **changes})

    async def storm(self, count: int = 12, gap_s: float = 0.2) -> None:
        for _ in range(count):
            self.change_configuration()
            await asyncio.sleep(gap_s)

    def list_pausing(self, service: str = "") -> list[PausingTarget]:
        prefix = {"llm": "e", "desk": "d"}.get(service, "")
        return [one for name, one in self.targets.items() if name.startswith(prefix)]

    async def pause(self, targets, at: float, silent_s: float) -> None:
        """Let targets fall silent at some time of the play."""
        await asyncio.sleep(at)
        for target in targets:
            target.fall_silent()
        await asyncio.sleep(silent_s)
        for target in targets:
            target.wake()

    # Callers

    async def play(self, rate: float, seconds: float, paths=PATHS) -> None:
        """Send calls at random instants, each at some router, and wait for all ends."""
        loop = asyncio.get_running_loop()
        end, calls = loop.time() + seconds, []
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            node = self.rng.choice(self.nodes)
            path = self.rng.choice(paths)
            calls.append(asyncio.create_task(self.call_once(node, path)))
        await asyncio.gather(*calls)

    async def call_once(
        self, node, path: str, client: HttpClient | None = None
    ) -> Outcome:
        """Send one call, on a connection of a client of its own if there is one."""
        self.count += 1
        identity = f"play-{self.count}"
        address = Address(node.settings.ip, node.server.port)
        at = asyncio.get_running_loop().time()
        kind, body = await self._exchange(
            client or self.client, address, path, identity
        )
        events = body.count(b"\n\n")
        if kind == "200":
            kind = self._judge(path, body)
        outcome = Outcome(path, identity, at, kind, events)
        self.outcomes.append(outcome)
        return outcome

    def _judge(self, path: str, body: bytes) -> str:
        if path in ("chat", "review"):
            numbers = range(1, EVENTS + 1)
            due = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in numbers)
        else:
            due = b"ok"
        return "whole" if body == due else "mixed"

    async def _exchange(self, client, address, path, identity) -> tuple[str, bytes]:
        headers = [
            ("anvilshift-attempt-id", identity),
            ("authorization", "Bearer k1"),
            ("anvilshift-deadline-ms", str(self.deadline_ms)),
        ]
        if path in ("chat", "review"):
            family = self.rng.randrange(4)
            usage = [("anvilshift-token-usage", "100,100")]
            parts = f"s{family}:60,{identity}:40"
            headers += [*usage, ("anvilshift-prefix-hash", parts)]
        body = bytearray()
        try:
            async with (
                asyncio.timeout(20),
                client.exchange(
                    address,
                    "POST",
                    f"/{path}/{identity}",
                    headers,
                    identity.encode(),
                    host="shop.example",
                ) as response,
            ):
                try:
                    async for chunk in response.chunks():
                        body += chunk
                except ExchangeError:
                    return "cut", bytes(body)
                return str(response.status), bytes(body)
        except ExchangeError:
            return "closed", bytes(body)

    # What was seen

    def count_kinds(self) -> Counter[str]:
        return Counter(one.kind for one in self.outcomes)

    def count_events(self, event: str) -> int:
        return self.journal.list_events().count(event)

    def count_repeats(self) -> int:
        """Return how many runs there were beyond each request's first."""
        runs = [
            run
            for target in self.list_pausing()
            for run in target.runs
            if run.startswith("play-")
        ]
        return len(runs) - len(set(runs))

    def describe(self) -> str:
        """Return what callers got, and what the routers' logs say of it."""
        left = Counter(
            (fields["failure"], fields["why"])
            for event, fields in self.journal.lines
            if event == "attempt_failed"
        )
        ejected = self.count_events("target_ejected")
        broken = self.count_events("path_broken")
        return (
            f"{dict(self.count_kinds())} of {len(self.outcomes)}, "
            f"{self.count_repeats()} repeats, {ejected} ejected, {broken} paths "
            f"broken, {dict(left)}"
        )
