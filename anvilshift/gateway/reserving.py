"""Set tokens aside for requests: from this router's, a keeper's or the store's."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from anvilshift.core.asking import ANSWER_WITHIN, Answer, TokenHunt
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    AnvilshiftError,
)
from anvilshift.core.keepers import KeeperMap
from anvilshift.core.once import Numbers
from anvilshift.gateway.allotting import Allotter
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Ask, Gift, Lack
from anvilshift.gateway.recording import Recorder

_ROUND: Millis = 40.0
"""How long a gift and a write of the store are waited for before a look at both."""
_LEAST_ROUND: Millis = 1.0
"""A timer's resolution: the last bit of a wait would be spent in a busy loop."""
_WAIT: Millis = 2.5 * SECOND
"""How long a request waits at the most, for tokens that it will have by then: one that
is refused comes back later than that."""
_LEND_WAIT: Millis = 250.0
"""How long another router's request waits here; then it may ask the other keeper."""
_RETRY: Millis = 4 * SECOND
"""A store that is out of reach comes back, or a total is topped up, after some
seconds; a caller that comes back sooner is refused again."""
_RETRY_AT_START: Millis = 300.0
"""The same just after a start: the shares of routers that were killed together are
ended one by one, within a second."""
_REMEMBER: Millis = 500.0
"""How long a refusal of an organisation's request holds for others as large:
without it each of a burst of them would cost writes and wait in vain."""
_REMEMBERED = 512
"""Answers to asks that are kept, for an ask that comes twice."""


@dataclass(frozen=True)
class _Refusal:
    tokens: int
    until: Millis
    certain: bool
    wait: Millis | None


