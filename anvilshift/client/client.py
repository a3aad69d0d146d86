"""Call the fleet: look addresses up, connect, retry with one key, resume."""

import asyncio
import json
import random
import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.backoff import Backoff
from anvilshift.core.clock import SECOND, Clock, Millis, MonotonicClock
from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.events import EventReader
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, Fields, HttpAnswer

_LOOKUP_TIMEOUT: Millis = 1 * SECOND
_DEFAULT_DEADLINE: Millis = 30 * SECOND
_NOT_RUN = "not run"


class CallError(Exception):
    """A call that got no whole answer.

    Parameters
    ----------
    number
        Result code; 0 when no router was reached.
    fate
        What became of the work: ``not run``, ``ran`` or ``unknown``.
    retry_after
        Milliseconds until another try makes sense, if one does.
    """

    def __init__(
        self, number: int, fate: str, message: str, retry_after: Millis | None = None
    ) -> None:
        super().__init__(f"{number}: {message} ({fate})")
        self.number = number
        self.fate = fate
        self.retry_after = retry_after


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


def _read_error(answer_body: bytes, status: int, fate: str) -> CallError:
    try:
        error = json.loads(answer_body)["error"]
        return CallError(
            int(error["code"]),
            str(error["fate"]),
            str(error["message"]),
            error.get("retry_after_ms"),
        )
    except (ValueError, KeyError, TypeError):
        return CallError(0, fate, f"status {status}")


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
        self._failed: dict[Address, Millis] = {}

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
                    self._addresses = found or self._addresses
                    self._keep_until = self._clock.now() + float(value["keep_ms"])
                    return self._addresses
                if answer.status == 401:
                    raise _read_error(answer.body, answer.status, _NOT_RUN)
            except (ExchangeError, ValueError, KeyError, TypeError):
                continue
        return self._addresses or self._seeds

    async def _choose(self) -> Address:
        """Return an address, one that did not just fail where there is one."""
        addresses = await self.look_up()
        now = self._clock.now()
        recent = {a for a, at in self._failed.items() if now - at < 2 * SECOND}
        return self._rng.choice([a for a in addresses if a not in recent] or addresses)

    def _mark_failed(self, address: Address) -> None:
        self._failed[address] = self._clock.now()
        self._keep_until = 0.0

    async def _pause(self, error: CallError, attempt: int, until: Millis) -> None:
        """Wait before the next try, or raise when there is no time for one."""
        if error.retry_after is not None:
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
        while True:
            address = await self._choose()
            try:
                async for text in self._read(address, conversation, received, until):
                    received += text
                    yield text
                return
            except ExchangeError as error:
                self._mark_failed(address)
                unsure = error.sent and conversation.non_idempotent
                fate = "unknown" if unsure else _NOT_RUN
                failure = CallError(0, fate, str(error))
            except CallError as error:
                if not _is_worth_retry(error):
                    raise
                failure = error
                if error.number in _LEAVING_CODES:
                    self._mark_failed(address)
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
        async with self._http.exchange(
            address,
            "POST",
            "/v1/chat/completions",
            headers,
            conversation.make_body(received),
            left,
        ) as response:
            if response.status != 200:
                body = await response.read()
                raise _read_error(body, response.status, "unknown")
            reader = EventReader()
            async for chunk in response.chunks():
                for event in reader.feed(chunk):
                    if event.data == "[DONE]":
                        return
                    value = json.loads(event.data)
                    if "error" in value:
                        raise _read_error(event.data.encode(), 200, "unknown")
                    text = value["choices"][0]["delta"].get("content", "")
                    if text:
                        yield text
        raise ExchangeError("the stream ended without its end mark", True)

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
        while True:
            address = await self._choose()
            headers = self._headers(key, until, non_idempotent)
            left = max(1.0, until - self._clock.now())
            try:
                answer = await self._http.call(
                    address, method, f"/services/{route}{path}", headers, body, left
                )
                if answer.headers.get("anvilshift-request") is not None:
                    return answer
                failure = _read_error(answer.body, answer.status, "unknown")
                if not _is_worth_retry(failure):
                    raise failure
            except ExchangeError as error:
                self._mark_failed(address)
                fate = "unknown" if error.sent else _NOT_RUN
                failure = CallError(0, fate, str(error))
            await self._pause(failure, attempt, until)
            attempt += 1

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


_LEAVING_CODES = (3004, 3005)
_FINAL_CODES = range(1000, 2002)
_FINAL_OTHERS = (3003, 4003)


def _is_worth_retry(error: CallError) -> bool:
    """Tell whether the same call can still succeed."""
    return error.number not in _FINAL_CODES and error.number not in _FINAL_OTHERS
