"""Stop a router as planned: serve on, finish, settle, and say what was cut off."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from absl import logging

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import AnvilshiftError

_IDLE_CHECK: Millis = 20.0
_SETTLE_PAUSE: Millis = 200.0


@dataclass(frozen=True)
class StopSteps:
    """What a planned stop does to its router.

    Parameters
    ----------
    leave
        Tells the others, so that no caller is sent here any more.
    refuse
        Turns new work away from now on.
    settle
        Records bills and gives grants back; False when it failed.
    count_open
        Returns how much is in flight, records of outcomes included.
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
        Milliseconds for which callers may keep this router's address.
    grace
        Most milliseconds until the stop ends, whatever is left.
    abandoned
        Set when the stop must end at once.
    """

    def __init__(
        self, steps: StopSteps, keep: Millis, grace: Millis, abandoned: asyncio.Event
    ) -> None:
        self.settled = False
        self._steps = steps
        self._keep = keep
        self._grace = grace
        self._abandoned = abandoned

    async def run(self) -> int:
        """Stop; return how many requests were cut off."""
        steps = self._steps
        logging.info("planned stop begins in_flight=%d", steps.count_open())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._grace / SECOND):
                await self._unless_abandoned(steps.leave())
                # Callers keep an address for a stated time and are served for
                # as long; only then is new work turned away.
                await self._unless_abandoned(asyncio.sleep(self._keep / SECOND))
                steps.refuse()
                await self._unless_abandoned(self._wait_idle())
                await self._unless_abandoned(self._settle())
        cut_off = steps.list_open()
        for request, organisation in cut_off:
            logging.error("cut off request=%s organisation=%s", request, organisation)
        if not self.settled:
            logging.error("planned stop ends unsettled; peers will seal the grants")
        logging.info("planned stop ends cut_off=%d", len(cut_off))
        return len(cut_off)

    async def _unless_abandoned(self, step: Awaitable[None]) -> None:
        """Take a step, and leave it as soon as the stop is abandoned."""
        doing = asyncio.ensure_future(step)
        leaving = asyncio.ensure_future(self._abandoned.wait())
        try:
            await asyncio.wait([doing, leaving], return_when=asyncio.FIRST_COMPLETED)
            if doing.done():
                doing.result()
        finally:
            doing.cancel()
            leaving.cancel()

    async def _wait_idle(self) -> None:
        while self._steps.count_open():
            await asyncio.sleep(_IDLE_CHECK / SECOND)

    async def _settle(self) -> None:
        """Settle, again and again while the platform is out."""
        while not self.settled:
            with contextlib.suppress(AnvilshiftError):
                self.settled = await self._steps.settle()
            if not self.settled:
                await asyncio.sleep(_SETTLE_PAUSE / SECOND)
