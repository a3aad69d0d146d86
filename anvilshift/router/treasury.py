"""Spend from grants and record bills in groups: the escrow on a real platform."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import replace

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import Budget
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    NOT_RECORDED,
    AnvilshiftError,
)
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, BillState, Commit, Ledger, Outcome
from anvilshift.platform.cached import CachedObject
from anvilshift.platform.records import decode, encode
from anvilshift.platform.store import Body, ObjectStore

LEDGER_KIND = "Ledger"
LEDGER_NAME = "main"
BILL_LIFETIME_S = 600
"""Seconds for which a request that is sent again is recognised by its bill."""
_OUTAGE_AFTER: Millis = 400.0
_RETRY_PAUSE: Millis = 100.0
_REFILL_TRIES = 2
_EXHAUSTED_RETRY: Millis = 30 * SECOND

KeepCopies = Callable[[str, tuple[tuple[str, Bill], ...]], Awaitable[bool]]
"""Leaves copies of a holder's bills with other routers; False if none took them."""
AskPeers = Callable[[str], Awaitable[None]]
"""Asks other routers to give unused tokens of a budget back."""


async def _keep_nothing(holder: str, bills: tuple[tuple[str, Bill], ...]) -> bool:
    return False


async def _ask_nobody(account: str) -> None:
    return None


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
        self.keep_copies: KeepCopies = _keep_nothing
        self.ask_peers: AskPeers = _ask_nobody
        self._clock = clock
        self._incarnation = incarnation
        self._generation = 0
        self._spacing = spacing
        self._object = CachedObject(store, LEDGER_KIND, LEDGER_NAME)
        self._escrow = Escrow(incarnation)
        self._budgets: dict[str, Budget] = {}
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._round = asyncio.Event()
        self._begun = 0
        self._ended = 0
        self._states: dict[tuple[str, str], asyncio.Future[BillState]] = {}
        self._failing_since: Millis | None = None
        self._task: asyncio.Task[None] | None = None
        self.last_ledger = Ledger()

    @property
    def holder(self) -> str:
        """Return the present holder's name."""
        return self._escrow.holder

    @property
    def platform_out(self) -> bool:
        """Tell whether commits have been failing for a while."""
        since = self._failing_since
        return since is not None and self._clock.now() - since > _OUTAGE_AFTER

    def start(self) -> None:
        """Begin to commit in the background."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def configure(self, budgets: dict[str, Budget]) -> None:
        """Take in the declared budgets."""
        self._budgets = budgets
        for name in self._escrow.purses:
            if name in budgets:
                self._open(name)

    def _open(self, account: str) -> None:
        budget = self._budgets.get(account) or Budget(account)
        self._escrow.open(account, budget.allowance, budget.grant)

    async def reserve(self, account: str, key: str, tokens: int) -> None:
        """Set tokens aside for a request.

        Raises
        ------
        AnvilshiftError
            Code 2001 when the budget has too few tokens, code 2002 when more
            can't be drawn now.
        """
        if account not in self._escrow.purses:
            self._open(account)
        for attempt in range(_REFILL_TRIES):
            if self._escrow.reserve(account, key, tokens):
                if self._escrow.wants_commit():
                    self._wake.set()
                return
            if self.platform_out:
                detail = "the platform is out and this router's grant is spent"
                raise AnvilshiftError(BUDGET_UNREACHABLE, detail, 2 * SECOND)
            if attempt:
                await self.ask_peers(account)
            await self._wait_round()
        if self._escrow.reserve(account, key, tokens):
            return
        if self._failing_since is not None:
            raise AnvilshiftError(BUDGET_UNREACHABLE, "", 2 * SECOND)
        raise AnvilshiftError(BUDGET_EXHAUSTED, "", _EXHAUSTED_RETRY)

    def release(self, account: str, key: str) -> None:
        """Give up a reservation of a request that costs nothing."""
        if account in self._escrow.purses:
            self._escrow.release(account, key)

    async def settle(
        self, account: str, key: str, organisation: str, tokens: int
    ) -> None:
        """Bill a request and wait until its answer may end.

        Raises
        ------
        AnvilshiftError
            Code 4005 when the bill can't be recorded.
        """
        if key not in self._escrow.purses[account].reserved:
            await self.reserve(account, key, tokens)
        bill = Bill(key, organisation, tokens, self.holder, self._clock.wall())
        self._escrow.bill(account, bill)
        done: asyncio.Future[BillState] = asyncio.get_running_loop().create_future()
        self._states[account, key] = done
        self._wake.set()
        while not done.done():
            if self.platform_out and await self._release_early(account, bill):
                return
            await asyncio.wait([done], timeout=_RETRY_PAUSE / SECOND)
        if done.result() is BillState.REFUSED:
            raise AnvilshiftError(NOT_RECORDED, "the bill was refused")

    async def _release_early(self, account: str, bill: Bill) -> bool:
        if not self._escrow.release_early(account, bill.key):
            return False
        await self.keep_copies(self.holder, ((account, bill),))
        return True

    async def _wait_round(self) -> None:
        """Wait until a commit that begins from now on has ended.

        One that is under way began before the shortage was known; taking its
        end for an answer would refuse a request that the budget can pay.
        """
        awaited = self._begun + 1
        self._wake.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2 * self._spacing / SECOND + 1):
                while self._ended < awaited:
                    self._round.clear()
                    await self._round.wait()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            began = self._clock.now()
            await self._commit(lambda: self._escrow.begin_commit())
            spent = self._clock.now() - began
            await asyncio.sleep(max(0.0, self._spacing - spent) / SECOND)

    async def _commit(self, begin: Callable[[], Commit]) -> bool:
        # One commit at a time: were two in flight, the older outcome could be
        # taken in last and bring back a grant that was given up since.
        async with self._lock:
            self._begun += 1
            try:
                return await self._commit_one(begin())
            finally:
                self._ended = self._begun
                self._round.set()

    async def _commit_one(self, commit: Commit) -> bool:
        escrow = self._escrow
        outcome = Outcome()

        def change(body: Body | None) -> Body:
            nonlocal outcome
            ledger = decode(Ledger, body) if body else Ledger()
            ledger, outcome = ledger.apply(commit)
            ledger = ledger.forget(self._clock.wall() - BILL_LIFETIME_S)
            self.last_ledger = ledger
            return encode(ledger)

        try:
            await self._object.update(change)
        except AnvilshiftError as error:
            if self._failing_since is None:
                self._failing_since = self._clock.now()
            logging.warning("commit failed code=%d", error.code.number)
            self._wake.set()
            return False
        self._failing_since = None
        if outcome.sealed:
            self._restart(escrow)
            return False
        states = escrow.finish_commit(commit, outcome)
        for key, state in states.items():
            done = self._states.pop(key, None)
            if done is not None and not done.done():
                done.set_result(state)
        return True

    def _restart(self, sealed: Escrow) -> None:
        """Begin a new holder after this one was sealed.

        A router that was paused past its lease finds its grant sealed.  What
        it had reserved may be another's by now, so it begins with nothing.
        """
        logging.warning("holder sealed holder=%s", sealed.holder)
        self._generation += 1
        self._escrow = Escrow(f"{self._incarnation}.{self._generation}")
        for name in sealed.purses:
            self._open(name)
        for done in self._states.values():
            if not done.done():
                done.set_result(BillState.REFUSED)
        self._states.clear()
        self._wake.set()
        released = tuple(
            (name, purse.pending[key])
            for name, purse in sealed.purses.items()
            for key in purse.released
        )
        if released:
            self._late = asyncio.get_running_loop().create_task(
                self.hand_in(sealed.holder, released)
            )

    async def hand_in(self, holder: str, bills: tuple[tuple[str, Bill], ...]) -> None:
        """Record bills of a sealed holder that it released within its allowance."""
        bills = tuple((name, replace(bill, holder=holder)) for name, bill in bills)

        def change(body: Body | None) -> Body:
            ledger = decode(Ledger, body) if body else Ledger()
            return encode(ledger.hand_in(holder, bills)[0])

        await self._object.update(change)

    async def seal(self, holder: str) -> None:
        """Close a lost holder's grants for good."""

        def change(body: Body | None) -> Body:
            ledger = decode(Ledger, body) if body else Ledger()
            names = {n for a in ledger.accounts.values() for n in a.grants}
            for name in names | {holder}:
                if name == holder or name.startswith(f"{holder}."):
                    ledger = ledger.seal(name)
            return encode(ledger)

        await self._object.update(change)

    async def give_back(self, account: str | None = None) -> bool:
        """Record what is pending and hand back all that is not reserved."""
        return await self._commit(lambda: self._escrow.give_back(account))

    async def close(self) -> None:
        """Settle everything and stop; the grants go back."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self.give_back()
