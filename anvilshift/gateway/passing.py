"""Handle one caller's request from its arrival to its outcome.

The request is sent to a target, its answer is relayed to the caller, and it is retried
at another target where that is allowed.  An error that the caller gets says "not run"
only if no target may have run the request.
"""

import asyncio
from collections.abc import Awaitable, Mapping
from dataclasses import replace
from functools import partial

from anvilshift.core.choosing import Choice, Demand, choose_engine, choose_plain_target
from anvilshift.core.clock import SECOND, Millis
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
from anvilshift.core.routing import (
    ModelLimits,
    OrganisationBudget,
    RequestKind,
    RouteTable,
    Rule,
)
from anvilshift.core.timeouts import (
    NO_ENGINE_RETRY,
    find_attempt_timeout,
    find_pause_timeout,
    find_return,
    rank,
)
from anvilshift.core.work import Failure
from anvilshift.gateway.attempts import Answer, AttemptError, Outgoing
from anvilshift.gateway.border import Call, TargetFields
from anvilshift.gateway.charging import count_used_tokens
from anvilshift.gateway.crashes import CrashTracker, digest_request
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.shared import RouterContext
from anvilshift.wire.messages import HttpRequest
from anvilshift.wire.server import CallerDisconnectedError, Responder


class RequestHandler:
    """Handle one caller's request.

    Attributes
    ----------
    may_have_run
        Whether any target may have run the request, or may still run it.
    targets
        Number of targets that may have run it.
    failed_targets
        Names of the targets at which an attempt failed; they get no further attempt.
    via
        Router that forwards the last attempt; empty if none does.
    concurrent_runs
        Requests that the target was running when the last attempt was sent.
    """

    def __init__(
        self, shared: RouterContext, request: HttpRequest, responder: Responder
    ) -> None:
        self.shared = shared
        self.request = request
        self.arrived = shared.clock.now()
        self.end = self.arrived
        self.payer: OrganisationBudget | None = None
        self.may_have_run = False
        self.targets = 0
        self.failed_targets: set[str] = set()
        self.relay = AnswerRelay(responder, shared.clock)
        self.target = ""
        self.via = ""
        self.tokens = 0
        self.sent = self.arrived
        self.concurrent_runs = 0
        self.predicted: Millis = 0.0

    async def run(self) -> None:
        """Answer the request, and write its log line.

        Raises
        ------
        AnvilshiftError
            When there is no complete answer.
        CallerDisconnectedError
            When the caller closed its connection.
        """
        call = self.shared.dialect.read_call(self.request)
        self.call = call
        self.turn = PermitSession(self.shared, call.identity, self.arrived)
        try:
            await self._serve(call)
        except AnvilshiftError as error:
            self.relay.outcome = error.code.name
            raise
        except CallerDisconnectedError:
            self.relay.outcome = "caller gone"
            raise
        finally:
            self.turn.close()
            self._write_log_line()

    def _write_log_line(self) -> None:
        now, first = self.shared.clock.now(), self.relay.first
        self.shared.journal.write(
            "request",
            id=self.call.identity,
            path=self.request.path,
            organisation=self.payer.name if self.payer else None,
            target=self.target,
            via=self.via,
            tries=len(self.failed_targets) + 1,
            predicted=round(self.predicted, 1),
            first=None if first is None else round(first - self.arrived, 1),
            took=round(now - self.arrived, 1),
            events=self.relay.events,
            tokens=self.tokens,
            pause=round(self.relay.longest_pause, 1),
            running=self.concurrent_runs,
            outcome=self.relay.outcome,
        )

    # Routing and payment

    async def _serve(self, call: Call) -> None:
        table = self.shared.table
        if table is None:
            raise AnvilshiftError(NOT_READY, retry_after=NO_ENGINE_RETRY)
        rule = table.find(call.host, self.request.path)
        if rule is None:
            raise AnvilshiftError(UNKNOWN_ROUTE)
        self.rule: Rule = rule
        self.payer = self._authenticate(table, call, rule)
        self.turn.organisation = self.payer.name if self.payer else ""
        content = digest_request(self.request, self.turn.organisation)
        self.crashes = CrashTracker(self.shared, content)
        self.crashes.check()
        patience = rule.timeout if call.patience is None else call.patience
        self.end = self.arrived + min(patience, rule.timeout)
        self.service = rule.draw_service(self.shared.rng)
        service = table.configuration.services.get(self.service)
        self.model: ModelLimits | None = service.model if service else None
        self.pause = table.find_pause_objective(self.service)
        if self.model is None:
            await self._run_until_deadline(self._attempt_until_answered())
        else:
            await self._serve_prepaid(call.prompt, self.model)

    def _authenticate(
        self, table: RouteTable, call: Call, rule: Rule
    ) -> OrganisationBudget | None:
        if not table.configuration.organisations:
            return None
        found = table.find_organisation(call.credential) if call.credential else None
        if found is None and not rule.anonymous:
            raise AnvilshiftError(UNAUTHENTICATED)
        return found

    async def _serve_prepaid(self, prompt: Prompt, model: ModelLimits) -> None:
        """Answer a model request, with tokens reserved in its organisation's budget."""
        self.shared.check_accepting_streams()
        reservations, payer = self.shared.reservations, self.payer
        if payer is None:
            await self._run_until_deadline(self._attempt_until_answered())
            return
        key = f"{self.call.identity}/{self.shared.runs}"
        most = prompt.tokens + prompt.most_answer + model.tokens_per_event
        await reservations.reserve(payer.name, key, most, self.end)
        try:
            await self._run_until_deadline(self._attempt_until_answered())
        finally:
            if self.may_have_run:
                self.tokens = count_used_tokens(self.relay, prompt, model, self.rule)
            reservations.settle(payer.name, key, self.tokens)

    async def _run_until_deadline(self, work: Awaitable[None]) -> None:
        """Await the work, and end the request when its deadline passes.

        An answer that has begun is cut off.  Otherwise the error says whether a target
        may have run the request.

        Raises
        ------
        AnvilshiftError
            When the deadline passed before the answer began.
        """
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
            raise AnvilshiftError(OVERLOADED, "the deadline has passed") from None

    # Attempts

    async def _attempt_until_answered(self) -> None:
        while True:
            choice = self._choose()
            self._check_predicted_wait(choice)
            run = await self.turn.request_permit(
                choice, self._compute_rank(choice), self.end
            )
            if run is None:
                continue
            try:
                if await self._attempt(choice, run):
                    self.shared.retries.add_answer()
                    self.crashes.clear()
                    return
            except AttemptError as error:
                self._record_failure(choice, error)
                await self.crashes.check_failure(choice.target, error)
                self._check_retry(error)

    def _choose(self) -> Choice:
        shared, now = self.shared, self.shared.clock.now()
        excluded = self.failed_targets | self.turn.refused
        prompt = self.call.prompt if self.model is not None else Prompt()
        excluded |= self.crashes.list_forbidden(self.service, prompt)
        delays = self.turn.list_permit_delays()
        loads = shared.sender.loads
        if self.model is not None:
            demand = self._make_demand(self.model, delays, now)
            choice = choose_engine(loads, demand, now, shared.rng, excluded)
        else:
            work = shared.find_service_time(self.service).value
            choice = choose_plain_target(
                loads,
                self.service,
                shared.domain,
                work,
                shared.rng,
                now,
                excluded,
                delays,
            )
        if choice is None:
            turn = self.turn.find_return()
            if turn is not None:
                raise self._make_final_error(
                    OVERLOADED, turn, "no permit is expected before the deadline"
                )
            raise self._make_final_error(
                NO_ENGINE, NO_ENGINE_RETRY, "no target is available"
            )
        return choice

    def _make_demand(
        self, model: ModelLimits, delays: Mapping[str, Millis], now: Millis
    ) -> Demand:
        return Demand(
            self.service,
            self.call.prompt,
            model.cache_tokens,
            self.shared.domain,
            self.rule.objective - (now - self.arrived),
            model.tokens_per_event,
            self.pause,
            len(self.request.body) / 1_000,
            model.fetch_per_token,
            delays,
        )

    def _check_predicted_wait(self, choice: Choice) -> None:
        """Refuse a request at once if its predicted wait exceeds the time left."""
        left = self.end - self.shared.clock.now()
        wait = choice.total_wait
        if wait > left and not self.may_have_run:
            detail = f"a wait of {wait:.0f} ms is predicted"
            raise self._make_final_error(OVERLOADED, wait - left, detail)

    def _make_final_error(
        self, code: Code, wait: Millis, detail: str
    ) -> AnvilshiftError:
        """Return the error for a request that gets no further attempt.

        Parameters
        ----------
        code
            Code for a request that no target has run; one that may have run gets
            ENGINE_FAILED instead.
        wait
            Time after which a new request may succeed.
        """
        left = max(0.0, self.end - self.shared.clock.now())
        after = find_return(wait, left, self.shared.rng)
        if self.may_have_run:
            return AnvilshiftError(ENGINE_FAILED, detail, after)
        return AnvilshiftError(code, detail, after)

    def _record_failure(self, choice: Choice, error: AttemptError) -> None:
        name = choice.target.info.name
        self.failed_targets.add(name)
        self._record_fault(choice, error)
        self.shared.journal.write(
            "attempt_failed",
            id=self.call.identity,
            target=name,
            failure=error.failure.value,
            why=error.detail,
            took=round(self.shared.clock.now() - self.sent, 1),
            reused=error.reused,
            events=self.relay.events,
        )

    def _record_fault(self, choice: Choice, error: AttemptError) -> None:
        """Count a failed attempt against its target, unless the path to it is broken.

        Otherwise a router that loses its links would have the other routers eject
        targets that they reach.
        """
        shared, target = self.shared, choice.target
        record = partial(
            shared.health.record_failure,
            target,
            error.failure,
            self.call.identity,
            error.answered,
            error.hung,
        )
        if error.failure is Failure.BROKE_OFF and not error.answered:
            reach = shared.sender.reach
            reach.record_fault(target.info, shared.clock.now(), record)
        else:
            record()

    def _check_retry(self, error: AttemptError) -> None:
        """Check that the request may be retried.

        Raises
        ------
        AnvilshiftError
            When a target may have run the request and it may not run elsewhere, or
            when the retry budget is used up.
        """
        if not error.never_ran and not self._may_go_on():
            raise AnvilshiftError(ENGINE_FAILED, error.detail)
        if not self.shared.retries.take(error.failure):
            if self.relay.started:
                raise AnvilshiftError(ENGINE_FAILED, "the retry budget is used up")
            raise self._make_final_error(
                NO_ENGINE, NO_ENGINE_RETRY, "the retry budget is used up"
            )

    def _compute_rank(self, choice: Choice) -> int:
        """Return the request's rank among those that wait for a permit."""
        elapsed = self.shared.clock.now() - self.arrived
        return rank(self.rule, elapsed, choice.total_wait)

    async def _attempt(self, choice: Choice, run: str) -> bool:
        shared = self.shared
        self.predicted = choice.wait
        self.sent, self.via = shared.clock.now(), ""
        self.concurrent_runs = len(choice.target.runs)
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
            self._may_go_on(after=self.targets + 1),
        )
        before = self.may_have_run, self.targets
        self.crashes.charge_target(self.target)
        try:
            async with asyncio.timeout(None) as timeout:
                on_send = partial(self._record_send, timeout, choice)
                outgoing = replace(outgoing, on_send=on_send)
                async with shared.sender.send(outgoing) as answer:
                    await self._relay_answer(outgoing, answer, timeout)
                    return True
        except AttemptError as error:
            if error.never_ran:
                self.may_have_run, self.targets = before
            else:
                self.relay.broken = True
            raise
        except TimeoutError as error:
            self.relay.broken = True
            raise AttemptError(
                Failure.BROKE_OFF, "the target sent nothing for too long"
            ) from error
        finally:
            self.crashes.end(self.target, self.targets > before[1])

    def _record_send(self, timeout: asyncio.Timeout, choice: Choice, via: str) -> None:
        """Record that the request is about to be sent, and start its timeout.

        Until now nothing has reached a target, however long the connection took.
        """
        self.via = via
        self.sent = self.shared.clock.now()
        self.may_have_run = True
        self.targets += 1
        limit = self._compute_timeout(choice, self.end - self.sent)
        if limit is not None:
            timeout.reschedule(asyncio.get_running_loop().time() + limit)

    def _compute_timeout(self, choice: Choice, left: Millis) -> float | None:
        """Return the attempt's timeout in seconds; None if no retry may follow it."""
        if not self._may_go_on():
            return None
        return find_attempt_timeout(self.rule, choice.wait, left) / SECOND

    def _may_go_on(self, after: int | None = None) -> bool:
        """Return whether the request may be run at a further target.

        Parameters
        ----------
        after
            Number of targets that may have run it by then; as many as now if omitted.
        """
        targets = self.targets if after is None else after
        return self.rule.repeatable and targets < self.rule.max_targets_per_request

    def _make_delivery(self, choice: Choice, left: Millis) -> TargetFields:
        elapsed = self.shared.clock.now() - self.arrived
        fetch = choice.fetch_from
        return TargetFields(
            expected=choice.target.info.name,
            organisation=self.payer.name if self.payer else None,
            remaining=max(1.0, left),
            priority=rank(self.rule, elapsed, choice.wait) if self.model else None,
            fetch_from=fetch.info.address if fetch else None,
            resume_after=self.relay.last_id or self.call.resume_after,
        )

    # Answers

    async def _relay_answer(
        self, outgoing: Outgoing, answer: Answer, timeout: asyncio.Timeout
    ) -> None:
        success = 200 <= answer.status < 300
        if success and not answer.notes.signed:
            detail = "the answer is unsigned"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if success and self.rule.kind is RequestKind.STREAMING:
            max_silence = find_pause_timeout(self.rule) if self._may_go_on() else None
            on_first_event = partial(self._record_first_byte, outgoing)
            await self.relay.stream(answer, timeout, max_silence, on_first_event)
            return
        body = await self.relay.read_complete(answer)
        self._record_first_byte(outgoing)
        failed = answer.status >= 500 and self._may_go_on()
        if failed or self.relay.started:
            detail = f"status {answer.status}"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if self.model is None:
            took = self.shared.clock.now() - self.arrived
            self.shared.find_service_time(self.service).add(took)
        await self.relay.send_complete(answer, body)

    def _record_first_byte(self, outgoing: Outgoing) -> None:
        """Record that the target began to answer, and how long that took."""
        self.shared.sender.record_first_byte(outgoing)
        target = outgoing.choice.target
        target.health.add_answer()
        span = self.shared.clock.now() - self.sent
        target.measure(span, outgoing.choice.unscaled)
