"""Run model requests: one run makes one answer, whoever reads it.

A run goes on apart from its caller's connection, so that a caller whose
connection broke reads on where it stopped.  When nobody has read for a short
while, the run stops and its engine is told.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    ANSWER_LATE,
    ENGINE_FAILED,
    KEY_REUSED,
    AnvilshiftError,
    check_invariant,
)
from anvilshift.core.work import Failure, Send, Work
from anvilshift.engines.engine import ModelCall, Piece, Usage
from anvilshift.engines.http import TargetError
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.requests import Job, digest
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry
from anvilshift.router.treasury import Treasury

RESUME_GRACE: Millis = 2 * SECOND
"""How long a run with a key goes on without a reader: a caller that reconnects
needs one address lookup and one connection, well under a second."""
_KEEP_FINISHED: Millis = 30 * SECOND
_MAX_FINISHED = 2_000
_SWEEP_EVERY = 256
"""Requests between two sweeps of finished runs: a sweep for each request cost
more than the rest of it once some thousand runs were kept."""


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
    """The making of one answer."""

    def __init__(self, shared: Shared, job: Job, work: Work) -> None:
        self.job = job
        self.text = job.received
        self.usage: Usage | None = None
        self.finish = "stop"
        self.error: AnvilshiftError | None = None
        self.ended = False
        self._shared = shared
        self._work = work
        self._tokens = 0
        self._readers = 0
        self._changed = asyncio.Event()
        self._first_token: Millis | None = None
        self._last_token: Millis = 0.0
        self._longest_gap: Millis = 0.0
        self._attempt: tuple[str, str] | None = None
        self._unread: asyncio.TimerHandle | None = None
        self._task = asyncio.get_running_loop().create_task(self._make())

    async def read(self, start: int) -> AsyncIterator[str]:
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
                if sent < len(self.text):
                    piece = self.text[sent:]
                    sent = len(self.text)
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

    async def _make(self) -> None:
        shared, job = self._shared, self.job
        try:
            async with asyncio.timeout((job.deadline - shared.clock.now()) / SECOND):
                await shared.treasury.reserve(
                    job.organisation.budget, job.identity, job.bound
                )
                await self._attempt_until_whole()
                await self._settle()
        except AnvilshiftError as error:
            self.error = error
        except TimeoutError:
            self.error = AnvilshiftError(ANSWER_LATE)
        except asyncio.CancelledError:
            self.error = AnvilshiftError(ENGINE_FAILED, "the run was stopped")
        except Exception:
            logging.exception("run failed request=%s", job.identity)
            self.error = AnvilshiftError(ENGINE_FAILED)
        finally:
            self._end()

    def _end(self) -> None:
        shared, job = self._shared, self.job
        shared.treasury.release(job.organisation.budget, job.identity)
        if self.error is not None:
            shared.dispatch.cancel(job.identity)
            self._cancel_attempt()
        self.ended = True
        self._changed.set()
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
        send = await dispatch.submit(self._work, self.stop)
        waited = self._shared.clock.now() - self.job.arrived
        self._shared.telemetry.record_queue(
            self.job.organisation.name, self.job.route.request_class, waited
        )
        while True:
            try:
                await self._generate(send)
                return
            except TargetError as error:
                logging.warning(
                    "attempt failed request=%s engine=%s failure=%s",
                    self.job.identity,
                    send.target,
                    error.failure.value,
                )
                failure = error.failure
            send = await dispatch.retry(self.job.identity, failure)

    async def _generate(self, send: Send) -> None:
        job = self.job
        attempt = digest(job.identity, self._shared.incarnation, str(send.attempt))
        self._attempt = (send.target, attempt)
        engine = self._shared.targets.engine(send.target)
        if engine is None:
            raise TargetError(Failure.NOT_SENT, "the target is gone")
        call = ModelCall(attempt, job.body or {}, send.priority, self.text)
        timeout = job.deadline - self._shared.clock.now()
        async with engine.generate(call, timeout) as batches:
            async for batch in batches:
                self._take(batch)

    def _take(self, batch: list[Piece]) -> None:
        now = self._shared.clock.now()
        # What arrived together reaches the caller together: a batch is one wait.
        if any(piece.text for piece in batch):
            self._count_wait(now)
        for piece in batch:
            self.text += piece.text
            self._tokens += piece.tokens
            self.usage = piece.usage or self.usage
            self.finish = piece.finish or self.finish
        self._changed.set()

    def _count_wait(self, now: Millis) -> None:
        if self._first_token is None:
            telemetry, job = self._shared.telemetry, self.job
            span = now - job.arrived
            telemetry.record_first(job.organisation.name, job.route.request_class, span)
            self._shared.dispatch.first_token(job.identity)
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
        self._shared.dispatch.done(job.identity, self._tokens)
        counted = self.usage or Usage(job.prompt_bound, self._tokens)
        self.usage = counted
        # An engine that reports more than the bound must not overspend the
        # budget: the caller's reservation is the most that is ever billed.
        tokens = min(counted.total, job.bound)
        began = self._shared.clock.now()
        await treasury.settle(
            job.organisation.budget, job.identity, job.organisation.name, tokens
        )
        self._shared.telemetry.record_bill(
            job.organisation.name,
            job.route.request_class,
            self._shared.clock.now() - began,
        )


class Runs:
    """The runs of one router, found again by who repeats a key."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared
        self._runs: dict[str, Run] = {}
        self._joined = 0

    @property
    def in_flight(self) -> int:
        """Return how many runs have not ended."""
        return sum(not run.ended for run in self._runs.values())

    def join(self, job: Job, work: Work) -> Run:
        """Return the run of a job: the one under way, or a new one.

        Raises
        ------
        AnvilshiftError
            Code 1007 when the key came with another body before.
        """
        self._joined += 1
        if self._joined % _SWEEP_EVERY == 0:
            self._forget()
        found = self._runs.get(job.identity)
        if found is not None:
            if found.job.content != job.content:
                raise AnvilshiftError(KEY_REUSED)
            resumable = found.error is None and job.resume_from <= len(found.text)
            if resumable:
                return found
        run = Run(self._shared, job, work)
        self._runs[job.identity] = run
        check_invariant(run.job.identity == job.identity, "a run answers another job")
        return run

    def _forget(self) -> None:
        now = self._shared.clock.now()
        for identity, run in list(self._runs.items()):
            old = now - run.job.arrived > _KEEP_FINISHED
            if run.ended and (old or len(self._runs) > _MAX_FINISHED):
                del self._runs[identity]

    async def wait_idle(self) -> None:
        """Wait until no run is in flight."""
        while self.in_flight:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await asyncio.Event().wait()
