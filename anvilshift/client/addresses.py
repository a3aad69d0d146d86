"""The routers' addresses: lookup, choice, and which of them to avoid for a time."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

from anvilshift.client.failures import (
    DRAINING_CODES,
    NOT_RUN,
    ROUTER_SPECIFIC_CODES,
    CallError,
    read_error,
)
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpResponse
from anvilshift.wire.response import ExchangeError

_LOOKUP_TIMEOUT: Millis = 1 * SECOND
_AVOID_TIME: Millis = 2 * SECOND
"""Time for which an address is not chosen after a failure.  After a refusal it is added
to the time after which the router asks to be tried again."""

LookUp = Callable[[], Awaitable[list[Address]]]


class RouterAddresses:
    """The addresses at which a client reaches routers.

    Parameters
    ----------
    seeds
        Addresses for the first lookup.
    authorization
        Header field with the organisation's credential.
    """

    def __init__(
        self,
        seeds: list[Address],
        authorization: tuple[str, str],
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._seeds = seeds
        self._authorization = authorization
        self._http = http
        self._clock = clock
        self._rng = rng
        self._addresses: list[Address] = []
        self._expire_at: Millis = 0.0
        self._avoided_until: dict[Address, Millis] = {}

    async def look_up(self) -> list[Address]:
        """Return the routers' addresses; look them up if the cached ones expired."""
        if self._addresses and self._clock.now() < self._expire_at:
            return self._addresses
        candidates = [*self._addresses, *self._seeds]
        self._rng.shuffle(candidates)
        for address in candidates:
            try:
                answer = await self._request_addresses(address)
                if answer.status == 200:
                    value = json.loads(answer.body)
                    found = [Address.parse(i["address"]) for i in value["addresses"]]
                    # A draining router that receives no heartbeats of other
                    # routers returns an empty list.
                    if not found:
                        continue
                    self._addresses = found
                    self._expire_at = self._clock.now() + float(value["keep_ms"])
                    return self._addresses or self._seeds
                if answer.status == 401:
                    raise read_error(answer.body, answer.status, NOT_RUN)
            except (ExchangeError, ValueError, KeyError, TypeError):
                continue
        return self._addresses or self._seeds

    async def _request_addresses(self, address: Address) -> HttpResponse:
        return await self._http.call(
            address,
            "GET",
            "/v1/addresses",
            [self._authorization],
            timeout=_LOOKUP_TIMEOUT,
        )

    async def _choose(self, look_up: LookUp) -> Address:
        """Return a random address; prefer those without a recent failure or refusal."""
        addresses = await look_up()
        return self._rng.choice(self._list_unavoided(addresses) or addresses)

    def has_unavoided(self) -> bool:
        """Tell whether a known router has no recent failure or refusal."""
        return bool(self._list_unavoided(self._addresses))

    def _list_unavoided(self, addresses: list[Address]) -> list[Address]:
        """Return the addresses without a recent failure or refusal."""
        now = self._clock.now()
        return [a for a in addresses if self._avoided_until.get(a, now) <= now]

    async def choose_before(self, until: Millis, look_up: LookUp) -> Address:
        """Return an address; limit the address lookup to the time until the deadline.

        If several routers are paused, each lookup waits for its full timeout, and
        the sum of these would delay the caller far beyond its deadline.

        Parameters
        ----------
        look_up
            Returns the addresses to choose from.
        """
        remaining = max(0.0, until - self._clock.now())
        try:
            async with asyncio.timeout(remaining / SECOND):
                return await self._choose(look_up)
        except TimeoutError:
            return self._rng.choice(self._addresses or self._seeds)

    def mark_failed(self, address: Address) -> None:
        """Avoid an address for a time, and look the addresses up again."""
        self._avoided_until[address] = self._clock.now() + _AVOID_TIME
        self._expire_at = 0.0

    def record_refusal(self, address: Address, error: CallError) -> None:
        """Avoid a router for a time if its refusal is specific to that router."""
        if error.number in DRAINING_CODES:
            self.mark_failed(address)
        elif error.number in ROUTER_SPECIFIC_CODES:
            delay = _AVOID_TIME + (error.retry_after or 0.0)
            self._avoided_until[address] = self._clock.now() + delay

    async def check_responsive(self, address: Address) -> None:
        """Raise `ExchangeError` unless a silent router answers an address lookup."""
        try:
            await self._request_addresses(address)
        except ExchangeError as error:
            raise ExchangeError(f"{address} stopped answering", True) from error
