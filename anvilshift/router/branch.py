"""Spend from the grants of one ledger object and record its bills in groups."""

import asyncio
import contextlib
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from absl import logging

from anvilshift.core.account import Bill, BillState
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    BUDGET_FROZEN,
    BUDGET_UNREACHABLE,
    AnvilshiftError,
)
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Commit, Ledger, Outcome
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.ledgers import LEDGER_KIND, read_body
from anvilshift.objects.records import encode
from anvilshift.objects.store import Body, ObjectStore
from anvilshift.router.hooks import Hooks
from anvilshift.router.outcomes import BillOutcomes
from anvilshift.router.refusals import make_refusal, make_unrecorded
from anvilshift.router.sealing import BILL_LIFETIME_S, HOLDER_LIFETIME_S, Sealing

RELEASE_AFTER: Millis = 400.0
"""Time that an answer's end waits for its bill before it is released within
the allowance: twice the spacing of commits, so that it is rare while the
platform answers."""
_IDLE_TICK: Millis = 1 * SECOND
_OUTAGE_AFTER: Millis = 400.0
_STUCK_AFTER: Millis = 1 * SECOND
_RETRY_PAUSE: Millis = 100.0
_REFILL_TRIES = 2
_CLOSE_WAIT: Millis = 2 * SECOND
_SHORTEST_WAIT: Millis = 1.0
"""Less than this is not waited for: a loop that waits for the last bit of an
instant, for which no timer moves the time, would never end."""
_LAST_WORD: Millis = 20.0
"""Time before a deadline at which a caller is told that its bill isn't recorded;
at the deadline itself it would be told only that the answer is late."""
_RELEASE_TIME: Millis = 100.0
"""Time before the last word at which a bill that isn't recorded is released
within the allowance instead: one call of the witness."""


