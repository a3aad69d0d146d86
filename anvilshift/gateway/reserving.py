"""Reserve tokens for requests from this router, from an allocator or from the store.

An allocator is a router that holds tokens of an organisation for all routers.
"""

import asyncio
import contextlib
from collections.abc import Callable

from anvilshift.core.allocators import AllocatorMap
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    AnvilshiftError,
)
from anvilshift.core.refusals import RETRY_DELAY, Refusal, RefusalMemory
from anvilshift.core.sequencenumbers import SequenceNumbers
from anvilshift.core.tokensearch import (
    ANSWER_TIMEOUT,
    Answer,
    TokenSearch,
    TokenSearches,
)
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Ask, Gift, Lack
from anvilshift.gateway.recording import Recorder
from anvilshift.gateway.settling import SettlementReports
from anvilshift.gateway.shares import ShareManager

_MAX_STEP_WAIT: Millis = 40.0
"""Maximum wait for a gift or a write to the store before the search continues."""
_MIN_WAIT: Millis = 1.0
"""Minimum wait, the resolution of a timer.  Shorter waits would end in a busy loop."""
_MAX_WAIT: Millis = 2.5 * SECOND
"""Maximum time that a request waits for tokens.  A refused request returns later than
that, so waiting is faster for the caller."""
_MAX_LEND_WAIT: Millis = 250.0
"""Maximum time that another router's request waits here.  After that the router may
ask the other allocator."""
_RETRY_DELAY_AT_START: Millis = 300.0
"""Retry delay just after a start.  The shares of routers that were killed together are
ended one by one within a second."""
_DRAW_DELAY: Millis = 200.0
"""Retry delay where tokens are free and others have taken what was drawn: about two
draws later."""
_UNREADY_WAIT: Millis = 60.0
"""When to ask an allocator again at the earliest that has just started and has no share
yet, or that may not spend enough of its tokens yet."""
_MAX_KEPT_ANSWERS = 512
"""Number of answers kept for asks that arrive twice."""


