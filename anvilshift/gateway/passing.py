"""Answer for one caller's request.

Place it, pass its answer on, repeat it where that is allowed, and say truly what
became of it.
"""

import asyncio
from collections.abc import Awaitable
from functools import partial

from anvilshift.core.choosing import Choice, Demand, choose_engine, choose_plain
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.ejection import State
from anvilshift.core.errors import (
    ANSWER_LATE,
    ENGINE_FAILED,
    NO_ENGINE,
    NOT_READY,
    OVERLOADED,
    UNAUTHENTICATED,
    UNKNOWN_ROUTE,
    AnvilshiftError,
    Code,
)
from anvilshift.core.loadmap import Prompt
from anvilshift.core.patience import (
    NO_ENGINE_RETURN,
    bound_silence,
    bound_try,
    count_left,
    find_return,
    rank,
)
from anvilshift.core.routing import ModelFigures, RequestKind, RouteTable, Rule, Tenancy
from anvilshift.core.work import Failure
from anvilshift.gateway.attempts import Answer, AttemptError, Outgoing
from anvilshift.gateway.border import Call, Delivery
from anvilshift.gateway.crashes import CrashWatch, digest_request
from anvilshift.gateway.relaying import WHOLE, AnswerRelay
from anvilshift.gateway.shared import Shared
from anvilshift.gateway.turns import Turn
from anvilshift.wire.messages import HttpRequest
from anvilshift.wire.server import CallerGoneError, Responder


