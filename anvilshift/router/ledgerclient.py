"""Reserve tokens from the grants of one ledger object; commit bills to it in groups."""

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
from anvilshift.core.grant import Reservation
from anvilshift.core.ledger import Commit, Ledger, Outcome
from anvilshift.core.markages import MarkAges
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.ledgers import LEDGER_KIND, decode_ledger
from anvilshift.objects.records import encode
from anvilshift.objects.store import Body, ObjectStore
from anvilshift.router.earlyrelease import EarlyRelease
from anvilshift.router.hooks import Hooks
from anvilshift.router.outcomes import BillOutcomes
from anvilshift.router.peerrequests import PeerRequests
from anvilshift.router.refusals import make_budget_error, make_not_recorded_error
from anvilshift.router.sealing import BILL_LIFETIME_S, HOLDER_LIFETIME_S, Sealing

EARLY_RELEASE_DELAY: Millis = 400.0
"""Time that the end of an answer waits for its bill to be committed before it is
released early, within the allowance.  It is twice the interval between commits, so
early releases are rare while the platform responds."""
_IDLE_INTERVAL: Millis = 1 * SECOND
_OUTAGE_THRESHOLD: Millis = 400.0
_STUCK_COMMIT_THRESHOLD: Millis = 1 * SECOND
_RELEASE_RETRY_DELAY: Millis = 100.0
_MAX_REFILLS = 2
_CLOSE_TIMEOUT: Millis = 2 * SECOND
_MIN_WAIT: Millis = 1.0
"""Shortest remaining time worth waiting for.  A timer may not advance the clock by
a smaller amount, so a loop that waited for it would never end."""
_ERROR_MARGIN: Millis = 20.0
"""Time before a deadline at which a caller gets the error that its bill isn't
recorded; at the deadline itself it would only be told that the answer is late."""
_RELEASE_MARGIN: Millis = 100.0
"""Time before that error at which an answer whose bill isn't recorded is released
early, within the allowance: the duration of one call to the witness."""


