"""Seal holders of lost routers in one ledger object and record their bills."""

import asyncio
from collections.abc import Mapping

from absl import logging

from anvilshift.core.account import BillState
from anvilshift.core.clock import Clock
from anvilshift.core.escrow import Bills
from anvilshift.core.ledger import BillKey, Ledger
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.ledgers import decode_ledger, make_body_change

BILL_LIFETIME_S = 150
"""Seconds for which a repeated request is recognised by its recorded bill, several
times the longest deadline.  With a longer lifetime, the marks of 250 requests per
second would exceed the size limit of the ledger's object."""
HOLDER_LIFETIME_S = 24 * 3600
"""Seconds for which the ledger keeps a sealed holder.  No paused process resumes after
that time.  With 100 lost hosts a day, sealed holders take some 10 kB of the ledger."""


class Sealing:
    """Changes of one ledger object for holders of lost routers.

    Parameters
    ----------
    cached
        Cached copy of the ledger object.
    lock
        Held during each change, because the tasks of this process must not change
        the cached object concurrently.
    """

    def __init__(self, cached: CachedObject, lock: asyncio.Lock, clock: Clock) -> None:
        self._object = cached
        self._lock = lock
        self._clock = clock

    async def submit_late_bills(
        self, holder: str, bills: Bills, closer: str = ""
    ) -> Mapping[BillKey, BillState]:
        """Record bills whose answers a sealed holder completed within its allowance."""
        states: Mapping[BillKey, BillState] = {}

        def change(ledger: Ledger) -> Ledger:
            nonlocal states
            ledger, states = ledger.submit_late_bills(holder, bills, closer)
            return ledger

        async with self._lock:
            await self._object.update(make_body_change(change))
        return states

    async def bill_reservations(self, holder: str) -> None:
        """Bill the requests of a sealed holder whose costs the ledger has recorded."""

        def change(ledger: Ledger) -> Ledger:
            return ledger.bill_reservations(holder, self._clock.wall())

        async with self._lock:
            stored = await self._object.update(make_body_change(change))
        if decode_ledger(stored.body).has_reservations(holder):
            logging.error("an invalid account has reservations holder=%s", holder)

    async def write_off(self, holder: str) -> None:
        """Remove a sealed holder; its tokens in doubt are counted as spent."""
        async with self._lock:
            change = make_body_change(lambda ledger: ledger.write_off(holder))
            await self._object.update(change)

    async def seal(self, incarnation: str) -> None:
        """Seal every holder of a lost router, so that it can't commit any more."""

        def change(ledger: Ledger) -> Ledger:
            for name in ledger.list_open():
                if belongs(name, incarnation):
                    ledger = ledger.seal(name, self._clock.wall())
            return ledger

        async with self._lock:
            await self._object.update(make_body_change(change))


def belongs(holder: str, incarnation: str) -> bool:
    """Tell whether a holder belongs to an incarnation of a router.

    A router's first holder has the name of its incarnation; later ones add a dot and
    a number.

    Examples
    --------
    >>> belongs("r1-ab.2", "r1-ab"), belongs("r1-abc", "r1-ab")
    (True, False)
    """
    return holder == incarnation or holder.startswith(f"{incarnation}.")
