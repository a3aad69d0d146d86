"""Follow declarations and router records with a watch on the platform."""

import asyncio
import random
from collections.abc import Callable

from absl import logging

from anvilshift.core.backoff import Backoff
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import KINDS, Catalogue, Declaration
from anvilshift.core.errors import PLATFORM_UNREADABLE, AnvilshiftError
from anvilshift.objects.store import Body, ObjectChange, ObjectStore, StoredObject
from anvilshift.settings.declarations import parse_declaration

ROUTER_KIND = "Router"
_WATCHED = (*KINDS, ROUTER_KIND)
_WATCH_TIMEOUT: Millis = 20 * SECOND
_RENEWAL_PAUSE: Millis = 250.0
"""Pause between an answer of the watch that has only renewals and the next call.  Each
renewal by one router answers the watch of every router.  Without a pause, the number
of calls to the platform would grow with the square of the number of routers.  A change
may take up to 4 s to come into force."""


class Follower:
    """Keep a catalogue of declarations up to date with the platform.

    Parameters
    ----------
    take_catalogue
        Called with each new catalogue.
    apply_router_record
        Called with the name and body of a changed router record; the body is None
        when the record was deleted.
    """

    def __init__(
        self,
        store: ObjectStore,
        take_catalogue: Callable[[Catalogue], None],
        apply_router_record: Callable[[str, Body | None], None],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._take_catalogue = take_catalogue
        self._take_router = apply_router_record
        self._rng = rng
        self._backoff = Backoff()
        self._declarations: dict[tuple[str, str], Declaration] = {}
        self._routers: set[str] = set()
        self._unreadable: dict[tuple[str, str], int] = {}
        self._revision = 0
        self._has_news = False
        self.current = asyncio.Event()

    @property
    def seen(self) -> int:
        """Return the newest revision that was received from the platform."""
        return self._revision

    @property
    def acknowledged(self) -> int:
        """Return the revision up to which every declaration is in force here.

        A declaration that can't be read is not in force, so its revision and all
        later ones are not acknowledged.  Operators then see which router delays the
        acceptance of a change.
        """
        oldest = min(self._unreadable.values(), default=self._revision + 1)
        return min(self._revision, oldest - 1)

    async def run(self) -> None:
        """Follow the platform until cancelled; list anew when the watch is too old."""
        failures = 0
        listed = False
        while True:
            try:
                if not listed:
                    await self._list()
                    listed = True
                listed = await self._watch()
                failures = 0
                if not self._has_news:
                    await asyncio.sleep(_RENEWAL_PAUSE / SECOND)
            except AnvilshiftError as error:
                logging.warning("watch failed code=%d", error.code.number)
                pause = self._backoff.draw(failures, self._rng)
                failures += 1
                await asyncio.sleep(pause / SECOND)

    async def _list(self) -> None:
        listing = await self._store.list(_WATCHED)
        # Revisions only grow.  A platform that answers from an outdated replica must
        # not revert declarations that were accepted.
        if listing.revision < self._revision:
            raise AnvilshiftError(PLATFORM_UNREADABLE, "the listing is outdated")
        old, self._declarations = self._declarations, {}
        self._unreadable = {}
        seen = set()
        for item in listing.items:
            if item.kind == ROUTER_KIND:
                seen.add(item.name)
                self._take_router(item.name, item.body)
                continue
            self._read_declaration(item, item.body, old)
        for name in self._routers - seen:
            self._take_router(name, None)
        self._routers = seen
        self._revision = listing.revision
        self._publish()
        self.current.set()

    async def _watch(self) -> bool:
        """Apply one answer of the watch; False when the revision is too old for it."""
        changes = await self._store.watch(_WATCHED, self._revision, _WATCH_TIMEOUT)
        if changes.too_old:
            return False
        self._has_news = any(self._is_news(change) for change in changes.changes)
        declared = [self._apply(change) for change in changes.changes]
        self._revision = max(self._revision, changes.revision)
        if any(declared):
            self._publish()
        return True

    def _is_news(self, change: ObjectChange) -> bool:
        """Tell whether a change is more than the renewal of a known router."""
        if change.kind != ROUTER_KIND:
            return True
        return change.body is None or change.name not in self._routers

    def _apply(self, change: ObjectChange) -> bool:
        """Apply a change; tell whether it changed a declaration."""
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
            self._read_declaration(change, change.body, self._declarations)
        return True

    def _read_declaration(
        self,
        item: StoredObject | ObjectChange,
        body: Body,
        old: dict[tuple[str, str], Declaration],
    ) -> None:
        key = (item.kind, item.name)
        try:
            where = f"{item.kind}/{item.name}"
            self._declarations[key] = parse_declaration(body, where)
            self._unreadable.pop(key, None)
        except AnvilshiftError as error:
            # A declaration that this version can't read keeps its last readable
            # state, so that requests that depend on it don't fail.
            logging.error("declaration unreadable %s", error)
            self._unreadable.setdefault(key, item.version)
            if key in old:
                self._declarations[key] = old[key]

    def _publish(self) -> None:
        declarations = list(self._declarations.values())
        catalogue = Catalogue.from_declarations(declarations, self.acknowledged)
        self._take_catalogue(catalogue)