class LedgerClient:
    """The reservations, bills and group commits of one ledger object.

    Parameters
    ----------
    incarnation
        Identifier of the router process, never reused; the name of the holder is
        derived from it.
    spacing
        Minimum interval between two group commits, in milliseconds.
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
        self.holder_accounts = Escrow(incarnation)
        self.last_ledger = Ledger()
        self._clock = clock
        self._incarnation = incarnation
        self._generation = 0
        self._spacing = spacing
        # The interval differs between routers: with equal intervals, routers that
        # once commit at the same instant would conflict at every commit.
        self._commit_interval = spacing * (
            1 + zlib.crc32(incarnation.encode()) % 100 / 500
        )
        self._hooks = hooks
        self.early_release = EarlyRelease(hooks)
        self._object = CachedObject(store, LEDGER_KIND, name)
        self._lock = asyncio.Lock()
        self.sealing = Sealing(self._object, self._lock, clock)
        self._commit_requested = asyncio.Event()
        self._commit_finished = asyncio.Condition()
        self._commits_begun = 0
        self._commits_ended = 0
        self._awaited_commit = 0
        self._mark_ages = MarkAges(BILL_LIFETIME_S * SECOND)
        self._outcomes = BillOutcomes()
        self._peer_requests = PeerRequests(hooks)
        self._consecutive_failures = 0
        self._failing_since: Millis | None = None
        self._in_flight_since: Millis | None = None
        self._commit_task: asyncio.Task[None] | None = None
        self._spreading: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def platform_unavailable(self) -> bool:
        """Tell whether commits have failed, or one has been in flight, for too long."""
        now = self._clock.now()
        failing, stuck = self._failing_since, self._in_flight_since
        return (failing is not None and now - failing > _OUTAGE_THRESHOLD) or (
            stuck is not None and now - stuck > _STUCK_COMMIT_THRESHOLD
        )

    def start(self) -> None:
        """Start the task that commits in the background."""
        self._commit_task = asyncio.get_running_loop().create_task(self._run())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def reserve(
        self,
        account: str,
        key: str,
        tokens: int,
        fixed_cost: Reservation | None = None,
    ) -> None:
        """Reserve tokens for a request; raise the refusal if that is not possible."""
        try:
            await self._reserve(account, key, tokens, fixed_cost)
        finally:
            # If a refused request stayed in the list, commits would go on drawing
            # tokens for it that requests at other routers need.
            self.holder_accounts.grant_states[account].stop_waiting(key)

    async def _reserve(
        self, account: str, key: str, tokens: int, fixed_cost: Reservation | None
    ) -> None:
        for attempt in range(_MAX_REFILLS + 1):
            if self._try_reserve(account, key, tokens, fixed_cost):
                return
            self._raise_cached_refusal(account, tokens)
            if self.platform_unavailable or attempt == _MAX_REFILLS:
                break
            # The first commit reads how many tokens other routers hold.
            if attempt and not self.holder_accounts.grant_states[account].elsewhere:
                break
            if attempt:
                await self._peer_requests.ask(account)
            await self._wait_next_commit()
        self._refuse(account, key, tokens)

    def _try_reserve(
        self, account: str, key: str, tokens: int, fixed_cost: Reservation | None
    ) -> bool:
        now = self._clock.now()
        if self.holder_accounts.grant_states[account].frozen:
            raise AnvilshiftError(BUDGET_FROZEN)
        if not self.holder_accounts.reserve(account, key, tokens, now, fixed_cost):
            return False
        if self.holder_accounts.wants_commit(now):
            self._commit_requested.set()
        return True

    def _raise_cached_refusal(self, account: str, tokens: int) -> None:
        grant_state = self.holder_accounts.grant_states[account]
        code = grant_state.recall_refusal(tokens, self._clock.now())
        if code is not None:
            raise make_budget_error(code)

    def _refuse(self, account: str, key: str, tokens: int) -> None:
        grant_state = self.holder_accounts.grant_states[account]
        if self.platform_unavailable or self._failing_since is not None:
            detail = "the platform is unavailable and this router's grant is spent"
            raise AnvilshiftError(BUDGET_UNREACHABLE, detail, 2 * SECOND)
        raise make_budget_error(grant_state.refuse(key, tokens, self._clock.now()))

    def release(self, account: str, key: str) -> None:
        """Cancel the reservation of a request that is not billed."""
        if account in self.holder_accounts.grant_states:
            self.holder_accounts.release(account, key)

    async def settle(self, account: str, bill: Bill, until: Millis | None) -> None:
        """Bill a request and wait until the end of its answer may be sent.

        That is when the bill is committed, or when it is released early within
        the allowance because commits are late or failing.
        """
        if bill.key not in self.holder_accounts.grant_states[account].reserved:
            await self._reserve_after_run(account, bill)
        self.holder_accounts.bill(
            account, replace(bill, holder=self.holder_accounts.holder)
        )
        outcome = self._outcomes.expect(account, bill.key)
        self._commit_requested.set()
        until = None if until is None else until - _ERROR_MARGIN
        wait = 0.0 if self.platform_unavailable else EARLY_RELEASE_DELAY
        if until is not None:
            wait = min(wait, until - self._clock.now() - _RELEASE_MARGIN)
        while not outcome.done():
            left = wait if until is None else min(wait, until - self._clock.now())
            await asyncio.wait([outcome], timeout=max(0.0, left) / SECOND)
            if outcome.done() or await self._try_release(account, bill.key, until):
                break
            if until is not None and self._clock.now() >= until - _MIN_WAIT:
                raise make_not_recorded_error("no commit completed before the deadline")
            wait = _RELEASE_RETRY_DELAY
        if outcome.done() and outcome.result() is BillState.REFUSED:
            raise make_not_recorded_error("the ledger refused the bill")

    async def _reserve_after_run(self, account: str, bill: Bill) -> None:
        # The work has run, so a refusal that says "not run" would be wrong.
        try:
            await self.reserve(account, bill.key, bill.tokens)
        except AnvilshiftError as error:
            raise make_not_recorded_error(str(error)) from error

    async def _try_release(self, account: str, key: str, until: Millis | None) -> bool:
        left = None if until is None else (until - self._clock.now()) / SECOND
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left):
                return await self.early_release.release(
                    self.holder_accounts, account, key
                )
        return False

    async def _wait_next_commit(self) -> None:
        """Wait until a commit that begins after this call has ended.

        A commit already in flight began before the shortage was known; relying on
        it would refuse a request that the budget can pay.
        """
        awaited = self._commits_begun + 1
        self._awaited_commit = max(self._awaited_commit, awaited)
        self._commit_requested.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((2 * self._spacing + SECOND) / SECOND):
                async with self._commit_finished:
                    await self._commit_finished.wait_for(
                        lambda: self._commits_ended >= awaited
                    )

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_INTERVAL / SECOND):
                    await self._commit_requested.wait()
            self._commit_requested.clear()
            if not self._has_work():
                continue
            began = self._clock.now()
            # An unexpected error must not end this task unnoticed: every answer of
            # this router would then wait for its bill for ever.
            try:
                if not self.holder_accounts.joined:
                    self._choose_witness()
                if await self._commit(
                    lambda: self.holder_accounts.begin_commit(self._clock.now())
                ):
                    self._choose_witness()
                else:
                    self._spread_copies()
            except Exception:
                logging.exception("commit broke ledger=%s", self.name)
                self._hooks.count_event("commit_broke")
                self._commit_requested.set()
            pause = self._commit_interval * (1 + min(self._consecutive_failures, 3))
            spent = self._clock.now() - began
            await asyncio.sleep(max(0.0, pause - spent) / SECOND)

    def _choose_witness(self) -> None:
        """Choose the witness that the next commit names.

        Until a change of the witness is recorded, no answer may be released early.  So
        the witness changes only after a commit that succeeded: after a quiet time, the
        next one may be the first that the platform doesn't answer.
        """
        current = self.holder_accounts.witness
        chosen = self._hooks.choose_witness(current)
        self.holder_accounts.choose_witness(chosen)
        if chosen != current:
            self._commit_requested.set()

    def _spread_copies(self) -> None:
        if self._spreading is None or self._spreading.done():
            spreading = self.early_release.add_spare_copies(self.holder_accounts)
            self._spreading = asyncio.get_running_loop().create_task(spreading)
            self._tasks.add(self._spreading)
            self._spreading.add_done_callback(self._tasks.discard)

    def _has_work(self) -> bool:
        wanted = self.holder_accounts.wants_commit(self._clock.now())
        # After a failure, commits are retried until one succeeds: nothing else
        # detects that the platform is available again.
        failing = self._failing_since is not None
        return wanted or failing or self._awaited_commit > self._commits_ended

    async def _commit(self, begin: Callable[[], Commit]) -> bool:
        # Commits run one at a time: with two in flight, the older outcome could be
        # applied last and restore a grant that has been returned since.
        async with self._lock:
            self._commits_begun += 1
            self._in_flight_since = self._clock.now()
            try:
                return await self._commit_one(begin())
            finally:
                self._in_flight_since = None
                self._commits_ended = self._commits_begun
                async with self._commit_finished:
                    self._commit_finished.notify_all()

    async def _commit_one(self, commit: Commit) -> bool:
        outcome = Outcome()

        def change(body: Body | None) -> Body:
            nonlocal outcome
            ledger, outcome = decode_ledger(body).apply(commit)
            wall = self._clock.wall()
            recent = self._mark_ages.find_recent(ledger.accounts, self._clock.now())
            ledger = ledger.forget(
                wall - BILL_LIFETIME_S, wall - HOLDER_LIFETIME_S, recent
            )
            self.last_ledger = ledger
            return encode(ledger)

        try:
            await self._object.update(change)
        except AnvilshiftError as error:
            self._record_failure(error)
            return False
        self._consecutive_failures, self._failing_since = 0, None
        if outcome.sealed:
            self.holder_accounts.drop_decided_bills(outcome.bills)
            self._outcomes.resolve(outcome.bills)
            self._replace_holder()
            return False
        self._apply_outcome(commit, outcome)
        return True

    def _record_failure(self, error: AnvilshiftError) -> None:
        self._consecutive_failures += 1
        if self._failing_since is None:
            self._failing_since = self._clock.now()
        logging.warning("commit failed code=%d", error.code.number)
        self._commit_requested.set()

    def _apply_outcome(self, commit: Commit, outcome: Outcome) -> None:
        before = self.holder_accounts.list_frozen()
        states = self.holder_accounts.finish_commit(commit, outcome, self._clock.now())
        for account in self.holder_accounts.list_frozen() - before:
            logging.error("budget frozen account=%s", account)
            self._hooks.count_event("budget_frozen")
        self._outcomes.resolve(states)

    def _replace_holder(self) -> None:
        """Replace a sealed holder by a new one.

        A router that was paused past its lease finds its grant sealed.  The bills
        that it released early are in doubt in the sealed holder and are submitted
        for it; all other reservations and bills move to the new holder.
        """
        sealed = self.holder_accounts
        logging.warning("holder sealed holder=%s", sealed.holder)
        self._hooks.count_event("holder_sealed")
        self._generation += 1
        self.holder_accounts = sealed.succeed(f"{self._incarnation}.{self._generation}")
        self._spawn(self._submit_released(sealed))
        self._commit_requested.set()

    async def _submit_released(self, sealed: Escrow) -> None:
        released = sealed.list_released()
        while True:
            try:
                states = await self.sealing.submit_late_bills(
                    sealed.holder, released, sealed.holder
                )
            except AnvilshiftError as error:
                logging.warning("bill submission failed code=%d", error.code.number)
                await asyncio.sleep(self._spacing / SECOND)
                continue
            self.holder_accounts.adopt(states, released)
            self._commit_requested.set()
            self._outcomes.resolve(
                {k: s for k, s in states.items() if s is not BillState.REFUSED}
            )
            return

    async def give_back(self, account: str | None) -> bool:
        """Return unreserved tokens to the budget; False if that wasn't recorded."""
        grant_states = self.holder_accounts.grant_states
        names = [name for name in grant_states if account in (None, name)]
        for name in names:
            grant_states[name].give(self._clock.now())
        if any(grant_states[name].giving for name in names):
            await self._wait_next_commit()
        return self._failing_since is None

    def has_no_pending_changes(self) -> bool:
        """Tell whether every bill and every return of tokens is recorded."""
        grant_states = self.holder_accounts.grant_states.values()
        open_states = [s for s in grant_states if s.has_unrecorded_changes or s.giving]
        return self._failing_since is None and not open_states

    async def close(self) -> None:
        """Stop the background task, commit all bills and return the grants."""
        if self._commit_task is not None:
            self._commit_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._commit_task
        if not self._commits_begun:
            return
        generation = self._generation
        await self._commit(self.holder_accounts.close)
        # If the holder was found sealed, commit what the new one has taken over.
        if self._generation > generation:
            await self._commit(self.holder_accounts.close)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_TIMEOUT / SECOND)
