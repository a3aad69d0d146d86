"""The fakes at a node's interfaces: who reaches whom, how late, who is frozen.

A killed node never gets an answer and never sends again; a frozen one is held
at its next send or receive, which is where a paused process does harm.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Engine
from anvilshift.core.work import CacheEvent, Failure, LoadReport
from anvilshift.engines.engine import ModelCall, Order, Piece, Usage
from anvilshift.engines.http import TargetError
from anvilshift.peers.generated.peers_pb2 import (
    GiveBackReply,
    GiveBackRequest,
    Heartbeat,
    KeepReply,
    KeepRequest,
)
from anvilshift.peers.link import PeerError
from anvilshift.standins.engine import POISON, make_token, read_prompt
from anvilshift.wire.messages import Fields, Headers, HttpAnswer
from bench.soak.journal import Journal
from bench.soak.limits import STABLE, LimitWatch

_TIMEOUT: Millis = 1 * SECOND
_DECODE: Millis = 10.0
_REBOOT: Millis = 15 * SECOND


@dataclass
class Presence:
    """One incarnation of a node as the network sees it."""

    name: str
    dead: bool = False
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.running.set()

    async def pass_through(self) -> None:
        """Hold a frozen node here; hold a dead one for ever."""
        await self.running.wait()
        if self.dead:
            await asyncio.get_running_loop().create_future()


class Network:
    """Delays, cuts and presences."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.presences: dict[str, Presence] = {}
        self.handlers: dict[str, Any] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.disturbed: dict[str, Millis] = {}
        self.slow: Millis = 0.0

    def note_disturbed(self, name: str, now: Millis) -> None:
        """Take in that a router starts, or goes on after a pause."""
        self.disturbed[name] = now

    def is_calm(self, name: str, now: Millis) -> bool:
        """Tell whether a router has run for a while."""
        return now - self.disturbed.get(name, float("-inf")) > STABLE

    async def travel(self) -> None:
        """Wait as long as a message takes."""
        await asyncio.sleep((self.rng.uniform(0.5, 3.0) + self.slow) / SECOND)

    def reaches(self, source: str, goal: str) -> bool:
        """Tell whether messages pass from one place to another."""
        return (source, goal) not in self.cuts

    async def deliver(self, source: str, goal: str) -> bool:
        """Carry one message; False when it never arrives."""
        await self.travel()
        return self.reaches(source, goal)


class SoakLink:
    """Calls from one node to the others."""

    def __init__(self, network: Network, presence: Presence) -> None:
        self._network = network
        self._own = presence

    async def _call(self, address: str, method: str, message: Any) -> Any:
        await self._own.pass_through()
        try:
            async with asyncio.timeout(_TIMEOUT / SECOND):
                reply = await self._exchange(address, method, message)
        except TimeoutError as error:
            raise PeerError("no answer") from error
        await self._own.pass_through()
        return reply

    async def _exchange(self, address: str, method: str, message: Any) -> Any:
        network = self._network
        goal = network.presences.get(address)
        if goal is None or goal.dead:
            raise PeerError("connection refused")
        if not await network.deliver(self._own.name, goal.name):
            await asyncio.sleep(_TIMEOUT / SECOND)
        await goal.pass_through()
        reply = await getattr(network.handlers[address], method)(message)
        await goal.pass_through()
        if not await network.deliver(goal.name, self._own.name):
            await asyncio.sleep(_TIMEOUT / SECOND)
        return reply

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""
        reply: Heartbeat = await self._call(address, "handle_heartbeat", beat)
        return reply

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Leave copies of bills."""
        reply: KeepReply = await self._call(address, "handle_keep", request)
        return reply

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask for unused tokens."""
        reply: GiveBackReply = await self._call(address, "handle_give_back", request)
        return reply

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Carry any later call of the link: `x` becomes the handler's `handle_x`."""
        if name.startswith("_"):
            raise AttributeError(name)

        async def call(address: str, message: Any) -> Any:
            return await self._call(address, f"handle_{name}", message)

        return call

    def close(self) -> None:
        """Close nothing."""


