"""Run model requests: one run produces one answer, for any number of readers.

A run doesn't depend on its caller's connection: a caller whose connection broke
can reconnect and continue reading at the same position.  If a run has had no
reader for a short time, it stops and the engine's attempt is cancelled.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from functools import partial

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    ENGINE_FAILED,
    OVERLOADED,
    AnvilshiftError,
)
from anvilshift.core.failures import NOT_EXECUTED, Failure
from anvilshift.core.transcripts import Transcript
from anvilshift.core.work import Send, Work
from anvilshift.engines.engine import AnswerPart, ModelCall, Usage
from anvilshift.engines.http import MismatchedAnswerError, TargetError
from anvilshift.router.budgets import RouterBudgets
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.progress import Progress
from anvilshift.router.requests import Job, digest, find_time_left
from anvilshift.router.silence import WATCH, watch
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry

RESUME_GRACE: Millis = 2 * SECOND
"""How long a run with an idempotency key continues without a reader.  A caller that
reconnects needs one address lookup and one connection, well under a second."""
_MAX_ANSWER_CHARS = 8 * 1024 * 1024
"""Longest answer, in characters: an engine that sends text without end must not fill
the router's memory."""


@dataclass
class RunContext:
    """The components of a router that all its runs use."""

    incarnation: str
    clock: Clock
    budgets: RouterBudgets
    dispatch: DispatchLoop
    targets: Targets
    telemetry: Telemetry


