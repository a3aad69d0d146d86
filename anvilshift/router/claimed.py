"""Run claimed work apart from its callers' connections.

A caller that loses its connection to an order must be able to learn what
became of it by sending the key again.  So the work goes on to its end and its
answer is recorded, whoever still listens; who repeats the key at this router
meanwhile waits for the same answer.
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
    Fate,
)
from anvilshift.router.claims import ClaimBook
from anvilshift.router.requests import Job

_RECORD_SLACK: Millis = 2_000.0
"""How far past its deadline a caller may learn what became of its order: the
work's own deadline ends first, then its record is written."""


@dataclass
class _Entry:
    job: Job
    task: asyncio.Task[Answer]


class ClaimedRuns:
    """The claimed work that runs at this router."""

    def __init__(self, book: ClaimBook, clock: Clock) -> None:
        self.book = book
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    @property
    def in_flight(self) -> int:
        """Return how much claimed work has no record of its end yet."""
        return len(self._entries) + self.book.unrecorded

    def list_jobs(self) -> list[Job]:
        """Return the jobs whose work has not ended."""
        return [entry.job for entry in self._entries.values()]

    def has(self, job: Job) -> bool:
        """Tell whether the job's work runs here under its claim."""
        entry = self._entries.get(job.identity)
        return entry is not None and entry.job.content == job.content

    async def run(self, job: Job, work: Callable[[], Awaitable[Answer]]) -> Answer:
        """Return the answer of work that runs at most once under its key.

        Raises
        ------
        AnvilshiftError
            A *not run* code only when the work provably never left.
        """
        entry = self._entries.get(job.identity)
        if entry is None:
            entry = self._begin(job, work)
        elif entry.job.content != job.content:
            raise AnvilshiftError(KEY_REUSED)
        left = max(0.0, job.deadline - self._clock.now()) + _RECORD_SLACK
        try:
            async with asyncio.timeout(left / SECOND):
                return await asyncio.shield(entry.task)
        except TimeoutError as error:
            raise AnvilshiftError(ANSWER_LATE) from error

    def _begin(self, job: Job, work: Callable[[], Awaitable[Answer]]) -> _Entry:
        task = asyncio.get_running_loop().create_task(self._run_once(job, work))
        entry = _Entry(job, task)
        self._entries[job.identity] = entry
        task.add_done_callback(lambda _: self._finish(job.identity, task))
        return entry

    def _finish(self, identity: str, task: asyncio.Task[Answer]) -> None:
        del self._entries[identity]
        if not task.cancelled():
            # Read once, so that an error whose caller has left isn't reported
            # as forgotten by the loop.
            task.exception()

    async def _run_once(
        self, job: Job, work: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        claim = await self.book.take(job)
        if claim.state is ClaimState.DONE:
            if claim.answer is None:
                raise AnvilshiftError(NOT_RECORDED, "it ran; its answer isn't kept")
            return claim.answer
        try:
            answer = await work()
        except AnvilshiftError as error:
            if error.code.fate is Fate.NOT_RUN:
                self.book.record_later(job.identity, claim.void())
                raise
            if error.code.fate is Fate.RAN:
                self.book.record_later(job.identity, claim.finish(None))
                raise
            self.book.record_later(job.identity, claim.lose())
            logging.warning("outcome unknown request=%s %s", job.identity, error)
            raise AnvilshiftError(OUTCOME_UNKNOWN, error.detail) from error
        except BaseException:
            self.book.record_later(job.identity, claim.lose())
            raise
        # The work ran: whatever becomes of the record, the caller gets the
        # answer, and the claim stays, so that nobody runs it again.
        await self.book.record(job.identity, claim.finish(answer))
        return answer
