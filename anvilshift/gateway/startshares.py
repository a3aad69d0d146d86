"""Borrow shares of starting targets from other routers, and lend them this router's."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.health.lentshares import LentShares, predict_wait
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.startmessages import (
    StartShareAnswer,
    StartShareAsk,
    StartShareEnded,
)

_ANSWER_TIMEOUT: Millis = 150.0
"""Time for the answer of a router that is asked for a share, which may be in another
region; another one is asked then."""
_LOOK: Millis = 15.0
"""Time between two looks for a share: a datagram's way there and back."""
_SILENT_MOST = 3
"""Lenders in a row that don't answer, after which this router takes itself for cut off
and keeps one request of its own at the target."""

AddHandler = Callable[[type, Callable[[Any], None]], None]


@dataclass(frozen=True)
class Lenders:
    """What a router knows of a target's pace.

    Parameters
    ----------
    own
        Shares that this router has.
    window
        Requests that all routers together may have there.
    running
        This router's runs there.
    addresses
        Addresses of the others that have shares, in the order in which it asks them.
    """

    own: int
    window: float
    running: Collection[str]
    addresses: list[str]


@dataclass
class StartShares:
    """The shares of starting targets that this router holds, borrows and lends.

    Parameters
    ----------
    find
        Returns what is known of a target's pace; None if it is open.
    """

    peers: Peers
    clock: Clock
    find: Callable[[str], Lenders | None]
    borrowed: int = 0
    _shares: dict[str, LentShares] = field(default_factory=dict)
    _lenders: dict[str, tuple[str, str]] = field(default_factory=dict)
    _answers: dict[str, asyncio.Future[bool]] = field(default_factory=dict)
    _asking: set[str] = field(default_factory=set)
    _turns: dict[str, int] = field(default_factory=dict)
    _silent: dict[str, int] = field(default_factory=dict)
    _waiting: dict[str, int] = field(default_factory=dict)

    # Shares for this router's requests

    async def take(self, name: str, run: str) -> bool:
        """Take a share of a target for a run, or look for one a moment.

        Returns
        -------
        bool
            Whether the run may be sent now.
        """
        if self._take_own(name, run):
            return True
        self._waiting[name] = self._waiting.get(name, 0) + 1
        try:
            if name not in self._asking and await self._ask(name, run):
                return True
            await asyncio.sleep(_LOOK / SECOND)
            return self._take_own(name, run)
        finally:
            self._waiting[name] -= 1
            if not self._waiting[name]:
                del self._waiting[name]

    def predict_wait(self, name: str, usual: Millis) -> Millis:
        """Return the least time until a further request gets a share of a target.

        Parameters
        ----------
        usual
            Time for which a request usually holds one.
        """
        known = self.find(name)
        if known is None:
            return 0.0
        return predict_wait(self._waiting.get(name, 0), known.window, usual)

    def count_used(self, name: str, running: Collection[str]) -> int:
        """Return how many of this router's shares of a target are in use."""
        shares = self._shares.get(name)
        return len(running) if shares is None else shares.count(running, self._now())

    def _take_own(self, name: str, run: str) -> bool:
        known = self.find(name)
        if known is None:
            return True
        share = known.own
        if self._silent.get(name, 0) >= min(_SILENT_MOST, len(known.addresses)):
            share = max(1, share)
        return self._lend(name, run, share, known.running)

    def _lend(self, name: str, run: str, share: int, running: Collection[str]) -> bool:
        shares = self._shares.setdefault(name, LentShares())
        return shares.lend(run, share, running, self._now())

    async def _ask(self, name: str, run: str) -> bool:
        known = self.find(name)
        if known is None or not known.addresses:
            return known is None
        turn = self._turns[name] = self._turns.get(name, -1) + 1
        lender = known.addresses[turn % len(known.addresses)]
        answer = asyncio.get_running_loop().create_future()
        self._answers[run] = answer
        self._asking.add(name)
        self.peers.send(StartShareAsk(run, name, self.peers.ip), lender)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT / SECOND):
                granted = await answer
        except TimeoutError:
            self._silent[name] = self._silent.get(name, 0) + 1
            return False
        finally:
            self._asking.discard(name)
            del self._answers[run]
            if answer.done() and not answer.cancelled() and answer.result():
                self._lenders[run] = name, lender
        self._silent.pop(name, None)
        self.borrowed += granted
        return granted

    def end(self, name: str, run: str) -> None:
        """Give back the share of a run that has ended, or isn't sent."""
        lent = self._lenders.pop(run, None)
        if lent is not None:
            self.peers.send(StartShareEnded(run, lent[0]), lent[1])
        if name in self._shares:
            self._shares[name].end(run)

    def forget(self, name: str) -> None:
        """Forget the shares of a target that is open."""
        for known in (self._shares, self._turns, self._silent):
            known.pop(name, None)

    def _now(self) -> Millis:
        return self.clock.now()

    # Shares for other routers' requests

    def connect(self, add_handler: AddHandler) -> None:
        """Handle other routers' messages."""
        add_handler(StartShareAsk, self.handle_ask)
        add_handler(StartShareAnswer, self.handle_answer)
        add_handler(StartShareEnded, lambda one: self.end(one.target, one.run))

    def handle_ask(self, ask: StartShareAsk) -> None:
        """Lend another router a share, if one is free or the target is open."""
        known = self.find(ask.target)
        granted = known is None or self._lend(
            ask.target, ask.run, known.own, known.running
        )
        answer = StartShareAnswer(ask.run, ask.target, self.peers.ip, granted)
        self.peers.send(answer, ask.ip)

    def handle_answer(self, answer: StartShareAnswer) -> None:
        """Pass an answer on; a share that comes too late is given back."""
        waiting = self._answers.get(answer.run)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer.granted)
        elif answer.granted:
            self.peers.send(StartShareEnded(answer.run, answer.target), answer.ip)
