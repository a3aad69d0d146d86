"""Fakes of a node's interfaces, with delays, disconnections and paused processes.

A killed node never receives an answer and never sends again.  A frozen node blocks
at its next send or receive, since a paused process affects others only through its
messages.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Engine
from anvilshift.core.failures import Failure
from anvilshift.core.work import CacheEvent, LoadReport
from anvilshift.engines.engine import AnswerPart, ModelCall, Order, Usage
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
from anvilshift.wire.messages import HeaderFields, Headers, HttpResponse
from anvilshift.wire.response import ExchangeError
from bench.soak.journal import Journal
from bench.soak.limits import STABLE, LimitWatch
from bench.soak.pauses import Pauses
from bench.soak.repeats import RepeatWatch

_TIMEOUT: Millis = 1 * SECOND
_DECODE_TIME: Millis = 10.0
_RESTART_DELAY: Millis = 15 * SECOND


@dataclass
class NodeProcess:
    """The process of one incarnation of a node: running, frozen or dead."""

    name: str
    dead: bool = False
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.running.set()

    async def wait_running(self) -> None:
        """Wait while the process is frozen; never return if it is dead."""
        await self.running.wait()
        if self.dead:
            await asyncio.get_running_loop().create_future()


class Network:
    """A simulated network: message delays, dropped links and node processes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.processes: dict[str, NodeProcess] = {}
        self.handlers: dict[str, Any] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.started_at: dict[str, Millis] = {}
        self.slow: Millis = 0.0

    def record_start(self, name: str, now: Millis) -> None:
        """Record that a router started, or resumed after a pause."""
        self.started_at[name] = now

    def has_no_pending_changes(self, name: str, now: Millis) -> bool:
        """Tell whether a router has run for longer than `STABLE` without a pause."""
        return now - self.started_at.get(name, float("-inf")) > STABLE

    async def wait_transit(self) -> None:
        """Wait for the delay of one message."""
        await asyncio.sleep((self.rng.uniform(0.5, 3.0) + self.slow) / SECOND)

    def is_connected(self, source: str, destination: str) -> bool:
        """Tell whether messages from a source reach a destination."""
        return (source, destination) not in self.cuts

    async def deliver(self, source: str, destination: str) -> bool:
        """Wait for a message's delay; return False when the message is dropped."""
        await self.wait_transit()
        return self.is_connected(source, destination)


class SoakLink:
    """The peer link of one node: its calls to the other nodes."""

    def __init__(self, network: Network, process: NodeProcess) -> None:
        self._network = network
        self._process = process

    async def _call(self, address: str, method: str, message: Any) -> Any:
        await self._process.wait_running()
        try:
            async with asyncio.timeout(_TIMEOUT / SECOND):
                reply = await self._exchange(address, method, message)
        except TimeoutError as error:
            raise PeerError("no answer") from error
        await self._process.wait_running()
        return reply

    async def _exchange(self, address: str, method: str, message: Any) -> Any:
        network = self._network
        destination = network.processes.get(address)
        if destination is None or destination.dead:
            raise PeerError("connection refused")
        if not await network.deliver(self._process.name, destination.name):
            await asyncio.sleep(_TIMEOUT / SECOND)
        await destination.wait_running()
        reply = await getattr(network.handlers[address], method)(message)
        await destination.wait_running()
        if not await network.deliver(destination.name, self._process.name):
            await asyncio.sleep(_TIMEOUT / SECOND)
        return reply

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""
        reply: Heartbeat = await self._call(address, "handle_heartbeat", beat)
        return reply

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Store copies of bills at another router."""
        reply: KeepReply = await self._call(address, "handle_keep", request)
        return reply

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask a router to give unused tokens back."""
        reply: GiveBackReply = await self._call(address, "handle_give_back", request)
        return reply

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Return any other call of the link: `x` calls the handler's `handle_x`."""
        if name.startswith("_"):
            raise AttributeError(name)

        async def call(address: str, message: Any) -> Any:
            return await self._call(address, f"handle_{name}", message)

        return call

    def close(self) -> None:
        """Do nothing: there are no sockets to close."""


