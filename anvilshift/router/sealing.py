"""Close lost holders in one ledger object and take in what they had billed."""

import asyncio
from collections.abc import Mapping

from anvilshift.core.account import BillState
from anvilshift.core.clock import Clock
from anvilshift.core.escrow import Bills
from anvilshift.core.ledger import BillKey, Ledger
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.ledgers import change_body

BILL_LIFETIME_S = 150
"""Seconds for which a request that is sent again is recognised by its bill:
several times the longest deadline.  Kept longer, the marks of 250 requests a
second would outgrow the ledger's object."""
HOLDER_LIFETIME_S = 24 * 3600
"""Seconds for which a sealed holder is remembered.  No paused process comes
back later; 100 lost hosts a day are then some 10 kB of the ledger."""


class Sealing:
    """What is done in a ledger for holders that are lost.

    Parameters
    ----------
    lock
        Held during each change, for the object is one process's to write.
    """

    def __init__(self, kept: CachedObject, lock: asyncio.Lock, clock: Clock) -> None:
        self._object = kept
        self._lock = lock
        self._clock = clock

    async def hand_in(
        self, holder: str, bills: Bills, closer: str = ""
    ) -> Mapping[BillKey, BillState]:
        """Record bills of a sealed holder that it released within its allowance."""
        states: Mapping[BillKey, BillState] = {}

        def change(ledger: Ledger) -> Ledger:
            nonlocal states
            ledger, states = ledger.hand_in(holder, bills, closer)
            return ledger

        async with self._lock:
            await self._object.update(change_body(change))
        return states

    async def write_off(self, holder: str) -> None:
        """Forget a sealed holder; what is in doubt there counts as spent."""
        async with self._lock:
            change = change_body(lambda ledger: ledger.write_off(holder))
            await self._object.update(change)

    async def seal(self, incarnation: str) -> None:
        """Close every holder of a lost router for good."""

        def change(ledger: Ledger) -> Ledger:
            for name in ledger.list_open():
                if belongs(name, incarnation):
                    ledger = ledger.seal(name, self._clock.wall())
            return ledger

        async with self._lock:
            await self._object.update(change_body(change))


def belongs(holder: str, incarnation: str) -> bool:
    """Tell whether a holder is one of an incarnation of a router.

    Examples
    --------
    >>> belongs("r1-ab.2", "r1-ab"), belongs("r1-abc", "r1-ab")
    (True, False)
    """
    return holder == incarnation or holder.startswith(f"{incarnation}.")
