"""An event loop whose time jumps to the next timer instead of passing."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from anvilshift.core.clock import SECOND, Millis

_ROUNDING: Millis = 1e-6
_CREEP_S = 1e-9
"""Time that each turn of the loop takes, so that no timer is missed for ever."""


class _JumpingSelector(selectors.SelectSelector):
    """Wait for no socket: move the time on by what the loop would have slept."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits for another: the run is stuck")
        self.now += max(0.0, timeout) + _CREEP_S
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks and timers in their order, in no real time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        # A timer that is due within the resolution fires at once; in virtual
        # time the clock would then stand still, and a loop that waits for the
        # last billionth of a second would never end.
        self._clock_resolution = 0.0

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jumping.now


class VirtualClock:
    """The project's clock on a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> Millis:
        """Return the present instant in milliseconds, rounded up a little.

        Seconds times a thousand can fall short of an instant by the last bit,
        which no timer can wait for.
        """
        return self._loop.time() * SECOND + _ROUNDING

    def wall(self) -> int:
        """Return the present instant in whole seconds."""
        return int(self._loop.time())


def run_virtual(make: "Any") -> Any:
    """Run the coroutine that a function of the clock makes, in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        work: Coroutine[Any, Any, Any] = make(VirtualClock(loop))
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
