"""Ledgers stored as objects of the platform.

Accounts are sharded over a number of ledger objects.  The number is stored once
and never changes: routers with different numbers would keep two accounts of the
same budget.
"""

import zlib
from collections.abc import Callable

from anvilshift.core.ledger import Account, Ledger
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import Body, ObjectStore, update

LEDGER_KIND = "Ledger"
LEDGER_NAME = "main"
LAYOUT_KIND = "LedgerLayout"
DEFAULT_SHARDS = 1
"""With five routers, contention on one object costs less than the additional write
per round that a second object costs each router (bench/budgets.py)."""


def ledger_name(account: str, shards: int) -> str:
    """Return the name of the ledger object that holds an account.

    Examples
    --------
    >>> ledger_name("kosice", 1), ledger_name("kosice", 8)
    ('main', 'main-0')
    """
    if shards == 1:
        return LEDGER_NAME
    return f"{LEDGER_NAME}-{zlib.crc32(account.encode()) % shards}"


def list_names(shards: int) -> list[str]:
    """Return the names of all ledger objects."""
    if shards == 1:
        return [LEDGER_NAME]
    return [f"{LEDGER_NAME}-{number}" for number in range(shards)]


async def read_shards(store: ObjectStore, default: int = DEFAULT_SHARDS) -> int:
    """Return the number of ledger objects; the first caller stores the default."""
    stored = await update(
        store,
        LAYOUT_KIND,
        LEDGER_NAME,
        lambda body: None if body else {"shards": default},
    )
    return int(stored.body["shards"])


def read_body(body: Body | None) -> Ledger:
    """Return the ledger in an object's body; an empty ledger without a body."""
    return decode(Ledger, body) if body else Ledger()


def change_body(change: Callable[[Ledger], Ledger]) -> Callable[[Body | None], Body]:
    """Return a function that applies a change of a ledger to an object's body."""
    return lambda body: encode(change(read_body(body)))


async def top_up(store: ObjectStore, account: str, identity: str, tokens: int) -> int:
    """Add prepaid tokens to an account, once for each identity; return its total."""
    name = ledger_name(account, await read_shards(store))
    change = change_body(lambda ledger: ledger.top_up(account, identity, tokens))
    stored = await update(store, LEDGER_KIND, name, change)
    return read_body(stored.body).account(account).total


async def read_accounts(store: ObjectStore) -> dict[str, Account]:
    """Return all accounts of all ledger objects, sorted by name."""
    accounts: dict[str, Account] = {}
    for item in (await store.list([LEDGER_KIND])).items:
        accounts.update(read_body(item.body).accounts)
    return dict(sorted(accounts.items()))
