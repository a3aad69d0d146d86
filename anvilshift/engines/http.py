"""Targets over HTTP: chat completions with server-sent events, and plain calls."""

import contextlib
import json
import math
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Engine
from anvilshift.core.errors import ENGINE_FAILED, AnvilshiftError
from anvilshift.core.work import CacheEvent, Failure, LoadReport
from anvilshift.engines.engine import ModelCall, Order, Piece, Usage
from anvilshift.wire.client import ExchangeError, HttpClient, Response
from anvilshift.wire.events import Event, EventReader
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, Fields, HttpAnswer

_UNREADABLE = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
"""What reading JSON of the wrong shape raises; a number can be infinite."""
_DONE = "[DONE]"
_CONTROL_TIMEOUT: Millis = 1 * SECOND
_REFUSALS = frozenset({400, 401, 403, 404, 405, 413, 415, 422, 429})
_ATTEMPT_HEADER = "x-request-id"


class TargetError(AnvilshiftError):
    """An attempt at a target failed.

    Parameters
    ----------
    failure
        How, in the dispatcher's terms.
    """

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(ENGINE_FAILED, detail)
        self.failure = failure


class LateAnswerError(TargetError):
    """An answer came that belongs to another attempt, and was discarded."""

    def __init__(self) -> None:
        super().__init__(Failure.MIXED_UP, "the answer is of another attempt")


def _convert(error: ExchangeError) -> TargetError:
    failure = Failure.BROKE_OFF if error.sent else Failure.NOT_SENT
    return TargetError(failure, str(error))


def _check_status(status: int) -> None:
    """Raise unless the target took the work."""
    # Only these say that nothing ran.  A 503 can come from a target that
    # failed half-way, a 409 from one that runs the same work already.
    if status in _REFUSALS:
        raise TargetError(Failure.REJECTED, f"the target answered {status}")
    if status >= 500:
        raise TargetError(Failure.CRASHED, f"the target answered {status}")
    if status != 200:
        raise TargetError(Failure.BROKE_OFF, f"the target answered {status}")


class HttpModelEngine:
    """A model engine that speaks chat completions.

    Parameters
    ----------
    name
        The engine's declared name, for its reports.
    """

    def __init__(self, client: HttpClient, name: str, address: Address) -> None:
        self.name = name
        self._client = client
        self._address = address

    @contextlib.asynccontextmanager
    async def generate(
        self, call: ModelCall, timeout: Millis
    ) -> AsyncIterator[AsyncGenerator[list[Piece]]]:
        """Begin an answer; pieces that arrived together come together."""
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
                # A faulty engine or a connection that carried an earlier
                # exchange can bring another attempt's answer; one that names
                # its attempt is checked, so that no caller reads a stranger's.
                named = response.headers.get(_ATTEMPT_HEADER)
                if named is not None and named != call.attempt:
                    raise LateAnswerError
                _check_status(response.status)
                yield _read_pieces(response)
        except ExchangeError as error:
            raise _convert(error) from error

    async def _control(self, method: str, path: str, body: bytes = b"") -> Any:
        try:
            answer = await self._client.call(
                self._address, method, path, [JSON_TYPE], body, _CONTROL_TIMEOUT
            )
            if answer.status >= 300 and answer.status != 409:
                raise TargetError(Failure.REJECTED, f"{path} answered {answer.status}")
            return json.loads(answer.body)
        except ExchangeError as error:
            raise _convert(error) from error
        except ValueError as error:
            raise TargetError(Failure.BROKE_OFF, f"{path} is no JSON") from error

    async def cancel(self, attempt: str) -> None:
        """Stop an attempt."""
        await self._control("POST", f"/v1/cancel/{attempt}")

    async def load(self) -> LoadReport:
        """Return the engine's late report of its load."""
        value = await self._control("GET", "/load")
        try:
            return LoadReport(
                self.name,
                int(value["running"]),
                int(value["waiting"]),
                float(value["age_ms"]),
                int(value.get("cached_tokens", 0)),
                float(value.get("tokens_per_second", 0.0)),
                bool(value.get("leaving", False)),
                _read_limit(value.get("requests_per_second")),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise TargetError(Failure.BROKE_OFF, "the load report is wrong") from error

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return cache events after a sequence number, perhaps with gaps."""
        value = await self._control("GET", f"/cache-events?after={after}")
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
            raise TargetError(Failure.BROKE_OFF, "cache events are wrong") from error

    async def give(self, order: Order) -> bool:
        """Give an order; False when its fencing number is too old."""
        body = {"fencing": order.fencing, "desired": order.desired}
        value = await self._control("POST", "/orders", dump_json(body))
        return bool(value.get("accepted"))

    async def state(self) -> dict[str, Any]:
        """Return what the engine says that it has loaded."""
        value = await self._control("GET", "/state")
        return value if isinstance(value, dict) else {}


def _read_limit(value: Any) -> float | None:
    """Return the requests a second that an engine takes; None for any number."""
    if value is None:
        return None
    rate = float(value)
    if not 0 <= rate < math.inf:
        raise ValueError("the limit is no rate")
    return rate


async def _read_pieces(response: Response) -> AsyncGenerator[list[Piece]]:
    reader = EventReader()
    ended = False
    async for chunk in response.chunks():
        pieces = []
        for event in _feed(reader, chunk):
            if event.data == _DONE:
                ended = True
            elif not ended:
                pieces.append(_read_piece(event.data))
        if pieces:
            yield pieces
    if not ended:
        # An engine that dies can close its stream cleanly; without the end
        # mark the answer is not whole, whatever the transport says.
        raise TargetError(Failure.BROKE_OFF, "the stream ended without its end mark")


def _feed(reader: EventReader, chunk: bytes) -> list[Event]:
    try:
        return reader.feed(chunk)
    except AnvilshiftError as error:
        raise TargetError(Failure.BROKE_OFF, error.detail) from error


def _read_piece(data: str) -> Piece:
    try:
        value = json.loads(data)
        choice = value["choices"][0] if value.get("choices") else {}
        text = choice.get("delta", {}).get("content") or ""
        usage = value.get("usage")
        counted = (
            Usage(int(usage["prompt_tokens"]), int(usage["completion_tokens"]))
            if usage
            else None
        )
        if not isinstance(text, str):
            raise TypeError("content is no text")
    except _UNREADABLE as error:
        raise TargetError(Failure.BROKE_OFF, "an event can't be read") from error
    return Piece(text, 1 if text else 0, choice.get("finish_reason"), counted)


class HttpPlainService:
    """A plain service behind a route."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def call(
        self, method: str, path: str, headers: Fields, body: bytes, timeout: Millis
    ) -> HttpAnswer:
        """Pass a call through and return the whole answer."""
        try:
            return await self._client.call(
                self._address, method, path, headers, body, timeout
            )
        except ExchangeError as error:
            raise _convert(error) from error


class HttpConnector:
    """Make adapters that share one client."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def engine(self, engine: Engine) -> HttpModelEngine:
        """Return the adapter of a model engine."""
        address = Address.parse(engine.address)
        return HttpModelEngine(self._client, engine.name, address)

    def service(self, engine: Engine) -> HttpPlainService:
        """Return the adapter of a plain service."""
        return HttpPlainService(self._client, Address.parse(engine.address))