class Reservations:
    """Set tokens aside for this router's requests and for other routers'.

    Parameters
    ----------
    ask
        Sends an ask to the router of a name; tells whether it is there.
    recorder
        Records this router's use; None where that isn't done.
    """

    def __init__(
        self,
        allotter: Allotter,
        keepers: KeeperMap,
        clock: Clock,
        journal: Journal,
        ask: Callable[[str, int, str, int], bool] = lambda *ask: False,
        recorder: Recorder | None = None,
    ) -> None:
        self.allotter = allotter
        self.wallet = allotter.wallet
        self.keepers = keepers
        self.clock = clock
        self.journal = journal
        self.ask = ask
        self.recorder = recorder
        self._asks = 0
        self._hunts: dict[int, TokenHunt] = {}
        self._refusals: dict[str, _Refusal] = {}
        self._lent: dict[tuple[str, int], Gift | Lack | None] = {}
        self._gifts = 0
        self._received: dict[str, Numbers] = {}

    def forget_refusals(self) -> None:
        """Take in that totals may have grown."""
        self._refusals.clear()

    def settle(self, name: str, key: str, tokens: int) -> None:
        """Count what a request used; 0 when it did not run."""
        self.wallet.settle(name, key, tokens, self.clock.now())

    async def reserve(self, name: str, key: str, tokens: int, until: Millis) -> None:
        """Set tokens aside for a request.

        Raises
        ------
        AnvilshiftError
            Code 2001 when the total certainly can't cover them, code 2002 when
            more may be there but can't be drawn now.
        """
        now = self.clock.now()
        if not self.wallet.reserve(name, key, tokens, now):
            hunt = self._begin_hunt(self.keepers.list_others(name))
            await self._wait(name, key, tokens, min(until, now + _WAIT), hunt)

    def _begin_hunt(self, keepers: Sequence[str]) -> TokenHunt:
        records = self.recorder.records if self.recorder else 0
        return TokenHunt(keepers, self.allotter.rounds, records)

    async def _wait(
        self, name: str, key: str, tokens: int, until: Millis, hunt: TokenHunt
    ) -> None:
        try:
            self._check_remembered(name, key, tokens, until)
            while not self.allotter.begun and self.clock.now() < until:
                await self._wait_round(until)
            while not await self._hunt(name, key, tokens, until, hunt):
                hunt = self._begin_hunt(hunt.keepers)
        finally:
            self.wallet.give_up(name, key)

    def _check_remembered(
        self, name: str, key: str, tokens: int, until: Millis
    ) -> None:
        known, now = self._refusals.get(name), self.clock.now()
        held = known is not None and now < known.until and tokens >= known.tokens
        if known and held and not self._is_soon(name, key, until):
            certain = known.certain or self.allotter.is_exhausted(name, tokens)
            raise self._make_refusal(name, tokens, certain, known.wait)

    async def _hunt(
        self, name: str, key: str, tokens: int, until: Millis, hunt: TokenHunt
    ) -> bool:
        """Wait until tokens are set aside; False when a keeper is to be asked again.

        Raises
        ------
        AnvilshiftError
            When they won't be there in time.
        """
        self._asks += 1
        number = self._asks
        self._hunts[number] = hunt
        try:
            while (now := self.clock.now()) < until:
                self._seek(name, tokens, number, now)
                await self._wait_round(until)
                if self.wallet.reserve(name, key, tokens, self.clock.now()):
                    return True
                if self._is_soon(name, key, until):
                    continue
                if self._is_certain(name, tokens, hunt):
                    break
                if not self._is_hopeless(name, tokens, hunt):
                    continue
                if not await self._wait_for_keeper(until, hunt):
                    break
                return False
        finally:
            del self._hunts[number]
        raise self._make_up_refusal(name, key, tokens, hunt)

    async def _wait_for_keeper(self, until: Millis, hunt: TokenHunt) -> bool:
        """Wait until a keeper may have the tokens; False when that is too late."""
        wait = hunt.find_wait()
        if wait is None and self.allotter.has_just_started():
            # The keepers may have started with this router, and wait themselves.
            wait = _RETRY_AT_START
        if wait is None or self.clock.now() + wait >= until:
            return False
        await asyncio.sleep(max(_LEAST_ROUND, wait) / SECOND)
        return True

    def _seek(self, name: str, tokens: int, number: int, now: Millis) -> None:
        """Do what may bring the tokens."""
        hunt, purse = self._hunts[number], self.wallet.purses[name]
        if self.recorder and tokens <= purse.ready:
            self.recorder.hurry()
        keeper = hunt.find_next(now)
        lacking = max(1, tokens - max(0, purse.available(now)))
        if keeper is not None and not self.ask(keeper, number, name, lacking):
            hunt.skip()
        if hunt.is_unanswered(now):
            self.wallet.note_unkept(name, now)
        self.allotter.wake()

    def _is_hopeless(self, name: str, tokens: int, hunt: TokenHunt) -> bool:
        """Tell whether no keeper, no record and no draw will bring the tokens."""
        now, purse = self.clock.now(), self.wallet.purses[name]
        if not hunt.is_over(now):
            return False
        if self.allotter.has_just_started() and purse.draws(now):
            return False
        if self._may_record(hunt) and tokens <= purse.ready:
            return False
        if not purse.draws(now):
            return True
        stale = self.allotter.failing or self.wallet.is_dry(name, now)
        return stale or hunt.has_drawn(self.allotter.rounds)

    def _may_record(self, hunt: TokenHunt) -> bool:
        """Tell whether a record may yet let this router spend what lies ready."""
        recorder = self.recorder
        if recorder is None or not recorder.is_answered():
            return False
        return not hunt.is_recorded(recorder.records)

    def _is_soon(self, name: str, key: str, until: Millis) -> bool:
        """Tell whether what lies ready may be spent in time."""
        now = self.clock.now()
        wait = self.wallet.find_wait(name, key, now)
        return wait is not None and now + wait < until

    async def _wait_round(self, until: Millis) -> None:
        """Wait for a write of the store or a gift, for a moment."""
        left = min(until - self.clock.now(), _ROUND, ANSWER_WITHIN)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(_LEAST_ROUND, left) / SECOND):
                await self.allotter.wait_round()

    def _is_certain(self, name: str, tokens: int, hunt: TokenHunt) -> bool:
        if self.keepers.is_keeper(name):
            return self.allotter.is_exhausted(name, tokens)
        return hunt.is_certain()

    def _make_up_refusal(
        self, name: str, key: str, tokens: int, hunt: TokenHunt
    ) -> AnvilshiftError:
        """Return the refusal of a request, and remember it for others as large."""
        now = self.clock.now()
        certain = self._is_certain(name, tokens, hunt)
        waits = [self.wallet.find_wait(name, key, now), hunt.find_wait()]
        if self.allotter.has_just_started():
            waits.append(_RETRY_AT_START)
        known = [wait for wait in waits if wait is not None and wait > 0.0]
        wait = min(known, default=None)
        self._refusals[name] = _Refusal(tokens, now + _REMEMBER, certain, wait)
        return self._make_refusal(name, tokens, certain, wait)

    def _make_refusal(
        self, name: str, tokens: int, certain: bool, wait: Millis | None
    ) -> AnvilshiftError:
        purse, now = self.wallet.purses[name], self.clock.now()
        known = self.wallet.seen.of(name)
        self.journal.write(
            "budget_refused",
            organisation=name,
            tokens=tokens,
            available=purse.available(now),
            ready=purse.ready,
            total=purse.total,
            free=known.free,
            closed=known.closed,
            doubt=known.doubt,
            spent=purse.spent,
            keeping=purse.keeping,
            certain=certain,
            wait=wait,
            share_age=round(self.allotter.find_age()),
        )
        if certain:
            return AnvilshiftError(BUDGET_EXHAUSTED)
        return AnvilshiftError(BUDGET_UNREACHABLE, retry_after=wait or _RETRY)

    # Other routers' requests

    async def lend(self, ask: Ask) -> Gift | Lack | None:
        """Return the answer to another router's ask; None while it is sought.

        An ask that comes twice is answered once: a gift for each copy would leave
        tokens lying at the asker.
        """
        key = (ask.holder, ask.number)
        if key in self._lent:
            return self._lent[key]
        self._lent[key] = None
        if len(self._lent) > _REMEMBERED:
            del self._lent[next(iter(self._lent))]
        answer = await self._find_answer(ask)
        self._lent[key] = answer
        return answer

    async def _find_answer(self, ask: Ask) -> Gift | Lack:
        name, key = ask.organisation, f"{ask.holder}#{ask.number}"
        if name not in self.wallet.purses:
            return Lack(ask.holder, ask.number, name, False, _RETRY)
        now = self.clock.now()
        if not self.wallet.reserve(name, key, ask.tokens, now):
            if ask.keeping:
                # It asks as a last resort, and draws for itself meanwhile.
                self.wallet.give_up(name, key)
                return Lack(ask.holder, ask.number, name, False, _RETRY)
            # Whoever asks asks the other keeper itself.
            hunt = self._begin_hunt(())
            try:
                await self._wait(name, key, ask.tokens, now + _LEND_WAIT, hunt)
            except AnvilshiftError as error:
                certain = error.code is BUDGET_EXHAUSTED
                wait = float(error.retry_after or _RETRY)
                return Lack(ask.holder, ask.number, name, certain, wait)
        tokens = self.wallet.hand_over(name, key, self.clock.now())
        return self._make_gift(ask.holder, name, tokens)

    def _make_gift(self, holder: str, name: str, tokens: int) -> Gift:
        self._gifts += 1
        return Gift(self.allotter.holder, self._gifts, holder, name, tokens)

    def return_idle(
        self, find_keeper: Callable[[str], tuple[str, str] | None]
    ) -> list[tuple[Gift, str]]:
        """Return gifts of what lies idle here, and the addresses that get them.

        Parameters
        ----------
        find_keeper
            Tells the incarnation and the address of a keeper of an organisation's
            tokens.
        """
        gifts = []
        for name, tokens in self.wallet.find_idle(self.clock.now()).items():
            keeper = find_keeper(name)
            if keeper is not None:
                self.wallet.take_out(name, tokens)
                gifts.append((self._make_gift(keeper[0], name, tokens), keeper[1]))
        return gifts

    def take_gift(self, gift: Gift) -> None:
        """Take in tokens that another router gave."""
        if gift.holder != self.allotter.holder:
            return
        # A datagram may come twice; a gift that counted twice would overspend.
        if self._received.setdefault(gift.giver, Numbers()).take(gift.number):
            self.wallet.receive(gift.organisation, gift.tokens)
            self.allotter.end_round()

    def take_lack(self, lack: Lack) -> None:
        """Take in that a keeper can't give what was asked for."""
        hunt = self._hunts.get(lack.number)
        if hunt is not None and lack.holder == self.allotter.holder:
            hunt.note(Answer(lack.certain, lack.wait))
            self.allotter.end_round()
