"""Find out cheaply how far back the platform's store retains its history.

Load pattern: all routers lose power and start at once.  Each asks the store whether
some revisions of the last seconds can still be followed.  A watch that follows the
records themselves returns every change since then, a megabyte in a large fleet: over
the slow link of a small host, the answers take a second, in which no tokens of the
former processes are available.

A watch of a kind without objects returns no changes.  That it reports the loss of
history like any other kind is not taken for granted: it is trusted only after it has
reported the loss of a revision that a watch of the records reports as lost.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from anvilshift.core.clock import Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import ObjectStore

EMPTY_KIND = "anvilshift-history"
"""Kind without objects."""
_CHECK_WAIT: Millis = 1.0
"""Duration of a watch that needs no changes."""


@dataclass(frozen=True)
class Retained:
    """A revision that could be followed.

    Parameters
    ----------
    index
        Its index among the revisions that were asked about.
    asked_at
        Instant at which the store was asked about it.
    """

    index: int
    asked_at: Millis


class HistorySearch:
    """Search for the oldest of some revisions that can still be followed.

    Parameters
    ----------
    kind
        Kind of the objects whose changes have the revisions.
    """

    def __init__(self, store: ObjectStore, kind: str, clock: Clock) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock

    async def find_oldest(self, revisions: Sequence[int]) -> Retained | None:
        """Return the first revision that can be followed.

        Parameters
        ----------
        revisions
            In ascending order.

        Returns
        -------
        Retained or None
            None when none of them can be followed.

        Raises
        ------
        AnvilshiftError
            When the store is unreachable.
        """
        if not revisions:
            return None
        asked_at = self._clock.now()
        if not await self._is_lost(self._kind, revisions[0]):
            return Retained(0, asked_at)
        kind = EMPTY_KIND if await self._reports_loss(revisions[0]) else self._kind
        oldest = None
        low, high = 1, len(revisions)
        while low < high:
            middle = (low + high) // 2
            asked_at = self._clock.now()
            if await self._is_lost(kind, revisions[middle]):
                low = middle + 1
            else:
                high, oldest = middle, Retained(middle, asked_at)
        return oldest

    async def _reports_loss(self, lost_revision: int) -> bool:
        """Tell whether a watch of the empty kind reports that a revision is lost."""
        try:
            return await self._is_lost(EMPTY_KIND, lost_revision)
        except AnvilshiftError:
            # The store may not know the kind; the records' own kind serves as well.
            return False

    async def _is_lost(self, kind: str, revision: int) -> bool:
        found = await self._store.watch([kind], revision, _CHECK_WAIT)
        return found.too_old
