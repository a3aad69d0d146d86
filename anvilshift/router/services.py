"""Forward calls to plain services."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from absl import logging

from anvilshift.core.claims import Answer
from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.failures import NOT_EXECUTED, Failure
from anvilshift.core.identity import make_identity
from anvilshift.core.work import Send, Work
from anvilshift.engines.http import TargetError
from anvilshift.router.progress import Progress
from anvilshift.router.requests import KEY_HEADER, Job, digest, find_time_left
from anvilshift.router.runs import RunContext
from anvilshift.wire.messages import HeaderFields, HttpRequest

_HEADERS_NOT_FORWARDED = {
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
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class ServiceCall:
    """One call to a plain service, retried on other targets if an attempt fails.

    Parameters
    ----------
    is_caller_there
        Returns whether the caller's connection is open.
    """

    def __init__(
        self,
        shared: RunContext,
        job: Job,
        request: HttpRequest,
        path: str,
        is_caller_there: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_caller_there = is_caller_there
        self._progress = Progress()
        # Two calls with the same key can run concurrently. The dispatcher needs a
        # separate id for each; the budget bills them only once.
        self._call_id = make_identity(_RNG)
        self._shared = shared
        self._job = job
        self._request = request
        self._path = path

    async def run(self, work: Work) -> Answer:
        """Reserve tokens, place and send the call, bill it and return its answer.

        Raises
        ------
        AnvilshiftError
            Its code says *not run* only if the call was certainly never executed.
        """
        work = replace(work, identity=self._call_id)
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
            self._finish(error)

    async def _run(self, work: Work) -> Answer:
        job, budgets = self._job, self._shared.budgets
        account = job.organisation.budget
        timeout = (job.deadline - self._shared.clock.now()) / SECOND
        async with asyncio.timeout(timeout):
            if job.bound:
                await budgets.reserve(
                    account, job.bill_key, job.bound, job.organisation.name
                )
            answer = await self._call_with_retries(work)
            if job.bound:
                await budgets.settle(
                    account,
                    job.bill_key,
                    job.organisation.name,
                    job.bound,
                    until=job.deadline,
                )
            return answer

    def _finish(self, error: AnvilshiftError | None) -> None:
        job, shared = self._job, self._shared
        shared.budgets.release(job.organisation.budget, job.bill_key)
        shared.dispatch.cancel(self._call_id)
        name, request_class = job.organisation.name, job.route.request_class
        shared.telemetry.count_answer(
            name, request_class, error.code if error else None
        )
        latency = shared.clock.now() - job.arrived
        if error is None:
            shared.telemetry.record_whole_answer_wait(name, request_class, latency)
        logging.info(
            "call ended request=%s organisation=%s route=%s code=%d",
            job.identity,
            name,
            job.route.name,
            error.code.number if error else 0,
        )

    async def _call_with_retries(self, work: Work) -> Answer:
        dispatch, job = self._shared.dispatch, self._job
        send = await dispatch.submit(work, lambda: None)
        while True:
            try:
                sent_before = self._progress.sent
                answer = await self._send_call(send)
                self._progress.ran = True
                dispatch.done(self._call_id, job.bound)
                return answer
            except TargetError as error:
                failure = error.failure
                if failure in NOT_EXECUTED:
                    self._progress.sent = sent_before
            send = await dispatch.retry(self._call_id, failure)

    async def _send_call(self, send: Send) -> Answer:
        job = self._job
        service = self._shared.targets.service(send.target)
        if service is None:
            raise TargetError(Failure.NOT_SENT, "the target is no longer declared")
        timeout = find_time_left(job, self._shared.clock.now(), self._is_caller_there)
        # Set before the first byte is sent: a call that the deadline interrupts
        # must not be reported as "not run".
        self._progress.sent = True
        answer = await service.call(
            self._request.method,
            self._path,
            self._make_forwarded_headers(),
            self._request.body,
            timeout,
        )
        content_type = answer.headers.get("content-type") or _DEFAULT_CONTENT_TYPE
        return Answer(answer.status, content_type, answer.body.decode("latin-1"))

    def _make_forwarded_headers(self) -> HeaderFields:
        forwarded = [
            (name, value)
            for name, value in self._request.headers.pairs
            if name not in _HEADERS_NOT_FORWARDED and name != KEY_HEADER
        ]
        # The key that the service gets includes the organisation, so that no other
        # organisation can send the same one.
        return [
            *forwarded,
            (KEY_HEADER, digest(self._job.organisation.name, self._job.key)),
        ]
