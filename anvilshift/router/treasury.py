"""The budgets that one router spends from, over all ledger objects."""

from collections.abc import Collection

from absl import logging

from anvilshift.core.account import Bill
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.copies import Copies
from anvilshift.core.declarations import Budget
from anvilshift.core.errors import BUDGET_UNREACHABLE, AnvilshiftError
from anvilshift.core.escrow import Bills
from anvilshift.core.ledger import Ledger
from anvilshift.objects.ledgers import (
    LEDGER_KIND,
    LEDGER_NAME,
    ledger_name,
    list_names,
    read_body,
    read_shards,
)
from anvilshift.objects.store import ObjectStore
from anvilshift.router.branch import Branch
from anvilshift.router.hooks import AskPeers, Hooks, KeepCopies
from anvilshift.router.sealing import BILL_LIFETIME_S, HOLDER_LIFETIME_S, belongs

__all__ = ["BILL_LIFETIME_S", "LEDGER_KIND", "LEDGER_NAME", "Treasury"]

ORPHAN_AFTER: Millis = 15 * SECOND
"""Time for which a holder must be unknown before it is sealed: several leases,
for a router that has just started is known a little later than its grants."""


class Treasury:
    """The budgets that one router spends from.

    Parameters
    ----------
    incarnation
        The router's incarnation, unique for ever; it names the holder.
    spacing
        Least milliseconds between two group commits.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, incarnation: str, spacing: Millis
    ) -> None:
        self.hooks = Hooks()
        self.copies = Copies(incarnation)
        self._store = store
        self._clock = clock
        self._incarnation = incarnation
        self._spacing = spacing
        self._budgets: dict[str, Budget] = {}
        self._shards = 0
        self._branches: dict[str, Branch] = {}
        self._orphans: dict[str, Millis] = {}

    @property
    def keep_copies(self) -> KeepCopies:
        """What leaves copies of bills with other routers."""
        return self.hooks.keep_copies

    @keep_copies.setter
    def keep_copies(self, keep: KeepCopies) -> None:
        self.hooks.keep_copies = keep

    @property
    def ask_peers(self) -> AskPeers:
        """What asks other routers to give tokens back."""
        return self.hooks.ask_peers

    @ask_peers.setter
    def ask_peers(self, ask: AskPeers) -> None:
        self.hooks.ask_peers = ask

    @property
    def platform_out(self) -> bool:
        """Tell whether commits have been failing for a while."""
        return any(branch.platform_out for branch in self._branches.values())

    @property
    def branches(self) -> Collection[Branch]:
        """Return the parts, one a ledger object in use."""
        return self._branches.values()

    def start(self) -> None:
        """Begin to commit; each ledger does so from its first use on."""

    def configure(self, budgets: dict[str, Budget]) -> None:
        """Take in the declared budgets."""
        self._budgets = budgets
        for branch in self.branches:
            for account in branch.escrow.purses:
                if account in budgets:
                    self._open(branch, account)

    def _open(self, branch: Branch, account: str) -> None:
        budget = self._budgets.get(account) or Budget(account)
        branch.escrow.open(account, budget.allowance, budget.grant)

    async def _find_branch(self, account: str) -> Branch:
        if not self._shards:
            self._shards = await read_shards(self._store)
        branch = self._make_branch(ledger_name(account, self._shards))
        if account not in branch.escrow.purses:
            self._open(branch, account)
        return branch

    def _make_branch(self, name: str) -> Branch:
        if name not in self._branches:
            branch = Branch(
                self._store,
                name,
                self._clock,
                self._incarnation,
                self._spacing,
                self.hooks,
            )
            branch.start()
            self._branches[name] = branch
        return self._branches[name]

    async def reserve(self, account: str, key: str, tokens: int) -> None:
        """Set tokens aside for a request.

        Raises
        ------
        AnvilshiftError
            Code 2001 when the budget has too few tokens anywhere, code 2002
            when more may be there but can't be drawn now, code 2003 when this
            router has stopped spending the budget.
        """
        try:
            branch = await self._find_branch(account)
        except AnvilshiftError as error:
            detail = "the ledger can't be found now"
            raise AnvilshiftError(BUDGET_UNREACHABLE, detail, 2 * SECOND) from error
        await branch.reserve(account, key, tokens)

    def release(self, account: str, key: str) -> None:
        """Give up a reservation of a request that costs nothing."""
        for branch in self.branches:
            branch.release(account, key)

    async def settle(
        self,
        account: str,
        key: str,
        organisation: str,
        tokens: int,
        until: Millis | None = None,
    ) -> None:
        """Bill a request and wait until its answer may end.

        Parameters
        ----------
        until
            Instant by which the answer must end.

        Raises
        ------
        AnvilshiftError
            Code 4005 when the bill isn't recorded by then.
        """
        branch = await self._find_branch(account)
        bill = Bill(key, organisation, tokens, "", self._clock.wall())
        await branch.settle(account, bill, until)

    async def _all_branches(self) -> list[Branch]:
        if not self._shards:
            self._shards = await read_shards(self._store)
        return [self._make_branch(name) for name in list_names(self._shards)]

    async def hand_in(self, holder: str, bills: Bills) -> None:
        """Record bills of a sealed holder that it released within its allowance."""
        for branch in await self._all_branches():
            kept = self._select(bills, branch)
            if kept:
                await branch.sealing.hand_in(holder, kept)

    def _select(self, bills: Bills, branch: Branch) -> Bills:
        return tuple(
            (account, bill)
            for account, bill in bills
            if ledger_name(account, self._shards) == branch.name
        )

    async def seal(self, incarnation: str) -> None:
        """Close a lost router's grants for good."""
        for branch in await self._all_branches():
            await branch.sealing.seal(incarnation)

    async def sweep(self, incarnations: Collection[str]) -> None:
        """Seal holders of no known router and resolve what is in doubt.

        A router that dies before its first record, or whose record went but
        not its grants, is on nobody's roster: its tokens would lie stranded.

        Parameters
        ----------
        incarnations
            Every router on the roster; this one is known anyway.
        """
        known = {*incarnations, self._incarnation}
        unknown: set[str] = set()
        holders: set[str] = set()
        for branch in await self._all_branches():
            found = await self._store.get(LEDGER_KIND, branch.name)
            ledger = read_body(found.body if found else None)
            self.copies.drop_recorded(ledger)
            holders |= set(ledger.holders)
            await self._resolve_doubt(branch, ledger)
            unknown |= {
                holder
                for holder in ledger.list_open()
                if not any(belongs(holder, one) for one in known)
            }
        self.copies.keep_only(holders)
        await self._seal_orphans(unknown)

    async def _resolve_doubt(self, branch: Branch, ledger: Ledger) -> None:
        old = self._clock.wall() - HOLDER_LIFETIME_S
        for holder in ledger.list_sealed(before=self._clock.wall() + 1):
            witnesses = ledger.list_witnesses(holder)
            if self._incarnation in witnesses:
                bills = self._select(self.copies.close(holder), branch)
                await branch.sealing.hand_in(holder, bills, closer=self._incarnation)
            elif self._select(self.copies.list(holder), branch):
                bills = self._select(self.copies.list(holder), branch)
                await branch.sealing.hand_in(holder, bills)
            elif holder in ledger.list_sealed(before=old):
                await branch.sealing.write_off(holder)

    async def _seal_orphans(self, unknown: set[str]) -> None:
        now = self._clock.now()
        self._orphans = {h: self._orphans.get(h, now) for h in unknown}
        for holder, since in self._orphans.items():
            if now - since > ORPHAN_AFTER:
                logging.warning("sealing orphan holder=%s", holder)
                await self.seal(holder)

    async def give_back(self, account: str | None = None) -> bool:
        """Hand back what no request has reserved; False if that wasn't recorded."""
        results = [
            await branch.give_back(account)
            for branch in self.branches
            if account is None or account in branch.escrow.purses
        ]
        return all(results)

    async def hand_back(self) -> bool:
        """Record every bill and hand back what is free; False when it failed."""
        await self.give_back()
        return all(branch.is_settled() for branch in self.branches)

    async def close(self) -> None:
        """Settle everything and stop; the grants go back."""
        for branch in self.branches:
            await branch.close()
