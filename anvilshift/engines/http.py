"""HTTP adapters: streamed chat completions of engines, and calls of plain services."""

import contextlib
import json
import math
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Engine
from anvilshift.core.errors import ENGINE_FAILED, AnvilshiftError
from anvilshift.core.failures import Failure
from anvilshift.core.work import CacheEvent, LoadReport
from anvilshift.engines.engine import AnswerPart, ModelCall, Order, Usage
from anvilshift.wire.client import HttpClient
from anvilshift.wire.events import Event, EventReader
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, HeaderFields, HttpResponse
from anvilshift.wire.response import ExchangeError, Response

_PARSE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
"""Exceptions raised by reading JSON of an unexpected structure.  `OverflowError` comes
from converting an infinite number to an integer."""
_END_MARKER = "[DONE]"
_CONTROL_TIMEOUT: Millis = 1 * SECOND
_NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 415, 422, 429})
_ATTEMPT_HEADER = "x-request-id"


class TargetError(AnvilshiftError):
    """An attempt at a target failed.

    Parameters
    ----------
    failure
        Kind of failure, as the dispatcher distinguishes them.
    """

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(ENGINE_FAILED, detail)
        self.failure = failure


class MismatchedAnswerError(TargetError):
    """The engine sent the answer to another attempt, and it was discarded."""

    def __init__(self) -> None:
        super().__init__(Failure.MIXED_UP, "the answer belongs to another attempt")


def _convert_error(error: ExchangeError) -> TargetError:
    failure = Failure.BROKE_OFF if error.sent else Failure.NOT_SENT
    return TargetError(failure, str(error))


def _check_status(status: int) -> None:
    """Raise `TargetError` unless the target accepted the work."""
    # Only these statuses prove that the work did not run.  A 503 can come from a
    # target that failed while running it, a 409 from one that already runs it.
    if status in _NOT_RUN_STATUSES:
        raise TargetError(Failure.REJECTED, f"the target answered {status}")
    if status >= 500:
        raise TargetError(Failure.CRASHED, f"the target answered {status}")
    if status != 200:
        raise TargetError(Failure.BROKE_OFF, f"the target answered {status}")


