"""Send orders to engines while this router is the owner of orders."""

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
    compute_takeover_wait,
    is_first_by_name,
    list_assignments,
)
from anvilshift.engines.engine import ModelEngine, Order
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import ConflictError, ObjectStore, StoredObject
from anvilshift.router.fleet import Fleet

OWNER_KIND = "OrderOwner"
OWNER_NAME = "main"
_CHECK_INTERVAL: Millis = 1 * SECOND
"""Interval between two checks of the engines' states and of the owner."""
_MAX_CONCURRENT = 16


class Orders:
    """Send orders to engines if this router owns them, or take them over if due.

    Parameters
    ----------
    find
        Returns the adapter of an engine by its name, or None.
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
        self._find_engine = find
        self._assignments: list[Assignment] = []
        self._takeover_ends: Millis = 0.0
        self._concurrency = asyncio.Semaphore(_MAX_CONCURRENT)
        self.ownership = Ownership()

    @property
    def owns(self) -> bool:
        """Tell whether this router owned the orders when it last read the owner."""
        return self.ownership.owner == self._fleet.member.incarnation

    def configure(self, catalogue: Catalogue) -> None:
        """Set the desired states of the engines from a new catalogue."""
        self._assignments = list_assignments(catalogue)

    async def run(self) -> None:
        """Check the owner at intervals and send orders if it is this router."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL / SECOND)
            if not self._assignments or not self._fleet.may_serve():
                continue
            # Only the owner and its first successor read the owner object.
            if not self.owns and not is_first_by_name(
                self._fleet.member, self._list_present()
            ):
                continue
            try:
                await self._check_owner()
            except AnvilshiftError as error:
                logging.warning("orders failed code=%d", error.code.number)

    async def release(self) -> None:
        """Release the ownership, so that the next owner needn't wait for a lost one."""
        if self.owns:
            stored, ownership = await self._read()
            await self._write(stored, ownership.release(self._incarnation))

    @property
    def _incarnation(self) -> str:
        return self._fleet.member.incarnation

    async def _check_owner(self) -> None:
        read_at = self._clock.now()
        stored, self.ownership = await self._read()
        if not self.owns:
            await self._take_over_if_due(stored)
            return
        # After this instant another router may have taken over and waited until this
        # one's orders have ended.  An order that a pause of this process delays for
        # longer is not sent.
        until = read_at + self._fleet.members.lease
        await asyncio.gather(*(self._reconcile(a, until) for a in self._assignments))

    async def _read(self) -> tuple[StoredObject | None, Ownership]:
        stored = await self._store.get(OWNER_KIND, OWNER_NAME)
        return stored, decode(Ownership, stored.body) if stored else Ownership()

    async def _write(self, stored: StoredObject | None, ownership: Ownership) -> None:
        version = stored.version if stored else 0
        body = encode(ownership)
        await self._store.put(OWNER_KIND, OWNER_NAME, body, version)
        self.ownership = ownership

    async def _take_over_if_due(self, stored: StoredObject | None) -> None:
        previous = self.ownership
        if not previous.is_due(self._fleet.member, self._list_present()):
            return
        try:
            await self._write(stored, previous.take(self._incarnation))
        except ConflictError:
            return
        # An owner that released had finished its orders; the orders of a lost owner
        # may still be in flight, so its successor waits.
        wait = (
            compute_takeover_wait(self._fleet.members.lease) if previous.owner else 0.0
        )
        self._takeover_ends = self._clock.now() + wait
        logging.info("orders taken over fencing=%d", self.ownership.fencing)

    def _list_present(self) -> list[Member]:
        present = self._fleet.members.list_alive(self._clock.now())
        return [status.member for status in present]

    async def _reconcile(self, assignment: Assignment, until: Millis) -> None:
        """Read an engine's state and send an order if it isn't the desired one."""
        name = assignment.engine.name
        engine = self._find_engine(name)
        waiting = self._clock.now() < self._takeover_ends
        if engine is None or (waiting and not assignment.engine.checks_fencing):
            return
        try:
            async with self._concurrency:
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