class SoakEngine:
    """A model engine, shared by all nodes, that crashes on a poison prompt."""

    def __init__(
        self,
        name: str,
        journal: Journal,
        network: Network,
        repeats: RepeatWatch | None = None,
    ) -> None:
        self.name = name
        self.up = True
        self.rejected = 0.0
        self._repeats = repeats or RepeatWatch(journal)
        self.slow = 1.0
        self.fail_streams = 0.0
        self.leaving_since: Millis | None = None
        self.limit = LimitWatch()
        self.cache: dict[str, list[CacheEvent]] = {}
        self.crashes = 0
        self.journal = journal
        self._network = network
        self._stopped: set[str] = set()
        self.pauses = Pauses(journal.now)
        self.running = 0

    @property
    def is_serving(self) -> bool:
        """Tell whether the engine is up and not leaving."""
        return self.up and self.leaving_since is None

    def crash(self) -> None:
        """Go down, and restart after `_RESTART_DELAY`."""
        self.up = False
        self.crashes += 1
        loop = asyncio.get_running_loop()
        loop.call_later(_RESTART_DELAY / SECOND, self._restart)

    def _restart(self) -> None:
        self.up = True

    async def run(
        self, process: NodeProcess, call: ModelCall
    ) -> AsyncIterator[list[AnswerPart]]:
        """Yield the pieces of an answer as the engine generates them."""
        prompt, source = read_prompt(call.body), process.name
        if POISON not in prompt:
            # Poisonous requests share their prompts.
            self._repeats.count_arrival(process, prompt)
        if self.rejected and self._network.rng.random() < self.rejected:
            raise TargetError(Failure.REJECTED, "the engine has no room")
        self.journal.record_engine_run(self.name, prompt, self.leaving_since)
        self._check_limit(source)
        if POISON in prompt:
            self.journal.record_poison_crash(prompt, self.name)
            self.crash()
        limit = int(call.body["max_tokens"])
        self.running += 1
        try:
            for position in range(len(call.received.split()), limit):
                await asyncio.sleep(_DECODE_TIME * self.slow / SECOND)
                await self.pauses.wait()
                self._check_stream(source, call)
                yield [AnswerPart(make_token(prompt, position))]
            await self.pauses.wait_at_end()
            usage = Usage(len(prompt) // 4 + 1, limit)
            yield [AnswerPart("", 0, "stop", usage)]
        finally:
            self.running -= 1

    def _check_limit(self, source: str) -> None:
        """Check that routers keep to this engine's limit.

        Requests of routers that started or resumed lately aren't counted.
        """
        now = self.journal.now()
        if not self._network.has_no_pending_changes(source, now):
            return
        count = self.limit.count_arrival(now)
        if count is not None:
            detail = f"{self.name} named {self.limit.rate:.2f} a second, got {count}"
            kept = count <= self.limit.find_allowed()
            self.journal.check("limits are kept", kept, detail)

    def _check_stream(self, source: str, call: ModelCall) -> None:
        broken = self._network.rng.random() < self.fail_streams
        cut = not self._network.is_connected(self.name, source)
        if not self.up or broken or cut or call.attempt in self._stopped:
            raise TargetError(Failure.BROKE_OFF, "the stream broke off")

    def stop(self, attempt: str) -> None:
        """Break the stream of an attempt at its next token."""
        self._stopped.add(attempt)


class SoakEngineAdapter:
    """The adapter through which one node reaches an engine."""

    def __init__(
        self, engine: SoakEngine, process: NodeProcess, network: Network
    ) -> None:
        self._engine = engine
        self._process = process
        self._network = network

    async def _reach(self, timeout: Millis = float("inf")) -> None:
        await self._process.wait_running()
        arrived = await self._network.deliver(self._process.name, self._engine.name)
        if not arrived or not self._engine.up:
            raise TargetError(Failure.NOT_SENT, "connection refused")
        if self._engine.pauses.find_left() > timeout:
            await asyncio.sleep(timeout / SECOND)
            unanswered = ExchangeError("no answer in time", True)
            raise TargetError(Failure.TIMED_OUT, "no answer") from unanswered
        await self._engine.pauses.wait()

    @asynccontextmanager
    async def generate(
        self, call: ModelCall, timeout: Millis
    ) -> AsyncIterator[AsyncIterator[list[AnswerPart]]]:
        """Start an answer and yield the iterator of its pieces."""
        name, prompt = self._process.name, read_prompt(call.body)
        with self._engine.journal.record_attempt(name, prompt, self._engine.name):
            await self._reach()
            pieces = self._engine.run(self._process, call)
            try:
                yield self._receive(pieces)
            finally:
                await pieces.aclose()  # type: ignore[attr-defined]

    async def _receive(
        self, pieces: AsyncIterator[list[AnswerPart]]
    ) -> AsyncIterator[list[AnswerPart]]:
        async for batch in pieces:
            await self._process.wait_running()
            yield batch

    async def cancel(self, attempt: str) -> None:
        """Ask the engine to stop an attempt."""
        await self._reach()
        self._engine.stop(attempt)

    async def load(self) -> LoadReport:
        """Return the engine's load report, with its limit."""
        await self._reach(_TIMEOUT)
        engine = self._engine
        return LoadReport(
            engine.name, engine.running, 0, 100.0, limit=engine.limit.rate
        )

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events that the engine has for this router alone."""
        events = self._engine.cache.get(self._process.name, [])
        return tuple(event for event in events if event.sequence > after)

    async def give(self, order: Order) -> bool:
        """Accept any order."""
        return True

    async def state(self) -> dict[str, Any]:
        """Return an empty state."""
        return {}


class SoakService:
    """A plain service, shared by all nodes, that counts how often orders run."""

    def __init__(self, name: str, journal: Journal) -> None:
        self.name = name
        self.lose_answers = 0.0
        self._journal = journal

    def run(self, body: bytes) -> HttpResponse:
        """Run an order and return how often it has run."""
        count = self._journal.record_service_run(body.decode())
        headers = Headers([("content-type", "application/json")])
        return HttpResponse(201, headers, f'{{"ran":{count}}}'.encode())


class SoakServiceAdapter:
    """The adapter through which one node reaches a plain service."""

    def __init__(
        self, service: SoakService, process: NodeProcess, network: Network
    ) -> None:
        self._service = service
        self._process = process
        self._network = network

    async def call(
        self,
        method: str,
        path: str,
        headers: HeaderFields,
        body: bytes,
        timeout: Millis,
    ) -> HttpResponse:
        """Forward a call; its answer may be lost after the order has run."""
        await self._process.wait_running()
        network = self._network
        if not await network.deliver(self._process.name, self._service.name):
            raise TargetError(Failure.NOT_SENT, "connection refused")
        answer = self._service.run(body)
        lost = network.rng.random() < self._service.lose_answers
        if lost or not await network.deliver(self._service.name, self._process.name):
            raise TargetError(Failure.BROKE_OFF, "the answer was lost")
        await self._process.wait_running()
        return answer


class SoakConnector:
    """Create one node's adapters of the shared targets."""

    def __init__(
        self,
        engines: dict[str, SoakEngine],
        services: dict[str, SoakService],
        process: NodeProcess,
        network: Network,
    ) -> None:
        self._engines = engines
        self._services = services
        self._process = process
        self._network = network

    def engine(self, engine: Engine) -> SoakEngineAdapter:
        """Return the adapter of a model engine."""
        return SoakEngineAdapter(
            self._engines[engine.name], self._process, self._network
        )

    def service(self, engine: Engine) -> SoakServiceAdapter:
        """Return the adapter of a plain service."""
        service = self._services[engine.name]
        return SoakServiceAdapter(service, self._process, self._network)
