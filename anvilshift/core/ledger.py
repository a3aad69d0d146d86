"""The ledger: what the platform keeps of budgets, grants and bills.

One ledger object holds many accounts and changes by conditional update only.
Tokens of an account are in exactly one place:

    topped up = spent + held by open grants + in doubt + free

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
from enum import Enum

from anvilshift.core.errors import check_invariant


@dataclass(frozen=True)
class Grant:
    """Tokens that one holder may spend from one account.

    Parameters
    ----------
    drawn
        Tokens handed to the holder in all, less those it gave back.
    billed
        Tokens of its recorded bills.
    allowance
        Tokens that the holder may bill before they are recorded.
    doubt
        Tokens of a sealed holder that it may have billed unseen.
    """

    drawn: int = 0
    billed: int = 0
    allowance: int = 0
    doubt: int = 0
    sealed: bool = False

    @property
    def held(self) -> int:
        """Return the tokens that the holder may still spend."""
        return 0 if self.sealed else self.drawn - self.billed

    def seal(self) -> "Grant":
        """Return the grant closed: the allowance in doubt, the rest let go."""
        if self.sealed:
            return self
        return replace(self, sealed=True, doubt=min(self.allowance, self.held))


@dataclass(frozen=True)
class Bill:
    """What one request of an organisation cost.

    Parameters
    ----------
    key
        The request, unique within the account: a digest of organisation and
        request id.
    at
        Wall-clock seconds when it was recorded, for forgetting old keys.
    """

    key: str
    organisation: str
    tokens: int
    holder: str
    at: int = 0


@dataclass(frozen=True)
class Account:
    """The state of one budget."""

    topups: Mapping[str, int] = field(default_factory=dict)
    spent: int = 0
    grants: Mapping[str, Grant] = field(default_factory=dict)
    bills: Mapping[str, Bill] = field(default_factory=dict)
    usage: Mapping[str, int] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Return the tokens topped up."""
        return sum(self.topups.values())

    @property
    def held(self) -> int:
        """Return the tokens in open grants."""
        return sum(grant.held for grant in self.grants.values())

    @property
    def doubt(self) -> int:
        """Return the tokens that sealed holders may have billed unseen."""
        return sum(grant.doubt for grant in self.grants.values())

    @property
    def free(self) -> int:
        """Return the tokens that can be drawn."""
        return self.total - self.spent - self.held - self.doubt

    def check(self) -> "Account":
        """Return the account, after asserting that nothing is overspent."""
        check_invariant(self.spent >= 0, "an account spent a negative amount")
        check_invariant(self.free >= 0, "an account has handed out more than it has")
        return self


class BillState(Enum):
    """What became of a bill in a commit."""

    RECORDED = "recorded"
    DUPLICATE = "duplicate"
    REFUSED = "refused"


@dataclass(frozen=True)
class Draw:
    """A holder's wish to change its grant of one account.

    Parameters
    ----------
    want
        Tokens that the holder wants to hold after its bills are recorded.  A
        level and not a difference, so that applying it twice draws once.
    allowance
        Allowance of the grant from now on.
    least
        Fewest tokens that are of use; less than that leaves the grant as it is.
    """

    want: int
    allowance: int
    least: int = 0


@dataclass(frozen=True)
class Commit:
    """One group of bills and draws of one holder."""

    holder: str
    bills: tuple[tuple[str, Bill], ...] = ()
    draws: Mapping[str, Draw] = field(default_factory=dict)


@dataclass(frozen=True)
class Outcome:
    """What a commit did.

    Parameters
    ----------
    sealed
        Whether the holder was sealed, so that nothing was done.
    bills
        By account and key, what became of each bill.
    grants
        By account, the holder's grant after the commit.
    """

    sealed: bool = False
    bills: Mapping[tuple[str, str], BillState] = field(default_factory=dict)
    grants: Mapping[str, Grant] = field(default_factory=dict)


