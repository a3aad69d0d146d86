"""Pass calls through to plain services."""

import asyncio
import random
from dataclasses import replace

from absl import logging

from anvilshift.core.claims import Answer
from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.identity import make_identity
from anvilshift.core.work import NOT_EXECUTED, Failure, Send, Work
from anvilshift.engines.http import TargetError
from anvilshift.router.progress import Progress
from anvilshift.router.requests import KEY_HEADER, Job, digest
from anvilshift.router.runs import Shared
from anvilshift.wire.messages import Fields, HttpRequest

_DROPPED = {
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authorization",
}
_RNG = random.SystemRandom()
_DEFAULT_TYPE = "application/octet-stream"


class ServiceCall:
    """One call of a plain service."""

    def __init__(self, shared: Shared, job: Job, request: HttpRequest, path: str):
        self._progress = Progress()
        # Two calls with one key can be under way at once; the dispatcher tells
        # them apart, the budget bills them once.
        self._turn = make_identity(_RNG)
        self._shared = shared
        self._job = job
        self._request = request
        self._path = path

    async def run(self, work: Work) -> Answer:
        """Reserve, place, call and bill; return the whole answer.

        Raises
        ------
        AnvilshiftError
            A *not run* code only when the call provably never left.
        """
        work = replace(work, identity=self._turn)
        error: AnvilshiftError | None = None
        try:
            return await self._run(work)
        except TimeoutError as cause:
            error = self._progress.make_deadline_error()
            raise error from cause
        except AnvilshiftError as cause:
            error = self._progress.correct_error(cause)
            raise error from cause
        finally:
            self._end(error)

    async def _run(self, work: Work) -> Answer:
        job, budgets = self._job, self._shared.budgets
        account = job.organisation.budget
        span = (job.deadline - self._shared.clock.now()) / SECOND
        async with asyncio.timeout(span):
            if job.bound:
                await budgets.reserve(account, job.bill_key, job.bound)
            answer = await self._attempt_until_answered(work)
            if job.bound:
                await budgets.settle(
                    account,
                    job.bill_key,
                    job.organisation.name,
                    job.bound,
                    until=job.deadline,
                )
            return answer

    def _end(self, error: AnvilshiftError | None) -> None:
        job, shared = self._job, self._shared
        shared.budgets.release(job.organisation.budget, job.bill_key)
        shared.dispatch.cancel(self._turn)
        name, kind = job.organisation.name, job.route.request_class
        shared.telemetry.count_answer(name, kind, error.code if error else None)
        span = shared.clock.now() - job.arrived
        if error is None:
            shared.telemetry.record_whole(name, kind, span)
        logging.info(
            "call ended request=%s organisation=%s route=%s code=%d",
            job.identity,
            name,
            job.route.name,
            error.code.number if error else 0,
        )

    async def _attempt_until_answered(self, work: Work) -> Answer:
        dispatch, job = self._shared.dispatch, self._job
        send = await dispatch.submit(work, lambda: None)
        while True:
            try:
                sent_before = self._progress.sent
                answer = await self._call(send)
                self._progress.ran = True
                dispatch.done(self._turn, job.bound)
                return answer
            except TargetError as error:
                failure = error.failure
                if failure in NOT_EXECUTED:
                    self._progress.sent = sent_before
            send = await dispatch.retry(self._turn, failure)

    async def _call(self, send: Send) -> Answer:
        job = self._job
        service = self._shared.targets.service(send.target)
        if service is None:
            raise TargetError(Failure.NOT_SENT, "the target is gone")
        timeout = job.deadline - self._shared.clock.now()
        # Set before the first byte can leave: a call that is cut off in its
        # midst by the deadline must not be told "not run".
        self._progress.sent = True
        answer = await service.call(
            self._request.method,
            self._path,
            self._pass_headers(),
            self._request.body,
            timeout,
        )
        kind = answer.headers.get("content-type") or _DEFAULT_TYPE
        return Answer(answer.status, kind, answer.body.decode("latin-1"))

    def _pass_headers(self) -> Fields:
        kept = [
            (name, value)
            for name, value in self._request.headers.pairs
            if name not in _DROPPED and name != KEY_HEADER
        ]
        # The service sees a key that no other organisation can present.
        return [*kept, (KEY_HEADER, digest(self._job.organisation.name, self._job.key))]
