"""Run asyncio code in virtual time: a wait costs no time and replays the same."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from anvilshift.core.clock import SECOND, Millis

Result = TypeVar("Result")
_RESOLUTION_S = 1e-12
"""Finest time that the loop tells apart.  A timer that is due within it fires
at once without moving the clock; were that the system's nanosecond, code that
waits for the last of it again and again would never end."""
_ROUNDING: Millis = 1e-6
"""Added to each instant: seconds times a thousand can fall short of it by the
last bit, which no timer can wait for."""


class _Selector(selectors.SelectSelector):
    """Pass the time that the loop would have waited."""

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        found = super().select(0)
        if not found and timeout is None:
            raise RuntimeError("nothing will ever happen again on this loop")
        if not found and timeout:
            self.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock moves on only when nothing is left to do."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = _RESOLUTION_S

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


class VirtualClock:
    """The clock of the running loop."""

    def now(self) -> Millis:
        """Return the present instant in milliseconds."""
        return asyncio.get_running_loop().time() * SECOND + _ROUNDING

    def wall(self) -> int:
        """Return the present instant in whole seconds."""
        return int(asyncio.get_running_loop().time())


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end on a loop of virtual time.

    Examples
    --------
    >>> async def wait() -> float:
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(wait())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
