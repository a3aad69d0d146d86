"""Copies of other routers' unrecorded bills, kept in memory.

A router that is some holder's *witness* must have a copy of each bill before
the holder ends the answer unrecorded.  When the holder is lost, the witness
closes it: it takes no more copies, so those it has are all that there are, and
what else was in doubt is free again.  The order of the two at the witness
decides, and no clock.
"""

from collections.abc import Collection

from anvilshift.core.account import Bill
from anvilshift.core.ledger import Ledger

MAX_COPIES = 10_000
"""Most copies of one holder: 200 s of 50 answers a second, some 3 MB."""


class Copies:
    """The copies that one router keeps.

    Parameters
    ----------
    incarnation
        The router's incarnation, by which holders name their witness.

    Examples
    --------
    >>> copies = Copies("r2-a")
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
        """Take no more copies of anybody: this router is about to end."""
        self._stopped = True

    def list_holders(self) -> list[str]:
        """Return the holders of whose bills there are copies."""
        return [holder for holder, kept in self._bills.items() if kept]

    def add(
        self, holder: str, bills: tuple[tuple[str, Bill], ...], witness: str = ""
    ) -> bool:
        """Keep copies; False when this isn't the witness, has closed or is to end.

        A router that was restarted has another incarnation and none of the
        earlier copies; taken for the witness, it would close with too few.
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
        """Take no more copies of a holder for good; return those there are."""
        self._closed.add(holder)
        return self.list(holder)

    def keep_only(self, holders: Collection[str]) -> None:
        """Forget the copies of holders that no ledger knows any more."""
        self._bills = {h: kept for h, kept in self._bills.items() if h in holders}

    def drop_recorded(self, ledger: Ledger) -> None:
        """Forget the copies of bills that a ledger has recorded."""
        for holder, kept in list(self._bills.items()):
            for (account, key), bill in list(kept.items()):
                if ledger.account(account).find(bill) is not None:
                    del kept[account, key]
            if not kept:
                del self._bills[holder]
