"""Silences of one engine: for a time it neither reads nor writes, then it goes on."""

import asyncio
from collections.abc import Callable

from anvilshift.core.clock import SECOND, Millis


class Pauses:
    """The present silence of an engine, and the one that waits for an answer's end."""

    def __init__(self, now: Callable[[], Millis]) -> None:
        self._now = now
        self._until: Millis = 0.0
        self._at_end: Millis = 0.0

    def begin(self, span: Millis) -> None:
        """Begin a silence, or prolong the present one."""
        self._until = max(self._until, self._now() + span)

    def begin_at_end(self, span: Millis) -> None:
        """Begin a silence as an answer lacks only its end, the next time one does."""
        self._at_end = span

    def find_left(self) -> Millis:
        """Return for how long the engine will be silent."""
        return self._until - self._now()

    async def wait(self) -> None:
        """Wait while the engine is silent."""
        while (left := self.find_left()) > 0:
            await asyncio.sleep(left / SECOND)

    async def wait_at_end(self) -> None:
        """Wait before the end of an answer."""
        if self._at_end:
            span, self._at_end = self._at_end, 0.0
            self.begin(span)
        await self.wait()