class Run:
    """The execution of one request: reserve tokens, generate the answer, bill it.

    Parameters
    ----------
    after
        An earlier run of the same request; this run begins when it has ended.
    on_end
        Called when the run has ended.
    is_caller_there
        Returns whether the connection of the caller that began it is open.
    """

    def __init__(
        self,
        shared: RunContext,
        job: Job,
        work: Work,
        on_end: Callable[["Run"], None] = lambda run: None,
        after: "Run | None" = None,
        is_caller_there: Callable[[], bool] = lambda: True,
    ) -> None:
        self.job = job
        self._is_caller_there = is_caller_there
        self.text = Transcript(job.received)
        self.usage: Usage | None = None
        self.finish = "stop"
        self.error: AnvilshiftError | None = None
        self.ended = False
        self.ended_at: Millis = 0.0
        self.tag = digest(job.identity, shared.incarnation, str(shared.clock.now()))[:8]
        self._shared = shared
        self._work = work
        self._on_end = on_end
        self._predecessor = after
        self._started = False
        self._progress = Progress()
        self._tokens = 0
        self._exceeds_bound = False
        self._last_received: Millis = 0.0
        self._has_first_token = False
        self._abandoned = False
        self._generation: asyncio.Task[None] | None = None
        self._readers = 0
        self._changed = asyncio.Event()
        self._first_token_at: Millis | None = None
        self._last_token_at: Millis = 0.0
        self._longest_gap: Millis = 0.0
        self._attempt: tuple[str, str] | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def read(self, start: int) -> AsyncGenerator[str]:
        """Yield the answer's text from a character offset on, until it is complete.

        Raises
        ------
        AnvilshiftError
            The error that ended the run, if it failed.
        """
        self._readers += 1
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        try:
            sent = start
            while True:
                piece = self.text.read(sent)
                if piece:
                    sent += len(piece)
                    yield piece
                    continue
                if self.error is not None:
                    raise self.error
                if self.ended:
                    return
                self._changed.clear()
                await self._changed.wait()
        finally:
            self._readers -= 1
            if not self._readers and not self.ended:
                self._start_unread_timer()

    def _start_unread_timer(self) -> None:
        grace = RESUME_GRACE if self.job.keyed else 0.0
        loop = asyncio.get_running_loop()
        self._unread_timer = loop.call_later(grace / SECOND, self.stop)

    def stop(self) -> None:
        """Stop the run and cancel its attempt at the engine."""
        self._task.cancel()

    @property
    def over(self) -> bool:
        """Tell whether this run and all earlier runs that it waits for have ended."""
        return self.ended and (self._predecessor is None or self._predecessor.over)

    async def wait_ended(self) -> None:
        """Wait until the run has ended, with success or an error."""
        if self._predecessor is not None:
            await self._predecessor.wait_ended()
        await asyncio.wait([self._task])

    async def _run(self) -> None:
        shared, job = self._shared, self.job
        try:
            if self._predecessor is not None:
                await self._predecessor.wait_ended()
                self._predecessor = None
            self._started = True
            async with asyncio.timeout((job.deadline - shared.clock.now()) / SECOND):
                await shared.budgets.reserve(
                    job.organisation.budget,
                    job.bill_key,
                    job.bound,
                    job.organisation.name,
                    metered=True,
                )
                await self._attempt_until_complete()
                await self._settle()
        except AnvilshiftError as error:
            self.error = self._progress.correct_error(error)
        except TimeoutError:
            self.error = self._progress.make_deadline_error()
        except asyncio.CancelledError:
            stopped = AnvilshiftError(OVERLOADED, "the run was stopped", SECOND)
            self.error = self._progress.correct_error(stopped)
        except Exception:
            logging.exception("run failed request=%s", job.identity)
            self.error = self._progress.correct_error(AnvilshiftError(ENGINE_FAILED))
        finally:
            self._end()

    def _end(self) -> None:
        shared, job = self._shared, self.job
        if self._started:
            shared.budgets.release(job.organisation.budget, job.bill_key)
        if self._started and self.error is not None:
            shared.dispatch.cancel(job.identity)
            self._cancel_attempt()
        self.ended = True
        self.ended_at = shared.clock.now()
        self._changed.set()
        self._on_end(self)
        code = self.error.code if self.error else None
        kind = job.route.request_class
        organisation = job.organisation.name
        shared.telemetry.count_answer(organisation, kind, code)
        self._record_gaps()
        if self.error is None:
            span = shared.clock.now() - job.arrived
            shared.telemetry.record_whole_answer_wait(organisation, kind, span)
        logging.info(
            "request ended request=%s organisation=%s engine=%s code=%d tokens=%d",
            job.identity,
            organisation,
            self._attempt[0] if self._attempt else "-",
            code.number if code else 0,
            self._tokens,
        )

    def _cancel_attempt(self) -> None:
        if self._attempt is not None:
            target, attempt = self._attempt
            self._shared.targets.cancel(target, attempt)

    async def _attempt_until_complete(self) -> None:
        dispatch = self._shared.dispatch
        send = await dispatch.submit(self._work, self._abandon_attempt)
        waited = self._shared.clock.now() - self.job.arrived
        self._shared.telemetry.record_queue_wait(
            self.job.organisation.name, self.job.route.request_class, waited
        )
        while True:
            sent_before = self._progress.sent
            try:
                with self._shared.targets.hold(send.target):
                    if await self._generate_unless_abandoned(send):
                        return
                send = await dispatch.follow(self.job.identity)
                continue
            except TargetError as error:
                self._record_failure(send, error)
                failure = error.failure
            if failure in NOT_EXECUTED:
                self._progress.sent = sent_before
            send = await dispatch.retry(self.job.identity, failure, self._tokens)

    def _abandon_attempt(self) -> None:
        """Stop the current attempt; the run continues at another target."""
        if self._generation is not None:
            self._abandoned = True
            self._generation.cancel()

    async def _generate_unless_abandoned(self, send: Send) -> bool:
        """Generate the answer; False if the attempt was abandoned."""
        loop = asyncio.get_running_loop()
        self._abandoned = False
        self._generation = loop.create_task(self._generate(send))
        try:
            await self._generation
            return True
        except asyncio.CancelledError:
            task = asyncio.current_task()
            # The run itself may have been cancelled at the same time.
            if not self._abandoned or (task is not None and task.cancelling()):
                raise
            self._cancel_attempt()
            self._shared.telemetry.count_event("attempt_abandoned")
            logging.warning(
                "attempt abandoned request=%s engine=%s", self.job.identity, send.target
            )
            return False
        finally:
            self._generation = None

    def _record_failure(self, send: Send, error: TargetError) -> None:
        if isinstance(error, MismatchedAnswerError):
            self._shared.telemetry.count_event("late_answer")
        logging.warning(
            "attempt failed request=%s engine=%s failure=%s",
            self.job.identity,
            send.target,
            error.failure.value,
        )

    async def _generate(self, send: Send) -> None:
        job = self.job
        attempt = digest(job.identity, self.tag, str(send.attempt))
        self._attempt = (send.target, attempt)
        self._has_first_token = False
        engine = self._shared.targets.engine(send.target)
        if engine is None:
            raise TargetError(Failure.NOT_SENT, "the target is gone")
        call = ModelCall(attempt, job.body or {}, send.priority, self.text.whole())
        timeout = find_time_left(job, self._shared.clock.now(), self._is_caller_there)
        # Set before the first byte can be sent: if the deadline passes while the
        # work runs, the error must not say "not run".
        self._progress.sent = True
        self._last_received = self._shared.clock.now()
        with watch(partial(self._is_silent, send.target), self._leave_silent):
            async with (
                engine.generate(call, timeout) as batches,
                contextlib.aclosing(batches),
            ):
                await self._process_all(batches)

    def _leave_silent(self) -> None:
        silent = self._shared.targets.list_unanswering()
        self._shared.dispatch.leave(self.job.identity, silent, self._tokens)

    def _is_silent(self, target: str) -> bool:
        """Tell whether an engine answers neither this attempt nor its polls."""
        if self._shared.clock.now() - self._last_received < WATCH:
            return False
        return self._shared.targets.is_silent(target)

    async def _process_all(self, batches: AsyncGenerator[list[AnswerPart]]) -> None:
        async for batch in batches:
            self._process_batch(batch)
            if len(self.text) > _MAX_ANSWER_CHARS:
                raise TargetError(
                    Failure.BROKE_OFF, "the answer exceeds the length limit"
                )
            if self._exceeds_bound:
                # The engine sends more tokens than were requested and reserved.
                self._cancel_attempt()
                self.finish = "length"
                return

    def _process_batch(self, batch: list[AnswerPart]) -> None:
        now = self._last_received = self._shared.clock.now()
        grown = False
        for piece in batch:
            if piece.text and self._tokens >= self.job.max_answer_tokens:
                self._exceeds_bound = True
            elif piece.text:
                grown = True
                self.text.append(piece.text)
                self._tokens += piece.tokens
            self.usage = piece.usage or self.usage
            self.finish = piece.finish or self.finish
        # A batch reaches the caller as a whole, so its pieces count as one wait.
        if grown:
            self._record_token_time(now)
        self._changed.set()

    def _record_token_time(self, now: Millis) -> None:
        if not self._has_first_token:
            self._has_first_token = True
            self._shared.dispatch.first_token(self.job.identity)
        if self._first_token_at is None:
            telemetry, job = self._shared.telemetry, self.job
            span = now - job.arrived
            telemetry.record_first_token_wait(
                job.organisation.name, job.route.request_class, span
            )
            self._first_token_at = now
        else:
            self._longest_gap = max(self._longest_gap, now - self._last_token_at)
        self._last_token_at = now

    def _record_gaps(self) -> None:
        # Gaps are recorded once per answer: recording one for every token took a
        # third of the CPU time of a router that streams.
        if self._first_token_at is None or self._tokens < 2:
            return
        mean = (self._last_token_at - self._first_token_at) / (self._tokens - 1)
        self._shared.telemetry.record_token_gaps(
            self.job.organisation.name,
            self.job.route.request_class,
            mean,
            self._longest_gap,
        )

    async def _settle(self) -> None:
        job, budgets = self.job, self._shared.budgets
        self._progress.ran = True
        self._shared.dispatch.done(job.identity, self._tokens)
        self.usage = self._limit_usage()
        began = self._shared.clock.now()
        await budgets.settle(
            job.organisation.budget,
            job.bill_key,
            job.organisation.name,
            self.usage.total,
            until=job.deadline,
        )
        waited = self._shared.clock.now() - began
        self._shared.dispatch.recorded(waited)
        kind = job.route.request_class
        self._shared.telemetry.record_bill_wait(job.organisation.name, kind, waited)

    def _limit_usage(self) -> Usage:
        """Return the usage to bill: the engine's count, limited to the reservation.

        An engine that reports wrong counts must neither overspend the budget nor
        add tokens to it with a negative count; no request is billed for more than
        was reserved for it.
        """
        job = self.job
        counted = self.usage or Usage(job.max_prompt_tokens, self._tokens)
        prompt = min(max(counted.prompt, 0), job.max_prompt_tokens)
        usage = Usage(prompt, min(max(counted.answer, 0), job.max_answer_tokens))
        if usage != counted:
            self._shared.telemetry.count_event("absurd_usage")
        return usage
