"""Reserve tokens from the grants of one ledger object, and bill requests to it."""

import asyncio
import contextlib
from dataclasses import replace

from anvilshift.core.account import Bill, BillState
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    BUDGET_FROZEN,
    BUDGET_UNREACHABLE,
    AnvilshiftError,
)
from anvilshift.core.escrow import Escrow
from anvilshift.core.grant import Reservation
from anvilshift.objects.store import ObjectStore
from anvilshift.router.groupcommits import GroupCommits
from anvilshift.router.hooks import Hooks
from anvilshift.router.peerrequests import PeerRequests
from anvilshift.router.refusals import make_budget_error, make_not_recorded_error

EARLY_RELEASE_DELAY: Millis = 400.0
"""Time that the end of an answer waits for its bill to be committed before it is
released early, within the allowance.  It is twice the interval between commits, so
early releases are rare while the platform responds."""
_RELEASE_RETRY_DELAY: Millis = 100.0
_MAX_REFILLS = 2
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
    """The reservations and bills of one ledger object.

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
        self.commits = GroupCommits(store, name, clock, incarnation, spacing, hooks)
        self.sealing = self.commits.sealing
        self.early_release = self.commits.early_release
        self._clock = clock
        self._peer_requests = PeerRequests(hooks)

    @property
    def holder_accounts(self) -> Escrow:
        """Return the grants and bills of this router's present holder."""
        return self.commits.holder_accounts

    @property
    def platform_unavailable(self) -> bool:
        """Tell whether commits have failed, or one has been in flight, for too long."""
        return self.commits.platform_unavailable

    def start(self) -> None:
        """Start the task that commits in the background."""
        self.commits.start()

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
            await self.commits.wait_next()
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
            self.commits.request()
        return True

    def _raise_cached_refusal(self, account: str, tokens: int) -> None:
        grant_state = self.holder_accounts.grant_states[account]
        code = grant_state.recall_refusal(tokens, self._clock.now())
        if code is not None:
            raise make_budget_error(code)

    def _refuse(self, account: str, key: str, tokens: int) -> None:
        grant_state = self.holder_accounts.grant_states[account]
        if self.platform_unavailable or self.commits.is_failing:
            detail = "the platform is unavailable and this router's grant is spent"
            raise AnvilshiftError(BUDGET_UNREACHABLE, detail, 2 * SECOND)
        code = grant_state.refuse(key, tokens, self._clock.now())
        raise make_budget_error(code, grant_state.lacks_doubtful(tokens))

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
        outcome = self.commits.outcomes.expect(account, bill.key)
        self.commits.request()
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

    async def give_back(self, account: str | None) -> bool:
        """Return unreserved tokens to the budget; False if that wasn't recorded."""
        grant_states = self.holder_accounts.grant_states
        names = [name for name in grant_states if account in (None, name)]
        for name in names:
            grant_states[name].give(self._clock.now())
        if any(grant_states[name].giving for name in names):
            await self.commits.wait_next()
        return not self.commits.is_failing

    def has_no_pending_changes(self) -> bool:
        """Tell whether every bill and every return of tokens is recorded."""
        grant_states = self.holder_accounts.grant_states.values()
        open_states = [s for s in grant_states if s.has_unrecorded_changes or s.giving]
        return not self.commits.is_failing and not open_states

    async def close(self) -> None:
        """Stop the background task, commit all bills and return the grants."""
        await self.commits.close()
