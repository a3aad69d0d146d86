"""The ledger: budgets, grants and bills as the platform stores them.

One ledger object contains many accounts and changes only by conditional update.

A *holder* is one incarnation of a router.  It spends from its grant locally
and records its bills in the ledger in groups.  A router that finds a holder
lost *seals* it: all later commits of the holder fail, so safety depends on no
clock.  The holder's allowance, which it may have billed without recording it,
stays in doubt; the rest of its grant becomes free in the same update.

Every operation is idempotent, because the response of the platform can be lost
after the write took effect.
"""

import contextlib
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.account import Account, Bill, BillState, Draw, make_mark
from anvilshift.core.commit import BillKey, Commit, Outcome
from anvilshift.core.errors import InvariantError
from anvilshift.core.grant import Grant, Reservation, ReservationList
from anvilshift.core.markages import Slot

__all__ = [
    "Account",
    "Bill",
    "BillKey",
    "BillState",
    "Commit",
    "Draw",
    "Grant",
    "Ledger",
    "Outcome",
    "Reservation",
    "ReservationList",
]

MAX_MARKS = 600_000
"""Maximum characters of bill marks in one ledger, well below the platform's limit
of one megabyte per value: a ledger too large to write would block every budget in
it."""

_REFUSED = BillState.REFUSED


@dataclass(frozen=True)
class Holder:
    """The ledger's entry for a holder.

    Parameters
    ----------
    sealed_at
        Wall-clock time in seconds at which it was sealed; 0 while it is open.
    last
        Number of its newest commit.  Every commit lists all pending bills, so
        the state of a bill made before that commit began is decided, even when
        its mark has been dropped.  Without this, a router cut off for longer
        than marks are kept would bill again what it had recorded by a commit
        whose response was lost.
    refused
        Keys of the bills that its newest commit refused.
    skipped
        Keys of the bills that a commit listed and left out, because their account was
        frozen.  They are neither recorded nor refused.
    late
        Marks of the bills submitted after it was sealed.  They are kept as long
        as the entry: a router with copies may submit them again after an outage
        that outlasts the other marks.
    """

    sealed_at: int = 0
    last: int = 0
    refused: tuple[str, ...] = ()
    skipped: tuple[str, ...] = ()
    late: tuple[str, ...] = ()

    def find_state(self, bill: Bill) -> BillState | None:
        """Return the state of a bill from earlier commits; None if unknown."""
        if make_mark(bill.key) in self.late:
            return BillState.RECORDED
        if bill.after >= self.last or bill.key in self.skipped:
            return None
        return BillState.REFUSED if bill.key in self.refused else BillState.RECORDED