class HttpModelEngine:
    """Adapter of an engine with the chat completions API.

    Parameters
    ----------
    name
        The engine's declared name, set on its load reports and cache events.
    """

    def __init__(self, client: HttpClient, name: str, address: Address) -> None:
        self.name = name
        self._client = client
        self._address = address

    @contextlib.asynccontextmanager
    async def generate(
        self, call: ModelCall, timeout: Millis
    ) -> AsyncIterator[AsyncGenerator[list[AnswerPart]]]:
        """Start an answer; parts that arrived together form one list."""
        body = {**call.body, "stream": True, "priority": call.priority}
        body["stream_options"] = {"include_usage": True}
        if call.received:
            body["continue_text"] = call.received
        headers = [JSON_TYPE, (_ATTEMPT_HEADER, call.attempt)]
        try:
            async with self._client.exchange(
                self._address,
                "POST",
                "/v1/chat/completions",
                headers,
                dump_json(body),
                timeout,
            ) as response:
                # A faulty engine, or a reused connection, can deliver the answer
                # to another attempt.  If the answer names its attempt, that is
                # checked, so that no caller receives another caller's answer.
                answered_attempt = response.headers.get(_ATTEMPT_HEADER)
                if answered_attempt is not None and answered_attempt != call.attempt:
                    raise MismatchedAnswerError
                _check_status(response.status)
                yield _read_pieces(response)
        except ExchangeError as error:
            raise _convert_error(error) from error

    async def _call_control(self, method: str, path: str, body: bytes = b"") -> Any:
        try:
            answer = await self._client.call(
                self._address, method, path, [JSON_TYPE], body, _CONTROL_TIMEOUT
            )
            if answer.status >= 300 and answer.status != 409:
                raise TargetError(Failure.REJECTED, f"{path} answered {answer.status}")
            return json.loads(answer.body)
        except ExchangeError as error:
            raise _convert_error(error) from error
        except ValueError as error:
            raise TargetError(
                Failure.BROKE_OFF, f"{path} answered invalid JSON"
            ) from error

    async def cancel(self, attempt: str) -> None:
        """Cancel an attempt at the engine."""
        await self._call_control("POST", f"/v1/cancel/{attempt}")

    async def load(self) -> LoadReport:
        """Return the engine's load report, which lags behind its actual load."""
        value = await self._call_control("GET", "/load")
        try:
            return LoadReport(
                self.name,
                int(value["running"]),
                int(value["waiting"]),
                float(value["age_ms"]),
                int(value.get("cached_tokens", 0)),
                float(value.get("tokens_per_second", 0.0)),
                bool(value.get("leaving", False)),
                _parse_rate_limit(value.get("requests_per_second")),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise TargetError(
                Failure.BROKE_OFF, "the load report is malformed"
            ) from error

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number; some may be missing."""
        value = await self._call_control("GET", f"/cache-events?after={after}")
        try:
            return tuple(
                CacheEvent(
                    self.name,
                    int(item["sequence"]),
                    tuple(item.get("stored", ())),
                    tuple(item.get("evicted", ())),
                )
                for item in value["events"]
            )
        except (KeyError, TypeError, ValueError) as error:
            raise TargetError(
                Failure.BROKE_OFF, "the cache events are malformed"
            ) from error

    async def give(self, order: Order) -> bool:
        """Send an order; return False if its fencing number is outdated."""
        body = {"fencing": order.fencing, "desired": order.desired}
        value = await self._call_control("POST", "/orders", dump_json(body))
        return bool(value.get("accepted"))

    async def state(self) -> dict[str, Any]:
        """Return the engine's own report of what it has loaded."""
        value = await self._call_control("GET", "/state")
        return value if isinstance(value, dict) else {}


def _parse_rate_limit(value: Any) -> float | None:
    """Return an engine's limit in requests per second; None if it has none."""
    if value is None:
        return None
    rate = float(value)
    if not 0 <= rate < math.inf:
        raise ValueError("the limit is not a finite rate of at least zero")
    return rate


async def _read_pieces(response: Response) -> AsyncGenerator[list[AnswerPart]]:
    reader = EventReader()
    ended = False
    async for chunk in response.chunks():
        pieces = []
        for event in _feed(reader, chunk):
            if event.data == _END_MARKER:
                ended = True
            elif not ended:
                pieces.append(_read_piece(event.data))
        if pieces:
            yield pieces
    if not ended:
        # A crashing engine may still close its connection cleanly, so the answer
        # is complete only if the end marker was received.
        raise TargetError(Failure.BROKE_OFF, "the stream ended without the end marker")


def _feed(reader: EventReader, chunk: bytes) -> list[Event]:
    try:
        return reader.feed(chunk)
    except AnvilshiftError as error:
        raise TargetError(Failure.BROKE_OFF, error.detail) from error


def _read_piece(data: str) -> AnswerPart:
    try:
        value = json.loads(data)
        choice = value["choices"][0] if value.get("choices") else {}
        text = choice.get("delta", {}).get("content") or ""
        usage = value.get("usage")
        token_usage = (
            Usage(int(usage["prompt_tokens"]), int(usage["completion_tokens"]))
            if usage
            else None
        )
        if not isinstance(text, str):
            raise TypeError("content is not text")
    except _PARSE_ERRORS as error:
        raise TargetError(
            Failure.BROKE_OFF, "an event of the stream is malformed"
        ) from error
    return AnswerPart(text, 1 if text else 0, choice.get("finish_reason"), token_usage)


class HttpPlainService:
    """Adapter of a plain service that is called over HTTP."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def call(
        self,
        method: str,
        path: str,
        headers: HeaderFields,
        body: bytes,
        timeout: Millis,
    ) -> HttpResponse:
        """Forward a call and return the complete answer."""
        try:
            return await self._client.call(
                self._address, method, path, headers, body, timeout
            )
        except ExchangeError as error:
            raise _convert_error(error) from error


class HttpConnector:
    """Factory of adapters that share one HTTP client."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def engine(self, engine: Engine) -> HttpModelEngine:
        """Return the adapter of a model engine."""
        address = Address.parse(engine.address)
        return HttpModelEngine(self._client, engine.name, address)

    def service(self, engine: Engine) -> HttpPlainService:
        """Return the adapter of a plain service."""
        return HttpPlainService(self._client, Address.parse(engine.address))
