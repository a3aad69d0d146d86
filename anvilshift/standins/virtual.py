"""Run asyncio code in virtual time, so that waits are instant and reproducible."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from anvilshift.core.clock import SECOND, Millis

Result = TypeVar("Result")
_ITERATION_S = 1e-9
"""Virtual time that an iteration of the loop takes if no callback is ready.  With
0, code that waits for the last floating-point increment up to an instant would
wait for ever, because no timer advances the clock by so small an amount."""


class _Selector(selectors.SelectSelector):
    """Advance virtual time by the timeout instead of waiting for it."""

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError(
                "deadlock: the loop has no ready callback, timer or I/O event"
            )
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only while no callback is ready."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def block(self, seconds: float) -> None:
        """Let time pass as if a callback kept the loop busy for so long."""
        self._virtual_selector.now += seconds

    def _run_once(self) -> None:
        if not self._ready:  # type: ignore[attr-defined]
            self._virtual_selector.now += _ITERATION_S
        super()._run_once()  # type: ignore[misc]


class VirtualClock:
    """A clock that reads the virtual time of the running loop."""

    def now(self) -> Millis:
        """Return the current virtual time in milliseconds."""
        return asyncio.get_running_loop().time() * SECOND

    def wall(self) -> int:
        """Return the current virtual time in whole seconds."""
        return int(asyncio.get_running_loop().time())


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion on a virtual-time event loop.

    Examples
    --------
    >>> async def wait() -> float:
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> round(run_virtual(wait()), 3)
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
