"""What operators do against the platform: declarations, top-ups, spend."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import KINDS
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.membership import Member
from anvilshift.objects import ledgers
from anvilshift.objects.records import decode
from anvilshift.objects.store import (
    Body,
    ConflictError,
    ObjectStore,
    Stored,
)
from anvilshift.router.following import ROUTER_KIND

Documents = Mapping[tuple[str, str], Body]
_POLL: Millis = 100.0


@dataclass(frozen=True)
class Difference:
    """How one declaration differs from what is stored."""

    kind: str
    name: str
    change: str
    version: int = 0


@dataclass(frozen=True)
class Acceptance:
    """How far a change has come into force.

    Parameters
    ----------
    waiting
        Routers that have not acknowledged the revision yet.
    """

    revision: int
    waiting: tuple[str, ...]

    @property
    def accepted(self) -> bool:
        """Tell whether every live router has the revision in force."""
        return not self.waiting


async def read_stored(store: ObjectStore) -> dict[tuple[str, str], Stored]:
    """Return every stored declaration."""
    listing = await store.list(KINDS)
    return {(item.kind, item.name): item for item in listing.items}


def compare(
    documents: Documents, stored: Mapping[tuple[str, str], Stored], prune: bool
) -> list[Difference]:
    """Return what applying the documents would change."""
    found = []
    for key, body in documents.items():
        old = stored.get(key)
        if old is None:
            found.append(Difference(*key, "create"))
        elif old.body != body:
            found.append(Difference(*key, "change", old.version))
    if prune:
        gone = [item for key, item in stored.items() if key not in documents]
        found += [Difference(i.kind, i.name, "delete", i.version) for i in gone]
    return found


async def write_differences(
    store: ObjectStore, documents: Documents, differences: list[Difference]
) -> tuple[int, list[Difference]]:
    """Write what differs, each on the version that was compared.

    Returns
    -------
    tuple
        The newest revision written, or the platform's where nothing was, so
        that applying again still waits for what an earlier run has stored; and
        the differences that lost a race with another operator, which are left
        as the other wrote them.
    """
    newest = 0
    lost = []
    for item in differences:
        try:
            if item.change == "delete":
                deleted = await store.delete(item.kind, item.name, item.version)
                newest = max(newest, deleted)
                continue
            body = documents[item.kind, item.name]
            written = await store.put(item.kind, item.name, body, item.version)
            newest = max(newest, written.version)
        except ConflictError:
            lost.append(item)
    if not newest:
        newest = (await store.list([])).revision
    return newest, lost


async def wait_accepted(
    store: ObjectStore, clock: Clock, revision: int, timeout: Millis
) -> Acceptance:
    """Wait until every router has acknowledged a revision."""
    until = clock.now() + timeout
    while True:
        listing = await store.list([ROUTER_KIND])
        waiting = tuple(
            item.name for item in listing.items if _read_revision(item) < revision
        )
        if not waiting or clock.now() >= until:
            return Acceptance(revision, waiting)
        await asyncio.sleep(_POLL / SECOND)


def _read_revision(item: Stored) -> int:
    """Return what a router has in force; none for a record that can't be read."""
    try:
        return decode(Member, item.body).revision
    except AnvilshiftError:
        return -1


async def read_fleet(store: ObjectStore) -> list[dict[str, Any]]:
    """Return what each router's record says, and how far it is behind."""
    listing = await store.list([ROUTER_KIND, *KINDS])
    declared = [i.version for i in listing.items if i.kind != ROUTER_KIND]
    newest = max(declared, default=0)
    rows = []
    for item in sorted(listing.items, key=lambda item: item.name):
        if item.kind == ROUTER_KIND:
            in_force = _read_revision(item) >= newest
            rows.append({**item.body, "name": item.name, "newest_in_force": in_force})
    return rows


async def forget_router(store: ObjectStore, name: str) -> bool:
    """Remove a router's record; False when there is none."""
    found = await store.get(ROUTER_KIND, name)
    if found is None:
        return False
    await store.delete(ROUTER_KIND, name, found.version)
    return True


async def top_up(store: ObjectStore, budget: str, tokens: int, identity: str) -> int:
    """Add prepaid tokens to a budget once; return its total."""
    return await ledgers.top_up(store, budget, identity, tokens)


async def read_usage(store: ObjectStore) -> dict[str, dict[str, Any]]:
    """Return what each budget has, has spent and has handed out."""
    return {
        name: {
            "total": account.total,
            "spent": account.spent,
            "held": account.held,
            "in_doubt": account.doubt,
            "free": account.free,
            "by_organisation": dict(account.usage),
        }
        for name, account in (await ledgers.read_accounts(store)).items()
    }
