"""Call the fleet: look addresses up, connect, retry with one key, resume."""

import asyncio
import contextlib
import json
import random
import uuid
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from anvilshift.client.failures import (
    ELSEWHERE_CODES,
    LEAVING_CODES,
    NOT_RUN,
    UNKNOWN,
    CallError,
    Outcome,
    is_worth_retry,
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
_STALL: Millis = 1 * SECOND
_AVOID: Millis = 2 * SECOND
"""How long an address that failed is left alone, and beyond the time at which one that
refused says to come back."""
"""Silence after which a router is asked whether it still answers.  One that is
paused keeps its connections open, and nothing else would tell."""


@dataclass(frozen=True)
class Conversation:
    """What is asked of a model.

    Parameters
    ----------
    deadline
        Milliseconds from now until the answer must be whole.
    non_idempotent
        Whether the work must run at most once; it is then sent with a key.
    """

    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 256
    deadline: Millis = _DEFAULT_DEADLINE
    key: str = field(default_factory=lambda: uuid.uuid4().hex)
    non_idempotent: bool = False

    def make_body(self, received: str) -> bytes:
        """Return the request's JSON, with what has been received of the answer."""
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
    """Return the text of one event of a stream."""
    try:
        value = json.loads(data)
        if "error" in value:
            raise read_error(data.encode(), 200, UNKNOWN)
        return str(value["choices"][0]["delta"].get("content", ""))
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise ExchangeError("an event of the stream can't be read", True) from error


class Client:
    """A caller of the fleet.

    Parameters
    ----------
    seeds
        Addresses that are asked first for the addresses to use.
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
        self._keep_until: Millis = 0.0
        self._avoided: dict[Address, Millis] = {}

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Client":
        """Make a client from ``{"seeds": ["ip:port", …], "token": "…"}``."""
        seeds = [Address.parse(seed) for seed in config["seeds"]]
        return cls(seeds, str(config["token"]))

    async def look_up(self) -> list[Address]:
        """Return the addresses to use, asking when the kept answer is too old."""
        if self._addresses and self._clock.now() < self._keep_until:
            return self._addresses
        asked = [*self._addresses, *self._seeds]
        self._rng.shuffle(asked)
        for address in asked:
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
                    # A router that is leaving and hears no other knows none.
                    if not found:
                        continue
                    self._addresses = found
                    self._keep_until = self._clock.now() + float(value["keep_ms"])
                    return self._addresses or self._seeds
                if answer.status == 401:
                    raise read_error(answer.body, answer.status, NOT_RUN)
            except (ExchangeError, ValueError, KeyError, TypeError):
                continue
        return self._addresses or self._seeds

    async def _choose(self) -> Address:
        """Return an address, one that did not just fail where there is one."""
        addresses = await self.look_up()
        return self._rng.choice(self._list_others(addresses) or addresses)

    def _list_others(self, addresses: list[Address]) -> list[Address]:
        """Return the addresses that did not just fail or refuse."""
        now = self._clock.now()
        return [a for a in addresses if self._avoided.get(a, now) <= now]

    async def _choose_by(self, until: Millis) -> Address:
        """Return an address without asking for longer than there is time.

        With several routers paused, each look-up waits its whole timeout, and
        their sum would keep the caller far past its deadline.
        """
        left = max(0.0, until - self._clock.now())
        try:
            async with asyncio.timeout(left / SECOND):
                return await self._choose()
        except TimeoutError:
            return self._rng.choice(self._addresses or self._seeds)

    def _mark_failed(self, address: Address) -> None:
        self._avoided[address] = self._clock.now() + _AVOID
        self._keep_until = 0.0

    def _take_refusal(self, address: Address, error: CallError) -> None:
        """Take in what a router's refusal says of that router."""
        if error.number in LEAVING_CODES:
            self._mark_failed(address)
        elif error.number in ELSEWHERE_CODES:
            span = _AVOID + (error.retry_after or 0.0)
            self._avoided[address] = self._clock.now() + span

    async def _pause(self, error: CallError, attempt: int, until: Millis) -> None:
        """Wait before the next try, or raise when there is no time for one."""
        elsewhere = error.number in ELSEWHERE_CODES
        if elsewhere and self._list_others(self._addresses):
            span = self._backoff.draw(0, self._rng)
        elif error.retry_after is not None:
            span = error.retry_after * self._rng.uniform(1.0, 1.2)
        else:
            span = self._backoff.draw(attempt, self._rng)
        if self._clock.now() + span >= until:
            raise error
        await asyncio.sleep(span / SECOND)

    def _headers(self, key: str, until: Millis, non_idempotent: bool) -> Fields:
        left = max(1.0, until - self._clock.now())
        headers: Fields = [
            JSON_TYPE,
            self._authorization,
            ("idempotency-key", key),
            ("anvilshift-deadline-ms", f"{left:.0f}"),
        ]
        if non_idempotent:
            headers.append(("anvilshift-non-idempotent", "true"))
        return headers

    async def stream(self, conversation: Conversation) -> AsyncIterator[str]:
        """Yield an answer's text; each character once and in order.

        Raises
        ------
        CallError
            When no whole answer came before the deadline.
        """
        until = self._clock.now() + conversation.deadline
        received = ""
        attempt = 0
        outcome = Outcome()
        while True:
            address = await self._choose_by(until)
            try:
                async for text in self._read(address, conversation, received, until):
                    received += text
                    yield text
                return
            except ExchangeError as error:
                self._mark_failed(address)
                fate = UNKNOWN if error.sent else NOT_RUN
                failure = outcome.note(CallError(0, fate, str(error)))
            except CallError as error:
                failure = outcome.note(error)
                if not is_worth_retry(error):
                    raise failure from error
                self._take_refusal(address, error)
            await self._pause(failure, attempt, until)
            attempt += 1

    async def _read(
        self,
        address: Address,
        conversation: Conversation,
        received: str,
        until: Millis,
    ) -> AsyncIterator[str]:
        """Yield what one router sends on; raise unless the answer became whole."""
        headers = self._headers(conversation.key, until, conversation.non_idempotent)
        if received:
            headers.append(("last-event-id", str(len(received))))
        left = max(1.0, until - self._clock.now())
        async with contextlib.AsyncExitStack() as stack:
            entering = stack.enter_async_context(
                self._http.exchange(
                    address,
                    "POST",
                    "/v1/chat/completions",
                    headers,
                    conversation.make_body(received),
                    left,
                )
            )
            response = await self._watch(address, entering)
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
        raise ExchangeError("the stream ended without its end mark", True)

    async def _next_chunk(
        self, address: Address, response: Response, until: Millis
    ) -> bytes | None:
        """Return the next piece of a body, None at its end.

        A router that is paused in mid-stream keeps its connection; without the
        deadline here its caller would wait for as long as the pause lasts.
        """
        while (left := until - self._clock.now()) > 0:
            try:
                async with asyncio.timeout(min(left, _STALL) / SECOND):
                    return await anext(response.chunks(), None)
            except TimeoutError:
                await self._require_life(address)
        raise ExchangeError("the deadline passed in mid-stream", True)

    async def _watch(
        self, address: Address, work: Coroutine[Any, Any, Result]
    ) -> Result:
        """Wait for an answer as long as its router lives."""
        task = asyncio.ensure_future(work)
        try:
            while not (await asyncio.wait([task], timeout=_STALL / SECOND))[0]:
                await self._require_life(address)
            return task.result()
        finally:
            task.cancel()

    async def _require_life(self, address: Address) -> None:
        """Raise unless a router that has been silent answers a look-up."""
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
        """Return a whole answer."""
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
        """Call a plain service and return its whole answer.

        Raises
        ------
        CallError
            When the fleet gave no answer of the service.
        """
        until = self._clock.now() + deadline
        key = key or uuid.uuid4().hex
        attempt = 0
        outcome = Outcome()
        while True:
            address = await self._choose_by(until)
            headers = self._headers(key, until, non_idempotent)
            left = max(1.0, until - self._clock.now())
            try:
                calling = self._http.call(
                    address, method, f"/services/{route}{path}", headers, body, left
                )
                answer = await self._watch(address, calling)
                if answer.headers.get("anvilshift-request") is not None:
                    return answer
                error = read_error(answer.body, answer.status, UNKNOWN)
                failure = outcome.note(error)
                if not is_worth_retry(error):
                    raise failure
                self._take_refusal(address, error)
            except ExchangeError as broken:
                self._mark_failed(address)
                fate = UNKNOWN if broken.sent else NOT_RUN
                failure = outcome.note(CallError(0, fate, str(broken)))
            await self._pause(failure, attempt, until)
            attempt += 1

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _feed(reader: EventReader, chunk: bytes) -> list[Event]:
    try:
        return reader.feed(chunk)
    except AnvilshiftError as error:
        raise ExchangeError(error.detail, True) from error
