"""Run model requests: one run makes one answer, whoever reads it.

A run goes on apart from its caller's connection, so that a caller whose
connection broke reads on where it stopped.  When nobody has read for a short
while, the run stops and its engine is told.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    ENGINE_FAILED,
    OVERLOADED,
    AnvilshiftError,
)
from anvilshift.core.transcripts import Transcript
from anvilshift.core.work import NEVER_RAN, Failure, Send, Work
from anvilshift.engines.engine import ModelCall, Piece, Usage
from anvilshift.engines.http import LateAnswerError, TargetError
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.fates import Progress
from anvilshift.router.requests import Job, digest
from anvilshift.router.silence import WATCH, watch
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry
from anvilshift.router.treasury import Treasury

RESUME_GRACE: Millis = 2 * SECOND
"""How long a run with a key goes on without a reader: a caller that reconnects
needs one address lookup and one connection, well under a second."""
_MAX_ANSWER_CHARS = 8 * 1024 * 1024
"""An engine whose tokens grow without end is cut off before it fills the memory."""


@dataclass
class Shared:
    """What every run needs of its router."""

    incarnation: str
    clock: Clock
    treasury: Treasury
    dispatch: DispatchLoop
    targets: Targets
    telemetry: Telemetry


class Run:
    """The making of one answer.

    Parameters
    ----------
    after
        A run of the same request that must have ended before this one begins.
    on_end
        Called when the run has ended.
    """

    def __init__(
        self,
        shared: Shared,
        job: Job,
        work: Work,
        on_end: Callable[["Run"], None] = lambda run: None,
        after: "Run | None" = None,
    ) -> None:
        self.job = job
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
        self._after = after
        self._entered = False
        self._progress = Progress()
        self._tokens = 0
        self._overrun = False
        self._heard: Millis = 0.0
        self._begun = False
        self._abandoned = False
        self._generating: asyncio.Task[None] | None = None
        self._readers = 0
        self._changed = asyncio.Event()
        self._first_token: Millis | None = None
        self._last_token: Millis = 0.0
        self._longest_gap: Millis = 0.0
        self._attempt: tuple[str, str] | None = None
        self._unread: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._make())

    async def read(self, start: int) -> AsyncGenerator[str]:
        """Yield the answer's text from a character on, until it is whole.

        Raises
        ------
        AnvilshiftError
            What ended the run early.
        """
        self._readers += 1
        if self._unread is not None:
            self._unread.cancel()
            self._unread = None
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
                self._watch_unread()

    def _watch_unread(self) -> None:
        grace = RESUME_GRACE if self.job.keyed else 0.0
        loop = asyncio.get_running_loop()
        self._unread = loop.call_later(grace / SECOND, self.stop)

    def stop(self) -> None:
        """End the run; no more tokens are made for it."""
        self._task.cancel()

    @property
    def over(self) -> bool:
        """Tell whether this run and those that it waited for have ended."""
        return self.ended and (self._after is None or self._after.over)

    async def wait_ended(self) -> None:
        """Wait until the run has ended, whatever came of it."""
        if self._after is not None:
            await self._after.wait_ended()
        await asyncio.wait([self._task])

    async def _make(self) -> None:
        shared, job = self._shared, self.job
        try:
            if self._after is not None:
                await self._after.wait_ended()
                self._after = None
            self._entered = True
            async with asyncio.timeout((job.deadline - shared.clock.now()) / SECOND):
                await shared.treasury.reserve(
                    job.organisation.budget, job.bill_key, job.bound
                )
                await self._attempt_until_whole()
                await self._settle()
        except AnvilshiftError as error:
            self.error = self._progress.tell(error)
        except TimeoutError:
            self.error = self._progress.tell_late()
        except asyncio.CancelledError:
            stopped = AnvilshiftError(OVERLOADED, "the run was stopped", SECOND)
            self.error = self._progress.tell(stopped)
        except Exception:
            logging.exception("run failed request=%s", job.identity)
            self.error = self._progress.tell(AnvilshiftError(ENGINE_FAILED))
        finally:
            self._end()

    def _end(self) -> None:
        shared, job = self._shared, self.job
        if self._entered:
            shared.treasury.release(job.organisation.budget, job.bill_key)
        if self._entered and self.error is not None:
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
            shared.telemetry.record_whole(organisation, kind, span)
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

    async def _attempt_until_whole(self) -> None:
        dispatch = self._shared.dispatch
        send = await dispatch.submit(self._work, self._abandon)
        waited = self._shared.clock.now() - self.job.arrived
        self._shared.telemetry.record_queue(
            self.job.organisation.name, self.job.route.request_class, waited
        )
        while True:
            sent_before = self._progress.sent
            try:
                if await self._generate_unless_abandoned(send):
                    return
                send = await dispatch.follow(self.job.identity)
                continue
            except TargetError as error:
                self._note_failure(send, error)
                failure = error.failure
            if failure in NEVER_RAN:
                self._progress.sent = sent_before
            send = await dispatch.retry(self.job.identity, failure)

    def _abandon(self) -> None:
        """Stop the attempt under way; the run goes on at another target."""
        if self._generating is not None:
            self._abandoned = True
            self._generating.cancel()

    async def _generate_unless_abandoned(self, send: Send) -> bool:
        """Make the answer; False when the attempt was abandoned."""
        loop = asyncio.get_running_loop()
        self._abandoned = False
        self._generating = loop.create_task(self._generate(send))
        try:
            await self._generating
            return True
        except asyncio.CancelledError:
            task = asyncio.current_task()
            # The run itself may be stopped at the same time.
            if not self._abandoned or (task is not None and task.cancelling()):
                raise
            self._cancel_attempt()
            self._shared.telemetry.count_event("attempt_abandoned")
            logging.warning(
                "attempt abandoned request=%s engine=%s", self.job.identity, send.target
            )
            return False
        finally:
            self._generating = None

    def _note_failure(self, send: Send, error: TargetError) -> None:
        if isinstance(error, LateAnswerError):
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
        self._begun = False
        engine = self._shared.targets.engine(send.target)
        if engine is None:
            raise TargetError(Failure.NOT_SENT, "the target is gone")
        call = ModelCall(attempt, job.body or {}, send.priority, self.text.whole())
        timeout = job.deadline - self._shared.clock.now()
        # Set before the first byte can leave: work that the deadline cuts off
        # in its midst must not be told "not run".
        self._progress.sent = True
        self._heard = self._shared.clock.now()
        with watch(lambda: self._is_silent(send.target)) as guard:
            async with (
                guard,
                engine.generate(call, timeout) as batches,
                contextlib.aclosing(batches),
            ):
                await self._take_all(batches)

    def _is_silent(self, target: str) -> bool:
        """Tell whether an engine has stopped answering, here and elsewhere."""
        if self._shared.clock.now() - self._heard < WATCH:
            return False
        return self._shared.targets.is_silent(target)

    async def _take_all(self, batches: AsyncGenerator[list[Piece]]) -> None:
        async for batch in batches:
            self._take(batch)
            if len(self.text) > _MAX_ANSWER_CHARS:
                raise TargetError(Failure.BROKE_OFF, "the answer is over the limit")
            if self._overrun:
                # The engine makes more than was asked for and reserved.
                self._cancel_attempt()
                self.finish = "length"
                return

    def _take(self, batch: list[Piece]) -> None:
        now = self._heard = self._shared.clock.now()
        grown = False
        for piece in batch:
            if piece.text and self._tokens >= self.job.answer_bound:
                self._overrun = True
            elif piece.text:
                grown = True
                self.text.append(piece.text)
                self._tokens += piece.tokens
            self.usage = piece.usage or self.usage
            self.finish = piece.finish or self.finish
        # What arrived together reaches the caller together: a batch is one wait.
        if grown:
            self._count_wait(now)
        self._changed.set()

    def _count_wait(self, now: Millis) -> None:
        if not self._begun:
            self._begun = True
            self._shared.dispatch.first_token(self.job.identity)
        if self._first_token is None:
            telemetry, job = self._shared.telemetry, self.job
            span = now - job.arrived
            telemetry.record_first(job.organisation.name, job.route.request_class, span)
            self._first_token = now
        else:
            self._longest_gap = max(self._longest_gap, now - self._last_token)
        self._last_token = now

    def _record_gaps(self) -> None:
        # Once for an answer: a record for every token took a third of the
        # processor of a router that streams.
        if self._first_token is None or self._tokens < 2:
            return
        mean = (self._last_token - self._first_token) / (self._tokens - 1)
        self._shared.telemetry.record_gaps(
            self.job.organisation.name,
            self.job.route.request_class,
            mean,
            self._longest_gap,
        )

    async def _settle(self) -> None:
        job, treasury = self.job, self._shared.treasury
        self._progress.ran = True
        self._shared.dispatch.done(job.identity, self._tokens)
        self.usage = self._bound_usage()
        began = self._shared.clock.now()
        await treasury.settle(
            job.organisation.budget,
            job.bill_key,
            job.organisation.name,
            self.usage.total,
            until=job.deadline,
        )
        waited = self._shared.clock.now() - began
        self._shared.dispatch.recorded(waited)
        organisation, kind = job.organisation.name, job.route.request_class
        self._shared.telemetry.record_bill(organisation, kind, waited)

    def _bound_usage(self) -> Usage:
        """Return what to bill: the engine's count, within what was reserved.

        An engine that counts wrongly must neither overspend the budget nor,
        with a negative count, hand tokens out; the caller's reservation is the
        most that is ever billed.
        """
        job = self.job
        counted = self.usage or Usage(job.prompt_bound, self._tokens)
        usage = Usage(
            min(max(counted.prompt, 0), job.prompt_bound),
            min(max(counted.answer, 0), job.answer_bound),
        )
        if usage != counted:
            self._shared.telemetry.count_event("absurd_usage")
        return usage
