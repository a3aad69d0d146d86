"""What a holder submits to the ledger in one update, and what it learns from it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from anvilshift.core.account import Bill, BillState, Draw
from anvilshift.core.grant import Grant, ReservationList

BillKey = tuple[str, str]
"""The account and the key of a bill."""


@dataclass(frozen=True)
class Commit:
    """A group of bills and draws that one holder submits together.

    Parameters
    ----------
    bills
        Pairs of account name and bill.
    draws
        Requested change of the grant, by account.
    reservations
        Fixed costs of the holder's open requests, by account.
    joined
        Whether the holder knows that one of its earlier commits took effect.
        If so and the ledger has no entry for it, the holder was sealed and then
        removed; otherwise it may be new.
    closing
        Whether the holder returns all its tokens and ends.
    number
        Number of commits that the holder has begun, including this one.
    """

    holder: str
    bills: tuple[tuple[str, Bill], ...] = ()
    draws: Mapping[str, Draw] = field(default_factory=dict)
    joined: bool = False
    closing: bool = False
    number: int = 0
    reservations: Mapping[str, ReservationList] = field(default_factory=dict)

    @property
    def account_names(self) -> list[str]:
        """Return the names of the accounts that the commit changes, sorted."""
        billed = {name for name, _ in self.bills}
        return sorted(billed | set(self.draws) | set(self.reservations))


@dataclass(frozen=True)
class Outcome:
    """Result of a commit.

    Parameters
    ----------
    sealed
        Whether the holder was already sealed, so that the commit had no effect.
    bills
        State of each bill, by account and key; for a sealed holder, only of the
        bills that an earlier commit recorded or refused.
    grants
        The holder's grant after the commit, by account.
    free
        Tokens that can be drawn, by account.
    elsewhere
        Tokens in other holders' open grants, by account.
    doubt
        Tokens that sealed holders may have spent and that may still be freed, by
        account.
    frozen
        Accounts that violate an invariant; the commit did not change them.
    """

    sealed: bool = False
    bills: Mapping[BillKey, BillState] = field(default_factory=dict)
    grants: Mapping[str, Grant] = field(default_factory=dict)
    free: Mapping[str, int] = field(default_factory=dict)
    elsewhere: Mapping[str, int] = field(default_factory=dict)
    doubt: Mapping[str, int] = field(default_factory=dict)
    frozen: frozenset[str] = frozenset()