class SoakEngine:
    """A model engine that every node shares; it crashes on poison."""

    def __init__(self, name: str, journal: Journal, network: Network) -> None:
        self.name = name
        self.up = True
        self.slow = 1.0
        self.fail_streams = 0.0
        self.leaving_since: Millis | None = None
        self.limit = LimitWatch()
        self.cache: dict[str, list[CacheEvent]] = {}
        self.crashes = 0
        self._journal = journal
        self._network = network
        self._stopped: set[str] = set()
        self.running = 0

    @property
    def is_serving(self) -> bool:
        """Tell whether the engine is up and not leaving."""
        return self.up and self.leaving_since is None

    def crash(self) -> None:
        """Go down, and come up again after a while."""
        self.up = False
        self.crashes += 1
        loop = asyncio.get_running_loop()
        loop.call_later(_REBOOT / SECOND, self._boot)

    def _boot(self) -> None:
        self.up = True

    async def run(self, source: str, call: ModelCall) -> AsyncIterator[list[Piece]]:
        """Yield an answer's pieces as the engine makes them."""
        prompt = read_prompt(call.body)
        self._journal.engine_ran(self.name, prompt, self.leaving_since)
        self._count(source)
        if POISON in prompt:
            self._journal.poisoned(prompt, self.name)
            self.crash()
        limit = int(call.body["max_tokens"])
        self.running += 1
        try:
            for position in range(len(call.received.split()), limit):
                await asyncio.sleep(_DECODE * self.slow / SECOND)
                self._check(source, call)
                yield [Piece(make_token(prompt, position))]
            usage = Usage(len(prompt) // 4 + 1, limit)
            yield [Piece("", 0, "stop", usage)]
        finally:
            self.running -= 1

    def _count(self, source: str) -> None:
        """Hold routers in touch to the limit that this engine names."""
        now = self._journal.now()
        if not self._network.is_calm(source, now):
            return
        count = self.limit.arrive(now)
        if count is not None:
            detail = f"{self.name} named {self.limit.rate:.2f} a second, got {count}"
            kept = count <= self.limit.find_allowed()
            self._journal.check("limits are kept", kept, detail)

    def _check(self, source: str, call: ModelCall) -> None:
        broken = self._network.rng.random() < self.fail_streams
        cut = not self._network.reaches(self.name, source)
        if not self.up or broken or cut or call.attempt in self._stopped:
            raise TargetError(Failure.BROKE_OFF, "the stream broke off")

    def stop(self, attempt: str) -> None:
        """Stop an attempt."""
        self._stopped.add(attempt)


class SoakEngineAdapter:
    """An engine as one node reaches it."""

    def __init__(self, engine: SoakEngine, own: Presence, network: Network) -> None:
        self._engine = engine
        self._own = own
        self._network = network

    async def _reach(self) -> None:
        await self._own.pass_through()
        arrived = await self._network.deliver(self._own.name, self._engine.name)
        if not arrived or not self._engine.up:
            raise TargetError(Failure.NOT_SENT, "connection refused")

    @asynccontextmanager
    async def generate(
        self, call: ModelCall, timeout: Millis
    ) -> AsyncIterator[AsyncIterator[list[Piece]]]:
        """Begin an answer."""
        await self._reach()
        pieces = self._engine.run(self._own.name, call)
        try:
            yield self._receive(pieces)
        finally:
            await pieces.aclose()  # type: ignore[attr-defined]

    async def _receive(
        self, pieces: AsyncIterator[list[Piece]]
    ) -> AsyncIterator[list[Piece]]:
        async for batch in pieces:
            await self._own.pass_through()
            yield batch

    async def cancel(self, attempt: str) -> None:
        """Stop an attempt."""
        await self._reach()
        self._engine.stop(attempt)

    async def load(self) -> LoadReport:
        """Return a load report."""
        await self._reach()
        engine = self._engine
        return LoadReport(
            engine.name, engine.running, 0, 100.0, limit=engine.limit.rate
        )

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return what this router may hear of the engine's cache."""
        events = self._engine.cache.get(self._own.name, [])
        return tuple(event for event in events if event.sequence > after)

    async def give(self, order: Order) -> bool:
        """Take any order."""
        return True

    async def state(self) -> dict[str, Any]:
        """Return nothing."""
        return {}


class SoakService:
    """A plain service that every node shares."""

    def __init__(self, name: str, journal: Journal) -> None:
        self.name = name
        self.lose_answers = 0.0
        self._journal = journal

    def run(self, body: bytes) -> HttpAnswer:
        """Run an order."""
        count = self._journal.service_ran(body.decode())
        kind = Headers([("content-type", "application/json")])
        return HttpAnswer(201, kind, f'{{"ran":{count}}}'.encode())


class SoakServiceAdapter:
    """A plain service as one node reaches it."""

    def __init__(self, service: SoakService, own: Presence, network: Network) -> None:
        self._service = service
        self._own = own
        self._network = network

    async def call(
        self, method: str, path: str, headers: Fields, body: bytes, timeout: Millis
    ) -> HttpAnswer:
        """Pass a call through."""
        await self._own.pass_through()
        network = self._network
        if not await network.deliver(self._own.name, self._service.name):
            raise TargetError(Failure.NOT_SENT, "connection refused")
        answer = self._service.run(body)
        lost = network.rng.random() < self._service.lose_answers
        if lost or not await network.deliver(self._service.name, self._own.name):
            raise TargetError(Failure.BROKE_OFF, "the answer was lost")
        await self._own.pass_through()
        return answer


class SoakConnector:
    """Make one node's adapters of the shared targets."""

    def __init__(
        self,
        engines: dict[str, SoakEngine],
        services: dict[str, SoakService],
        own: Presence,
        network: Network,
    ) -> None:
        self._engines = engines
        self._services = services
        self._own = own
        self._network = network

    def engine(self, engine: Engine) -> SoakEngineAdapter:
        """Return the adapter of a model engine."""
        return SoakEngineAdapter(self._engines[engine.name], self._own, self._network)

    def service(self, engine: Engine) -> SoakServiceAdapter:
        """Return the adapter of a plain service."""
        service = self._services[engine.name]
        return SoakServiceAdapter(service, self._own, self._network)
