"""Pass calls through to plain services."""

import asyncio

from anvilshift.core.claims import Answer
from anvilshift.core.clock import SECOND
from anvilshift.core.errors import ANSWER_LATE, AnvilshiftError
from anvilshift.core.work import Failure, Send, Work
from anvilshift.engines.http import TargetError
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
_DEFAULT_TYPE = "application/octet-stream"


class ServiceCall:
    """One call of a plain service."""

    def __init__(self, shared: Shared, job: Job, request: HttpRequest, path: str):
        self.sent = False
        self._shared = shared
        self._job = job
        self._request = request
        self._path = path

    async def run(self, work: Work) -> Answer:
        """Reserve, place, call and bill; return the whole answer."""
        job, shared = self._job, self._shared
        account = job.organisation.budget
        try:
            span = (job.deadline - shared.clock.now()) / SECOND
            async with asyncio.timeout(span):
                if job.bound:
                    await shared.treasury.reserve(account, job.identity, job.bound)
                answer = await self._attempt_until_answered(work)
                if job.bound:
                    await shared.treasury.settle(
                        account,
                        job.identity,
                        job.organisation.name,
                        job.bound,
                        until=job.deadline,
                    )
                return answer
        except TimeoutError as error:
            raise AnvilshiftError(ANSWER_LATE) from error
        finally:
            shared.treasury.release(account, job.identity)
            shared.dispatch.cancel(job.identity)

    async def _attempt_until_answered(self, work: Work) -> Answer:
        dispatch, job = self._shared.dispatch, self._job
        send = await dispatch.submit(work, lambda: None)
        while True:
            try:
                answer = await self._call(send)
                dispatch.done(job.identity, job.bound)
                return answer
            except TargetError as error:
                self.sent = self.sent or error.failure is not Failure.NOT_SENT
                failure = error.failure
            send = await dispatch.retry(job.identity, failure)

    async def _call(self, send: Send) -> Answer:
        job = self._job
        service = self._shared.targets.service(send.target)
        if service is None:
            raise TargetError(Failure.NOT_SENT, "the target is gone")
        timeout = job.deadline - self._shared.clock.now()
        answer = await service.call(
            self._request.method,
            self._path,
            self._pass_headers(),
            self._request.body,
            timeout,
        )
        self.sent = True
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
