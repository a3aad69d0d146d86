"""Client of the fleet: address lookup, retries with one key, resumed streams."""

import asyncio
import contextlib
import json
import random
import uuid
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from anvilshift.client.failures import (
    DRAINING_CODES,
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
from anvilshift.wire.client import ExchangeError, HttpClient, Response
from anvilshift.wire.events import Event, EventReader
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, Fields, HttpAnswer

Result = TypeVar("Result")
_LOOKUP_TIMEOUT: Millis = 1 * SECOND
_DEFAULT_DEADLINE: Millis = 30 * SECOND
_STALL_TIMEOUT: Millis = 1 * SECOND
"""Time without data after which the client checks that the router still answers.  A
paused router keeps its connections open, so nothing else would reveal the pause."""
_AVOID_TIME: Millis = 2 * SECOND
"""Time for which an address is not chosen after a failure.  After a refusal it is added
to the time after which the router asks to be tried again."""


@dataclass(frozen=True)
class Conversation:
    """A model request of a caller.

    Parameters
    ----------
    deadline
        Milliseconds from the call until the answer must be complete.
    key
        Idempotency key of every attempt; a random one by default.
    non_idempotent
        Whether the work must run at most once; sent to the router in a header.
    """

    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 256
    deadline: Millis = _DEFAULT_DEADLINE
    key: str = field(default_factory=lambda: uuid.uuid4().hex)
    non_idempotent: bool = False

    def make_body(self, received: str) -> bytes:
        """Return the request as JSON, with the part of the answer already received."""
        body: dict[str, Any] = {
            "model": self.model,
            "messages": self.messages,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        if received:
            body["anvilshift"] = {"received": received}
        return dump_json(body)


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
        self._seeds = seeds
        self._authorization = ("authorization", f"Bearer {token}")
        self._clock = clock or MonotonicClock()
        self._rng = rng or random.Random()
        self._http = http or HttpClient()
        self._backoff = Backoff()
        self._addresses: list[Address] = []
        self._addresses_expire_at: Millis = 0.0
        self._avoided_until: dict[Address, Millis] = {}

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Client":
        """Create a client from ``{"seeds": ["ip:port", …], "token": "…"}``."""
        seeds = [Address.parse(seed) for seed in config["seeds"]]
        return cls(seeds, str(config["token"]))

    async def look_up(self) -> list[Address]:
        """Return the routers' addresses; look them up if the cached ones expired."""
        if self._addresses and self._clock.now() < self._addresses_expire_at:
            return self._addresses
        candidates = [*self._addresses, *self._seeds]
        self._rng.shuffle(candidates)
        for address in candidates:
            try:
                answer = await self._http.call(
                    address,
                    "GET",
                    "/v1/addresses",
                    [self._authorization],
                    timeout=_LOOKUP_TIMEOUT,
                )
                if answer.status == 200:
                    value = json.loads(answer.body)
                    found = [Address.parse(i["address"]) for i in value["addresses"]]
                    # A draining router that receives no heartbeats of other
                    # routers returns an empty list.
                    if not found:
                        continue
                    self._addresses = found
                    self._addresses_expire_at = self._clock.now() + float(
                        value["keep_ms"]
                    )
                    return self._addresses or self._seeds
                if answer.status == 401:
                    raise read_error(answer.body, answer.status, NOT_RUN)
            except (ExchangeError, ValueError, KeyError, TypeError):
                continue
        return self._addresses or self._seeds

    async def _choose_address(self) -> Address:
        """Return a random address; prefer those without a recent failure or refusal."""
        addresses = await self.look_up()
        return self._rng.choice(self._list_unavoided(addresses) or addresses)

    def _list_unavoided(self, addresses: list[Address]) -> list[Address]:
        """Return the addresses without a recent failure or refusal."""
        now = self._clock.now()
        return [a for a in addresses if self._avoided_until.get(a, now) <= now]

    async def _choose_address_before(self, until: Millis) -> Address:
        """Return an address; limit the address lookup to the time until the deadline.

        If several routers are paused, each lookup waits for its full timeout, and
        the sum of these would delay the caller far beyond its deadline.
        """
        remaining = max(0.0, until - self._clock.now())
        try:
            async with asyncio.timeout(remaining / SECOND):
                return await self._choose_address()
        except TimeoutError:
            return self._rng.choice(self._addresses or self._seeds)

    def _mark_failed(self, address: Address) -> None:
        self._avoided_until[address] = self._clock.now() + _AVOID_TIME
        self._addresses_expire_at = 0.0

    def _record_refusal(self, address: Address, error: CallError) -> None:
        """Avoid a router for a time if its refusal is specific to that router."""
        if error.number in DRAINING_CODES:
            self._mark_failed(address)
        elif error.number in ROUTER_SPECIFIC_CODES:
            delay = _AVOID_TIME + (error.retry_after or 0.0)
            self._avoided_until[address] = self._clock.now() + delay

    async def _wait_before_retry(
        self, error: CallError, attempt: int, until: Millis
    ) -> None:
        """Wait before the next attempt, or raise the error if the deadline is near."""
        is_router_specific = error.number in ROUTER_SPECIFIC_CODES
        if is_router_specific and self._list_unavoided(self._addresses):
            delay = self._backoff.draw(0, self._rng)
        elif error.retry_after is not None:
            delay = error.retry_after * self._rng.uniform(1.0, 1.2)
        else:
            delay = self._backoff.draw(attempt, self._rng)
        if self._clock.now() + delay >= until:
            raise error
        await asyncio.sleep(delay / SECOND)

    def _make_headers(self, key: str, until: Millis, non_idempotent: bool) -> Fields:
        remaining = max(1.0, until - self._clock.now())
        headers: Fields = [
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
            address = await self._choose_address_before(until)
            try:
                async for text in self._read(address, conversation, received, until):
                    received += text
                    yield text
                return
            except ExchangeError as error:
                self._mark_failed(address)
                fate = UNKNOWN if error.sent else NOT_RUN
                failure = outcome.record_failure(CallError(0, fate, str(error)))
            except CallError as error:
                failure = outcome.record_failure(error)
                if not is_retryable(error):
                    raise failure from error
                self._record_refusal(address, error)
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
                await self._check_responsive(address)
        raise ExchangeError("the deadline passed in mid-stream", True)

    async def _await_answer(
        self, address: Address, work: Coroutine[Any, Any, Result]
    ) -> Result:
        """Await an answer while the router still responds to address lookups."""
        task = asyncio.ensure_future(work)
        try:
            while not (await asyncio.wait([task], timeout=_STALL_TIMEOUT / SECOND))[0]:
                await self._check_responsive(address)
            return task.result()
        finally:
            task.cancel()

    async def _check_responsive(self, address: Address) -> None:
        """Raise `ExchangeError` unless a silent router answers an address lookup."""
        try:
            await self._http.call(
                address,
                "GET",
                "/v1/addresses",
                [self._authorization],
                timeout=_LOOKUP_TIMEOUT,
            )
        except ExchangeError as error:
            raise ExchangeError(f"{address} stopped answering", True) from error

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
        deadline: Millis = _DEFAULT_DEADLINE,
    ) -> HttpAnswer:
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
            address = await self._choose_address_before(until)
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
                self._record_refusal(address, error)
            except ExchangeError as exchange_error:
                self._mark_failed(address)
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
