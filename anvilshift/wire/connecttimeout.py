"""A timeout for opening connections that a busy event loop doesn't cut short.

Load pattern: a router with more work than processor runs each turn of its loop for a
tenth of a second.  A connection that the network opened in 2 ms needs several turns
before it can be used.  If the timeout passed meanwhile, the router would close it, ask
other routers for a connection and try another target, so that a busy router gets three
times the work.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from anvilshift.core.clock import SECOND, Millis

_TURNS = 6
"""Turns of the loop that a connection gets after its time has passed: its socket is
found writable, its task goes on, its transport is made, its task goes on.  On a loop
that isn't busy they pass at once."""


@contextlib.asynccontextmanager
async def limit_connecting(timeout: Millis) -> AsyncIterator[None]:
    """Limit the time in which a connection opens, not counting turns of the loop.

    Raises
    ------
    TimeoutError
        When the time has passed, and the connection is still not open after some turns
        of the loop.
    """
    async with asyncio.timeout(None) as limit:
        expiry = _Expiry(limit, timeout)
        try:
            yield
        finally:
            expiry.cancel()


class _Expiry:
    """Let a timeout expire once its time has passed and the loop has had its turns."""

    def __init__(self, limit: asyncio.Timeout, timeout: Millis) -> None:
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._turns = _TURNS
        self._handle: asyncio.Handle = self._loop.call_later(
            timeout / SECOND, self._take_turn
        )

    def _take_turn(self) -> None:
        if self._turns:
            self._turns -= 1
            self._handle = self._loop.call_soon(self._take_turn)
        else:
            self._limit.reschedule(self._loop.time())

    def cancel(self) -> None:
        """Let the timeout not expire any more."""
        self._handle.cancel()