class Branch:
    """The part of a treasury that works on one ledger object.

    Parameters
    ----------
    incarnation
        The router's incarnation, unique for ever; it names the holder.
    spacing
        Least milliseconds between two group commits.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        clock: Clock,
        incarnation: str,
        spacing: Millis,
        hooks: Hooks,
    ) -> None:
        self.name = name
        self.escrow = Escrow(incarnation)
        self.last_ledger = Ledger()
        self._clock = clock
        self._incarnation = incarnation
        self._generation = 0
        self._spacing = spacing
        # Routers that commit at the same pace and by chance at the same
        # instant would meet in conflicts for ever.
        self._pause = spacing * (1 + zlib.crc32(incarnation.encode()) % 100 / 500)
        self._hooks = hooks
        self._object = CachedObject(store, LEDGER_KIND, name)
        self._lock = asyncio.Lock()
        self.sealing = Sealing(self._object, self._lock, clock)
        self._wake = asyncio.Event()
        self._round = asyncio.Condition()
        self._begun = 0
        self._ended = 0
        self._awaited = 0
        self._outcomes = BillOutcomes()
        self._asking: dict[str, asyncio.Future[None]] = {}
        self._failures = 0
        self._failing_since: Millis | None = None
        self._in_flight_since: Millis | None = None
        self._loop: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def platform_out(self) -> bool:
        """Tell whether commits have been failing, or one been stuck, for a while."""
        now = self._clock.now()
        failing, stuck = self._failing_since, self._in_flight_since
        return (failing is not None and now - failing > _OUTAGE_AFTER) or (
            stuck is not None and now - stuck > _STUCK_AFTER
        )

    def start(self) -> None:
        """Begin to commit in the background."""
        self._loop = asyncio.get_running_loop().create_task(self._run())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def reserve(self, account: str, key: str, tokens: int) -> None:
        """Set tokens aside for a request, or raise why that can't be."""
        try:
            await self._reserve(account, key, tokens)
        finally:
            # Left behind by a refused request, its wish would draw tokens
            # that other routers' requests wait for.
            self.escrow.purses[account].waiting.pop(key, None)

    async def _reserve(self, account: str, key: str, tokens: int) -> None:
        for attempt in range(_REFILL_TRIES + 1):
            if self._try_reserve(account, key, tokens):
                return
            self._raise_known_refusal(account, tokens)
            if self.platform_out or attempt == _REFILL_TRIES:
                break
            # The first round finds out what others hold.
            if attempt and not self.escrow.purses[account].elsewhere:
                break
            if attempt:
                await self._ask_peers(account)
            await self._wait_round()
        self._refuse(account, key, tokens)

    def _try_reserve(self, account: str, key: str, tokens: int) -> bool:
        now = self._clock.now()
        if self.escrow.purses[account].frozen:
            raise AnvilshiftError(BUDGET_FROZEN)
        if not self.escrow.reserve(account, key, tokens, now):
            return False
        if self.escrow.wants_commit(now):
            self._wake.set()
        return True

    async def _ask_peers(self, account: str) -> None:
        # One asking for all that wait: each costs every peer a commit.
        if account not in self._asking:
            asking = asyncio.ensure_future(self._hooks.ask_peers(account))
            asking.add_done_callback(lambda _: self._asking.pop(account, None))
            self._asking[account] = asking
        await asyncio.wait([self._asking[account]])

    def _raise_known_refusal(self, account: str, tokens: int) -> None:
        purse = self.escrow.purses[account]
        code = purse.recall_refusal(tokens, self._clock.now())
        if code is not None:
            raise make_refusal(code)

    def _refuse(self, account: str, key: str, tokens: int) -> None:
        purse = self.escrow.purses[account]
        if self.platform_out or self._failing_since is not None:
            detail = "the platform is out and this router's grant is spent"
            raise AnvilshiftError(BUDGET_UNREACHABLE, detail, 2 * SECOND)
        raise make_refusal(purse.refuse(key, tokens, self._clock.now()))

    def release(self, account: str, key: str) -> None:
        """Give up a reservation of a request that costs nothing."""
        if account in self.escrow.purses:
            self.escrow.release(account, key)

    async def settle(self, account: str, bill: Bill, until: Millis | None) -> None:
        """Bill a request and wait until its answer may end."""
        if bill.key not in self.escrow.purses[account].reserved:
            await self._reserve_late(account, bill)
        self.escrow.bill(account, replace(bill, holder=self.escrow.holder))
        done = self._outcomes.expect(account, bill.key)
        self._wake.set()
        until = None if until is None else until - _LAST_WORD
        wait = 0.0 if self.platform_out else RELEASE_AFTER
        if until is not None:
            wait = min(wait, until - self._clock.now() - _RELEASE_TIME)
        while not done.done():
            left = wait if until is None else min(wait, until - self._clock.now())
            await asyncio.wait([done], timeout=max(0.0, left) / SECOND)
            if done.done() or await self._try_release(account, bill.key, until):
                break
            if until is not None and self._clock.now() >= until - _SHORTEST_WAIT:
                raise make_unrecorded("no commit was answered in time")
            wait = _RETRY_PAUSE
        if done.done() and done.result() is BillState.REFUSED:
            raise make_unrecorded("the bill was refused")

    async def _reserve_late(self, account: str, bill: Bill) -> None:
        # The work has run: a refusal that says "not run" would be untrue.
        try:
            await self.reserve(account, bill.key, bill.tokens)
        except AnvilshiftError as error:
            raise make_unrecorded(str(error)) from error

    async def _try_release(self, account: str, key: str, until: Millis | None) -> bool:
        left = None if until is None else (until - self._clock.now()) / SECOND
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left):
                return await self._release_early(account, key)
        return False

    async def _release_early(self, account: str, key: str) -> bool:
        escrow = self.escrow
        bill = escrow.purses[account].pending.get(key)
        # A bill that isn't pending here is being handed in for a holder that
        # was sealed; only its record ends the answer.
        if bill is None or not escrow.release_early(account, key):
            return False
        witness = escrow.purses[account].grant.witness
        copies = ((account, bill),)
        # Copies elsewhere count for nothing when the doubt is closed; they
        # bring the bill in when holder and witness are lost together.
        spare = self._hooks.keep_copies(escrow.holder, copies, witness)
        if not witness:
            await spare
            return True
        # Without its copy, closing the witness would give back tokens that
        # this answer has spent.
        asked = self._hooks.keep_witnessed(witness, escrow.holder, copies)
        kept, _ = await asyncio.gather(asked, spare)
        return kept

    async def _wait_round(self) -> None:
        """Wait until a commit that begins from now on has ended.

        One that is under way began before the shortage was known; taking its
        end for an answer would refuse a request that the budget can pay.
        """
        awaited = self._begun + 1
        self._awaited = max(self._awaited, awaited)
        self._wake.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((2 * self._spacing + SECOND) / SECOND):
                async with self._round:
                    await self._round.wait_for(lambda: self._ended >= awaited)

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_TICK / SECOND):
                    await self._wake.wait()
            self._wake.clear()
            if not self._has_work():
                continue
            began = self._clock.now()
            # An error that nobody foresaw must not end the loop unseen: every
            # answer of this router would wait for its bill for ever.
            try:
                self._choose_witness()
                await self._commit(lambda: self.escrow.begin_commit(self._clock.now()))
            except Exception:
                logging.exception("commit broke ledger=%s", self.name)
                self._hooks.count_event("commit_broke")
                self._wake.set()
            pause = self._pause * (1 + min(self._failures, 3))
            spent = self._clock.now() - began
            await asyncio.sleep(max(0.0, pause - spent) / SECOND)

    def _choose_witness(self) -> None:
        # Not while commits fail: the change could not be recorded, and until
        # it is nothing may be released unrecorded.
        if self._failing_since is None:
            chosen = self._hooks.choose_witness(self.escrow.witness)
            self.escrow.choose_witness(chosen)

    def _has_work(self) -> bool:
        wanted = self.escrow.wants_commit(self._clock.now())
        # After a failure it goes on until a commit succeeds, for nothing else
        # would find out that the platform is back.
        failing = self._failing_since is not None
        return wanted or failing or self._awaited > self._ended

    async def _commit(self, begin: Callable[[], Commit]) -> bool:
        # One commit at a time: were two in flight, the older outcome could be
        # taken in last and bring back a grant that was given up since.
        async with self._lock:
            self._begun += 1
            self._in_flight_since = self._clock.now()
            try:
                return await self._commit_one(begin())
            finally:
                self._in_flight_since = None
                self._ended = self._begun
                async with self._round:
                    self._round.notify_all()

    async def _commit_one(self, commit: Commit) -> bool:
        outcome = Outcome()

        def change(body: Body | None) -> Body:
            nonlocal outcome
            ledger, outcome = read_body(body).apply(commit)
            wall = self._clock.wall()
            ledger = ledger.forget(wall - BILL_LIFETIME_S, wall - HOLDER_LIFETIME_S)
            self.last_ledger = ledger
            return encode(ledger)

        try:
            await self._object.update(change)
        except AnvilshiftError as error:
            self._note_failure(error)
            return False
        self._failures, self._failing_since = 0, None
        if outcome.sealed:
            self.escrow.drop_judged(outcome.bills)
            self._outcomes.resolve(outcome.bills)
            self._restart()
            return False
        self._finish(commit, outcome)
        return True

    def _note_failure(self, error: AnvilshiftError) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = self._clock.now()
        logging.warning("commit failed code=%d", error.code.number)
        self._wake.set()

    def _finish(self, commit: Commit, outcome: Outcome) -> None:
        before = self.escrow.list_frozen()
        states = self.escrow.finish_commit(commit, outcome, self._clock.now())
        for account in self.escrow.list_frozen() - before:
            logging.error("budget frozen account=%s", account)
            self._hooks.count_event("budget_frozen")
        self._outcomes.resolve(states)

    def _restart(self) -> None:
        """Begin a new holder after this one was sealed.

        A router that was paused past its lease finds its grant sealed.  What
        it released unrecorded is in doubt there and is handed in; the rest is
        carried over and billed by the new holder.
        """
        sealed = self.escrow
        logging.warning("holder sealed holder=%s", sealed.holder)
        self._hooks.count_event("holder_sealed")
        self._generation += 1
        self.escrow = sealed.succeed(f"{self._incarnation}.{self._generation}")
        self._spawn(self._hand_in_own(sealed))
        self._wake.set()

    async def _hand_in_own(self, sealed: Escrow) -> None:
        released = sealed.list_released()
        while True:
            try:
                states = await self.sealing.hand_in(
                    sealed.holder, released, sealed.holder
                )
            except AnvilshiftError as error:
                logging.warning("hand-in failed code=%d", error.code.number)
                await asyncio.sleep(self._spacing / SECOND)
                continue
            self.escrow.adopt(states, released)
            self._wake.set()
            self._outcomes.resolve(
                {k: s for k, s in states.items() if s is not BillState.REFUSED}
            )
            return

    async def give_back(self, account: str | None) -> bool:
        """Hand back what no request has reserved; False if that wasn't recorded."""
        purses = self.escrow.purses
        names = [name for name in purses if account in (None, name)]
        for name in names:
            purses[name].give(self._clock.now())
        if any(purses[name].giving for name in names):
            await self._wait_round()
        return self._failing_since is None

    def is_settled(self) -> bool:
        """Tell whether every bill is recorded and what was given back is back."""
        purses = self.escrow.purses.values()
        open_purses = [purse for purse in purses if purse.pending or purse.giving]
        return self._failing_since is None and not open_purses

    async def close(self) -> None:
        """Settle everything and stop; the grants go back."""
        if self._loop is not None:
            self._loop.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._loop
        if not self._begun:
            return
        generation = self._generation
        await self._commit(self.escrow.close)
        if self._generation > generation:  # sealed meanwhile: bill anew what is left
            await self._commit(self.escrow.close)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_WAIT / SECOND)
