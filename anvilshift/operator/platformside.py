"""Operator actions on the platform: declarations, router records, budgets."""

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
_POLL_INTERVAL: Millis = 100.0


@dataclass(frozen=True)
class Difference:
    """A change that makes the stored declaration equal to the given one.

    Parameters
    ----------
    change
        ``create``, ``change`` or ``delete``.
    version
        Version of the stored declaration; 0 if there is none.
    """

    kind: str
    name: str
    change: str
    version: int = 0


@dataclass(frozen=True)
class Acceptance:
    """Whether a revision is in force on every router.

    Parameters
    ----------
    waiting
        Routers that have not acknowledged the revision yet.
    """

    revision: int
    waiting: tuple[str, ...]

    @property
    def accepted(self) -> bool:
        """Whether the revision is in force on every router that has a record."""
        return not self.waiting


async def read_stored(store: ObjectStore) -> dict[tuple[str, str], Stored]:
    """Return every stored declaration by kind and name."""
    listing = await store.list(KINDS)
    return {(item.kind, item.name): item for item in listing.items}


def compare(
    documents: Documents, stored: Mapping[tuple[str, str], Stored], prune: bool
) -> list[Difference]:
    """Return the changes that applying the documents would make.

    Parameters
    ----------
    prune
        Whether stored declarations that are not among the documents are deleted.
    """
    differences = []
    for key, body in documents.items():
        current = stored.get(key)
        if current is None:
            differences.append(Difference(*key, "create"))
        elif current.body != body:
            differences.append(Difference(*key, "change", current.version))
    if prune:
        absent = [item for key, item in stored.items() if key not in documents]
        differences += [Difference(i.kind, i.name, "delete", i.version) for i in absent]
    return differences


async def write_differences(
    store: ObjectStore, documents: Documents, differences: list[Difference]
) -> tuple[int, list[Difference]]:
    """Write each difference, on condition that the compared version is still stored.

    Returns
    -------
    tuple
        The newest revision written; if nothing was written, the platform's
        current revision, so that applying again still waits for changes stored
        by an earlier run; and the differences that conflicted with a concurrent
        write by another operator, which is not overwritten.
    """
    newest = 0
    conflicting = []
    for item in differences:
        try:
            if item.change == "delete":
                deletion_revision = await store.delete(
                    item.kind, item.name, item.version
                )
                newest = max(newest, deletion_revision)
                continue
            body = documents[item.kind, item.name]
            written = await store.put(item.kind, item.name, body, item.version)
            newest = max(newest, written.version)
        except ConflictError:
            conflicting.append(item)
    if not newest:
        newest = (await store.list([])).revision
    return newest, conflicting


async def wait_accepted(
    store: ObjectStore, clock: Clock, revision: int, timeout: Millis
) -> Acceptance:
    """Poll until every router has acknowledged a revision or the timeout expires."""
    deadline = clock.now() + timeout
    while True:
        listing = await store.list([ROUTER_KIND])
        waiting = tuple(
            item.name for item in listing.items if _read_revision(item) < revision
        )
        if not waiting or clock.now() >= deadline:
            return Acceptance(revision, waiting)
        await asyncio.sleep(_POLL_INTERVAL / SECOND)


def _read_revision(item: Stored) -> int:
    """Return the revision in force on a router, or -1 if its record is unreadable."""
    try:
        return decode(Member, item.body).revision
    except AnvilshiftError:
        return -1


async def read_fleet(store: ObjectStore) -> list[dict[str, Any]]:
    """Return each router's record and whether the newest declarations are in force."""
    listing = await store.list([ROUTER_KIND, *KINDS])
    declared = [i.version for i in listing.items if i.kind != ROUTER_KIND]
    newest = max(declared, default=0)
    rows = []
    for item in sorted(listing.items, key=lambda item: item.name):
        if item.kind == ROUTER_KIND:
            in_force = _read_revision(item) >= newest
            rows.append({**item.body, "name": item.name, "newest_in_force": in_force})
    return rows


async def delete_router_record(store: ObjectStore, name: str) -> bool:
    """Delete a router's record; return False if it has none."""
    found = await store.get(ROUTER_KIND, name)
    if found is None:
        return False
    await store.delete(ROUTER_KIND, name, found.version)
    return True


async def top_up(store: ObjectStore, budget: str, tokens: int, identity: str) -> int:
    """Add prepaid tokens to a budget once per identity; return its total."""
    return await ledgers.top_up(store, budget, identity, tokens)


async def read_usage(store: ObjectStore) -> dict[str, dict[str, Any]]:
    """Return the total, spent, held, in-doubt and free tokens of each budget."""
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
