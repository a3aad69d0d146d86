"""Token budgets that one router spends from, across all ledger objects."""

import asyncio
from collections.abc import Collection

from absl import logging

from anvilshift.core.account import Bill
from anvilshift.core.billcopies import BillCopies
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import Budget
from anvilshift.core.errors import BUDGET_UNREACHABLE, AnvilshiftError
from anvilshift.core.escrow import Bills
from anvilshift.core.grant import Reservation
from anvilshift.core.ledger import Ledger
from anvilshift.objects.ledgers import (
    LEDGER_KIND,
    LEDGER_NAME,
    decode_ledger,
    find_ledger_name,
    list_names,
    read_shard_count,
)
from anvilshift.objects.store import ObjectStore
from anvilshift.router.hooks import AskPeers, Hooks, KeepCopies
from anvilshift.router.ledgerclient import LedgerClient
from anvilshift.router.lostreservations import BILLING_DELAY, LostReservations
from anvilshift.router.sealing import BILL_LIFETIME_S, HOLDER_LIFETIME_S, belongs

__all__ = ["BILL_LIFETIME_S", "LEDGER_KIND", "LEDGER_NAME", "RouterBudgets"]

SEAL_UNKNOWN_AFTER: Millis = 15 * SECOND
"""Time for which a holder must belong to no known router before it is sealed.  It
spans several leases, because a router that has just started writes its grants a
little before the others read its record."""
COPY_SUBMIT_TIMEOUT: Millis = 5 * SECOND
"""Time for which a router that stops tries to record copies that nobody takes: longer
than it takes to notice that the platform is back."""
COPY_SUBMIT_PAUSE: Millis = 500.0
WRITE_OFF_DELAY: Millis = 600 * SECOND
"""Time for which this router must have known a holder as sealed before it writes the
holder off.  The date of the seal can't be relied on alone: with a wrong clock, tokens
would be written off whose bills a witness or a keeper of copies is about to submit."""


