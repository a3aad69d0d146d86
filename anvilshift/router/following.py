"""Follow the platform's declarations and router records by watch."""

import asyncio
import random
from collections.abc import Callable

from absl import logging

from anvilshift.core.backoff import Backoff
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import KINDS, Catalogue, Declaration
from anvilshift.core.errors import PLATFORM_GARBAGE, AnvilshiftError
from anvilshift.objects.store import Body, Change, ObjectStore, Stored
from anvilshift.settings.declarations import parse_declaration

ROUTER_KIND = "Router"
_WATCHED = (*KINDS, ROUTER_KIND)
_WAIT: Millis = 20 * SECOND
_SPACING: Millis = 250.0
"""Time from an answer of the watch that brought only renewals to the next call.
Each renewal of each router answers every router's watch, so that without a pause
the platform's calls grow with the square of the fleet; a change may take 4 s to be
in force."""


class Follower:
    """Keep a catalogue at the platform's newest revision.

    Parameters
    ----------
    take_catalogue
        Called with each new catalogue.
    take_router
        Called with a router record's name and body, None when it is gone.
    """

    def __init__(
        self,
        store: ObjectStore,
        take_catalogue: Callable[[Catalogue], None],
        take_router: Callable[[str, Body | None], None],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._take_catalogue = take_catalogue
        self._take_router = take_router
        self._rng = rng
        self._backoff = Backoff()
        self._declarations: dict[tuple[str, str], Declaration] = {}
        self._routers: set[str] = set()
        self._unreadable: dict[tuple[str, str], int] = {}
        self._revision = 0
        self._news = False
        self.current = asyncio.Event()

    @property
    def seen(self) -> int:
        """Return the revision up to which everything was taken in."""
        return self._revision

    @property
    def acknowledged(self) -> int:
        """Return the revision up to which every declaration is in force here.

        A declaration that can't be read is not in force, so nothing from it on
        is acknowledged; operators see which router they wait for.
        """
        oldest = min(self._unreadable.values(), default=self._revision + 1)
        return min(self._revision, oldest - 1)

    async def run(self) -> None:
        """Follow until cancelled."""
        failures = 0
        listed = False
        while True:
            try:
                if not listed:
                    await self._list()
                    listed = True
                listed = await self._watch()
                failures = 0
                if not self._news:
                    await asyncio.sleep(_SPACING / SECOND)
            except AnvilshiftError as error:
                logging.warning("watch failed code=%d", error.code.number)
                pause = self._backoff.draw(failures, self._rng)
                failures += 1
                await asyncio.sleep(pause / SECOND)

    async def _list(self) -> None:
        listing = await self._store.list(_WATCHED)
        # A platform that answers from an old copy must not take back what was
        # accepted: versions never go back.
        if listing.revision < self._revision:
            raise AnvilshiftError(PLATFORM_GARBAGE, "the listing is an old copy")
        old, self._declarations = self._declarations, {}
        self._unreadable = {}
        seen = set()
        for item in listing.items:
            if item.kind == ROUTER_KIND:
                seen.add(item.name)
                self._take_router(item.name, item.body)
                continue
            self._put(item, item.body, old)
        for name in self._routers - seen:
            self._take_router(name, None)
        self._routers = seen
        self._revision = listing.revision
        self._publish()
        self.current.set()

    async def _watch(self) -> bool:
        """Take in one answer of the watch; False when it is too old."""
        changes = await self._store.watch(_WATCHED, self._revision, _WAIT)
        if changes.too_old:
            return False
        self._news = any(self._is_news(change) for change in changes.changes)
        declared = [self._apply(change) for change in changes.changes]
        self._revision = max(self._revision, changes.revision)
        if any(declared):
            self._publish()
        return True

    def _is_news(self, change: Change) -> bool:
        """Tell whether a change is more than the renewal of a known router."""
        if change.kind != ROUTER_KIND:
            return True
        return change.body is None or change.name not in self._routers

    def _apply(self, change: Change) -> bool:
        """Take in a change; tell whether it was one of a declaration."""
        if change.version <= self._revision:
            return False
        if change.kind == ROUTER_KIND:
            self._routers.add(change.name)
            self._take_router(change.name, change.body)
            return False
        if change.body is None:
            self._declarations.pop((change.kind, change.name), None)
            self._unreadable.pop((change.kind, change.name), None)
        else:
            self._put(change, change.body, self._declarations)
        return True

    def _put(
        self,
        item: Stored | Change,
        body: Body,
        old: dict[tuple[str, str], Declaration],
    ) -> None:
        key = (item.kind, item.name)
        try:
            where = f"{item.kind}/{item.name}"
            self._declarations[key] = parse_declaration(body, where)
            self._unreadable.pop(key, None)
        except AnvilshiftError as error:
            # A declaration that this version can't read keeps its last
            # readable state instead of vanishing from under its callers.
            logging.error("declaration unreadable %s", error)
            self._unreadable.setdefault(key, item.version)
            if key in old:
                self._declarations[key] = old[key]

    def _publish(self) -> None:
        declarations = list(self._declarations.values())
        catalogue = Catalogue.from_declarations(declarations, self.acknowledged)
        self._take_catalogue(catalogue)
