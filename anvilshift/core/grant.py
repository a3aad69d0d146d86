"""The tokens that one holder may spend from one account, as the ledger stores them."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True)
class Reservation:
    """The fixed cost of a request, recorded before the request's bill.

    Parameters
    ----------
    organisation
        Organisation that is billed.
    tokens
        What the request costs once it runs; not an upper bound.
    """

    organisation: str
    tokens: int


@dataclass(frozen=True)
class ReservationList:
    """The fixed costs of one account that a commit records.

    Parameters
    ----------
    entries
        Reservations of the holder's open requests, by bill key.  They replace those
        of the commit before, so that applying the list twice has the effect of
        applying it once.
    need
        Tokens that all requests of the holder reserve or wait for.
    """

    entries: Mapping[str, Reservation] = field(default_factory=dict)
    need: int = 0


@dataclass(frozen=True)
class Grant:
    """Tokens that one holder may spend from one account.

    Parameters
    ----------
    drawn
        Total tokens given to the holder, minus those it returned.
    billed
        Total tokens of the holder's recorded bills.
    allowance
        Tokens of bills whose answers the holder may end before the ledger has
        recorded the bills.
    doubt
        Tokens that a sealed holder may have billed without recording them.
    sealed
        Whether the grant is closed to commits of its holder.
    witness
        Incarnation of the router that must hold a copy of each bill before
        the holder ends the answer unrecorded; empty when no copy is needed.
    reservations
        Fixed costs of requests that aren't billed yet, by bill key.  Together they
        don't exceed the allowance.
    """

    drawn: int = 0
    billed: int = 0
    allowance: int = 0
    doubt: int = 0
    sealed: bool = False
    witness: str = ""
    reservations: Mapping[str, Reservation] = field(default_factory=dict)

    @property
    def held(self) -> int:
        """Return the tokens that the holder may still spend."""
        return 0 if self.sealed else self.drawn - self.billed

    def seal(self) -> "Grant":
        """Return the grant closed: its allowance in doubt, the rest freed."""
        if self.sealed:
            return self
        return replace(self, sealed=True, doubt=min(self.allowance, self.held))

    def resolve(self) -> "Grant":
        """Return the sealed grant with nothing left that it may still be billed."""
        return replace(self, doubt=0, reservations={})

    def without_reservation(self, key: str) -> "Grant":
        """Return the grant without the reservation of one request."""
        if key not in self.reservations:
            return self
        kept = {name: one for name, one in self.reservations.items() if name != key}
        return replace(self, reservations=kept)
