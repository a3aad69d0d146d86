"""Stand-in for a model engine: slots, priorities, streams, reports, orders, faults.

Each token of an answer depends only on the prompt and its position, so that a
test can distinguish a complete answer from one with a lost or repeated token.
"""

import asyncio
import hashlib
import heapq
import itertools
import json
import os
import time
from dataclasses import dataclass, field, fields
from typing import Any

from anvilshift.core.clock import SECOND
from anvilshift.wire.events import Event
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    Address,
    HttpRequest,
    Reply,
)
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

POISON = "POISON"
"""A prompt that contains this word crashes the engine that runs it."""
_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 16


def make_token(prompt: str, position: int) -> str:
    """Return the token at one position of the answer to a prompt."""
    digest = hashlib.sha256(f"{prompt}|{position}".encode()).hexdigest()
    return f"{digest[:5]} "


def make_answer(prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt, of the given number of tokens."""
    return "".join(make_token(prompt, position) for position in range(tokens))


def read_prompt(body: dict[str, Any]) -> str:
    """Return the contents of a chat request's messages, one per line."""
    return "\n".join(str(m.get("content", "")) for m in body.get("messages", []))


@dataclass
class EngineFaults:
    """Faults that are currently injected.

    Parameters
    ----------
    slow
        Factor by which every duration is multiplied.
    break_after
        Number of tokens after which each stream is cut off; 0 for never.
    fail
        Answer every completion request with status 500.
    hang
        Accept completion requests and never answer them.
    leaving
        CrashAnnouncement in load reports that the engine takes no new work.
    limit
        Limit in requests per second announced in load reports; 0 for none.
    """

    slow: float = 1.0
    break_after: int = 0
    fail: bool = False
    hang: bool = False
    leaving: bool = False
    limit: float = 0.0


@dataclass(frozen=True)
class EngineParameters:
    """Capacity and speed of the engine.

    Parameters
    ----------
    slots
        Number of requests that run concurrently.
    prefill_ms, decode_ms
        Milliseconds per thousand prompt tokens, and per answer token.
    report_ms
        Milliseconds for which a load report stays the same.
    checks_fencing
        Whether orders with an outdated fencing number are rejected.
    """

    slots: int = 8
    prefill_ms: float = 20.0
    decode_ms: float = 2.0
    report_ms: float = 200.0
    checks_fencing: bool = False


@dataclass
class Run:
    """What the engine did for one attempt, as `/audit` lists it.

    Parameters
    ----------
    tokens
        Number of tokens generated so far.
    whole
        Whether every token of the answer was generated.
    stopped
        Whether the attempt was cancelled.
    """

    attempt: str
    prompt: str
    tokens: int = 0
    whole: bool = False
    stopped: bool = False


@dataclass
class _OrderState:
    fencing: int = 0
    desired: dict[str, Any] = field(default_factory=dict)


class EngineStandin:
    """Serve chat completions from a deterministic generator.

    Parameters
    ----------
    exit_on_poison
        Whether a prompt that contains `POISON` terminates the process, as a real
        crash would; if not, the engine only aborts all its connections.
    """

    def __init__(
        self, parameters: EngineParameters | None = None, exit_on_poison: bool = False
    ) -> None:
        self.parameters = parameters or EngineParameters()
        self.faults = EngineFaults()
        self.runs: list[Run] = []
        self.orders = _OrderState()
        self._exit_on_poison = exit_on_poison
        self._live: dict[str, Run] = {}
        self._free = self.parameters.slots
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._report: dict[str, Any] = {"running": 0, "waiting": 0}
        self._reported_at = 0.0
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> Address:
        """Start listening and return the bound address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._server.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        path = request.path
        if path == "/v1/chat/completions":
            await self._complete(request, responder)
        elif path.startswith("/v1/cancel/"):
            run = self._live.get(path.rsplit("/", 1)[1])
            if run is not None:
                run.stopped = True
            await responder.send(_reply({"cancelled": run is not None}))
        elif path == "/load":
            await responder.send(_reply(self._make_report()))
        elif path == "/cache-events":
            await responder.send(_reply({"events": []}))
        elif path == "/orders":
            await responder.send(self._accept_order(request))
        elif path == "/state":
            await responder.send(_reply(self.orders.desired))
        elif path == "/control/faults":
            self._set_faults(parse_object(request.body))
            await responder.send(_reply({}))
        elif path == "/audit":
            await responder.send(_reply({"runs": [vars(run) for run in self.runs]}))
        else:
            await responder.send(Reply(404))

    def _set_faults(self, values: dict[str, Any]) -> None:
        field_names = {item.name for item in fields(EngineFaults)}
        for key in field_names & set(values):
            setattr(self.faults, key, values[key])

    def _make_report(self) -> dict[str, Any]:
        now = time.monotonic() * SECOND
        if now - self._reported_at >= self.parameters.report_ms:
            self._reported_at = now
            running = self.parameters.slots - self._free
            self._report = {"running": running, "waiting": len(self._queue)}
        return {
            **self._report,
            "age_ms": now - self._reported_at,
            "leaving": self.faults.leaving,
            "requests_per_second": self.faults.limit or None,
        }

    def _accept_order(self, request: HttpRequest) -> Reply:
        order = parse_object(request.body)
        outdated = int(order["fencing"]) < self.orders.fencing
        if self.parameters.checks_fencing and outdated:
            return Reply(409, [JSON_TYPE], dump_json({"accepted": False}))
        self.orders.fencing = max(self.orders.fencing, int(order["fencing"]))
        self.orders.desired = {**self.orders.desired, **order["desired"]}
        return _reply({"accepted": True})

    async def _acquire_slot(self, priority: int) -> None:
        if self._free > 0:
            self._free -= 1
            return
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (-priority, next(self._sequence), slot))
        await slot

    def _release_slot(self) -> None:
        while self._queue:
            _, _, slot = heapq.heappop(self._queue)
            if not slot.done():
                slot.set_result(None)
                return
        self._free += 1

    async def _complete(self, request: HttpRequest, responder: Responder) -> None:
        body = parse_object(request.body)
        prompt = read_prompt(body)
        attempt = request.headers.get("x-request-id") or ""
        if self.faults.fail:
            await responder.send(Reply(500))
            return
        run = Run(attempt, prompt)
        self.runs.append(run)
        self._live[attempt] = run
        await self._acquire_slot(int(body.get("priority", 0)))
        try:
            if self.faults.hang:
                await asyncio.Event().wait()
            if POISON in prompt:
                self._crash()
            await self._generate(body, run, responder)
        finally:
            self._release_slot()
            self._live.pop(attempt, None)

    def _crash(self) -> None:
        if self._exit_on_poison:
            os._exit(1)
        for connection in list(self._server.connections):
            connection.abort()

    async def _generate(
        self, body: dict[str, Any], run: Run, responder: Responder
    ) -> None:
        prompt_tokens = len(run.prompt.encode()) // _BYTES_PER_TOKEN + 1
        await self._sleep(prompt_tokens * self.parameters.prefill_ms / 1000)
        first_position = len(str(body.get("continue_text", "")).split())
        limit = int(body.get("max_tokens", _DEFAULT_MAX_TOKENS))
        stream = bool(body.get("stream"))
        if stream:
            attempt_header = ("x-request-id", run.attempt)
            await responder.start(200, [EVENT_STREAM_TYPE, attempt_header])
        for position in range(first_position, limit):
            await self._sleep(self.parameters.decode_ms)
            if run.stopped or (
                self.faults.break_after and run.tokens >= (self.faults.break_after)
            ):
                responder.abort()
                return
            run.tokens += 1
            if stream:
                token = make_token(run.prompt, position)
                await responder.write(_encode_token(token))
        run.whole = True
        usage = {"prompt_tokens": prompt_tokens, "completion_tokens": limit}
        if stream:
            await responder.write(_encode_last_events(usage))
            await responder.finish()
            return
        text = make_answer(run.prompt, limit)
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        await responder.send(_reply({"choices": [choice], "usage": usage}))

    async def _sleep(self, duration_ms: float) -> None:
        await asyncio.sleep(duration_ms * self.faults.slow / SECOND)


def _encode_token(token: str) -> bytes:
    choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
    return Event(json.dumps({"choices": [choice]})).encode()


def _encode_last_events(usage: dict[str, int]) -> bytes:
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    last_chunk = Event(json.dumps({"choices": [choice], "usage": usage}))
    return last_chunk.encode() + Event("[DONE]").encode()


def _reply(value: dict[str, Any]) -> Reply:
    return Reply(200, [JSON_TYPE], dump_json(value))
