"""The ledger: what the platform keeps of budgets, grants and bills.

One ledger object holds many accounts and changes by conditional update only.

A *holder* is one incarnation of a router.  It spends from its grant locally
and records its bills here in groups.  Whoever finds a holder lost *seals* it:
from then on the holder's own commits fail, so nothing depends on clocks.  What
the holder may have billed unseen, its allowance, stays in doubt; the rest of
its grant is free again in the same update.

Every operation here may be applied again without effect, because an answer of
the platform can be lost after the write took effect.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.account import (
    Account,
    Bill,
    BillState,
    Draw,
    Grant,
    make_mark,
)
from anvilshift.core.errors import InvariantError

__all__ = [
    "Account",
    "Bill",
    "BillState",
    "Commit",
    "Draw",
    "Grant",
    "Ledger",
    "Outcome",
]

MAX_MARKS = 600_000
"""Characters of bill marks in one ledger, well under the megabyte that the
platform holds: a ledger too large to write would stop every budget in it."""

_REFUSED = BillState.REFUSED

BillKey = tuple[str, str]
"""The account and the key of a bill."""


@dataclass(frozen=True)
class Holder:
    """What the ledger knows of a holder.

    Parameters
    ----------
    sealed_at
        Wall-clock second at which it was sealed; 0 while it is open.
    last
        Number of its newest commit.  Every commit lists every bill that waits,
        so a bill made before that commit began is judged, even when its mark
        is forgotten: a router cut off for longer than marks are kept would
        bill again what it had recorded by a commit whose answer was lost.
    refused
        Keys of the bills that its newest commit refused.
    late
        Marks of the bills handed in after it was sealed.  They are kept as
        long as the holder: whoever has copies may hand them in again after an
        outage longer than other marks are kept.
    """

    sealed_at: int = 0
    last: int = 0
    refused: tuple[str, ...] = ()
    late: tuple[str, ...] = ()

    def judge(self, bill: Bill) -> BillState | None:
        """Return what became of a bill in an earlier commit; None is unknown."""
        if make_mark(bill.key) in self.late:
            return BillState.RECORDED
        if bill.after >= self.last:
            return None
        return BillState.REFUSED if bill.key in self.refused else BillState.RECORDED


@dataclass(frozen=True)
class Commit:
    """One group of bills and draws of one holder.

    Parameters
    ----------
    number
        How many commits the holder has begun, this one included.
    joined
        Whether the holder knows that an earlier commit of its took effect.  A
        holder that has joined and isn't in the ledger was sealed and
        forgotten; one that hasn't may be new.
    closing
        Whether the holder gives everything back and ends.
    """

    holder: str
    bills: tuple[tuple[str, Bill], ...] = ()
    draws: Mapping[str, Draw] = field(default_factory=dict)
    joined: bool = False
    closing: bool = False
    number: int = 0

    @property
    def touched(self) -> list[str]:
        """Return the accounts that the commit changes, in a fixed order."""
        return sorted({name for name, _ in self.bills} | set(self.draws))


@dataclass(frozen=True)
class Outcome:
    """What a commit did.

    Parameters
    ----------
    sealed
        Whether the holder was sealed, so that nothing was done.
    bills
        By account and key, what became of each bill; of a sealed holder, of
        those that an earlier commit recorded or refused.
    grants
        By account, the holder's grant after the commit.
    free
        By account, the tokens that can be drawn.
    elsewhere
        By account, the tokens in other holders' open grants.
    frozen
        Accounts whose figures are impossible; the commit left them alone.
    """

    sealed: bool = False
    bills: Mapping[BillKey, BillState] = field(default_factory=dict)
    grants: Mapping[str, Grant] = field(default_factory=dict)
    free: Mapping[str, int] = field(default_factory=dict)
    elsewhere: Mapping[str, int] = field(default_factory=dict)
    frozen: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Ledger:
    """Accounts that share one object of the platform.

    Parameters
    ----------
    holders
        By name, the holders that are open and those sealed of late.
    """

    accounts: Mapping[str, Account] = field(default_factory=dict)
    holders: Mapping[str, Holder] = field(default_factory=dict)

    def account(self, name: str) -> Account:
        """Return an account; one that nobody topped up is empty."""
        return self.accounts.get(name, Account())

    def is_sealed(self, holder: str) -> bool:
        """Tell whether a holder is known to be sealed."""
        return self.holders.get(holder, Holder()).sealed_at > 0

    def list_open(self) -> list[str]:
        """Return the holders that may still commit."""
        return [name for name, one in self.holders.items() if not one.sealed_at]

    def list_sealed(self, before: int) -> list[str]:
        """Return the holders sealed before an instant and not forgotten."""
        return [n for n, one in self.holders.items() if 0 < one.sealed_at < before]

    def list_witnesses(self, holder: str) -> set[str]:
        """Return the witnesses of a holder's grants that have tokens in doubt."""
        grants = [account.grant(holder) for account in self.accounts.values()]
        return {grant.witness for grant in grants if grant.doubt}

    def _with(self, changed: Mapping[str, Account]) -> "Ledger":
        return replace(self, accounts={**self.accounts, **changed})

    def top_up(self, account: str, identity: str, tokens: int) -> "Ledger":
        """Return the ledger with a top-up, which its id makes idempotent.

        Examples
        --------
        >>> ledger = Ledger().top_up("pounds", "invoice-1", 500)
        >>> ledger.top_up("pounds", "invoice-1", 500).account("pounds").free
        500
        """
        old = self.account(account)
        if identity in old.topups:
            return self
        topups = {**old.topups, identity: tokens}
        return self._with({account: replace(old, topups=topups).check()})

    def apply(self, commit: Commit) -> tuple["Ledger", Outcome]:
        """Return the ledger with a holder's commit, and what it did.

        Examples
        --------
        >>> ledger = Ledger().top_up("pounds", "invoice-1", 500)
        >>> draw = Commit("r1", draws={"pounds": Draw(want=300, allowance=100)})
        >>> ledger, outcome = ledger.apply(draw)
        >>> outcome.grants["pounds"].held, ledger.account("pounds").free
        (300, 200)
        """
        holder = commit.holder
        if self.is_sealed(holder) or (commit.joined and holder not in self.holders):
            return self, Outcome(True, self._judge(holder, commit.bills))
        changed: dict[str, Account] = {}
        states: dict[BillKey, BillState] = {}
        frozen = set()
        for name in commit.touched:
            try:
                account, found = self._apply_one(name, commit)
            except InvariantError:
                frozen.add(name)
                continue
            changed[name] = account
            states.update(found)
        refused = tuple(k for (_, k), s in states.items() if s is BillState.REFUSED)
        holders = {**self.holders, holder: Holder(0, commit.number, refused)}
        ledger = replace(self._with(changed), holders=holders)
        outcome = Outcome(
            bills=states,
            grants={name: a.grant(holder) for name, a in changed.items()},
            free={name: a.free for name, a in changed.items()},
            elsewhere={n: a.held - a.grant(holder).held for n, a in changed.items()},
            frozen=frozenset(frozen),
        )
        return (ledger._close(holder) if commit.closing else ledger), outcome

    def _judge(
        self, holder: str, bills: tuple[tuple[str, Bill], ...]
    ) -> dict[BillKey, BillState]:
        known = self.holders.get(holder, Holder())
        states = {(name, bill.key): known.judge(bill) for name, bill in bills}
        return {key: state for key, state in states.items() if state}

    def _apply_one(
        self, name: str, commit: Commit
    ) -> tuple[Account, dict[BillKey, BillState]]:
        account = self.account(name)
        bills = tuple((owner, bill) for owner, bill in commit.bills if owner == name)
        states = self._judge(commit.holder, bills)
        for _, bill in bills:
            if (name, bill.key) not in states:
                account, states[name, bill.key] = account.record(bill)
        draw = commit.draws.get(name)
        if draw is not None:
            account = account.draw(commit.holder, draw)
        return account.check(), states

    def _close(self, holder: str) -> "Ledger":
        gone = {holder}
        accounts = {n: a.without_grants(gone) for n, a in self.accounts.items()}
        holders = {name: o for name, o in self.holders.items() if name != holder}
        return Ledger(accounts, holders)

    def seal(self, holder: str, at: int = 1) -> "Ledger":
        """Return the ledger with a lost holder closed for good.

        Examples
        --------
        >>> ledger = Ledger().top_up("pounds", "invoice-1", 500)
        >>> draw = Commit("r1", draws={"pounds": Draw(want=300, allowance=100)})
        >>> account = ledger.apply(draw)[0].seal("r1").account("pounds")
        >>> account.doubt, account.free
        (100, 400)
        """
        known = self.holders.get(holder)
        if known is None or known.sealed_at:
            return self
        accounts = {
            name: account.with_grant(holder, account.grants[holder].seal())
            for name, account in self.accounts.items()
            if holder in account.grants
        }
        sealed = replace(known, sealed_at=max(1, at))
        holders = {**self.holders, holder: sealed}
        return replace(self._with(accounts), holders=holders)

    def hand_in(
        self, holder: str, bills: tuple[tuple[str, Bill], ...], closer: str = ""
    ) -> tuple["Ledger", Mapping[BillKey, BillState]]:
        """Record late bills of a sealed holder against what is in doubt.

        Parameters
        ----------
        closer
            Who vouches that these are all the bills that the holder may have
            billed unseen: the holder itself, or its grant's witness, which
            takes no more copies.  What stays in doubt there is free again.
        """
        accounts = dict(self.accounts)
        states = self._judge(holder, bills)
        for name, bill in bills:
            if (name, bill.key) in states:
                continue
            late = replace(bill, holder=holder)
            account = accounts.get(name, Account())
            accounts[name], states[name, bill.key] = account.record_late(late)
        holders = self._note_late(holder, states)
        for name, account in accounts.items():
            grant = account.grant(holder)
            if grant.doubt and closer and closer in (holder, grant.witness):
                accounts[name] = account.with_grant(holder, replace(grant, doubt=0))
        return Ledger(accounts, holders), states

    def _note_late(
        self, holder: str, states: Mapping[BillKey, BillState]
    ) -> Mapping[str, Holder]:
        known = self.holders.get(holder)
        kept = [make_mark(k) for (_, k), s in states.items() if s is not _REFUSED]
        new = tuple(mark for mark in kept if known and mark not in known.late)
        if not known or not new:
            return self.holders
        return {**self.holders, holder: replace(known, late=known.late + new)}

    def forget(self, marks_before: int, holders_before: int) -> "Ledger":
        """Return the ledger without what no longer matters.

        That is the marks of bills before an instant, and holders that were
        sealed before an instant and have nothing in doubt: such a holder's
        commit says that it had joined, which tells it from a new one.  The
        tokens stay counted.
        """
        accounts = {n: a.forget(marks_before) for n, a in self.accounts.items()}
        gone = set(self.list_sealed(holders_before))
        for account in accounts.values():
            gone -= {name for name, grant in account.grants.items() if grant.doubt}
        if gone:
            accounts = {n: a.without_grants(gone) for n, a in accounts.items()}
        holders = {name: o for name, o in self.holders.items() if name not in gone}
        return Ledger(_drop_oldest(accounts), holders)

    def write_off(self, holder: str) -> "Ledger":
        """Return the ledger without a sealed holder; its doubt counts as spent."""
        if not self.is_sealed(holder):
            return self
        accounts = {}
        for name, account in self.accounts.items():
            lost = account.written_off + account.grant(holder).doubt
            kept = {n: g for n, g in account.grants.items() if n != holder}
            accounts[name] = replace(account, grants=kept, written_off=lost).check()
        holders = {name: o for name, o in self.holders.items() if name != holder}
        return Ledger(accounts, holders)


def _drop_oldest(accounts: dict[str, Account]) -> dict[str, Account]:
    while sum(account.marks for account in accounts.values()) > MAX_MARKS:
        oldest = min(slot for a in accounts.values() for slot in map(int, a.recent))
        accounts = {
            name: replace(
                account,
                recent={s: m for s, m in account.recent.items() if int(s) != oldest},
            )
            for name, account in accounts.items()
        }
    return accounts
