"""Answer for one caller's request.

Place it, pass its answer on, repeat it where that is allowed, and say truly what
became of it.
"""

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from anvilshift.core.blame import BlameBook
from anvilshift.core.choosing import Choice, Demand, choose_engine, choose_plain
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.durations import Mean
from anvilshift.core.ejection import State
from anvilshift.core.errors import (
    ANSWER_LATE,
    ENGINE_FAILED,
    NO_ENGINE,
    NOT_READY,
    OVERLOADED,
    QUARANTINED,
    UNAUTHENTICATED,
    UNKNOWN_ROUTE,
    AnvilshiftError,
    Code,
)
from anvilshift.core.loadmap import Prompt
from anvilshift.core.retries import RetryBudget
from anvilshift.core.routing import ModelFigures, RequestKind, RouteTable, Rule, Tenancy
from anvilshift.core.work import Failure
from anvilshift.gateway.allotting import Allotter
from anvilshift.gateway.attempts import Answer, AttemptError, Outgoing, Sender
from anvilshift.gateway.border import Call, Delivery, Dialect
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.splitting import EventSplitter
from anvilshift.wire.client import ExchangeError
from anvilshift.wire.messages import Fields, HttpRequest
from anvilshift.wire.server import CallerGoneError, Responder

_HOPELESS_PRIORITY = 7
_LONG_PRIORITY = 3
_SHORT_PRIORITY = 1
_LONG_READING: Millis = 60.0
"""A prompt that takes longer to be read is admitted after shorter ones: four short
ones in front of it delay it less than it would delay each of them."""
_LEAST_RETRY: Millis = 150.0
_RETRY_PART = 0.3
"""Callers obey up to a third of the time that they have left."""
_NO_ENGINE_RETRY: Millis = 700.0
_PLAIN_TRY_PART = 0.4
"""Part of the time left that one try of an idempotent request may take: a target
that hangs must leave time for another."""
_LEAST_TRY: Millis = 300.0
_FIRST_FACTOR = 2.0
_FIRST_SLACK: Millis = 600.0
"""A first token that takes over twice the predicted time and this is not coming:
of those that came, 99 in 100 took at most 480 ms longer than predicted."""
_SILENCE_FACTOR = 4.0
"""Pauses of a stream, in its pause objective, after which its engine has gone
silent: 99 in 100 pauses are under two, and callers leave after eight."""
_SILENCE: Millis = 1_200.0
"""The same where a route has no pause objective."""
_WHOLE = "whole"
_EVENTS_ON_THE_WAY = 2
"""Events that an engine makes at the most while its caller's close reaches it: they
are at least 20 ms apart, and a close takes 5."""
_ANSWER_BYTES = 8 * 1024 * 1024
_FRAMING = frozenset(
    {"content-length", "transfer-encoding", "connection", "keep-alive", "trailer"}
)


@dataclass
class Shared:
    """What every request needs of its router."""

    router: str
    clock: Clock
    rng: random.Random
    dialect: Dialect
    sender: Sender
    allotter: Allotter
    journal: Journal
    domain: str
    retries: RetryBudget
    table: RouteTable | None = None
    blame: BlameBook = field(default_factory=BlameBook)
    note_lost: Callable[[str], None] = lambda target: None
    work: dict[str, Mean] = field(default_factory=dict)
    runs: int = 0

    def mean_work(self, service: str) -> Mean:
        """Return the measured time of a plain service's requests."""
        return self.work.setdefault(service, Mean(40.0))


