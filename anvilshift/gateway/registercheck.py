"""Check that the store holds nothing that this router hasn't read.

A router that was cut off or stood still for a moment reads what changed meanwhile only
with its next watches, and nobody tells it again what it missed.  Until then what it
knows must not count as all there is.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.following import Follower
from anvilshift.gateway.journal import Journal
from anvilshift.objects.store import WatchedStore

_POLL_WAIT: Millis = 1.0
"""Wait of a watch that is to answer at once."""
_TIMEOUT: Millis = 250.0
"""Longest wait of a request for the check; the store answers within milliseconds."""


@dataclass
class RegisterCheck:
    """Ask the store whether anything has changed behind what the followers have read.

    Requests that wait at the same time share the calls.

    Parameters
    ----------
    followers
        Followers of the kinds of objects that matter.
    """

    store: WatchedStore
    followers: Sequence[Follower]
    clock: Clock
    journal: Journal
    _checked: Millis = -1e12
    _checking: asyncio.Task[None] | None = None
    _is_changed: bool = False

    async def confirm(self, since: Millis) -> bool:
        """Return whether all that was written until an instant has been read.

        Parameters
        ----------
        since
            The instant; calls that were made before it prove nothing.
        """
        try:
            async with asyncio.timeout(_TIMEOUT / SECOND):
                while self._checked < since and not self._is_read(since):
                    await self._wait_for_check()
        except TimeoutError:
            self.journal.write("register_unconfirmed", why="no answer in time")
            return False
        return self._is_read(since) or not self._is_changed

    def _is_read(self, since: Millis) -> bool:
        return all(one.confirmed >= since for one in self.followers)

    async def _wait_for_check(self) -> None:
        if self._checking is None or self._checking.done():
            loop = asyncio.get_running_loop()
            self._checking = loop.create_task(self._check())
        await asyncio.shield(self._checking)

    async def _check(self) -> None:
        asked = self.clock.now()
        try:
            changed = [await self._has_changed(one) for one in self.followers]
        except AnvilshiftError as error:
            self.journal.write("register_unconfirmed", why=error.detail)
            changed = [True]
        self._checked, self._is_changed = asked, any(changed)

    async def _has_changed(self, follower: Follower) -> bool:
        found = await self.store.watch([follower.kind], follower.revision, _POLL_WAIT)
        return found.too_old or bool(found.changes)

    def close(self) -> None:
        """Give up the check that is under way."""
        if self._checking is not None:
            self._checking.cancel()
