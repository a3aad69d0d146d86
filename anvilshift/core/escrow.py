"""A holder's side of its grants: reserve, bill, refill, give back.

The escrow answers the request path without a call to the platform.  A request
reserves the most it can cost; when it ends, its bill waits to be recorded and
the difference is free at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.errors import check_invariant
from anvilshift.core.ledger import Bill, BillState, Commit, Draw, Grant, Outcome

REFILL_BELOW = 0.5
"""Refill when less than this share of the wanted level is left: early enough
that a refill under way (one platform write) ends before the rest is spent."""


@dataclass
class Purse:
    """What a holder knows of its grant of one account.

    Parameters
    ----------
    level
        Tokens that the holder wants to hold.
    """

    account: str
    allowance: int
    level: int
    grant: Grant = field(default_factory=Grant)
    reserved: dict[str, int] = field(default_factory=dict)
    pending: dict[str, Bill] = field(default_factory=dict)
    released: set[str] = field(default_factory=set)
    shortage: int = 0

    @property
    def unrecorded(self) -> int:
        """Return the tokens of bills that are not recorded yet."""
        return sum(bill.tokens for bill in self.pending.values())

    @property
    def available(self) -> int:
        """Return the tokens that a new request may reserve."""
        return self.grant.held - self.unrecorded - sum(self.reserved.values())

    @property
    def exposed(self) -> int:
        """Return the tokens released to callers before they were recorded."""
        return sum(self.pending[key].tokens for key in self.released)


class Escrow:
    """The grants of one holder in one ledger.

    Examples
    --------
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
        self.purses: dict[str, Purse] = {}

    def open(self, account: str, allowance: int, level: int) -> None:
        """Begin to hold tokens of an account, or change its figures."""
        purse = self.purses.setdefault(account, Purse(account, allowance, level))
        purse.allowance = allowance
        purse.level = level

    def reserve(self, account: str, key: str, tokens: int) -> bool:
        """Set tokens aside for a request; False when too few are held."""
        purse = self.purses[account]
        if key in purse.reserved:
            return True
        if tokens > purse.available:
            purse.shortage = max(purse.shortage, tokens)
            return False
        purse.reserved[key] = tokens
        return True

    def release(self, account: str, key: str) -> None:
        """Give up a reservation of a request that costs nothing."""
        self.purses[account].reserved.pop(key, None)

    def bill(self, account: str, bill: Bill) -> None:
        """Turn a reservation into a bill that waits to be recorded."""
        purse = self.purses[account]
        reserved = purse.reserved.pop(bill.key, None)
        check_invariant(reserved is not None, "a bill came without a reservation")
        check_invariant(bill.tokens <= (reserved or 0), "a bill is over its bound")
        purse.pending[bill.key] = bill

    def release_early(self, account: str, key: str) -> bool:
        """Tell whether an answer may end before its bill is recorded.

        Only within the allowance, which the ledger has counted beforehand: if
        this holder is lost now, sealing it leaves these tokens in doubt and
        hands them to nobody.
        """
        purse = self.purses[account]
        if key not in purse.pending:
            return True
        if key in purse.released:
            return True
        # The lower of the two allowances counts: one that is being lowered may
        # be in the ledger already although the answer was lost.
        bound = min(purse.allowance, purse.grant.allowance, purse.grant.held)
        if purse.exposed + purse.pending[key].tokens > bound:
            return False
        purse.released.add(key)
        return True

    def wants_commit(self) -> bool:
        """Tell whether there is a bill to record or a grant to change."""
        return any(p.pending or self._needs_draw(p) for p in self.purses.values())

    def _needs_draw(self, purse: Purse) -> bool:
        if purse.shortage or purse.grant.allowance != purse.allowance:
            return True
        return purse.available < purse.level * REFILL_BELOW

    def begin_commit(self) -> Commit:
        """Return the commit that records what is pending and refills grants."""
        draws: dict[str, Draw] = {}
        for name, purse in self.purses.items():
            if self._needs_draw(purse):
                want = purse.level + sum(purse.reserved.values()) + purse.shortage
                kept = purse.grant.held - purse.unrecorded
                draws[name] = Draw(max(want, kept), purse.allowance)
        return Commit(self.holder, self._list_bills(), draws)

    def _list_bills(self) -> tuple[tuple[str, Bill], ...]:
        return tuple(
            (name, bill)
            for name, purse in self.purses.items()
            for bill in purse.pending.values()
        )

    def finish_commit(
        self, commit: Commit, outcome: Outcome
    ) -> Mapping[tuple[str, str], BillState]:
        """Take in what a commit did; return what became of its bills."""
        for name, grant in outcome.grants.items():
            self.purses[name].grant = grant
        for name, bill in commit.bills:
            purse = self.purses[name]
            if outcome.bills.get((name, bill.key)) is BillState.REFUSED:
                continue
            purse.pending.pop(bill.key, None)
            purse.released.discard(bill.key)
        for name in commit.draws:
            self.purses[name].shortage = 0
        for purse in self.purses.values():
            check_invariant(purse.available >= 0, "a holder reserved more than it has")
        return outcome.bills

    def give_back(self, account: str | None = None) -> Commit:
        """Return the commit that hands back what is not reserved, of one or all."""
        draws = {}
        for name, purse in self.purses.items():
            if account not in (None, name):
                continue
            want = sum(purse.reserved.values())
            draws[name] = Draw(want, purse.allowance)
            # Given back before it is sent: were the answer lost after the
            # write took effect, a holder that still counted these tokens would
            # spend what another router has drawn meanwhile.
            drawn = purse.grant.billed + purse.unrecorded + want
            purse.grant = replace(purse.grant, drawn=min(drawn, purse.grant.drawn))
        return Commit(self.holder, self._list_bills(), draws)
