"""Commit the grants and bills of one ledger object in groups, in the background."""

import asyncio
import contextlib
import zlib
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from anvilshift.core.account import BillState
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Commit, Outcome
from anvilshift.core.markages import MarkAges
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.ledgers import LEDGER_KIND, decode_ledger
from anvilshift.objects.records import encode
from anvilshift.objects.store import Body, ObjectStore
from anvilshift.router.earlyrelease import EarlyRelease
from anvilshift.router.hooks import Hooks
from anvilshift.router.outcomes import BillOutcomes
from anvilshift.router.sealing import BILL_LIFETIME_S, HOLDER_LIFETIME_S, Sealing

_IDLE_INTERVAL: Millis = 1 * SECOND
_OUTAGE_THRESHOLD: Millis = 400.0
_STUCK_COMMIT_THRESHOLD: Millis = 1 * SECOND
_CLOSE_TIMEOUT: Millis = 2 * SECOND


class GroupCommits:
    """The commits of one ledger object, and the holder that they speak for.

    Parameters
    ----------
    incarnation
        Identifier of the router process, never reused; the name of the holder is
        derived from it.
    spacing
        Minimum interval between two group commits, in milliseconds.

    Attributes
    ----------
    holder_accounts
        Grants and bills of the present holder, which another one replaces once it is
        found sealed.
    outcomes
        The outcomes of the bills that answers wait for.
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
        self.outcomes = BillOutcomes()
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

    @property
    def is_failing(self) -> bool:
        """Tell whether the latest commit failed."""
        return self._failing_since is not None

    def start(self) -> None:
        """Start the task that commits in the background."""
        self._commit_task = asyncio.get_running_loop().create_task(self._run())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def request(self) -> None:
        """Let the next commit begin as soon as the interval allows."""
        self._commit_requested.set()

    async def wait_next(self) -> None:
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
        return wanted or self.is_failing or self._awaited_commit > self._commits_ended

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
            return encode(ledger)

        try:
            await self._object.update(change)
        except AnvilshiftError as error:
            self._record_failure(error)
            return False
        self._consecutive_failures, self._failing_since = 0, None
        if outcome.sealed:
            self.holder_accounts.drop_decided_bills(outcome.bills)
            self.outcomes.resolve(outcome.bills)
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
        self.outcomes.resolve(states)

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
            self.outcomes.resolve(
                {k: s for k, s in states.items() if s is not BillState.REFUSED}
            )
            return

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
