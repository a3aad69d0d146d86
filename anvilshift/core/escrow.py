"""Local accounting of a holder's grants: reserve, bill, refill and return tokens.

`Escrow` serves the request path without a call to the platform.  A request
reserves the maximum that it can cost; when it ends, its bill is pending until it is
recorded, and the unused part of the reservation is available at once.
"""

from collections.abc import Mapping
from dataclasses import replace

from anvilshift.core.account import Bill, BillState, Draw
from anvilshift.core.clock import Millis
from anvilshift.core.commit import BillKey, Commit, Outcome
from anvilshift.core.errors import InvariantError
from anvilshift.core.grant import Reservation
from anvilshift.core.grantstate import GrantState

Bills = tuple[tuple[str, Bill], ...]
"""Pairs of account name and bill."""


class Escrow:
    """The grants of one holder in one ledger.

    Examples
    --------
    >>> from anvilshift.core.ledger import Grant
    >>> holder_accounts = Escrow("r1")
    >>> holder_accounts.open("pounds", allowance=100, level=300)
    >>> commit = holder_accounts.begin_commit()
    >>> commit.draws["pounds"].want
    300
    >>> grant = Grant(drawn=300, allowance=100)
    >>> _ = holder_accounts.finish_commit(commit, Outcome(grants={"pounds": grant}))
    >>> holder_accounts.reserve("pounds", "request-1", 250)
    True
    >>> holder_accounts.reserve("pounds", "request-2", 100)
    False
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.joined = False
        self.begun = 0
        self.witness = ""
        self.grant_states: dict[str, GrantState] = {}

    def open(self, account: str, allowance: int, level: int) -> None:
        """Start to hold tokens of an account, or change its allowance and level."""
        state = self.grant_states.setdefault(
            account, GrantState(account, allowance, level)
        )
        state.allowance = allowance
        state.level = level
        state.witness = self.witness

    def choose_witness(self, witness: str) -> None:
        """Set the router that keeps copies of bills, effective with the next commit."""
        self.witness = witness
        for state in self.grant_states.values():
            state.witness = witness

    def reserve(
        self,
        account: str,
        key: str,
        tokens: int,
        now: Millis = 0.0,
        fixed_cost: Reservation | None = None,
    ) -> bool:
        """Reserve tokens for a request; return False if too few are available.

        Parameters
        ----------
        fixed_cost
            What the request costs, if that is known before it runs.
        """
        return self.grant_states[account].reserve(key, tokens, now, fixed_cost)

    def release(self, account: str, key: str) -> None:
        """Cancel the reservation of a request that costs nothing."""
        self.grant_states[account].release(key)

    def bill(self, account: str, bill: Bill) -> None:
        """Replace a reservation by a bill that is pending until it is recorded."""
        self.grant_states[account].bill(replace(bill, after=self.begun))

    def release_early(self, account: str, key: str) -> bool:
        """Tell whether an answer may end before its bill is recorded; if so, mark it.

        This is limited to the allowance, which the ledger has recorded in advance:
        if this holder is lost, sealing it leaves these tokens in doubt, and no
        other holder can draw them.
        """
        return self.grant_states[account].mark_released(key)

    def wants_commit(self, now: Millis = 0.0) -> bool:
        """Tell whether there is a bill to record or a grant to change.

        A reservation that was cancelled is taken back by a commit of its own, because
        it would be billed if this holder were lost.  A new one waits for the next
        commit that is made anyway.
        """
        return any(
            state.needs_draw(now) or state.has_unrecorded_changes
            for state in self.grant_states.values()
        )

    def begin_commit(self, now: Millis = 0.0) -> Commit:
        """Return the commit that records all pending bills and changes grants."""
        draws = {
            name: state.draw(now)
            for name, state in self.grant_states.items()
            if state.needs_draw(now)
        }
        return self._make_commit(draws)

    def _make_commit(self, draws: Mapping[str, Draw], closing: bool = False) -> Commit:
        self.begun += 1
        listed = {
            name: reservations
            for name, state in self.grant_states.items()
            if (reservations := state.make_reservation_list()) is not None
        }
        return Commit(
            self.holder,
            self._list_bills(),
            draws,
            self.joined,
            closing,
            self.begun,
            listed,
        )

    def _list_bills(self) -> Bills:
        return tuple(
            (name, bill)
            for name, state in self.grant_states.items()
            for bill in state.pending.values()
            if not state.frozen
        )

    def finish_commit(
        self, commit: Commit, outcome: Outcome, now: Millis = 0.0
    ) -> Mapping[BillKey, BillState]:
        """Apply the outcome of a commit; return the states of its bills."""
        self.joined = True
        for name, bill in commit.bills:
            if (name, bill.key) in outcome.bills:
                self._drop_bill(name, bill.key, outcome.bills[name, bill.key])
        for name, grant in outcome.grants.items():
            free = outcome.free.get(name, 0)
            elsewhere = outcome.elsewhere.get(name, 0)
            self.grant_states[name].doubt = outcome.doubt.get(name, 0)
            try:
                self.grant_states[name].update_grant(grant, free, elsewhere, now)
            except InvariantError:
                self.grant_states[name].frozen = True
        for name, listed in commit.reservations.items():
            self.grant_states[name].drop_billed_costs(listed)
        for name in outcome.frozen:
            self.grant_states[name].frozen = True
        return outcome.bills

    def _drop_bill(self, name: str, key: str, state: BillState) -> None:
        grant_state = self.grant_states[name]
        # The ledger recorded the allowance in advance, so it can't refuse a bill
        # released within it.  If it does, the account is inconsistent.
        if state is BillState.REFUSED and key in grant_state.released:
            grant_state.frozen = True
        grant_state.pending.pop(key, None)
        grant_state.released.discard(key)

    def give_back(
        self, account: str | None = None, now: Millis = 0.0, closing: bool = False
    ) -> Commit:
        """Return the commit that returns unreserved tokens of one or all accounts."""
        draws = {}
        for name, state in self.grant_states.items():
            if account in (None, name) and not state.frozen:
                state.give(now)
                state.giving = True
                draws[name] = state.draw(now)
        return self._make_commit(draws, closing)

    def close(self) -> Commit:
        """Return the commit that records all pending bills and ends the holder."""
        for state in self.grant_states.values():
            state.reserved.clear()
            state.waiting.clear()
            state.fixed_costs.clear()
        return self.give_back(closing=True)

    def list_frozen(self) -> set[str]:
        """Return the names of the frozen accounts."""
        return {name for name, state in self.grant_states.items() if state.frozen}

    def list_released(self) -> Bills:
        """Return the pending bills whose answers may have ended."""
        return tuple(
            (name, state.pending[key])
            for name, state in self.grant_states.items()
            for key in sorted(state.released)
        )

    def drop_decided_bills(self, states: Mapping[BillKey, BillState]) -> None:
        """Drop the bills whose state the ledger knew when the holder was sealed."""
        for (name, key), state in states.items():
            self._drop_bill(name, key, state)

    def adopt(self, states: Mapping[BillKey, BillState], bills: Bills) -> None:
        """Take over bills that were refused when submitted for a sealed holder.

        The witness had closed before it received their copies, so their answers
        haven't ended, and tokens for them are drawn again.
        """
        for name, bill in bills:
            if states.get((name, bill.key)) is BillState.REFUSED:
                grant_state = self.grant_states[name]
                adopted = replace(bill, holder=self.holder, after=self.begun)
                grant_state.pending.setdefault(bill.key, adopted)
                # The bill may use tokens that cover other reservations here, so
                # these count as carried too until the grant covers everything.
                grant_state.carried = set(grant_state.reserved) | set(
                    grant_state.pending
                )

    def succeed(self, holder: str) -> "Escrow":
        """Return the accounts of the holder that replaces this sealed one.

        Requests in flight continue: their reservations and their unreleased bills
        are carried over.  Another router may hold the tokens for them by now, so
        the ledger draws the tokens they need again, or refuses the bill.
        """
        successor = Escrow(holder)
        successor.witness = self.witness
        for name, state in self.grant_states.items():
            successor.open(name, state.allowance, state.level)
            new = successor.grant_states[name]
            new.recent_use, new.used_at = state.recent_use, state.used_at
            new.frozen = state.frozen
            new.reserved = dict(state.reserved)
            new.waiting = dict(state.waiting)
            new.fixed_costs = dict(state.fixed_costs)
            for key, bill in state.pending.items():
                if key not in state.released:
                    new.pending[key] = replace(bill, holder=holder, after=0)
            new.carried = set(new.reserved) | set(new.pending)
        return successor
