"""Registry of the runs of one router.

A request that repeats an idempotency key, or resumes a stream, joins the run that
was started for the first request.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BAD_VALUE,
    KEY_REUSED,
    AnvilshiftError,
    check_invariant,
)
from anvilshift.core.work import Work
from anvilshift.router.requests import Job
from anvilshift.router.runs import Run, RunContext

_FINISHED_LIFETIME: Millis = 30 * SECOND
_MAX_FINISHED = 2_000
_MAX_FINISHED_CHARS = 8 * 1024 * 1024
"""Maximum total text of the finished runs that are kept, in characters; enough for
2,000 answers of 1,000 tokens."""


class Runs:
    """Runs of one router, by the identity of their job.

    Finished runs are kept for a while for requests that repeat their key.
    """

    def __init__(self, shared: RunContext) -> None:
        self.in_flight = 0
        self._shared = shared
        self._runs: dict[str, Run] = {}
        self._run_started = asyncio.Event()
        self._finished: deque[Run] = deque()
        self._finished_chars = 0

    def join(
        self,
        job: Job,
        work: Work,
        is_caller_there: Callable[[], bool] = lambda: True,
    ) -> Run:
        """Return the existing run of a job, or start a new one.

        A caller that resumes joins a run only if the text it has received is the
        beginning of the run's text.  Two engines may answer the same question in
        different words, and a mixture of two answers would be wrong.

        Raises
        ------
        AnvilshiftError
            Code 1007 when the key was used with another body before, 1009 when
            the caller resumes a stream that this router doesn't have.
        """
        self._drop_finished()
        found = self._runs.get(job.identity)
        if found is not None:
            if found.job.content != job.content:
                raise AnvilshiftError(KEY_REUSED)
            if found.error is None and continues_received(found, job):
                return found
        if job.resume_from != len(job.received):
            raise AnvilshiftError(
                BAD_VALUE,
                "this router doesn't have that stream; send the received text as "
                "anvilshift.received, or repeat the request without last-event-id",
            )
        after = found if found is not None and not found.over else None
        if after is not None:
            after.stop()
        run = Run(self._shared, job, work, self._note_end, after, is_caller_there)
        self.in_flight += 1
        self._runs[job.identity] = run
        self._run_started.set()
        self._run_started = asyncio.Event()
        check_invariant(
            run.job.identity == job.identity, "a run belongs to another job"
        )
        return run

    def has(self, job: Job) -> bool:
        """Tell whether a run that the job would join is in progress."""
        run = self._runs.get(job.identity)
        if run is None or run.ended or run.job.content != job.content:
            return False
        return continues_received(run, job)

    async def find_claimed(self, identity: str) -> Run:
        """Wait until claimed work with this identity runs here; return its run."""
        while True:
            run = self._runs.get(identity)
            if run is not None and run.job.non_idempotent and run.error is None:
                return run
            await self._run_started.wait()

    def _note_end(self, run: Run) -> None:
        self.in_flight -= 1
        self._finished.append(run)
        self._finished_chars += len(run.text)
        self._drop_finished()

    def list_jobs(self) -> list[Job]:
        """Return the jobs of the runs that have not ended."""
        return [run.job for run in self._runs.values() if not run.ended]

    def _drop_finished(self) -> None:
        now = self._shared.clock.now()
        while self._finished:
            oldest = self._finished[0]
            over_limit = (
                len(self._finished) > _MAX_FINISHED
                or self._finished_chars > _MAX_FINISHED_CHARS
            )
            if not over_limit and now - oldest.ended_at <= _FINISHED_LIFETIME:
                return
            self._finished.popleft()
            self._finished_chars -= len(oldest.text)
            if self._runs.get(oldest.job.identity) is oldest:
                del self._runs[oldest.job.identity]


def continues_received(found: Run, job: Job) -> bool:
    """Tell whether a run's text continues the text that the caller has received."""
    if job.received:
        return found.text.starts_with(job.received)
    if not job.resume_from:
        return True
    return job.resume_tag == found.tag and job.resume_from <= len(found.text)