@dataclass(frozen=True)
class Ledger:
    """Accounts that share one object of the platform."""

    accounts: Mapping[str, Account] = field(default_factory=dict)
    sealed: frozenset[str] = frozenset()

    def account(self, name: str) -> Account:
        """Return an account; one that nobody topped up is empty."""
        return self.accounts.get(name, Account())

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
        if commit.holder in self.sealed:
            return self, Outcome(sealed=True)
        accounts = dict(self.accounts)
        states: dict[tuple[str, str], BillState] = {}
        for name, bill in commit.bills:
            account = accounts.get(name, Account())
            accounts[name], states[name, bill.key] = _record(account, bill)
        for name, draw in commit.draws.items():
            account = accounts.get(name, Account())
            accounts[name] = _draw(account, commit.holder, draw)
        touched = {name for name, _ in commit.bills} | set(commit.draws)
        grants = {n: accounts[n].grants.get(commit.holder, Grant()) for n in touched}
        return replace(self, accounts=accounts), Outcome(False, states, grants)

    def seal(self, holder: str) -> "Ledger":
        """Return the ledger with a lost holder closed for good.

        Examples
        --------
        >>> ledger = Ledger().top_up("pounds", "invoice-1", 500)
        >>> draw = Commit("r1", draws={"pounds": Draw(want=300, allowance=100)})
        >>> account = ledger.apply(draw)[0].seal("r1").account("pounds")
        >>> account.doubt, account.free
        (100, 400)
        """
        if holder in self.sealed:
            return self
        accounts = {}
        for name, account in self.accounts.items():
            if holder not in account.grants:
                continue
            grants = {**account.grants, holder: account.grants[holder].seal()}
            accounts[name] = replace(account, grants=grants).check()
        return replace(self._with(accounts), sealed=self.sealed | {holder})

    def hand_in(
        self, holder: str, bills: tuple[tuple[str, Bill], ...]
    ) -> tuple["Ledger", Mapping[tuple[str, str], BillState]]:
        """Record late bills of a sealed holder against what is in doubt."""
        ledger = self
        states: dict[tuple[str, str], BillState] = {}
        for name, bill in bills:
            account = ledger.account(name)
            grant = account.grants.get(holder, Grant())
            if bill.key in account.bills:
                states[name, bill.key] = _judge_repeat(account, bill)
                continue
            if not grant.sealed or bill.tokens > grant.doubt:
                states[name, bill.key] = BillState.REFUSED
                continue
            grant = replace(
                grant,
                doubt=grant.doubt - bill.tokens,
                billed=grant.billed + bill.tokens,
            )
            account = _add_bill(account, bill, grant)
            ledger = ledger._with({name: account})
            states[name, bill.key] = BillState.RECORDED
        return ledger, states

    def forget(self, before: int) -> "Ledger":
        """Return the ledger without the keys of bills recorded before an instant.

        The tokens stay counted; only a request that is sent again after its
        stated lifetime could no longer be recognised.
        """
        accounts = {}
        for name, account in self.accounts.items():
            kept = {k: bill for k, bill in account.bills.items() if bill.at >= before}
            if len(kept) < len(account.bills):
                accounts[name] = replace(account, bills=kept)
        return self._with(accounts) if accounts else self


def _judge_repeat(account: Account, bill: Bill) -> BillState:
    # A commit whose answer was lost is applied again: the holder's own bill is
    # there already and is no duplicate of another router's.
    recorded = account.bills[bill.key]
    mine = recorded.holder == bill.holder and recorded.tokens == bill.tokens
    return BillState.RECORDED if mine else BillState.DUPLICATE


def _record(account: Account, bill: Bill) -> tuple[Account, BillState]:
    if bill.key in account.bills:
        return account, _judge_repeat(account, bill)
    grant = account.grants.get(bill.holder, Grant())
    if bill.tokens > grant.held:
        return account, BillState.REFUSED
    grant = replace(grant, billed=grant.billed + bill.tokens)
    return _add_bill(account, bill, grant), BillState.RECORDED


def _add_bill(account: Account, bill: Bill, grant: Grant) -> Account:
    usage = dict(account.usage)
    usage[bill.organisation] = usage.get(bill.organisation, 0) + bill.tokens
    return replace(
        account,
        spent=account.spent + bill.tokens,
        grants={**account.grants, bill.holder: grant},
        bills={**account.bills, bill.key: bill},
        usage=usage,
    ).check()


def _draw(account: Account, holder: str, draw: Draw) -> Account:
    grant = account.grants.get(holder, Grant())
    change = min(draw.want - grant.held, account.free)
    if change > 0 and grant.held + change < draw.least:
        change = 0
    drawn = replace(grant, drawn=grant.drawn + change, allowance=draw.allowance)
    return replace(account, grants={**account.grants, holder: drawn}).check()
