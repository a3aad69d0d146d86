"""Ask for permits to send to targets that have named limits, and issue them.

A request to such a target needs a permit of the one router that issues them for it.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.loadmap import LoadMap, TargetLoad
from anvilshift.core.permits import TAKEOVER, Bid, PermitDesk, State, Verdict
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import LimitBook, LimitHooks
from anvilshift.gateway.messages import PermitAnswer, PermitAsk, PermitDropped
from anvilshift.gateway.peers import Peers

_FIRST_TRY: Millis = 40.0
"""Some ten times what a question to another router takes."""
_TRIES = 3
"""Questions after which a router that answers none is given up for a while."""
_UNHEARD: Millis = 200.0
_RENEWAL: Millis = 150.0
_SILENCE: Millis = 4 * _RENEWAL
"""A bid that was not renewed for so long has no router any more."""
_LOOK_AGAIN: Millis = 500.0
"""How long a request waits in a line before other targets are weighed again."""
_REPORT: Millis = 1 * SECOND


@dataclass(frozen=True)
class Request:
    """A request that asks for a permit.

    Parameters
    ----------
    run
        Names the attempt among all routers'.
    latest
        A permit that comes later is of no use.
    """

    run: str
    identity: str
    organisation: str
    rank: int
    arrived: Millis
    latest: Millis


@dataclass
class _Question:
    """A request that waits for its permit here.

    Parameters
    ----------
    first
        Whether it is told at once that it must wait, and can go elsewhere.
    asked
        When the issuer was asked last.
    """

    request: Request
    target: str
    first: bool
    asked: Millis
    verdict: Verdict | None = None
    settled: asyncio.Event = field(default_factory=asyncio.Event)

    def take(self, verdict: Verdict) -> None:
        """Take in what the issuer says."""
        self.verdict = verdict
        if self.first or verdict.state is not State.QUEUED:
            self.settled.set()


@dataclass
class Permits:
    """One router's part in keeping to limits.

    Parameters
    ----------
    ip
        Where this router hears the others.
    """

    book: LimitBook
    ip: str
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    _desks: dict[str, PermitDesk] = field(default_factory=dict)
    _askers: dict[str, str] = field(default_factory=dict)
    _questions: dict[str, _Question] = field(default_factory=dict)
    _timers: dict[str, asyncio.TimerHandle] = field(default_factory=dict)
    _reported: Millis = 0.0

    def __post_init__(self) -> None:
        self.book.hooks = LimitHooks(self._serve, self._close_desk)

    def note_lapse(self) -> None:
        """Issue nothing for a while after this process stood still."""
        opens = self.clock.now() + TAKEOVER
        for desk in self._desks.values():
            desk.opens = opens

    # Requests of this router

    def is_limited(self, target: TargetLoad) -> bool:
        """Tell whether a request to a target needs a permit."""
        return target.find_rate(self.clock.now()) is not None

    async def ask(self, target: TargetLoad, request: Request, first: bool) -> Verdict:
        """Ask for a permit.

        Parameters
        ----------
        first
            Whether the request asks for it the first time; then it is told at once
            that it must wait, and can go elsewhere.
        """
        question = _Question(request, target.info.name, first, self.clock.now())
        self._questions[request.run] = question
        try:
            verdict = await self._wait(question)
        finally:
            del self._questions[request.run]
        if first and verdict.state is not State.GRANTED:
            self.journal.write(
                "permit_held_back",
                id=request.identity,
                target=question.target,
                state=verdict.state.value,
                wait=round(verdict.wait, 1),
                issuer=self.book.find_issuer(question.target),
            )
        return verdict

    async def _wait(self, question: _Question) -> Verdict:
        """Ask again and again, as any datagram may be lost."""
        until = self.clock.now() + _LOOK_AGAIN
        tries = 0
        while self.clock.now() < until:
            self._put(question)
            pause = _RENEWAL if question.verdict else _FIRST_TRY
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause / SECOND):
                    await question.settled.wait()
            verdict = question.verdict
            if verdict is not None and question.settled.is_set():
                return verdict
            tries += 1
            if verdict is None and tries >= _TRIES:
                return self._note_unheard(question)
        return question.verdict or self._note_unheard(question)

    def _put(self, question: _Question) -> None:
        """Put a question to the issuer."""
        now, request = self.clock.now(), question.request
        question.asked = now
        issuer = self.book.find_issuer(question.target)
        ask = PermitAsk(
            request.run,
            question.target,
            self.ip,
            request.organisation,
            request.rank,
            now - request.arrived,
            max(0.0, request.latest - now),
        )
        if issuer == self.book.own:
            self._judge(ask)
            return
        ip, target = self.book.find_ip(issuer), self.loads.targets.get(question.target)
        if ip is None or target is None:
            return
        if target.limit is not None and question.verdict is None:
            # An issuer that missed the naming would grant whatever is asked.
            self.peers.send(self.book.describe(target, target.limit), ip)
        self.peers.send(ask, ip)

    def _note_unheard(self, question: _Question) -> Verdict:
        issuer = self.book.find_issuer(question.target)
        self.journal.write("issuer_unheard", target=question.target, issuer=issuer)
        return Verdict(question.request.run, State.QUEUED, _UNHEARD)

    def withdraw(self, run: str, name: str) -> None:
        """Take in that a request waits no longer for a permit."""
        issuer = self.book.find_issuer(name)
        ip = self.book.find_ip(issuer)
        if issuer == self.book.own:
            self.hear_dropped(PermitDropped(run, name))
        elif ip is not None:
            self.peers.send(PermitDropped(run, name), ip)

    def hear_answer(self, answer: PermitAnswer) -> None:
        """Take in what the issuer says."""
        question = self._questions.get(answer.run)
        if question is None:
            return
        if self.clock.now() - question.asked > 2 * _RENEWAL:
            # This process stood still: the permit was for a time that has gone by.
            return
        question.take(Verdict(answer.run, State(answer.state), answer.wait))

    # Requests of all routers, at the issuer

    def hear_ask(self, ask: PermitAsk) -> None:
        """Answer another router's question."""
        if self.book.find_issuer(ask.target) != self.book.own:
            return
        self._askers[ask.run] = ask.ip
        self._judge(ask)

    def hear_dropped(self, message: PermitDropped) -> None:
        """Take in that a request waits no longer."""
        desk = self._desks.get(message.target)
        if desk is not None:
            desk.withdraw(message.run)
        self._askers.pop(message.run, None)

    def _judge(self, ask: PermitAsk) -> None:
        target = self.loads.targets.get(ask.target)
        if target is None:
            return
        now = self.clock.now()
        bid = Bid(
            ask.run,
            ask.organisation,
            ask.rank,
            now - ask.waited,
            now + ask.patience,
            now,
        )
        desk = self._find_desk(target)
        self._answer(desk.ask(bid, self.book.find_rate(target), now))
        self._set_timer(ask.target)

    def _find_desk(self, target: TargetLoad) -> PermitDesk:
        name = target.info.name
        desk = self._desks.get(name)
        if desk is None or not desk.is_of(target.meter):
            desk = PermitDesk(target.meter, self.clock.now() + TAKEOVER)
            self._desks[name] = desk
        return desk

    def _answer(self, verdict: Verdict) -> None:
        """Hand a verdict to the request that it is for, here or elsewhere."""
        queued = verdict.state is State.QUEUED
        find = self._askers.get if queued else self._askers.pop
        ip = find(verdict.run, None)
        if ip is not None:
            answer = PermitAnswer(verdict.run, verdict.state.value, verdict.wait)
            self.peers.send(answer, ip)
            return
        question = self._questions.get(verdict.run)
        if question is not None:
            question.take(verdict)

    def _serve(self, name: str) -> None:
        """Issue what can be issued now."""
        desk, target = self._desks.get(name), self.loads.targets.get(name)
        if desk is None or target is None:
            return
        rate, now = self.book.find_rate(target), self.clock.now()
        for verdict in desk.serve(rate, now, _SILENCE):
            self._answer(verdict)
        self._set_timer(name)

    def _close_desk(self, name: str) -> None:
        self._desks.pop(name, None)

    def _set_timer(self, name: str) -> None:
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        desk, target = self._desks.get(name), self.loads.targets.get(name)
        if desk is None or target is None or not desk.waiting:
            return
        now = self.clock.now()
        due = desk.find_next(self.book.find_rate(target), now)
        loop = asyncio.get_running_loop()
        delay = (due - now) / SECOND
        self._timers[name] = loop.call_later(delay, self._serve, name)

    # Time

    def sweep(self, now: Millis) -> None:
        """Forget what is over, and report on limits once a second."""
        self.book.end_over(now)
        for name in list(self._desks):
            target = self.loads.targets.get(name)
            if target is None or target.limit is None:
                self._close_desk(name)
        if now - self._reported >= _REPORT:
            self._reported = now
            self._forget_askers()
            self._report(now)

    def _forget_askers(self) -> None:
        """Forget who asked for what waits no longer."""
        for run in list(self._askers):
            if not any(run in desk for desk in self._desks.values()):
                del self._askers[run]

    def _report(self, now: Millis) -> None:
        for name, desk in self._desks.items():
            target = self.loads.targets[name]
            rate = self.book.find_rate(target)
            if rate is None:
                continue
            self.journal.write(
                "limit_use",
                target=name,
                rate=round(rate, 3),
                lately=target.meter.count(now),
                issued=desk.issued,
                refused=desk.refused,
                waiting=desk.waiting,
            )
