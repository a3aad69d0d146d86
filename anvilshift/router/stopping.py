"""Run the planned stop of a router.

It keeps serving for a while, finishes open requests, settles its bills and grants, and
logs the requests that were cut off.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from absl import logging

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import AnvilshiftError

_IDLE_CHECK_INTERVAL: Millis = 20.0
_SETTLE_RETRY_INTERVAL: Millis = 200.0


@dataclass(frozen=True)
class StopCallbacks:
    """Callbacks through which a planned stop controls its router.

    Parameters
    ----------
    leave
        Tells the other routers that this one leaves, so that address lookups no
        longer return it.
    refuse
        Makes the router refuse new work from now on.
    settle
        Records the bills and gives the grants back; returns False on failure.
    count_open
        Returns the number of operations in flight, including the recording of
        outcomes.
    list_open
        Returns the requests in flight as pairs of id and organisation.
    """

    leave: Callable[[], Awaitable[None]]
    refuse: Callable[[], None]
    settle: Callable[[], Awaitable[bool]]
    count_open: Callable[[], int]
    list_open: Callable[[], list[tuple[str, str]]]


class PlannedStop:
    """One planned stop.

    Parameters
    ----------
    keep
        Milliseconds for which callers may cache this router's address.
    grace
        Maximum milliseconds until the stop ends, even if requests are still open.
    abandoned
        Event that is set when the stop must end at once.

    Attributes
    ----------
    settled
        Whether all bills have been recorded and all grants given back.
    """

    def __init__(
        self,
        callbacks: StopCallbacks,
        keep: Millis,
        grace: Millis,
        abandoned: asyncio.Event,
    ) -> None:
        self.settled = False
        self._callbacks = callbacks
        self._keep_addresses = keep
        self._grace = grace
        self._abandoned = abandoned

    async def run(self) -> int:
        """Run all steps; return how many requests were cut off."""
        callbacks = self._callbacks
        logging.info("planned stop begins in_flight=%d", callbacks.count_open())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._grace / SECOND):
                await self._run_unless_abandoned(callbacks.leave())
                # Callers may cache an address for the configured time, so new work
                # is refused only after that.
                await self._run_unless_abandoned(
                    asyncio.sleep(self._keep_addresses / SECOND)
                )
                callbacks.refuse()
                await self._run_unless_abandoned(self._wait_idle())
                await self._run_unless_abandoned(self._settle())
        cut_off = callbacks.list_open()
        for request, organisation in cut_off:
            logging.error("cut off request=%s organisation=%s", request, organisation)
        if not self.settled:
            logging.error("planned stop ends unsettled; peers will seal the grants")
        logging.info("planned stop ends cut_off=%d", len(cut_off))
        return len(cut_off)

    async def _run_unless_abandoned(self, step: Awaitable[None]) -> None:
        """Run a step; cancel it as soon as the stop is abandoned."""
        running = asyncio.ensure_future(step)
        abandoning = asyncio.ensure_future(self._abandoned.wait())
        try:
            await asyncio.wait(
                [running, abandoning], return_when=asyncio.FIRST_COMPLETED
            )
            if running.done():
                running.result()
        finally:
            running.cancel()
            abandoning.cancel()

    async def _wait_idle(self) -> None:
        while self._callbacks.count_open():
            await asyncio.sleep(_IDLE_CHECK_INTERVAL / SECOND)

    async def _settle(self) -> None:
        """Settle bills and grants; retry until the platform is available."""
        while not self.settled:
            with contextlib.suppress(AnvilshiftError):
                self.settled = await self._callbacks.settle()
            if not self.settled:
                await asyncio.sleep(_SETTLE_RETRY_INTERVAL / SECOND)
