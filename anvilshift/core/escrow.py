"""A holder's side of its grants: reserve, bill, refill, give back.

The escrow answers the request path without a call to the platform.  A request
reserves the most it can cost; when it ends, its bill waits to be recorded and
the difference is free at once.
"""

from collections.abc import Mapping
from dataclasses import replace

from anvilshift.core.account import Bill, BillState, Draw
from anvilshift.core.clock import Millis
from anvilshift.core.errors import InvariantError
from anvilshift.core.ledger import BillKey, Commit, Outcome
from anvilshift.core.purse import Purse

Bills = tuple[tuple[str, Bill], ...]
"""Bills with the accounts that they belong to."""


class Escrow:
    """The grants of one holder in one ledger.

    Examples
    --------
    >>> from anvilshift.core.ledger import Grant
    >>> escrow = Escrow("r1")
    >>> escrow.open("pounds", allowance=100, level=300)
    >>> commit = escrow.begin_commit()
    >>> commit.draws["pounds"].want
    300
    >>> grant = Grant(drawn=300, allowance=100)
    >>> _ = escrow.finish_commit(commit, Outcome(grants={"pounds": grant}))
    >>> escrow.reserve("pounds", "request-1", 250)
    True
    >>> escrow.reserve("pounds", "request-2", 100)
    False
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.joined = False
        self.begun = 0
        self.witness = ""
        self.purses: dict[str, Purse] = {}

    def open(self, account: str, allowance: int, level: int) -> None:
        """Begin to hold tokens of an account, or change its figures."""
        purse = self.purses.setdefault(account, Purse(account, allowance, level))
        purse.allowance = allowance
        purse.level = level
        purse.witness = self.witness

    def choose_witness(self, witness: str) -> None:
        """Name the router that is to keep copies, from the next commit on."""
        self.witness = witness
        for purse in self.purses.values():
            purse.witness = witness

    def reserve(self, account: str, key: str, tokens: int, now: Millis = 0.0) -> bool:
        """Set tokens aside for a request; False when too few are held."""
        return self.purses[account].reserve(key, tokens, now)

    def release(self, account: str, key: str) -> None:
        """Give up a reservation of a request that costs nothing."""
        purse = self.purses[account]
        purse.reserved.pop(key, None)
        purse.waiting.pop(key, None)
        purse.carried.discard(key)

    def bill(self, account: str, bill: Bill) -> None:
        """Turn a reservation into a bill that waits to be recorded."""
        self.purses[account].bill(replace(bill, after=self.begun))

    def release_early(self, account: str, key: str) -> bool:
        """Tell whether an answer may end before its bill is recorded.

        Only within the allowance, which the ledger has counted beforehand: if
        this holder is lost now, sealing it leaves these tokens in doubt and
        hands them to nobody.
        """
        return self.purses[account].expose(key)

    def wants_commit(self, now: Millis = 0.0) -> bool:
        """Tell whether there is a bill to record or a grant to change."""
        return any(
            purse.needs_draw(now) or (purse.pending and not purse.frozen)
            for purse in self.purses.values()
        )

    def begin_commit(self, now: Millis = 0.0) -> Commit:
        """Return the commit that records what is pending and changes grants."""
        draws = {
            name: purse.draw(now)
            for name, purse in self.purses.items()
            if purse.needs_draw(now)
        }
        return self._make_commit(draws)

    def _make_commit(self, draws: Mapping[str, Draw], closing: bool = False) -> Commit:
        self.begun += 1
        bills = self._list_bills()
        return Commit(self.holder, bills, draws, self.joined, closing, self.begun)

    def _list_bills(self) -> Bills:
        return tuple(
            (name, bill)
            for name, purse in self.purses.items()
            for bill in purse.pending.values()
            if not purse.frozen
        )

    def finish_commit(
        self, commit: Commit, outcome: Outcome, now: Millis = 0.0
    ) -> Mapping[BillKey, BillState]:
        """Take in what a commit did; return what became of its bills."""
        self.joined = True
        for name, bill in commit.bills:
            if (name, bill.key) in outcome.bills:
                self._drop_bill(name, bill.key, outcome.bills[name, bill.key])
        for name, grant in outcome.grants.items():
            free = outcome.free.get(name, 0)
            elsewhere = outcome.elsewhere.get(name, 0)
            try:
                self.purses[name].take(grant, free, elsewhere, now)
            except InvariantError:
                self.purses[name].frozen = True
        for name in outcome.frozen:
            self.purses[name].frozen = True
        return outcome.bills

    def _drop_bill(self, name: str, key: str, state: BillState) -> None:
        purse = self.purses[name]
        # The ledger counted the allowance beforehand, so it can't refuse what
        # was released within it; if it does, the figures are wrong.
        if state is BillState.REFUSED and key in purse.released:
            purse.frozen = True
        purse.pending.pop(key, None)
        purse.released.discard(key)

    def give_back(
        self, account: str | None = None, now: Millis = 0.0, closing: bool = False
    ) -> Commit:
        """Return the commit that hands back what no request needs, of one or all."""
        draws = {}
        for name, purse in self.purses.items():
            if account in (None, name) and not purse.frozen:
                purse.give(now)
                purse.giving = True
                draws[name] = purse.draw(now)
        return self._make_commit(draws, closing)

    def close(self) -> Commit:
        """Return the commit that records what is pending and ends the holder."""
        for purse in self.purses.values():
            purse.reserved.clear()
            purse.waiting.clear()
        return self.give_back(closing=True)

    def list_frozen(self) -> set[str]:
        """Return the accounts whose budget is frozen."""
        return {name for name, purse in self.purses.items() if purse.frozen}

    def list_released(self) -> Bills:
        """Return the pending bills whose answers may have ended."""
        return tuple(
            (name, purse.pending[key])
            for name, purse in self.purses.items()
            for key in sorted(purse.released)
        )

    def drop_judged(self, states: Mapping[BillKey, BillState]) -> None:
        """Forget the bills that a commit had recorded before the sealing."""
        for (name, key), state in states.items():
            self._drop_bill(name, key, state)

    def adopt(self, states: Mapping[BillKey, BillState], bills: Bills) -> None:
        """Carry over the bills that were refused when handed in.

        The witness had closed before it got a copy: the answer hasn't ended,
        and its bill is drawn for anew.
        """
        for name, bill in bills:
            if states.get((name, bill.key)) is BillState.REFUSED:
                purse = self.purses[name]
                heirs = replace(bill, holder=self.holder, after=self.begun)
                purse.pending.setdefault(bill.key, heirs)
                # The bill may take tokens that back other requests here, so
                # those are as uncertain until the grant covers all again.
                purse.carried = set(purse.reserved) | set(purse.pending)

    def succeed(self, holder: str) -> "Escrow":
        """Return the escrow of the holder that follows this one, now sealed.

        Work in flight goes on: its reservations and its unreleased bills are
        carried over.  The tokens behind them may be another router's by now,
        so the ledger draws what they need anew, or refuses the bill.
        """
        heir = Escrow(holder)
        heir.witness = self.witness
        for name, purse in self.purses.items():
            heir.open(name, purse.allowance, purse.level)
            new = heir.purses[name]
            new.use, new.used_at = purse.use, purse.used_at
            new.frozen = purse.frozen
            new.reserved = dict(purse.reserved)
            new.waiting = dict(purse.waiting)
            for key, bill in purse.pending.items():
                if key not in purse.released:
                    new.pending[key] = replace(bill, holder=holder, after=0)
            new.carried = set(new.reserved) | set(new.pending)
        return heir
