"""Client of the fleet: retries with one key, resumed streams."""

import asyncio
import contextlib
import json
import random
import uuid
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

from anvilshift.client.addresses import RouterAddresses
from anvilshift.client.conversation import DEFAULT_DEADLINE, Conversation
from anvilshift.client.failures import (
    NOT_RUN,
    ROUTER_SPECIFIC_CODES,
    UNKNOWN,
    CallError,
    Outcome,
    is_retryable,
    read_error,
)
from anvilshift.core.backoff import Backoff
from anvilshift.core.clock import SECOND, Clock, Millis, MonotonicClock
from anvilshift.core.errors import AnvilshiftError
from anvilshift.wire.client import HttpClient
from anvilshift.wire.events import Event, EventReader
from anvilshift.wire.messages import JSON_TYPE, Address, HeaderFields, HttpResponse
from anvilshift.wire.response import ExchangeError, Response

__all__ = ["CallError", "Client", "Conversation"]

Result = TypeVar("Result")
_STALL_TIMEOUT: Millis = 1 * SECOND
"""Time without data after which the client checks that the router still answers.  A
paused router keeps its connections open, so nothing else would reveal the pause."""


def _read_text(data: str) -> str:
    """Return the text of a stream event; raise the error that it carries, if any."""
    try:
        value = json.loads(data)
        if "error" in value:
            raise read_error(data.encode(), 200, UNKNOWN)
        return str(value["choices"][0]["delta"].get("content", ""))
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise ExchangeError("an event of the stream is malformed", True) from error