@dataclass(frozen=True)
class Ledger:
    """Accounts that are stored in one object of the platform.

    Parameters
    ----------
    holders
        Open and recently sealed holders, by name.
    """

    accounts: Mapping[str, Account] = field(default_factory=dict)
    holders: Mapping[str, Holder] = field(default_factory=dict)

    def account(self, name: str) -> Account:
        """Return an account; empty if it was never topped up."""
        return self.accounts.get(name, Account())

    def is_sealed(self, holder: str) -> bool:
        """Tell whether the ledger lists a holder as sealed."""
        return self.holders.get(holder, Holder()).sealed_at > 0

    def list_open(self) -> list[str]:
        """Return the holders that may still commit."""
        return [name for name, entry in self.holders.items() if not entry.sealed_at]

    def list_sealed(self, before: int | None = None) -> list[str]:
        """Return the listed holders that were sealed, or sealed before a time."""
        return [
            name
            for name, one in self.holders.items()
            if one.sealed_at > 0 and (before is None or one.sealed_at < before)
        ]

    def list_witnesses(self, holder: str) -> set[str]:
        """Return the witnesses of a holder's grants that have tokens in doubt."""
        grants = [account.grant(holder) for account in self.accounts.values()]
        return {grant.witness for grant in grants if grant.doubt}

    def has_reservations(self, holder: str) -> bool:
        """Tell whether fixed costs of a holder's requests are recorded."""
        accounts = self.accounts.values()
        return any(account.grant(holder).reservations for account in accounts)

    def _with_accounts(self, changed: Mapping[str, Account]) -> "Ledger":
        return replace(self, accounts={**self.accounts, **changed})

    def top_up(self, account: str, identity: str, tokens: int) -> "Ledger":
        """Return the ledger with a top-up applied; its id makes this idempotent.

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
        return self._with_accounts({account: replace(old, topups=topups).check()})

    def apply(self, commit: Commit) -> tuple["Ledger", Outcome]:
        """Return the ledger with a holder's commit applied, and the outcome.

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
            return self, Outcome(True, self._find_states(holder, commit.bills))
        changed: dict[str, Account] = {}
        states: dict[BillKey, BillState] = {}
        frozen = set()
        for name in commit.account_names:
            try:
                account, found = self._apply_to_account(name, commit)
            except InvariantError:
                frozen.add(name)
                continue
            changed[name] = account
            states.update(found)
        refused = tuple(k for (_, k), s in states.items() if s is BillState.REFUSED)
        skipped = self._list_skipped(commit, frozen)
        holders = {**self.holders, holder: Holder(0, commit.number, refused, skipped)}
        ledger = replace(self._with_accounts(changed), holders=holders)
        outcome = Outcome(
            bills=states,
            grants={name: a.grant(holder) for name, a in changed.items()},
            free={name: a.free for name, a in changed.items()},
            elsewhere={n: a.held - a.grant(holder).held for n, a in changed.items()},
            doubt={name: a.doubt - a.written_off for name, a in changed.items()},
            frozen=frozenset(frozen),
        )
        return (ledger._remove_holder(holder) if commit.closing else ledger), outcome

    def _list_skipped(self, commit: Commit, frozen: set[str]) -> tuple[str, ...]:
        # A holder that knows the account to be frozen doesn't list its bills again.
        before = self.holders.get(commit.holder, Holder()).skipped
        listed = {bill.key for _, bill in commit.bills}
        kept = tuple(key for key in before if key not in listed)
        return kept + tuple(bill.key for name, bill in commit.bills if name in frozen)

    def _find_states(
        self, holder: str, bills: tuple[tuple[str, Bill], ...]
    ) -> dict[BillKey, BillState]:
        if not bills:
            return {}
        known = self.holders.get(holder, Holder())
        states = {(name, bill.key): known.find_state(bill) for name, bill in bills}
        # A late bill of a lost router counts also for a router that runs the request
        # again, or that took it over, after the mark in the account is forgotten.
        late = {mark for other in self.holders.values() for mark in other.late}
        for name, bill in bills:
            if states[name, bill.key] is None and make_mark(bill.key) in late:
                states[name, bill.key] = BillState.DUPLICATE
        return {key: state for key, state in states.items() if state}

    def _apply_to_account(
        self, name: str, commit: Commit
    ) -> tuple[Account, dict[BillKey, BillState]]:
        account = self.account(name)
        bills = tuple((owner, bill) for owner, bill in commit.bills if owner == name)
        states = self._find_states(commit.holder, bills)
        for _, bill in bills:
            if (name, bill.key) not in states:
                account, states[name, bill.key] = account.record(bill)
        draw = commit.draws.get(name)
        if draw is not None:
            account = account.draw(commit.holder, draw)
        listed = commit.reservations.get(name)
        if listed is not None:
            account = account.record_reservations(commit.holder, listed)
        return account.check(), states

    def _remove_holder(self, holder: str) -> "Ledger":
        removed = {holder}
        accounts = {n: a.without_grants(removed) for n, a in self.accounts.items()}
        holders = {name: o for name, o in self.holders.items() if name != holder}
        return Ledger(accounts, holders)

    def seal(self, holder: str, at: int = 1) -> "Ledger":
        """Return the ledger with a lost holder sealed permanently.

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
        # An account that is invalid is sealed as well: sealing only frees tokens, and
        # it must not keep the grants in other accounts open.
        accounts = {
            name: replace(
                account,
                grants={**account.grants, holder: account.grants[holder].seal()},
            )
            for name, account in self.accounts.items()
            if holder in account.grants
        }
        sealed = replace(known, sealed_at=max(1, at))
        holders = {**self.holders, holder: sealed}
        return replace(self._with_accounts(accounts), holders=holders)

    def submit_late_bills(
        self, holder: str, bills: tuple[tuple[str, Bill], ...], attested_by: str = ""
    ) -> tuple["Ledger", Mapping[BillKey, BillState]]:
        """Record late bills of a sealed holder against its tokens in doubt.

        Parameters
        ----------
        attested_by
            Incarnation that asserts that no other unrecorded bills of the holder
            exist: the holder itself, or the witness of a grant, which accepts no
            more copies.  The remaining doubt of its grants is freed.
        """
        accounts = dict(self.accounts)
        states = self._find_states(holder, bills)
        for name, bill in bills:
            if (name, bill.key) in states:
                continue
            late = replace(bill, holder=holder)
            account = accounts.get(name, Account())
            accounts[name], states[name, bill.key] = account.record_late(late)
        holders = self._add_late_marks(holder, states)
        for name, account in accounts.items():
            grant = account.grant(holder)
            if grant.doubt and attested_by and attested_by in (holder, grant.witness):
                accounts[name] = account.with_grant(holder, grant.resolve())
        return Ledger(accounts, holders), states

    def bill_reservations(self, holder: str, at: int) -> "Ledger":
        """Return the ledger with the recorded fixed costs of a sealed holder billed.

        The holder may have completed these requests and can't be asked.  Their bills
        need nothing that only the holder knew.

        Parameters
        ----------
        at
            Wall-clock time in seconds, set as the time of the bills.

        Examples
        --------
        >>> ledger = Ledger().top_up("pounds", "invoice-1", 500)
        >>> listed = ReservationList({"request-1": Reservation("kosice", 60)}, need=60)
        >>> draws = {"pounds": Draw(want=300, allowance=100)}
        >>> commit = Commit("r1", draws=draws, reservations={"pounds": listed})
        >>> ledger = ledger.apply(commit)[0].seal("r1").bill_reservations("r1", at=1)
        >>> account = ledger.account("pounds")
        >>> account.spent, account.doubt, account.free
        (60, 40, 400)
        """
        known = self.holders.get(holder)
        if known is None or not known.sealed_at:
            return self
        ledger = self
        for name, account in self.accounts.items():
            reservations = account.grant(holder).reservations
            bills = tuple(
                (name, Bill(key, one.organisation, one.tokens, holder, at, known.last))
                for key, one in reservations.items()
            )
            # One account that is invalid must not keep those of others unbilled.
            with contextlib.suppress(InvariantError):
                ledger = ledger.submit_late_bills(holder, bills)[0]
                ledger = ledger._without_reservations(name, holder)
        return ledger

    def _without_reservations(self, name: str, holder: str) -> "Ledger":
        account = self.account(name)
        grant = account.grant(holder)
        if not grant.reservations:
            return self
        grant = replace(grant, reservations={})
        return self._with_accounts({name: account.with_grant(holder, grant)})

    def _add_late_marks(
        self, holder: str, states: Mapping[BillKey, BillState]
    ) -> Mapping[str, Holder]:
        known = self.holders.get(holder)
        marks = [make_mark(k) for (_, k), s in states.items() if s is not _REFUSED]
        new = tuple(mark for mark in marks if known and mark not in known.late)
        if not known or not new:
            return self.holders
        return {**self.holders, holder: replace(known, late=known.late + new)}

    def forget(
        self,
        marks_before: int,
        holders_before: int,
        recent: Collection[Slot] = frozenset(),
    ) -> "Ledger":
        """Return the ledger without old marks and old sealed holders.

        Drops the marks of bills made before `marks_before`, and the holders that
        were sealed before `holders_before` and have no tokens in doubt.  A later
        commit of such a holder says that it had joined, so it is not mistaken
        for a new holder.  The tokens of dropped marks and holders stay counted.

        Parameters
        ----------
        recent
            Slots whose marks are kept all the same, see `MarkAges`.
        """
        accounts = {
            name: account.forget(
                marks_before,
                {slot for slot in account.recent if (name, slot) in recent},
            )
            for name, account in self.accounts.items()
        }
        removed = set(self.list_sealed(holders_before))
        for account in accounts.values():
            removed -= {name for name, grant in account.grants.items() if grant.doubt}
        if removed:
            accounts = {n: a.without_grants(removed) for n, a in accounts.items()}
        holders = {name: o for name, o in self.holders.items() if name not in removed}
        return Ledger(_drop_oldest_marks(accounts), holders)

    def write_off(self, holder: str) -> "Ledger":
        """Return the ledger without a sealed holder, counting its doubt as spent."""
        if not self.is_sealed(holder):
            return self
        accounts = {}
        for name, account in self.accounts.items():
            lost = account.written_off + account.grant(holder).doubt
            kept = {n: g for n, g in account.grants.items() if n != holder}
            accounts[name] = replace(account, grants=kept, written_off=lost).check()
        holders = {name: o for name, o in self.holders.items() if name != holder}
        return Ledger(accounts, holders)


def _drop_oldest_marks(accounts: dict[str, Account]) -> dict[str, Account]:
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
