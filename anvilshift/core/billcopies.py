"""Copies of other routers' unrecorded bills, kept in memory.

A holder's *witness* is a router that must have a copy of each bill before the
holder ends the answer without recording the bill.  When the holder is lost, the
witness closes it: it accepts no more copies, so its copies are complete and the rest
of the doubt is freed.  Whether a copy arrives before or after the closing is decided
at the witness alone and depends on no clock.
"""

from collections.abc import Collection

from anvilshift.core.account import Bill
from anvilshift.core.ledger import Ledger

MAX_COPIES = 10_000
"""Maximum copies for one holder: 200 s at 50 answers per second, about 3 MB."""


class BillCopies:
    """Copies of bills that one router keeps for other holders.

    Parameters
    ----------
    incarnation
        The router's incarnation, by which holders name their witness.

    Examples
    --------
    >>> copies = BillCopies("r2-a")
    >>> bills = (("pounds", Bill("k", "kosice", 30, "r1-a")),)
    >>> copies.add("r1-a", bills, witness="r2-a")
    True
    >>> copies.close("r1-a") == bills
    True
    >>> copies.add("r1-a", bills, witness="r2-a")
    False
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._bills: dict[str, dict[tuple[str, str], Bill]] = {}
        self._closed: set[str] = set()
        self._stopped = False

    def stop(self) -> None:
        """Accept no more copies, because this router is about to end."""
        self._stopped = True

    def list_holders(self) -> list[str]:
        """Return the holders for which copies are kept."""
        return [holder for holder, kept in self._bills.items() if kept]

    def add(
        self, holder: str, bills: tuple[tuple[str, Bill], ...], witness: str = ""
    ) -> bool:
        """Store copies of bills; return False if none of them was accepted.

        Copies are rejected after `stop`, after the holder was closed, when the
        holder would exceed `MAX_COPIES`, and when the holder's witness is another
        incarnation.  A restarted router has a new incarnation and none of the earlier
        copies; if it acted as the witness, it would close with an incomplete list.
        """
        if self._stopped or holder in self._closed:
            return False
        if witness not in ("", self._incarnation):
            return False
        kept = self._bills.setdefault(holder, {})
        if len(kept) + len(bills) > MAX_COPIES:
            return False
        kept.update({(account, bill.key): bill for account, bill in bills})
        return True

    def list(self, holder: str) -> tuple[tuple[str, Bill], ...]:
        """Return the copies of a holder's bills."""
        kept = self._bills.get(holder, {})
        return tuple((account, bill) for (account, _), bill in kept.items())

    def close(self, holder: str) -> tuple[tuple[str, Bill], ...]:
        """Permanently accept no more copies of a holder; return those kept."""
        self._closed.add(holder)
        return self.list(holder)

    def drop_holders(self, holders: Collection[str]) -> None:
        """Drop the copies of some holders."""
        self._bills = {h: kept for h, kept in self._bills.items() if h not in holders}

    def drop_recorded(self, ledger: Ledger) -> None:
        """Drop the copies of bills that a ledger has recorded."""
        for holder, kept in list(self._bills.items()):
            for (account, key), bill in list(kept.items()):
                if ledger.account(account).find(bill) is not None:
                    del kept[account, key]
            if not kept:
                del self._bills[holder]
