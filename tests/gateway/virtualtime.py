"""An event loop whose time passes only while it waits, and then at once."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from anvilshift.core.clock import SECOND, Millis


class _VirtualSelector(selectors.SelectSelector):
    """Waits in no time at all, and notes how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.waited = 0.0

    def select(self, timeout=None):
        self.waited += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; it serves as a clock too."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.waited

    def now(self) -> Millis:
        """Return the present instant in milliseconds."""
        return self.time() * SECOND


def run(loop: VirtualLoop, work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end, and close the loop."""
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