class Client:
    """Client that calls the fleet and retries failed calls.

    Parameters
    ----------
    seeds
        Addresses of routers for the first address lookup.
    token
        The organisation's credential.
    """

    def __init__(
        self,
        seeds: list[Address],
        token: str,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        http: HttpClient | None = None,
    ) -> None:
        self._authorization = ("authorization", f"Bearer {token}")
        self._clock = clock or MonotonicClock()
        self._rng = rng or random.Random()
        self._http = http or HttpClient()
        self._backoff = Backoff()
        self._addresses = RouterAddresses(
            seeds, self._authorization, self._http, self._clock, self._rng
        )

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Client":
        """Create a client from ``{"seeds": ["ip:port", …], "token": "…"}``."""
        seeds = [Address.parse(seed) for seed in config["seeds"]]
        return cls(seeds, str(config["token"]))

    async def look_up(self) -> list[Address]:
        """Return the routers' addresses; look them up if the cached ones expired."""
        return await self._addresses.look_up()

    async def _wait_before_retry(
        self, error: CallError, attempt: int, until: Millis
    ) -> None:
        """Wait before the next attempt, or raise the error if the deadline is near."""
        is_router_specific = error.number in ROUTER_SPECIFIC_CODES
        if is_router_specific and self._addresses.has_unavoided():
            delay = self._backoff.draw(0, self._rng)
        elif error.retry_after is not None:
            delay = error.retry_after * self._rng.uniform(1.0, 1.2)
        else:
            delay = self._backoff.draw(attempt, self._rng)
        if self._clock.now() + delay >= until:
            raise error
        await asyncio.sleep(delay / SECOND)

    def _make_headers(
        self, key: str, until: Millis, non_idempotent: bool
    ) -> HeaderFields:
        remaining = max(1.0, until - self._clock.now())
        headers: HeaderFields = [
            JSON_TYPE,
            self._authorization,
            ("idempotency-key", key),
            ("anvilshift-deadline-ms", f"{remaining:.0f}"),
        ]
        if non_idempotent:
            headers.append(("anvilshift-non-idempotent", "true"))
        return headers

    async def stream(self, conversation: Conversation) -> AsyncIterator[str]:
        """Yield the text of an answer, each character once and in order.

        Raises
        ------
        CallError
            If no complete answer came before the deadline, or a retry can't succeed.
        """
        until = self._clock.now() + conversation.deadline
        received = ""
        attempt = 0
        outcome = Outcome()
        while True:
            address = await self._addresses.choose_before(until, self.look_up)
            try:
                async for text in self._read(address, conversation, received, until):
                    received += text
                    yield text
                return
            except ExchangeError as error:
                self._addresses.mark_failed(address)
                fate = UNKNOWN if error.sent else NOT_RUN
                failure = outcome.record_failure(CallError(0, fate, str(error)))
            except CallError as error:
                failure = outcome.record_failure(error)
                if not is_retryable(error):
                    raise failure from error
                self._addresses.record_refusal(address, error)
            await self._wait_before_retry(failure, attempt, until)
            attempt += 1

    async def _read(
        self,
        address: Address,
        conversation: Conversation,
        received: str,
        until: Millis,
    ) -> AsyncIterator[str]:
        """Yield the text that a router sends; raise if the answer is incomplete."""
        headers = self._make_headers(
            conversation.key, until, conversation.non_idempotent
        )
        if received:
            headers.append(("last-event-id", str(len(received))))
        remaining = max(1.0, until - self._clock.now())
        async with contextlib.AsyncExitStack() as stack:
            exchange = stack.enter_async_context(
                self._http.exchange(
                    address,
                    "POST",
                    "/v1/chat/completions",
                    headers,
                    conversation.make_body(received),
                    remaining,
                )
            )
            response = await self._await_answer(address, exchange)
            if response.status != 200:
                body = await response.read()
                raise read_error(body, response.status, UNKNOWN)
            reader = EventReader()
            while True:
                chunk = await self._next_chunk(address, response, until)
                if chunk is None:
                    break
                for event in _feed(reader, chunk):
                    if event.data == "[DONE]":
                        return
                    text = _read_text(event.data)
                    if text:
                        yield text
        raise ExchangeError("the stream ended without the end marker", True)

    async def _next_chunk(
        self, address: Address, response: Response, until: Millis
    ) -> bytes | None:
        """Return the next chunk of a body, or None at its end.

        A router that is paused in mid-stream keeps its connection open; without
        a deadline here the caller would wait until the pause ends.
        """
        while (remaining := until - self._clock.now()) > 0:
            try:
                async with asyncio.timeout(min(remaining, _STALL_TIMEOUT) / SECOND):
                    return await anext(response.chunks(), None)
            except TimeoutError:
                await self._addresses.check_responsive(address)
        raise ExchangeError("the deadline passed in mid-stream", True)

    async def _await_answer(
        self, address: Address, work: Coroutine[Any, Any, Result]
    ) -> Result:
        """Await an answer while the router still responds to address lookups."""
        task = asyncio.ensure_future(work)
        try:
            while not (await asyncio.wait([task], timeout=_STALL_TIMEOUT / SECOND))[0]:
                await self._addresses.check_responsive(address)
            return task.result()
        finally:
            task.cancel()

    async def ask(self, conversation: Conversation) -> str:
        """Return the complete text of an answer.

        Raises
        ------
        CallError
            If no complete answer came before the deadline, or a retry can't succeed.
        """
        return "".join([text async for text in self.stream(conversation)])

    async def call(
        self,
        route: str,
        path: str,
        body: bytes = b"",
        method: str = "POST",
        key: str | None = None,
        non_idempotent: bool = False,
        deadline: Millis = DEFAULT_DEADLINE,
    ) -> HttpResponse:
        """Call a plain service and return its complete answer.

        Raises
        ------
        CallError
            If the fleet returned no answer from the service.
        """
        until = self._clock.now() + deadline
        key = key or uuid.uuid4().hex
        attempt = 0
        outcome = Outcome()
        while True:
            address = await self._addresses.choose_before(until, self.look_up)
            headers = self._make_headers(key, until, non_idempotent)
            remaining = max(1.0, until - self._clock.now())
            try:
                exchange = self._http.call(
                    address,
                    method,
                    f"/services/{route}{path}",
                    headers,
                    body,
                    remaining,
                )
                answer = await self._await_answer(address, exchange)
                if answer.headers.get("anvilshift-request") is not None:
                    return answer
                error = read_error(answer.body, answer.status, UNKNOWN)
                failure = outcome.record_failure(error)
                if not is_retryable(error):
                    raise failure
                self._addresses.record_refusal(address, error)
            except ExchangeError as exchange_error:
                self._addresses.mark_failed(address)
                fate = UNKNOWN if exchange_error.sent else NOT_RUN
                failure = outcome.record_failure(
                    CallError(0, fate, str(exchange_error))
                )
            await self._wait_before_retry(failure, attempt, until)
            attempt += 1

    def close(self) -> None:
        """Close all idle connections."""
        self._http.close()


def _feed(reader: EventReader, chunk: bytes) -> list[Event]:
    try:
        return reader.feed(chunk)
    except AnvilshiftError as error:
        raise ExchangeError(error.detail, True) from error
