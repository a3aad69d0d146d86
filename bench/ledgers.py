"""Measure the cost of ledgers and purses by size, in one process."""

from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, Commit, Draw, Grant, Ledger, Outcome
from anvilshift.objects.records import decode, encode
from anvilshift.wire.jsons import dump_json
from bench.gauges import measure_bytes, time_micros

_BILLS_PER_COMMIT = 4
_BILLS_PER_SETUP_COMMIT = 100


def make_ledger(accounts: int, holders: int = 1, bills: int = 0) -> Ledger:
    """Return a ledger whose accounts each have some grants and stored bills."""
    parts = {}
    names = {}
    for index in range(accounts):
        one = Ledger().top_up("budget", "invoice-2026-12", 10_000_000)
        for holder in range(holders):
            draw = Commit(_holder(holder), (), {"budget": Draw(20_000, 2_000)})
            one = one.apply(draw)[0]
        for begin in range(0, bills, _BILLS_PER_SETUP_COMMIT):
            group = range(begin, min(bills, begin + _BILLS_PER_SETUP_COMMIT))
            made = tuple(("budget", _make_bill(f"{index:016x}{n:016x}")) for n in group)
            one = one.apply(Commit(_holder(0), made))[0]
        parts[f"budget-{index:05}"] = one.account("budget")
        names.update(one.holders)
    return Ledger(parts, names)


def _holder(number: int) -> str:
    return f"router-{number:04}-0123456789ab"


def _make_bill(key: str) -> Bill:
    return Bill(key, "organisation-001", 1, _holder(0), at=1)


def _commit_once(ledger: Ledger) -> None:
    account = next(iter(ledger.accounts))
    bills = tuple((account, _make_bill(f"new-{n}")) for n in range(_BILLS_PER_COMMIT))
    read = decode(Ledger, encode(ledger))
    dump_json(encode(read.apply(Commit(_holder(0), bills))[0]))


def commit_by_accounts(size: int) -> float:
    """Return microseconds of a group commit, by accounts in the ledger object."""
    ledger = make_ledger(size)
    return time_micros(lambda: _commit_once(ledger))


def commit_by_bills(size: int) -> float:
    """Return microseconds of a group commit, by bills stored in one account."""
    ledger = make_ledger(1, bills=size)
    return time_micros(lambda: _commit_once(ledger))


def weigh_by_accounts(size: int) -> float:
    """Return the encoded size of the ledger object in bytes, by accounts."""
    return float(len(dump_json(encode(make_ledger(size)))))


def measure_account_by_holders(size: int) -> float:
    """Return the encoded size of one account in bytes, by routers with a grant."""
    return float(len(dump_json(encode(make_ledger(1, holders=size)))))


def measure_account_by_bills(size: int) -> float:
    """Return the encoded size of one account in bytes, by stored bills."""
    return float(len(dump_json(encode(make_ledger(1, bills=size)))))


def make_escrow(size: int) -> Escrow:
    """Return the escrow of a router that has a funded purse for each budget."""
    escrow = Escrow("router-0000-0123456789ab")
    for index in range(size):
        escrow.open(f"budget-{index:05}", 2_000, 20_000)
    commit = escrow.begin_commit()
    grants = {name: Grant(20_000, 0, 2_000) for name in commit.draws}
    escrow.finish_commit(commit, Outcome(grants=grants))
    return escrow


def begin_commit(size: int) -> float:
    """Return microseconds to begin a commit, by purses that a router holds."""
    escrow = make_escrow(size)
    return time_micros(lambda: escrow.begin_commit())


def measure_escrow_bytes(size: int) -> float:
    """Return the memory of a router's purses in bytes."""
    return measure_bytes(lambda: make_escrow(size))