class RouterBudgets:
    """Token budgets that one router spends from.

    Each budget belongs to one ledger object, and each ledger object in use has a
    `LedgerClient`, which commits this router's grants and bills to it.

    Parameters
    ----------
    incarnation
        Incarnation of the router, never used again by another process.  The names
        of its holders in the ledger begin with it.
    spacing
        Minimum time between two group commits, in milliseconds.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, incarnation: str, spacing: Millis
    ) -> None:
        self.hooks = Hooks()
        self.copies = BillCopies(incarnation)
        self._store = store
        self._clock = clock
        self._incarnation = incarnation
        self._spacing = spacing
        self._budgets: dict[str, Budget] = {}
        self._shards = 0
        self._ledger_clients: dict[str, LedgerClient] = {}
        self._unknown_since: dict[str, Millis] = {}
        self._sealed_since: dict[tuple[str, str], Millis] = {}
        self._lost_reservations = LostReservations(clock)

    @property
    def keep_copies(self) -> KeepCopies:
        """Return the hook that stores copies of bills at other routers."""
        return self.hooks.keep_copies

    @keep_copies.setter
    def keep_copies(self, keep: KeepCopies) -> None:
        self.hooks.keep_copies = keep

    @property
    def ask_peers(self) -> AskPeers:
        """Return the hook that asks other routers to return unused tokens."""
        return self.hooks.ask_peers

    @ask_peers.setter
    def ask_peers(self, ask: AskPeers) -> None:
        self.hooks.ask_peers = ask

    @property
    def platform_unavailable(self) -> bool:
        """Tell whether the commits of any ledger object keep failing."""
        return any(
            client.platform_unavailable for client in self._ledger_clients.values()
        )

    @property
    def ledger_clients(self) -> Collection[LedgerClient]:
        """Return the ledger clients, one for each ledger object in use."""
        return self._ledger_clients.values()

    def start(self) -> None:
        """Do nothing: each client starts to commit when its ledger is first used."""

    def configure(self, budgets: dict[str, Budget]) -> None:
        """Apply the declared budgets to the accounts that are open here."""
        self._budgets = budgets
        for client in self.ledger_clients:
            for account in client.holder_accounts.grant_states:
                if account in budgets:
                    self._open_account(client, account)

    def _open_account(self, client: LedgerClient, account: str) -> None:
        budget = self._budgets.get(account) or Budget(account)
        client.holder_accounts.open(account, budget.allowance, budget.grant)

    async def _find_ledger_client(self, account: str) -> LedgerClient:
        if not self._shards:
            self._shards = await read_shard_count(self._store)
        client = self._make_ledger_client(find_ledger_name(account, self._shards))
        if account not in client.holder_accounts.grant_states:
            self._open_account(client, account)
        return client

    def _make_ledger_client(self, name: str) -> LedgerClient:
        if name not in self._ledger_clients:
            client = LedgerClient(
                self._store,
                name,
                self._clock,
                self._incarnation,
                self._spacing,
                self.hooks,
            )
            client.start()
            self._ledger_clients[name] = client
        return self._ledger_clients[name]

    async def reserve(
        self,
        account: str,
        key: str,
        tokens: int,
        organisation: str = "",
        metered: bool = False,
    ) -> None:
        """Reserve tokens for a request.

        Parameters
        ----------
        organisation
            Organisation that is billed.
        metered
            Whether the cost is counted when the request has run and the tokens are
            only its upper bound.  Otherwise they are the cost, which a router
            without a witness records beforehand.

        Raises
        ------
        AnvilshiftError
            Code 2001 when the whole budget has too few tokens, code 2002 when it
            may have enough but this router can't draw them now, code 2003 when
            this router has stopped spending the budget.
        """
        try:
            client = await self._find_ledger_client(account)
        except AnvilshiftError as error:
            detail = "the layout of the ledger objects can't be read now"
            raise AnvilshiftError(BUDGET_UNREACHABLE, detail, 2 * SECOND) from error
        fixed_cost = None if metered else Reservation(organisation, tokens)
        await client.reserve(account, key, tokens, fixed_cost)

    def release(self, account: str, key: str) -> None:
        """Cancel the reservation of a request that costs nothing."""
        for client in self.ledger_clients:
            client.release(account, key)

    async def settle(
        self,
        account: str,
        key: str,
        organisation: str,
        tokens: int,
        until: Millis | None = None,
    ) -> None:
        """Bill a request and wait until its answer may be completed.

        Parameters
        ----------
        until
            Instant by which the answer must be complete.

        Raises
        ------
        AnvilshiftError
            Code 4005 when the bill isn't recorded by then.
        """
        client = await self._find_ledger_client(account)
        bill = Bill(key, organisation, tokens, "", self._clock.wall())
        await client.settle(account, bill, until)

    async def _all_ledger_clients(self) -> list[LedgerClient]:
        if not self._shards:
            self._shards = await read_shard_count(self._store)
        return [self._make_ledger_client(name) for name in list_names(self._shards)]

    async def submit_copies(
        self, holders: Collection[str], abandoned: asyncio.Event
    ) -> None:
        """Record the copies kept for some holders, which are sealed for that.

        For copies that no other router takes from one that stops.  A holder that still
        runs goes on with a successor, as after a pause.

        Parameters
        ----------
        abandoned
            Event that is set when the stop must end at once.
        """
        until = self._clock.now() + COPY_SUBMIT_TIMEOUT
        left = list(holders)
        while left and self._clock.now() < until and not abandoned.is_set():
            try:
                await self._submit_copies(left[0])
                left.pop(0)
            except AnvilshiftError as error:
                logging.warning("copies not submitted code=%d", error.code.number)
                await asyncio.sleep(COPY_SUBMIT_PAUSE / SECOND)
        for holder in left:
            bills = self.copies.list(holder)
            logging.error("copies end here holder=%s bills=%d", holder, len(bills))

    async def _submit_copies(self, holder: str) -> None:
        await self.seal(holder)
        for client in await self._all_ledger_clients():
            bills = self._select_bills(self.copies.close(holder), client)
            await client.sealing.submit_late_bills(holder, bills, self._incarnation)

    def _select_bills(self, bills: Bills, client: LedgerClient) -> Bills:
        return tuple(
            (account, bill)
            for account, bill in bills
            if find_ledger_name(account, self._shards) == client.name
        )

    async def seal(self, incarnation: str) -> None:
        """Seal all holders of a lost router, so that it can't commit any more."""
        for client in await self._all_ledger_clients():
            await client.sealing.seal(incarnation)

    async def seal_lost(self, incarnations: Collection[str]) -> None:
        """Seal holders of unknown routers and resolve tokens in doubt.

        A router that dies before its first record is written, or whose record was
        deleted while its grants were still open, is in no roster.  Without this
        sweep nobody would return the tokens of its grants to the budget.

        Parameters
        ----------
        incarnations
            Incarnations of the routers in the roster.  This router's own one is
            added.
        """
        known = {*incarnations, self._incarnation}
        # A holder that has joined since the ledger was read is missing from that
        # reading; only copies kept before it may be dropped.
        copied = set(self.copies.list_holders())
        unknown: set[str] = set()
        holders: set[str] = set()
        for client in await self._all_ledger_clients():
            found = await self._store.get(LEDGER_KIND, client.name)
            ledger = decode_ledger(found.body if found else None)
            self.copies.drop_recorded(ledger)
            holders |= set(ledger.holders)
            await self._resolve_sealed_holders(client, ledger)
            unknown |= {
                holder
                for holder in ledger.list_open()
                if not any(belongs(holder, incarnation) for incarnation in known)
            }
        self.copies.drop_holders(copied - holders)
        self._sealed_since = {
            key: since for key, since in self._sealed_since.items() if key[1] in holders
        }
        await self._seal_orphans(unknown)

    async def _resolve_sealed_holders(
        self, client: LedgerClient, ledger: Ledger
    ) -> None:
        now = self._clock.now()
        expired = ledger.list_sealed(before=self._clock.wall() - HOLDER_LIFETIME_S)
        for holder in ledger.list_sealed():
            witnesses = ledger.list_witnesses(holder)
            since = self._sealed_since.setdefault((client.name, holder), now)
            if self._incarnation in witnesses:
                bills = self._select_bills(self.copies.close(holder), client)
                await client.sealing.submit_late_bills(
                    holder, bills, closer=self._incarnation
                )
                continue
            if ledger.has_reservations(holder):
                due = since + BILLING_DELAY
                self._lost_reservations.bill_later(client, holder, due)
            if self._select_bills(self.copies.list(holder), client):
                bills = self._select_bills(self.copies.list(holder), client)
                await client.sealing.submit_late_bills(holder, bills)
            elif holder in expired and now - since >= WRITE_OFF_DELAY:
                await client.sealing.write_off(holder)

    async def _seal_orphans(self, unknown: set[str]) -> None:
        now = self._clock.now()
        self._unknown_since = {
            holder: self._unknown_since.get(holder, now) for holder in unknown
        }
        for holder, since in self._unknown_since.items():
            if now - since > SEAL_UNKNOWN_AFTER:
                logging.warning("sealing orphan holder=%s", holder)
                await self.seal(holder)

    async def give_back(self, account: str | None = None) -> bool:
        """Return unreserved tokens to the ledger; False if that wasn't recorded."""
        results = [
            await client.give_back(account)
            for client in self.ledger_clients
            if account is None or account in client.holder_accounts.grant_states
        ]
        return all(results)

    async def settle_all(self) -> bool:
        """Record every bill and return unreserved tokens; False when that failed."""
        await self.give_back()
        return all(client.has_no_pending_changes() for client in self.ledger_clients)

    async def close(self) -> None:
        """Record all bills, return the grants to the ledger and stop."""
        self._lost_reservations.close()
        for client in self.ledger_clients:
            await client.close()
