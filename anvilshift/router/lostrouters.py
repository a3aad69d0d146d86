"""Seal the budgets of routers that are lost, and remove their records."""

import contextlib
from collections.abc import Callable

from absl import logging

from anvilshift.core.clock import Clock
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.lease import Lease
from anvilshift.core.membership import Member, Roster
from anvilshift.objects.records import decode
from anvilshift.objects.store import ConflictError, ObjectStore
from anvilshift.router.budgets import RouterBudgets
from anvilshift.router.following import ROUTER_KIND


class LostRouters:
    """The routers that this one has found lost.

    Parameters
    ----------
    lease
        This router's lease; without it, this router takes nobody for lost.
    read_members
        Returns the current table of the other routers.
    read_own
        Returns this router's own record.
    remove_member
        Removes a router, given by name, from the table of members.
    """

    def __init__(
        self,
        store: ObjectStore,
        budgets: RouterBudgets,
        lease: Lease,
        clock: Clock,
        read_members: Callable[[], Roster],
        read_own: Callable[[], Member],
        remove_member: Callable[[str], None],
    ) -> None:
        self._store = store
        self._budgets = budgets
        self._lease = lease
        self._clock = clock
        self._read_members = read_members
        self._read_own = read_own
        self._remove_member = remove_member
        self._sealed: set[str] = set()

    async def seal_and_remove(self) -> None:
        """Seal every lost router, and remove the records of those that may go."""
        now = self._clock.now()
        lost = self._read_members().lost(now)
        self._sealed &= {member.incarnation for member in lost}
        if not self._lease.holds(now):
            return
        try:
            await self._budgets.seal_lost(self._list_incarnations())
        except AnvilshiftError as error:
            logging.warning("sweep of sealed holders failed code=%d", error.code.number)
        for member in lost:
            try:
                await self._seal(member)
                if self._may_remove(member):
                    await self._remove(member)
            except AnvilshiftError as error:
                logging.warning("removal failed code=%d", error.code.number)

    def _may_remove(self, member: Member) -> bool:
        now = self._clock.now()
        renewing_for = self._lease.renewing_for(now)
        members, own = self._read_members(), self._read_own()
        return members.may_remove(member, own, renewing_for, now)

    async def _seal(self, member: Member) -> None:
        if member.incarnation in self._sealed:
            return
        logging.warning("sealing lost router=%s", member.name)
        await self._budgets.seal(member.incarnation)
        await self._budgets.seal_lost(self._list_incarnations())
        self._sealed.add(member.incarnation)

    async def _remove(self, member: Member) -> None:
        logging.warning("removing lost router=%s", member.name)
        found = await self._store.get(ROUTER_KIND, member.name)
        if found and found.body.get("incarnation") == member.incarnation:
            if decode(Member, found.body).beat > member.beat:
                return
            with contextlib.suppress(ConflictError):
                await self._store.delete(ROUTER_KIND, found.name, found.version)
        self._remove_member(member.name)

    def _list_incarnations(self) -> set[str]:
        statuses = self._read_members().member_statuses.values()
        return {status.member.incarnation for status in statuses}