class Passage:
    """One caller's request on its way.

    Attributes
    ----------
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
        self.arrived = shared.clock.now()
        self.end = self.arrived
        self.payer: Tenancy | None = None
        self.may_have_run = False
        self.targets = 0
        self.excluded: set[str] = set()
        self.relay = AnswerRelay(responder, shared.clock)
        self.target = ""
        self.tokens = 0
        self.sent = self.arrived
        self.beside = 0
        self.predicted: Millis = 0.0

    async def run(self) -> None:
        """Answer the request."""
        call = self.shared.dialect.read_call(self.request)
        self.call = call
        self.turn = Turn(self.shared, call.identity, self.arrived)
        try:
            await self._serve(call)
        except AnvilshiftError as error:
            self.relay.outcome = error.code.name
            raise
        except CallerGoneError:
            self.relay.outcome = "caller gone"
            raise
        finally:
            self.turn.close()
            self._log()

    def _log(self) -> None:
        now, first = self.shared.clock.now(), self.relay.first
        self.shared.journal.write(
            "request",
            id=self.call.identity,
            path=self.request.path,
            organisation=self.payer.name if self.payer else None,
            target=self.target,
            tries=len(self.excluded) + 1,
            predicted=round(self.predicted, 1),
            first=None if first is None else round(first - self.arrived, 1),
            took=round(now - self.arrived, 1),
            events=self.relay.events,
            tokens=self.tokens,
            pause=round(self.relay.longest_pause, 1),
            running=self.beside,
            outcome=self.relay.outcome,
        )

    # What the configuration says

    async def _serve(self, call: Call) -> None:
        table = self.shared.table
        if table is None:
            raise AnvilshiftError(NOT_READY, retry_after=NO_ENGINE_RETURN)
        rule = table.find(call.host, self.request.path)
        if rule is None:
            raise AnvilshiftError(UNKNOWN_ROUTE)
        self.rule: Rule = rule
        self.payer = self._authenticate(table, call, rule)
        self.turn.organisation = self.payer.name if self.payer else ""
        content = digest_request(self.request, self.turn.organisation)
        self.crashes = CrashWatch(self.shared, content)
        self.crashes.check()
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
        self.shared.check_staying()
        reservations, payer = self.shared.reservations, self.payer
        if payer is None:
            await self._within_time(self._attempt_until_answered())
            return
        key = f"{self.call.identity}/{self.shared.runs}"
        most = prompt.tokens + prompt.most_answer + model.tokens_an_event
        await reservations.reserve(payer.name, key, most, self.end)
        try:
            await self._within_time(self._attempt_until_answered())
        finally:
            self.tokens = self._count_tokens(prompt, model)
            reservations.settle(payer.name, key, self.tokens)

    def _count_tokens(self, prompt: Prompt, model: ModelFigures) -> int:
        """Return the most that the request may have cost."""
        if not self.may_have_run:
            return 0
        most = prompt.tokens + prompt.most_answer + model.tokens_an_event
        if self.relay.outcome == WHOLE:
            made = self.relay.events * model.tokens_an_event
            return prompt.tokens + min(made, prompt.most_answer)
        if self.relay.broken or self.rule.kind is not RequestKind.STREAMING:
            # An engine may have made an answer that was lost on its way; counted
            # by what came, a total near its end would be overspent.
            return most
        return count_left(prompt.tokens, self.relay.events, model.tokens_an_event, most)

    async def _within_time(self, work: Awaitable[None]) -> None:
        """Give the request its final answer when its time is over."""
        loop = asyncio.get_running_loop()
        left = (self.end - self.shared.clock.now()) / SECOND
        try:
            async with asyncio.timeout_at(loop.time() + left):
                await work
        except TimeoutError:
            self.relay.outcome = "time over"
            self.relay.broken = True
            if self.relay.started:
                self.relay.responder.abort()
                return
            if self.may_have_run:
                raise AnvilshiftError(ANSWER_LATE) from None
            raise AnvilshiftError(OVERLOADED, "its time is over") from None

    # Attempts

    async def _attempt_until_answered(self) -> None:
        while True:
            choice = self._choose()
            self._refuse_hopeless(choice)
            run = await self.turn.take(choice, self._rank(choice), self.end)
            if run is None:
                continue
            try:
                if await self._attempt(choice, run):
                    self.shared.retries.earn()
                    self.crashes.clear()
                    return
            except AttemptError as error:
                self._note_failure(choice, error)
                await self.crashes.look(choice.target, error)
                self._check_repeat(error)

    def _choose(self) -> Choice:
        shared, now = self.shared, self.shared.clock.now()
        excluded = self.excluded | self.turn.refused
        prompt = self.call.prompt if self.model is not None else Prompt()
        excluded |= self.crashes.list_barred(self.service, prompt)
        if self.model is not None:
            demand = Demand(
                self.service,
                self.call.prompt,
                self.model.cache_tokens,
                shared.domain,
                self.rule.objective - (now - self.arrived),
                self.model.tokens_an_event,
                self.pause,
                len(self.request.body) / 1_000,
                self.model.fetch_per_token,
                self.turn.list_turns(),
            )
            choice = choose_engine(
                shared.sender.loads, demand, now, shared.rng, excluded
            )
        else:
            choice = choose_plain(
                shared.sender.loads,
                self.service,
                shared.domain,
                shared.mean_work(self.service).value,
                shared.rng,
                now,
                excluded,
                self.turn.list_turns(),
            )
        if choice is None:
            turn = self.turn.find_return()
            if turn is not None:
                raise self._give_up(OVERLOADED, turn, "no permit comes in time")
            raise self._give_up(NO_ENGINE, NO_ENGINE_RETURN, "no target is left")
        return choice

    def _refuse_hopeless(self, choice: Choice) -> None:
        """Refuse at once what can't begin before its time is over."""
        left = self.end - self.shared.clock.now()
        wait = choice.whole_wait
        if wait > left and not self.may_have_run:
            detail = f"a wait of {wait:.0f} ms is expected"
            raise self._give_up(OVERLOADED, wait - left, detail)

    def _give_up(self, code: Code, wait: Millis, detail: str) -> AnvilshiftError:
        """Return the error that says truly what became of the request."""
        left = max(0.0, self.end - self.shared.clock.now())
        after = find_return(wait, left, self.shared.rng)
        if self.may_have_run:
            return AnvilshiftError(ENGINE_FAILED, detail, after)
        return AnvilshiftError(code, detail, after)

    def _note_failure(self, choice: Choice, error: AttemptError) -> None:
        target = choice.target
        name = target.info.name
        self.excluded.add(name)
        if error.failure is not Failure.REJECTED:
            target.health.add_failure(self.call.identity)
            self._eject_if_bad(choice, error.failure)
        self.shared.journal.write(
            "attempt_failed",
            id=self.call.identity,
            target=name,
            failure=error.failure.value,
            why=error.detail,
            events=self.relay.events,
        )

    def _eject_if_bad(self, choice: Choice, failure: Failure) -> None:
        health, now = choice.target.health, self.shared.clock.now()
        # Where nobody accepts connections, the next request would find out again.
        gone = failure is Failure.NOT_SENT
        if health.state is not State.EJECTED and (gone or health.is_bad(0.0)):
            health.eject(now, self.shared.rng)
            name = choice.target.info.name
            self.shared.journal.write("target_ejected", target=name, until=health.until)

    def _check_repeat(self, error: AttemptError) -> None:
        """Return if the request may be sent again; raise what ends it if not."""
        if not error.never_ran and not self._may_go_on():
            raise AnvilshiftError(ENGINE_FAILED, error.detail)
        if not self.shared.retries.take(error.failure):
            if self.relay.started:
                raise AnvilshiftError(ENGINE_FAILED, "no retry is left")
            raise self._give_up(NO_ENGINE, NO_ENGINE_RETURN, "no retry is left")

    def _rank(self, choice: Choice) -> int:
        """Return how urgent the request is among those that wait for a permit."""
        elapsed = self.shared.clock.now() - self.arrived
        return rank(self.rule, elapsed, choice.whole_wait)

    async def _attempt(self, choice: Choice, run: str) -> bool:
        shared = self.shared
        self.predicted = choice.wait
        self.sent = shared.clock.now()
        self.beside = len(choice.target.runs)
        self.target = choice.target.info.name
        left = self.end - shared.clock.now()
        outgoing = Outgoing(
            run,
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
        self.crashes.begin(self.target)
        try:
            async with asyncio.timeout(self._bound_try(choice, left)) as bound:
                async with shared.sender.send(outgoing) as answer:
                    await self._pass_on(outgoing, answer, bound)
                    return True
        except AttemptError as error:
            if error.never_ran:
                self.may_have_run, self.targets = before
            else:
                self.relay.broken = True
            raise
        except TimeoutError as error:
            self.relay.broken = True
            raise AttemptError(Failure.BROKE_OFF, "the target is silent") from error
        finally:
            self.crashes.end(self.target, self.targets > before[1])

    def _bound_try(self, choice: Choice, left: Millis) -> float | None:
        """Return the seconds that a target may take, where another can follow."""
        if not self._may_go_on():
            return None
        return bound_try(self.rule, choice.wait, left) / SECOND

    def _may_go_on(self) -> bool:
        """Tell whether the request may yet be sent to another target."""
        return self.rule.repeatable and self.targets < self.rule.most_targets

    def _make_delivery(self, choice: Choice, left: Millis) -> Delivery:
        elapsed = self.shared.clock.now() - self.arrived
        fetch = choice.fetch_from
        return Delivery(
            expected=choice.target.info.name,
            organisation=self.payer.name if self.payer else None,
            remaining=max(1.0, left),
            priority=rank(self.rule, elapsed, choice.wait) if self.model else None,
            fetch_from=fetch.info.address if fetch else None,
            resume_after=self.relay.last_id or self.call.resume_after,
        )

    # Answers

    async def _pass_on(
        self, outgoing: Outgoing, answer: Answer, bound: asyncio.Timeout
    ) -> None:
        success = 200 <= answer.status < 300
        if success and not answer.notes.signed:
            detail = "an unsigned answer"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if success and self.rule.kind is RequestKind.STREAMING:
            silence = bound_silence(self.rule) if self._may_go_on() else None
            begin = partial(self._note_first, outgoing)
            await self.relay.stream(answer, bound, silence, begin)
            return
        body = await self.relay.read_whole(answer)
        self._note_first(outgoing)
        failed = answer.status >= 500 and self._may_go_on()
        if failed or self.relay.started:
            detail = f"status {answer.status}"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if self.model is None:
            took = self.shared.clock.now() - self.arrived
            self.shared.mean_work(self.service).add(took)
        await self.relay.send_whole(answer, body)

    def _note_first(self, outgoing: Outgoing) -> None:
        """Take in that a target began to answer."""
        self.shared.sender.note_begin(outgoing)
        target = outgoing.choice.target
        target.health.add_answer()
        span = self.shared.clock.now() - self.sent
        target.measure(span, outgoing.choice.unscaled)