class Reservations:
    """Reserve tokens for the requests of this router and of other routers.

    Parameters
    ----------
    ask
        Sends an ask to a router, given by its name; returns whether that router
        is reachable.
    recorder
        Records this router's use; None where use isn't recorded.
    """

    def __init__(
        self,
        allotter: ShareManager,
        allocators: AllocatorMap,
        clock: Clock,
        journal: Journal,
        ask: Callable[[str, int, str, int], bool] = lambda *ask: False,
        recorder: Recorder | None = None,
    ) -> None:
        self.allotter = allotter
        self.balances = allotter.balances
        self.allocators = allocators
        self.clock = clock
        self.journal = journal
        self.ask = ask
        self.recorder = recorder
        self.settlements = SettlementReports(self.balances, clock)
        self._searches = TokenSearches()
        self._refusals = RefusalMemory()
        self._answers: dict[tuple[str, int], Gift | Lack | None] = {}
        self._last_gift = 0
        self._received: dict[str, SequenceNumbers] = {}

    def forget_refusals(self) -> None:
        """Forget remembered refusals, because totals may have grown."""
        self._refusals.clear()

    def settle(self, name: str, key: str, tokens: int) -> None:
        """Replace a request's reservation by what it used; 0 when it did not run."""
        self.balances.settle(name, key, tokens, self.clock.now())

    async def reserve(self, name: str, key: str, tokens: int, until: Millis) -> None:
        """Reserve tokens for a request.

        Raises
        ------
        AnvilshiftError
            Code 2001 when the total is known to be too small, code 2002 when
            there may be enough tokens but they can't be drawn now.
        """
        now = self.clock.now()
        if not self.balances.reserve(name, key, tokens, now):
            await self._wait(name, key, tokens, min(until, now + _MAX_WAIT))
        self._refusals.note_served(name)

    def _begin_search(self, name: str, asks_others: bool) -> TokenSearch:
        """Begin to ask the allocators that are known now."""
        allocators = self.allocators.list_others(name) if asks_others else ()
        deputies = self.allocators.list_deputies(name) if allocators else ()
        records = self.recorder.records if self.recorder else 0
        draws = self.allotter.writes_ended
        search = TokenSearch(allocators, draws, records, organisation=name)
        search.deputies = deputies
        self._searches.begin(search)
        return search

    async def _wait(
        self, name: str, key: str, tokens: int, until: Millis, asks_others: bool = True
    ) -> None:
        try:
            self._check_refusals(name, key, tokens, until)
            while not self._may_search(name) and self.clock.now() < until:
                await self._wait_round(until)
            while not await self._search(name, key, tokens, until, asks_others):
                if self.balances.reserve(name, key, tokens, self.clock.now()):
                    return
        finally:
            self.balances.cancel_waiting(name, key)

    def _may_search(self, name: str) -> bool:
        """Tell whether tokens may be looked for, by asking allocators at least."""
        if self.allotter.is_ready:
            return True
        others_keep = not self.allocators.is_allocator(name)
        return others_keep and self.allotter.has_discovered_peers()

    def _check_refusals(self, name: str, key: str, tokens: int, until: Millis) -> None:
        known = self._refusals.find(name, tokens, until, self.clock.now())
        if known is not None and not self._is_soon(name, key, until):
            certain = known.certain or self.allotter.is_exhausted(name, tokens)
            raise self._make_refusal(name, tokens, certain, known.wait)

    async def _search(
        self, name: str, key: str, tokens: int, until: Millis, asks_others: bool
    ) -> bool:
        """Wait until tokens are reserved; False when a new search has to begin.

        Raises
        ------
        AnvilshiftError
            When the tokens won't be available in time.
        """
        search = self._begin_search(name, asks_others)
        try:
            while self.clock.now() < until:
                self._request_tokens(name, tokens, search)
                await self._wait_round(until)
                if self.balances.reserve(name, key, tokens, self.clock.now()):
                    return True
                if search.is_granted:
                    return False
                if self._is_soon(name, key, until):
                    continue
                if self._is_certain(name, tokens, search):
                    break
                self._draw_if_unanswered(name, search)
                if not self._has_failed(name, tokens, search):
                    continue
                if not await self._wait_for_allocator(name, tokens, until, search):
                    break
                return False
        finally:
            self._searches.end(search)
        raise self._refuse(name, key, tokens, search)

    async def _wait_for_allocator(
        self, name: str, tokens: int, until: Millis, search: TokenSearch
    ) -> bool:
        """Wait until an allocator may have the tokens; False if that is too late.

        A gift that arrives late, behind a burst on a slow link, ends the wait.
        """
        wait = search.find_wait()
        if wait is None and self.allotter.has_just_started():
            # The allocators may have started with this router and may be waiting too.
            wait = _RETRY_DELAY_AT_START
        due = self.clock.now() + max(_MIN_WAIT, wait or 0.0)
        if wait is None or due >= until:
            return False
        balance = self.balances.by_name[name]
        while (now := self.clock.now()) < due and balance.available(now) < tokens:
            await self._wait_round(due)
        return True

    def _request_tokens(self, name: str, tokens: int, search: TokenSearch) -> None:
        """Trigger a record, an ask or a draw, whichever may provide the tokens."""
        now, balance = self.clock.now(), self.balances.by_name[name]
        if self.recorder and tokens <= balance.ready:
            self.recorder.record_soon()
        allocator = search.find_next(now)
        lacking = max(1, tokens - max(0, balance.available(now)))
        if allocator is not None:
            search.asked.add(lacking)
            if not self.ask(allocator, search.number, name, lacking):
                search.skip()
        self._draw_if_unanswered(name, search)
        self.allotter.wake()

    def _draw_if_unanswered(self, name: str, search: TokenSearch) -> None:
        """Let this router draw from the store itself if no allocator has answered.

        Just after a start the allocators may be starting as well.  If each router drew
        for itself, their writes would conflict with those of the allocators.
        """
        now = self.clock.now()
        if search.is_unanswered(now) and not self.allotter.has_just_started():
            self.balances.record_missing_allocator(name, now)

    def _has_failed(self, name: str, tokens: int, search: TokenSearch) -> bool:
        """Tell whether no allocator, no record and no draw can provide the tokens."""
        now, balance = self.clock.now(), self.balances.by_name[name]
        if not search.is_over(now):
            return False
        if self.allotter.has_just_started() and balance.draws(now):
            return False
        if self._may_record(search) and tokens <= balance.ready:
            return False
        if not balance.draws(now):
            return True
        if self.allotter.failing or self.balances.is_depleted(name, now):
            return True
        # Another request may have taken what a draw brought; the next one brings more.
        has_drawn = search.has_drawn(self.allotter.writes_ended)
        return has_drawn and not self._draws_free(name, tokens)

    def _draws_free(self, name: str, tokens: int) -> bool:
        """Tell whether this router's next draw should bring so many tokens."""
        now, balance = self.clock.now(), self.balances.by_name[name]
        if self.allotter.failing or not balance.draws(now):
            return False
        return balance.knows_free(tokens, now)

    def _may_record(self, search: TokenSearch) -> bool:
        """Tell whether a further record may allow the ready tokens to be spent."""
        recorder = self.recorder
        if recorder is None or not recorder.is_store_answering():
            return False
        return not search.is_recorded(recorder.records)

    def _is_soon(self, name: str, key: str, until: Millis) -> bool:
        """Tell whether enough of the ready tokens may be spent before the deadline."""
        now = self.clock.now()
        wait = self.balances.find_wait(name, key, now)
        return wait is not None and now + wait < until

    async def _wait_round(self, until: Millis) -> None:
        """Wait briefly for a write to the store or a gift."""
        left = min(until - self.clock.now(), _MAX_STEP_WAIT, ANSWER_TIMEOUT)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(_MIN_WAIT, left) / SECOND):
                await self.allotter.wait_for_update()

    def _is_certain(self, name: str, tokens: int, search: TokenSearch) -> bool:
        if self.allocators.is_allocator(name):
            return self.allotter.is_exhausted(name, tokens)
        return search.is_certain()

    def _refuse(
        self, name: str, key: str, tokens: int, search: TokenSearch
    ) -> AnvilshiftError:
        """Return the error for a request; remember it for others as large.

        It is not remembered if the request was refused only because its time was over
        before an allocator answered: there may be plenty of tokens.
        """
        now = self.clock.now()
        certain = self._is_certain(name, tokens, search)
        waits = [self.balances.find_wait(name, key, now), search.find_wait()]
        waits.append(self.balances.by_name[name].find_release(tokens, now))
        if self.allotter.has_just_started():
            waits.append(_RETRY_DELAY_AT_START)
        if self._draws_free(name, tokens):
            waits.append(_DRAW_DELAY)
        known = [wait for wait in waits if wait is not None and wait > 0.0]
        wait = min(known, default=None)
        if wait is None:
            wait = self._refusals.note_dry_spell(name, now)
        if search.answers or self.allocators.is_allocator(name):
            self._refusals.remember(name, Refusal(tokens, certain, wait, now))
        return self._make_refusal(name, tokens, certain, wait)

    def _make_refusal(
        self, name: str, tokens: int, certain: bool, wait: Millis
    ) -> AnvilshiftError:
        self.journal.write(
            "budget_refused",
            organisation=name,
            tokens=tokens,
            **self.balances.describe(name, self.clock.now()),
            certain=certain,
            wait=wait,
            share_age=round(self.allotter.find_shares_age()),
        )
        if certain:
            return AnvilshiftError(BUDGET_EXHAUSTED)
        return AnvilshiftError(BUDGET_UNREACHABLE, retry_after=wait)

    # Other routers' requests

    async def answer_ask(self, ask: Ask) -> Gift | Lack | None:
        """Return the answer to another router's ask; None while the search is running.

        Copies of an ask get the same answer: a gift for each copy would leave
        unused tokens at the asking router.
        """
        key = (ask.holder, ask.number)
        if key in self._answers:
            return self._answers[key]
        self._answers[key] = None
        if len(self._answers) > _MAX_KEPT_ANSWERS:
            del self._answers[next(iter(self._answers))]
        answer = await self._answer(ask)
        self._answers[key] = answer
        return answer

    async def _answer(self, ask: Ask) -> Gift | Lack:
        name, key = ask.organisation, f"{ask.holder}#{ask.number}"
        if name not in self.balances.by_name:
            return Lack(ask.holder, ask.number, name, False, RETRY_DELAY)
        if not self.allotter.is_ready:
            # A gift that comes later would arrive beside that of the next ask.
            return Lack(ask.holder, ask.number, name, False, _UNREADY_WAIT)
        now = self.clock.now()
        if not self.balances.reserve(name, key, ask.tokens, now):
            if ask.keeping:
                # Another allocator asks as a last resort and draws for itself
                # meanwhile.  It may come back when records allow these tokens.
                wait = self.balances.find_wait(name, key, now)
                self.balances.cancel_waiting(name, key)
                wait = RETRY_DELAY if wait is None else max(wait, _UNREADY_WAIT)
                return Lack(ask.holder, ask.number, name, False, wait)
            # The asking router asks the other allocator itself.
            until = now + _MAX_LEND_WAIT
            try:
                await self._wait(name, key, ask.tokens, until, asks_others=False)
            except AnvilshiftError as error:
                certain = error.code is BUDGET_EXHAUSTED
                wait = float(error.retry_after or RETRY_DELAY)
                return Lack(ask.holder, ask.number, name, certain, wait)
        self._refusals.note_served(name)
        tokens = self.balances.transfer_reservation(name, key, self.clock.now())
        return self._make_gift(ask.holder, name, tokens)

    def _make_gift(self, holder: str, name: str, tokens: int) -> Gift:
        self._last_gift += 1
        return Gift(self.allotter.holder, self._last_gift, holder, name, tokens)

    def return_idle(
        self, find_allocator: Callable[[str], tuple[str, str] | None]
    ) -> list[tuple[Gift, str]]:
        """Return gifts of idle tokens, each with the address of its receiver.

        Parameters
        ----------
        find_allocator
            Returns the incarnation and the address of an allocator of an
            organisation's tokens; None if there is none.
        """
        gifts = []
        for name, tokens in self.balances.find_returnable(self.clock.now()).items():
            allocator = find_allocator(name)
            if allocator is not None:
                self.balances.debit(name, tokens)
                gifts.append(
                    (self._make_gift(allocator[0], name, tokens), allocator[1])
                )
        return gifts

    def apply_gift(self, gift: Gift) -> None:
        """Add tokens that another router gave."""
        if gift.holder != self.allotter.holder:
            return
        # A datagram may arrive twice; a gift counted twice would cause overspending.
        if self._received.setdefault(gift.giver, SequenceNumbers()).accept(gift.number):
            self.balances.credit(gift.organisation, gift.tokens)
            self._searches.note_gift(gift.organisation, gift.tokens)
            self.allotter.notify_waiters()

    def apply_lack(self, lack: Lack) -> None:
        """Record that an allocator can't provide what was asked for."""
        search = self._searches.find(lack.number)
        if search is not None and lack.holder == self.allotter.holder:
            search.note(Answer(lack.certain, lack.wait))
            self.allotter.notify_waiters()
