"""The tokens that one holder may spend from one account, as the ledger stores them."""

from dataclasses import dataclass, replace


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
    """

    drawn: int = 0
    billed: int = 0
    allowance: int = 0
    doubt: int = 0
    sealed: bool = False
    witness: str = ""

    @property
    def held(self) -> int:
        """Return the tokens that the holder may still spend."""
        return 0 if self.sealed else self.drawn - self.billed

    def seal(self) -> "Grant":
        """Return the grant closed: its allowance in doubt, the rest freed."""
        if self.sealed:
            return self
        return replace(self, sealed=True, doubt=min(self.allowance, self.held))
