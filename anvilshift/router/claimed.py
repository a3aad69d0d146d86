"""Run claimed work independently of its callers' connections.

A caller that loses its connection must be able to learn the outcome of its
non-idempotent request by repeating the idempotency key.  The work therefore runs to
its end and its answer is recorded even when no caller is connected any more.  A
request that repeats the key at this router in the meantime waits for the same
answer.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from absl import logging

from anvilshift.core.claims import Answer, ClaimState
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    ANSWER_LATE,
    KEY_REUSED,
    NOT_RECORDED,
    OUTCOME_UNKNOWN,
    AnvilshiftError,
    ExecutionState,
)
from anvilshift.router.claims import ClaimStore
from anvilshift.router.requests import Job

_RECORD_MARGIN: Millis = 2_000.0
"""Time past its deadline for which a caller waits for the outcome: the work itself
ends by the deadline, and its record is written after that."""


@dataclass
class _Entry:
    job: Job
    task: asyncio.Task[Answer]


class ClaimedRuns:
    """Claimed work that runs at this router, by the identity of its job."""

    def __init__(self, claims: ClaimStore, clock: Clock) -> None:
        self.claims = claims
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of claims that are running or have no recorded end."""
        return len(self._entries) + self.claims.unrecorded

    def list_jobs(self) -> list[Job]:
        """Return the jobs whose work is still running."""
        return [entry.job for entry in self._entries.values()]

    def has(self, job: Job) -> bool:
        """Tell whether the job's work runs here under its claim."""
        entry = self._entries.get(job.identity)
        return entry is not None and entry.job.content == job.content

    async def run(self, job: Job, work: Callable[[], Awaitable[Answer]]) -> Answer:
        """Run work at most once for its idempotency key, and return its answer.

        Raises
        ------
        AnvilshiftError
            With a *not run* code only when the work was provably never sent.
        """
        entry = self._entries.get(job.identity)
        if entry is None:
            entry = self._start(job, work)
        elif entry.job.content != job.content:
            raise AnvilshiftError(KEY_REUSED)
        remaining = max(0.0, job.deadline - self._clock.now()) + _RECORD_MARGIN
        try:
            async with asyncio.timeout(remaining / SECOND):
                return await asyncio.shield(entry.task)
        except TimeoutError as error:
            raise AnvilshiftError(ANSWER_LATE) from error

    def _start(self, job: Job, work: Callable[[], Awaitable[Answer]]) -> _Entry:
        task = asyncio.get_running_loop().create_task(self._run_once(job, work))
        entry = _Entry(job, task)
        self._entries[job.identity] = entry
        task.add_done_callback(lambda _: self._finish(job.identity, task))
        return entry

    def _finish(self, identity: str, task: asyncio.Task[Answer]) -> None:
        del self._entries[identity]
        if not task.cancelled():
            # Reading the exception keeps asyncio from logging "exception was never
            # retrieved" when the caller has disconnected.
            task.exception()

    async def _run_once(
        self, job: Job, work: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        claim = await self.claims.acquire(job)
        if claim.state is ClaimState.DONE:
            if claim.answer is None:
                raise AnvilshiftError(NOT_RECORDED, "it ran; its answer wasn't stored")
            return claim.answer
        try:
            answer = await work()
        except AnvilshiftError as error:
            if error.code.fate is ExecutionState.NOT_RUN:
                self.claims.record_later(job.identity, claim.void())
                raise
            if error.code.fate is ExecutionState.RAN:
                self.claims.record_later(job.identity, claim.mark_done(None))
                raise
            self.claims.record_later(job.identity, claim.mark_lost())
            logging.warning("outcome unknown request=%s %s", job.identity, error)
            raise AnvilshiftError(OUTCOME_UNKNOWN, error.detail) from error
        except BaseException:
            self.claims.record_later(job.identity, claim.mark_lost())
            raise
        # The work ran.  The caller gets the answer even if the record fails, and the
        # claim stays in place, so that no router runs the work again.
        await self.claims.record(job.identity, claim.mark_done(answer))
        return answer
