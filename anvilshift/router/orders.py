"""Give orders to engines while this router owns them."""

import asyncio
from collections.abc import Callable

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import Catalogue
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.membership import Member
from anvilshift.core.orders import (
    Assignment,
    Ownership,
    compute_wait,
    is_first,
    list_assignments,
)
from anvilshift.engines.engine import ModelEngine, Order
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import ConflictError, ObjectStore, Stored
from anvilshift.router.fleet import Fleet

OWNER_KIND = "OrderOwner"
OWNER_NAME = "main"
_ROUND: Millis = 1 * SECOND
"""Between two looks at what the engines have, and two reads of the owner."""
_AT_ONCE = 16


class Orders:
    """One router's part in giving orders.

    Parameters
    ----------
    find
        Returns an engine's adapter by name.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        fleet: Fleet,
        find: Callable[[str], ModelEngine | None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._fleet = fleet
        self._find = find
        self._assignments: list[Assignment] = []
        self._wait_until: Millis = 0.0
        self._at_once = asyncio.Semaphore(_AT_ONCE)
        self.ownership = Ownership()

    @property
    def owns(self) -> bool:
        """Tell whether this router owned the orders when it last looked."""
        return self.ownership.owner == self._fleet.member.incarnation

    def configure(self, catalogue: Catalogue) -> None:
        """Take in what the engines shall have."""
        self._assignments = list_assignments(catalogue)

    async def run(self) -> None:
        """Look again and again at who owns the orders, and give them."""
        while True:
            await asyncio.sleep(_ROUND / SECOND)
            if not self._assignments or not self._fleet.may_serve():
                continue
            # Only the owner and whoever would follow it ask the platform.
            if not self.owns and not is_first(self._fleet.member, self._present()):
                continue
            try:
                await self._go_round()
            except AnvilshiftError as error:
                logging.warning("orders failed code=%d", error.code.number)

    async def release(self) -> None:
        """Give the orders up, so that the next owner need not find this one lost."""
        if self.owns:
            stored, ownership = await self._read()
            await self._write(stored, ownership.release(self._incarnation))

    @property
    def _incarnation(self) -> str:
        return self._fleet.member.incarnation

    async def _go_round(self) -> None:
        read_at = self._clock.now()
        stored, self.ownership = await self._read()
        if not self.owns:
            await self._consider(stored)
            return
        # Past this instant another may have taken over and waited this router
        # out; an order that waits longer in a paused process is not given.
        until = read_at + self._fleet.roster.lease
        await asyncio.gather(*(self._attend(a, until) for a in self._assignments))

    async def _read(self) -> tuple[Stored | None, Ownership]:
        stored = await self._store.get(OWNER_KIND, OWNER_NAME)
        return stored, decode(Ownership, stored.body) if stored else Ownership()

    async def _write(self, stored: Stored | None, ownership: Ownership) -> None:
        version = stored.version if stored else 0
        body = encode(ownership)
        await self._store.put(OWNER_KIND, OWNER_NAME, body, version)
        self.ownership = ownership

    async def _consider(self, stored: Stored | None) -> None:
        former = self.ownership
        if not former.is_due(self._fleet.member, self._present()):
            return
        try:
            await self._write(stored, former.take(self._incarnation))
        except ConflictError:
            return
        # One that gave up had ended its orders; only a lost one is waited out.
        wait = compute_wait(self._fleet.roster.lease) if former.owner else 0.0
        self._wait_until = self._clock.now() + wait
        logging.info("orders taken over fencing=%d", self.ownership.fencing)

    def _present(self) -> list[Member]:
        present = self._fleet.roster.present(self._clock.now())
        return [sighting.member for sighting in present]

    async def _attend(self, assignment: Assignment, until: Millis) -> None:
        """Read one engine's state back and repeat the order where it differs."""
        name = assignment.engine.name
        engine = self._find(name)
        waiting = self._clock.now() < self._wait_until
        if engine is None or (waiting and not assignment.engine.checks_fencing):
            return
        try:
            async with self._at_once:
                if assignment.is_met(await engine.state()):
                    return
                if self._clock.now() > until:
                    return
                order = Order(self.ownership.fencing, dict(assignment.desired))
                accepted = await engine.give(order)
        except AnvilshiftError as error:
            logging.warning("order failed engine=%s code=%d", name, error.code.number)
            return
        logging.info(
            "order given engine=%s fencing=%d accepted=%s",
            name,
            order.fencing,
            accepted,
        )