class Passage:
    """One caller's request on its way.

    Attributes
    ----------
    broken
        Whether a target may have made more of an answer than came.
    may_have_run
        Whether any target may have run the request, or still may.
    targets
        On how many targets it may have run.
    """

    def __init__(
        self, shared: Shared, request: HttpRequest, responder: Responder
    ) -> None:
        self.shared = shared
        self.request = request
        self.responder = responder
        self.arrived = shared.clock.now()
        self.end = self.arrived
        self.may_have_run = False
        self.targets = 0
        self.excluded: set[str] = set()
        self.events = 0
        self.last_id: str | None = None
        self.outcome = "gone"
        self.broken = False
        self.target = ""
        self.sent = self.arrived
        self.beside = 0
        self.predicted: Millis = 0.0
        self.first: Millis | None = None
        self.passed: Millis = 0.0
        self.longest_pause: Millis = 0.0

    async def run(self) -> None:
        """Answer the request."""
        call = self.shared.dialect.read_call(self.request)
        self.call = call
        try:
            await self._serve(call)
        except AnvilshiftError as error:
            self.outcome = error.code.name
            raise
        except CallerGoneError:
            self.outcome = "caller gone"
            raise
        finally:
            self._log()

    def _log(self) -> None:
        now = self.shared.clock.now()
        self.shared.journal.write(
            "request",
            id=self.call.identity,
            path=self.request.path,
            target=self.target,
            tries=len(self.excluded) + 1,
            predicted=round(self.predicted, 1),
            first=None if self.first is None else round(self.first - self.arrived, 1),
            took=round(now - self.arrived, 1),
            events=self.events,
            pause=round(self.longest_pause, 1),
            running=self.beside,
            outcome=self.outcome,
        )

    # What the configuration says

    async def _serve(self, call: Call) -> None:
        table = self.shared.table
        if table is None:
            raise AnvilshiftError(NOT_READY, retry_after=_NO_ENGINE_RETRY)
        rule = table.find(call.host, self.request.path)
        if rule is None:
            raise AnvilshiftError(UNKNOWN_ROUTE)
        self.rule: Rule = rule
        self.payer = self._authenticate(table, call, rule)
        self.content = self._digest()
        if self.shared.blame.is_poison(self.content, self.arrived):
            raise AnvilshiftError(QUARANTINED)
        patience = rule.timeout if call.patience is None else call.patience
        self.end = self.arrived + min(patience, rule.timeout)
        self.service = rule.draw_service(self.shared.rng)
        service = table.configuration.services.get(self.service)
        self.model: ModelFigures | None = service.model if service else None
        self.pause = table.find_pause(self.service)
        if self.model is None:
            await self._within_time(self._attempt_until_answered())
        else:
            await self._serve_paid(call.prompt, self.model)

    def _digest(self) -> str:
        """Return what names the request however often it is sent."""
        hasher = hashlib.sha256(self.request.target.encode("latin-1"))
        hasher.update((self.payer.name if self.payer else "").encode())
        hasher.update(self.request.body)
        return hasher.hexdigest()[:24]

    def _authenticate(
        self, table: RouteTable, call: Call, rule: Rule
    ) -> Tenancy | None:
        if not table.configuration.organisations:
            return None
        found = table.find_organisation(call.credential) if call.credential else None
        if found is None and not rule.anonymous:
            raise AnvilshiftError(UNAUTHENTICATED)
        return found

    async def _serve_paid(self, prompt: Prompt, model: ModelFigures) -> None:
        """Answer a model request within what its organisation has prepaid."""
        allotter, payer = self.shared.allotter, self.payer
        if payer is None:
            await self._within_time(self._attempt_until_answered())
            return
        key = f"{self.call.identity}/{self.shared.runs}"
        most = prompt.tokens + prompt.most_answer + model.tokens_an_event
        await allotter.reserve(payer.name, key, most, self.end)
        try:
            await self._within_time(self._attempt_until_answered())
        finally:
            allotter.settle(payer.name, key, self._count_tokens(prompt, model))

    def _count_tokens(self, prompt: Prompt, model: ModelFigures) -> int:
        """Return the most that the request may have cost."""
        if not self.may_have_run:
            return 0
        most = prompt.tokens + prompt.most_answer + model.tokens_an_event
        if self.outcome == _WHOLE:
            made = self.events * model.tokens_an_event
            return prompt.tokens + min(made, prompt.most_answer)
        if self.broken or self.rule.kind is not RequestKind.STREAMING:
            # An engine may have made an answer that was lost on its way; counted
            # by what came, a total near its end would be overspent.
            return most
        # The caller left: an engine makes an event or two until it learns that.
        made = (self.events + _EVENTS_ON_THE_WAY) * model.tokens_an_event
        return min(most, prompt.tokens + made)

    async def _within_time(self, work: Awaitable[None]) -> None:
        """Give the request its final answer when its time is over."""
        loop = asyncio.get_running_loop()
        left = (self.end - self.shared.clock.now()) / SECOND
        try:
            async with asyncio.timeout_at(loop.time() + left):
                await work
        except TimeoutError:
            self.outcome = "time over"
            self.broken = True
            if self.responder.started:
                self.responder.abort()
                return
            if self.may_have_run:
                raise AnvilshiftError(ANSWER_LATE) from None
            raise AnvilshiftError(OVERLOADED, "its time is over") from None

    # Attempts

    async def _attempt_until_answered(self) -> None:
        while True:
            choice = self._choose()
            self._refuse_hopeless(choice)
            try:
                if await self._attempt(choice):
                    self.shared.retries.earn()
                    self.shared.blame.clear(self.content)
                    return
            except AttemptError as error:
                self._note_failure(choice, error)
                self._check_repeat(error)

    def _choose(self) -> Choice:
        shared, now = self.shared, self.shared.clock.now()
        if self.model is not None:
            demand = Demand(
                self.service,
                self.call.prompt,
                self.model.cache_tokens,
                shared.domain,
                self.rule.objective - (now - self.arrived),
                self.model.tokens_an_event,
                self.pause,
            )
            choice = choose_engine(
                shared.sender.loads, demand, now, shared.rng, self.excluded
            )
        else:
            choice = choose_plain(
                shared.sender.loads,
                self.service,
                shared.domain,
                shared.mean_work(self.service).value,
                shared.rng,
                self.excluded,
            )
        if choice is None:
            raise self._give_up(NO_ENGINE, _NO_ENGINE_RETRY, "no target is left")
        return choice

    def _refuse_hopeless(self, choice: Choice) -> None:
        """Refuse at once what can't begin before its time is over."""
        left = self.end - self.shared.clock.now()
        if choice.wait > left and not self.may_have_run:
            late = choice.wait - left
            detail = f"a wait of {choice.wait:.0f} ms is expected"
            raise self._give_up(OVERLOADED, late, detail)

    def _give_up(self, code: Code, wait: Millis, detail: str) -> AnvilshiftError:
        """Return the error that says truly what became of the request."""
        left = max(0.0, self.end - self.shared.clock.now())
        spread = self.shared.rng.uniform(0.8, 1.2)
        after = max(_LEAST_RETRY, min(wait, left * _RETRY_PART) * spread)
        if self.may_have_run:
            return AnvilshiftError(ENGINE_FAILED, detail, after)
        return AnvilshiftError(code, detail, after)

    def _note_failure(self, choice: Choice, error: AttemptError) -> None:
        target = choice.target
        name = target.info.name
        self.excluded.add(name)
        if error.failure is not Failure.REJECTED:
            target.health.add_failure(self.call.identity)
            self._eject_if_bad(choice)
        if error.failure is Failure.BROKE_OFF:
            self.shared.blame.broke(self.content, name, self.shared.clock.now())
        elif error.failure is Failure.NOT_SENT:
            self.shared.note_lost(name)
        self.shared.journal.write(
            "attempt_failed",
            id=self.call.identity,
            target=name,
            failure=error.failure.value,
            why=error.detail,
            events=self.events,
        )

    def _eject_if_bad(self, choice: Choice) -> None:
        health, now = choice.target.health, self.shared.clock.now()
        if health.state is not State.EJECTED and health.is_bad(0.0):
            health.eject(now, self.shared.rng)
            name = choice.target.info.name
            self.shared.journal.write("target_ejected", target=name, until=health.until)

    def _check_repeat(self, error: AttemptError) -> None:
        """Return if the request may be sent again; raise what ends it if not."""
        if not error.never_ran and not self._may_go_on():
            raise self._end_broken(error.detail)
        if not self.shared.retries.take(error.failure):
            if self.responder.started:
                raise self._end_broken("no retry is left")
            raise self._give_up(NO_ENGINE, _NO_ENGINE_RETRY, "no retry is left")

    def _end_broken(self, detail: str) -> AnvilshiftError:
        """Return what ends an answer that can't be made whole."""
        return AnvilshiftError(ENGINE_FAILED, detail)

    async def _attempt(self, choice: Choice) -> bool:
        shared = self.shared
        shared.runs += 1
        self.predicted = choice.wait
        self.sent = shared.clock.now()
        self.beside = len(choice.target.runs)
        self.target = choice.target.info.name
        left = self.end - shared.clock.now()
        outgoing = Outgoing(
            f"{shared.router}/{shared.runs}",
            self.request,
            self.call.identity,
            self.call.host,
            self.call.prompt if self.model is not None else Prompt(),
            self._make_delivery(choice, left),
            choice,
            self.model.cache_tokens if self.model is not None else 0,
        )
        before = self.may_have_run, self.targets
        self.may_have_run = True
        self.targets += 1
        try:
            async with asyncio.timeout(self._bound_try(choice, left)) as bound:
                async with shared.sender.send(outgoing) as answer:
                    await self._pass_on(outgoing, answer, bound)
                    return True
        except AttemptError as error:
            if error.never_ran:
                self.may_have_run, self.targets = before
            else:
                self.broken = True
            raise
        except TimeoutError as error:
            self.broken = True
            raise AttemptError(Failure.BROKE_OFF, "the target is silent") from error

    def _bound_try(self, choice: Choice, left: Millis) -> float | None:
        """Return the seconds that a target may take to begin its answer.

        A target may run a request and lose its answer, or hang: the caller
        would wait to its deadline although another target could still serve it.
        """
        if not self._may_go_on():
            return None
        if self.rule.kind is RequestKind.STREAMING:
            return (choice.wait * _FIRST_FACTOR + _FIRST_SLACK) / SECOND
        return max(_LEAST_TRY, left * _PLAIN_TRY_PART) / SECOND

    def _may_go_on(self) -> bool:
        """Tell whether the request may yet be sent to another target."""
        return self.rule.repeatable and self.targets < self.rule.most_targets

    def _bound_silence(self) -> float | None:
        """Return the seconds after which a stream's engine counts as silent.

        Only where the stream can go on elsewhere: silence alone is no reason
        to end an answer.
        """
        if not self._may_go_on():
            return None
        pause = self.rule.pause_objective
        return (pause * _SILENCE_FACTOR if pause else _SILENCE) / SECOND

    def _make_delivery(self, choice: Choice, left: Millis) -> Delivery:
        elapsed = self.shared.clock.now() - self.arrived
        fetch = choice.fetch_from
        return Delivery(
            expected=choice.target.info.name,
            organisation=self.payer.name if self.payer else None,
            remaining=max(1.0, left),
            priority=self._rank(choice, elapsed) if self.model is not None else None,
            fetch_from=fetch.info.address if fetch else None,
            resume_after=self.last_id or self.call.resume_after,
        )

    def _rank(self, choice: Choice, elapsed: Millis) -> int:
        """Return how urgent the request is at its engine.

        What can still be on time goes before what can't, and short prompts
        before long ones.  What is late anyway is served behind, not dropped.
        """
        if elapsed + choice.wait > self.rule.objective:
            return _HOPELESS_PRIORITY
        long = choice.wait > _LONG_READING
        return _LONG_PRIORITY if long else _SHORT_PRIORITY

    # Answers

    async def _pass_on(
        self, outgoing: Outgoing, answer: Answer, bound: asyncio.Timeout
    ) -> None:
        success = 200 <= answer.status < 300
        if success and not answer.notes.signed:
            raise AttemptError(Failure.BROKE_OFF, "an unsigned answer")
        if success and self.rule.kind is RequestKind.STREAMING:
            await self._pass_stream(outgoing, answer, bound)
            return
        body = await answer.response.read(_ANSWER_BYTES)
        self.shared.sender.note_begin(outgoing)
        if answer.status >= 500 and self._may_repeat_failure():
            raise AttemptError(Failure.BROKE_OFF, f"status {answer.status}")
        if self.responder.started:
            raise AttemptError(Failure.BROKE_OFF, f"status {answer.status}")
        if self.model is None:
            took = self.shared.clock.now() - self.arrived
            self.shared.mean_work(self.service).add(took)
        if success:
            self._note_first(outgoing)
        self.outcome = f"status {answer.status}"
        headers = _keep_headers(answer)
        headers.append(("content-length", str(len(body))))
        await self.responder.start(answer.status, headers, hold=True)
        await self.responder.finish(body)

    def _may_repeat_failure(self) -> bool:
        return self._may_go_on() and not self.responder.started

    async def _pass_stream(
        self, outgoing: Outgoing, answer: Answer, bound: asyncio.Timeout
    ) -> None:
        splitter = EventSplitter()
        received = self.events
        silence = self._bound_silence()
        loop = asyncio.get_running_loop()
        try:
            async for chunk in answer.response.chunks():
                whole = splitter.feed(chunk)
                if not whole:
                    continue
                if splitter.last_id is not None:
                    self.last_id = splitter.last_id
                self.events = received + splitter.count
                bound.reschedule(None if silence is None else loop.time() + silence)
                self._note_event()
                if not self.responder.started:
                    self._note_first(outgoing)
                    await self.responder.start(
                        answer.status, _keep_headers(answer), hold=True
                    )
                await self.responder.write(whole)
        except ExchangeError as error:
            raise AttemptError(Failure.BROKE_OFF, str(error)) from error
        if not self.responder.started:
            await self.responder.start(answer.status, _keep_headers(answer), hold=True)
        self.outcome = "whole after a break" if self.broken else _WHOLE
        await self.responder.finish(splitter.rest)

    def _note_event(self) -> None:
        now = self.shared.clock.now()
        if self.first is not None:
            self.longest_pause = max(self.longest_pause, now - self.passed)
        self.passed = now

    def _note_first(self, outgoing: Outgoing) -> None:
        now = self.shared.clock.now()
        self.first = now
        self.shared.sender.note_begin(outgoing)
        target = outgoing.choice.target
        target.health.add_answer()
        target.measure(now - self.sent, outgoing.choice.unscaled)


def _keep_headers(answer: Answer) -> Fields:
    """Return a target's headers without those of its own connection."""
    named = {
        word.strip().lower()
        for name, value in answer.headers.pairs
        if name == "connection"
        for word in value.split(",")
    }
    drop = _FRAMING | named
    return [(n, v) for n, v in answer.headers.pairs if n not in drop]
