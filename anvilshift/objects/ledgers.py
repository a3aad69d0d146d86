"""Find, read and change the ledgers among the platform's objects.

Accounts are spread over a number of objects that is stored once and never
changes: two routers that counted differently would keep two accounts of one
budget.
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
"""One object: with five routers its contention costs less than the second
write a round that a second object would cost each router (bench/budgets.py)."""


def ledger_name(account: str, shards: int) -> str:
    """Return the name of the object that keeps an account.

    Examples
    --------
    >>> ledger_name("kosice", 1), ledger_name("kosice", 8)
    ('main', 'main-0')
    """
    if shards == 1:
        return LEDGER_NAME
    return f"{LEDGER_NAME}-{zlib.crc32(account.encode()) % shards}"


def list_names(shards: int) -> list[str]:
    """Return the names of every ledger object."""
    if shards == 1:
        return [LEDGER_NAME]
    return [f"{LEDGER_NAME}-{number}" for number in range(shards)]


async def read_shards(store: ObjectStore, default: int = DEFAULT_SHARDS) -> int:
    """Return the number of ledger objects, stored by whoever asks first."""
    stored = await update(
        store,
        LAYOUT_KIND,
        LEDGER_NAME,
        lambda body: None if body else {"shards": default},
    )
    return int(stored.body["shards"])


def read_body(body: Body | None) -> Ledger:
    """Return the ledger that a body holds; none is an empty one."""
    return decode(Ledger, body) if body else Ledger()


def change_body(change: Callable[[Ledger], Ledger]) -> Callable[[Body | None], Body]:
    """Return a change of a ledger as a change of its body."""
    return lambda body: encode(change(read_body(body)))


async def top_up(store: ObjectStore, account: str, identity: str, tokens: int) -> int:
    """Add prepaid tokens to an account once; return its total."""
    name = ledger_name(account, await read_shards(store))
    change = change_body(lambda ledger: ledger.top_up(account, identity, tokens))
    stored = await update(store, LEDGER_KIND, name, change)
    return read_body(stored.body).account(account).total


async def read_accounts(store: ObjectStore) -> dict[str, Account]:
    """Return every account."""
    accounts: dict[str, Account] = {}
    for item in (await store.list([LEDGER_KIND])).items:
        accounts.update(read_body(item.body).accounts)
    return dict(sorted(accounts.items()))
