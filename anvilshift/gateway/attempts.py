"""Send one request to targets until one has answered it.

A failed attempt is repeated at another target where that is allowed.  An error says
"not run" only if no target may have run the request.
"""

import asyncio
from collections.abc import Callable
from functools import partial

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    ENGINE_FAILED,
    NO_ENGINE,
    OVERLOADED,
    STREAM_NOT_RESUMABLE,
    AnvilshiftError,
    Code,
)
from anvilshift.core.routing import RequestKind
from anvilshift.core.targetload import Prompt
from anvilshift.core.timeouts import (
    NO_ENGINE_RETRY,
    find_attempt_timeout,
    find_pause_timeout,
    find_return,
    rank,
)
from anvilshift.core.work import Failure
from anvilshift.gateway.attemptfailures import AttemptFailures
from anvilshift.gateway.border import TargetFields
from anvilshift.gateway.crashes import CrashTracker
from anvilshift.gateway.parttries import PartTry
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.retrying import RequestRetries
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.sending import Answer, AttemptError, Outgoing
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.streambinding import StreamBinding
from anvilshift.gateway.targetchoice import TargetChooser


class Attempts:
    """The attempts of one request at targets.

    Attributes
    ----------
    may_have_run
        Whether any target may have run the request, or may still run it.
    targets
        Number of targets that may have run it.
    failed_targets
        Names of the targets at which an attempt failed; they get no further attempt.
    target, version
        Target of the last attempt, and the version of its software.
    via
        Router that forwards the last attempt; empty if none does.
    concurrent_runs
        Requests that the target was running when the last attempt was sent.
    """

    def __init__(
        self,
        shared: RouterContext,
        routed: RoutedRequest,
        relay: AnswerRelay,
        turn: PermitSession,
        crashes: CrashTracker,
    ) -> None:
        self._shared = shared
        self._routed = routed
        self._relay = relay
        self._turn = turn
        self._crashes = crashes
        self.may_have_run = False
        self.targets = 0
        self._retries = RequestRetries(
            shared.retries, routed.service, shared.boot_clock
        )
        self.failed_targets: set[str] = set()
        self.target = ""
        self.version: str | None = None
        self.via = ""
        self.sent = routed.arrived
        self.concurrent_runs = 0
        self.predicted: Millis = 0.0
        self._stream = StreamBinding(shared, routed)
        self._chooser = TargetChooser(shared, routed, turn, crashes, self._stream)
        self._try = PartTry(shared, routed, self._chooser)
        self._failures = AttemptFailures(shared, routed, relay, crashes, self._try)
        self._has_begun = False

    async def run(self) -> None:
        """Send the request to targets until one of them has answered it.

        Raises
        ------
        AnvilshiftError
            When no further attempt is made.
        """
        try:
            await self._send_until_answered()
        finally:
            self._try.end()
            self._retries.close()

    async def _send_until_answered(self) -> None:
        while True:
            choice = await self._admit() or self._choose()
            self._check_predicted_wait(choice)
            run = await self._turn.request_permit(
                choice, self._compute_rank(choice), self._routed.end
            )
            if run is None:
                continue
            try:
                if await self._attempt(choice, run):
                    self._crashes.clear()
                    return
            except AttemptError as error:
                self.failed_targets.add(choice.target.info.name)
                self._failures.record(choice, error, self.sent)
                await self._failures.find_cause(choice.target, error, self._has_begun)
                await self._check_retry(error)

    async def _admit(self) -> Choice | None:
        """Wait for the request's try, if a part of its prompt is suspect.

        Returns
        -------
        Choice or None
            The target of the try; None if it may be sent anywhere.
        """
        try:
            return await self._try.admit(self.failed_targets)
        except AnvilshiftError as error:
            if self.may_have_run:
                raise AnvilshiftError(ENGINE_FAILED, error.detail) from error
            raise

    def _choose(self) -> Choice:
        choice = self._chooser.choose(self.failed_targets)
        if choice is None:
            turn = self._turn.find_return()
            if turn is not None:
                raise self._make_final_error(
                    OVERLOADED, turn, "no permit is expected before the deadline"
                )
            if self._stream.is_stranded():
                detail = "the version that began the stream serves no more"
                raise self._make_final_error(STREAM_NOT_RESUMABLE, 0.0, detail)
            raise self._make_final_error(
                NO_ENGINE, NO_ENGINE_RETRY, "no target is available"
            )
        return choice

    def _check_predicted_wait(self, choice: Choice) -> None:
        """Refuse a request at once if its predicted wait exceeds the time left."""
        left = self._routed.end - self._shared.clock.now()
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
        left = max(0.0, self._routed.end - self._shared.clock.now())
        after = find_return(wait, left, self._shared.rng)
        if self.may_have_run:
            return AnvilshiftError(ENGINE_FAILED, detail, after)
        return AnvilshiftError(code, detail, after)

    async def _check_retry(self, error: AttemptError) -> None:
        """Check that the request may be retried.

        Raises
        ------
        AnvilshiftError
            When a target may have run the request and it may not run elsewhere, or
            when the retry budget is used up.
        """
        if not error.never_ran and not self._may_go_on():
            raise AnvilshiftError(ENGINE_FAILED, error.detail)
        if not self._retries.may_send():
            await self._shared.wait_for_share()
        if not self._retries.may_send():
            self._record_refused_retry()
            if self._relay.started:
                raise AnvilshiftError(ENGINE_FAILED, "the retry budget is used up")
            raise self._make_final_error(
                NO_ENGINE, NO_ENGINE_RETRY, "the retry budget is used up"
            )

    def _record_refused_retry(self) -> None:
        budget, service = self._shared.retries, self._routed.service
        budget.counts.find(service).refused += 1
        self._shared.journal.write(
            "retry_refused",
            id=self._routed.call.identity,
            service=service,
            sends=self._retries.sends,
            share=round(budget.share, 3),
            left=round(self._routed.end - self._shared.clock.now()),
        )

    def _compute_rank(self, choice: Choice) -> int:
        """Return the request's rank among those that wait for a permit."""
        elapsed = self._shared.clock.now() - self._routed.arrived
        return rank(self._routed.rule, elapsed, choice.total_wait)

    async def _attempt(self, choice: Choice, run: str) -> bool:
        shared = self._shared
        self.predicted = choice.wait
        self.sent, self.via = shared.clock.now(), ""
        self._relay.start_attempt()
        self._has_begun = False
        self.concurrent_runs = len(choice.target.runs)
        self.target = choice.target.info.name
        self.version = choice.target.info.version
        before = self.may_have_run, self.targets
        self._crashes.charge_target(self.target)
        try:
            async with asyncio.timeout(None) as timeout:
                on_send = partial(self._record_send, timeout, choice)
                outgoing = self._make_outgoing(choice, run, on_send)
                async with shared.sender.send(outgoing) as answer:
                    await self._relay_answer(outgoing, answer, timeout)
                    return True
        except AttemptError as error:
            if error.never_ran:
                self.may_have_run, self.targets = before
            else:
                self._relay.broken = True
            raise
        except TimeoutError as error:
            self._relay.broken = True
            raise AttemptError(
                Failure.BROKE_OFF, "the target sent nothing for too long"
            ) from error
        finally:
            self._retries.record_arrival()
            self._crashes.end(self.target, self.targets > before[1])

    def _make_outgoing(
        self, choice: Choice, run: str, on_send: Callable[[str], None]
    ) -> Outgoing:
        routed, model = self._routed, self._routed.model
        return Outgoing(
            run,
            routed.request,
            routed.call.identity,
            routed.call.host,
            routed.call.prompt if model is not None else Prompt(),
            self._make_delivery(choice, routed.end - self._shared.clock.now()),
            choice,
            model.cache_tokens if model is not None else 0,
            on_send,
            self._may_go_on(after=self.targets + 1),
        )

    def _record_send(self, timeout: asyncio.Timeout, choice: Choice, via: str) -> None:
        """Record that the request is about to be sent, and start its timeout.

        Until now nothing has reached a target, however long the connection took.
        """
        self._retries.record_send()
        self.via = via
        self.sent = self._shared.clock.now()
        self.may_have_run = True
        self.targets += 1
        limit = self._compute_timeout(choice, self._routed.end - self.sent)
        if limit is not None:
            timeout.reschedule(asyncio.get_running_loop().time() + limit)

    def _compute_timeout(self, choice: Choice, left: Millis) -> float | None:
        """Return the attempt's timeout in seconds; None if no retry may follow it."""
        if not self._may_go_on():
            return None
        return find_attempt_timeout(self._routed.rule, choice.wait, left) / SECOND

    def _may_go_on(self, after: int | None = None) -> bool:
        """Return whether the request may be run at a further target.

        Parameters
        ----------
        after
            Number of targets that may have run it by then; as many as now if omitted.
        """
        targets = self.targets if after is None else after
        if self._relay.events and self._relay.last_id is None:
            # Nothing says behind which event another target would have to go on.
            return False
        return (
            self._routed.rule.repeatable
            and targets < self._routed.rule.max_targets_per_request
        )

    def _make_delivery(self, choice: Choice, left: Millis) -> TargetFields:
        elapsed = self._shared.clock.now() - self._routed.arrived
        fetch = choice.fetch_from
        return TargetFields(
            expected=choice.target.info.name,
            organisation=self._routed.payer.name if self._routed.payer else None,
            remaining=max(1.0, left),
            priority=rank(self._routed.rule, elapsed, choice.wait)
            if self._routed.model
            else None,
            fetch_from=fetch.info.address if fetch else None,
            resume_after=self._relay.last_id or self._routed.call.resume_after,
        )

    # Answers

    async def _relay_answer(
        self, outgoing: Outgoing, answer: Answer, timeout: asyncio.Timeout
    ) -> None:
        success = 200 <= answer.status < 300
        if success and not answer.notes.signed:
            detail = "the answer is unsigned"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if success and self._routed.rule.kind is RequestKind.STREAMING:
            max_silence = (
                find_pause_timeout(self._routed.rule) if self._may_go_on() else None
            )
            on_first_event = partial(self._record_first_event, outgoing)
            await self._relay.stream(
                answer,
                timeout,
                max_silence,
                on_first_event,
                self._routed.call.resume_after is not None,
            )
            return
        body = await self._relay.read_complete(answer)
        self._record_first_byte(outgoing, success)
        failed = answer.status >= 500 and self._may_go_on()
        if failed or self._relay.started:
            detail = f"status {answer.status}"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if self._routed.model is None:
            took = self._shared.clock.now() - self._routed.arrived
            self._shared.find_service_time(self._routed.service).add(took)
        await self._relay.send_complete(answer, body)

    def _record_first_event(self, outgoing: Outgoing) -> None:
        """Record the first event of an attempt, before the caller gets it."""
        self._record_first_byte(outgoing, success=True)
        self._stream.record_event(outgoing.choice.target)

    def _record_first_byte(self, outgoing: Outgoing, success: bool) -> None:
        """Record that the target began to answer, and how long that took."""
        if success:
            self._has_begun = True
            self._shared.parts.record_answer(self._routed)
            self._try.end()
        self._retries.record_arrival()
        self._shared.sender.record_first_byte(outgoing)
        target = outgoing.choice.target
        target.health.add_answer()
        self._shared.sender.starts.recheck(target)
        span = self._shared.clock.now() - self.sent
        target.measure(span, outgoing.choice.unscaled)
