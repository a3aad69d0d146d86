"""Find the run of a request again, for who repeats its key or reads on."""

import asyncio
from collections import deque

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BAD_VALUE,
    KEY_REUSED,
    AnvilshiftError,
    check_invariant,
)
from anvilshift.core.work import Work
from anvilshift.router.requests import Job
from anvilshift.router.runs import Run, Shared

_KEEP_FINISHED: Millis = 30 * SECOND
_MAX_FINISHED = 2_000
_MAX_FINISHED_CHARS = 8 * 1024 * 1024
"""Text that ended runs may hold together: 2,000 answers of 1,000 tokens."""


class Runs:
    """The runs of one router, found again by who repeats a key."""

    def __init__(self, shared: Shared) -> None:
        self.in_flight = 0
        self._shared = shared
        self._runs: dict[str, Run] = {}
        self._began = asyncio.Event()
        self._finished: deque[Run] = deque()
        self._finished_chars = 0

    def join(self, job: Job, work: Work) -> Run:
        """Return the run of a job: the one under way, or a new one.

        A run goes on for a caller that resumes only if what the caller has is
        the beginning of its text: two engines may well answer the same
        question in other words, and a mixture would be nobody's answer.

        Raises
        ------
        AnvilshiftError
            Code 1007 when the key came with another body before, 1009 when
            the caller resumes what isn't here.
        """
        self._forget()
        found = self._runs.get(job.identity)
        if found is not None:
            if found.job.content != job.content:
                raise AnvilshiftError(KEY_REUSED)
            if found.error is None and goes_on(found, job):
                return found
        if job.resume_from != len(job.received):
            raise AnvilshiftError(
                BAD_VALUE,
                "that stream isn't here; send what was received as "
                "anvilshift.received, or ask anew without last-event-id",
            )
        after = found if found is not None and not found.over else None
        if after is not None:
            after.stop()
        run = Run(self._shared, job, work, self._note_end, after)
        self.in_flight += 1
        self._runs[job.identity] = run
        self._began.set()
        self._began = asyncio.Event()
        check_invariant(run.job.identity == job.identity, "a run answers another job")
        return run

    def has(self, job: Job) -> bool:
        """Tell whether a run that a job would join is under way."""
        run = self._runs.get(job.identity)
        if run is None or run.ended or run.job.content != job.content:
            return False
        return goes_on(run, job)

    async def find_claimed(self, identity: str) -> Run:
        """Wait until claimed work runs here, and return its run."""
        while True:
            run = self._runs.get(identity)
            if run is not None and run.job.non_idempotent and run.error is None:
                return run
            await self._began.wait()

    def _note_end(self, run: Run) -> None:
        self.in_flight -= 1
        self._finished.append(run)
        self._finished_chars += len(run.text)
        self._forget()

    def list_jobs(self) -> list[Job]:
        """Return the jobs of the runs that have not ended."""
        return [run.job for run in self._runs.values() if not run.ended]

    def _forget(self) -> None:
        now = self._shared.clock.now()
        while self._finished:
            oldest = self._finished[0]
            crowded = (
                len(self._finished) > _MAX_FINISHED
                or self._finished_chars > _MAX_FINISHED_CHARS
            )
            if not crowded and now - oldest.ended_at <= _KEEP_FINISHED:
                return
            self._finished.popleft()
            self._finished_chars -= len(oldest.text)
            if self._runs.get(oldest.job.identity) is oldest:
                del self._runs[oldest.job.identity]


def goes_on(found: Run, job: Job) -> bool:
    """Tell whether a run's text goes on from what the caller has."""
    if job.received:
        return found.text.starts_with(job.received)
    if not job.resume_from:
        return True
    return job.resume_tag == found.tag and job.resume_from <= len(found.text)
