"""The caller's port: chat completions, plain services, address lookup."""

import asyncio
from collections.abc import Callable

from anvilshift.core.claims import Answer
from anvilshift.core.clock import Millis
from anvilshift.core.declarations import Organisation, TargetKind
from anvilshift.core.errors import (
    DRAINING,
    NOT_READY,
    UNKNOWN_ROUTE,
    AnvilshiftError,
)
from anvilshift.router.accesscontrol import AccessControl
from anvilshift.router.answers import (
    REQUEST_HEADER,
    read_whole,
    write_answer,
    write_stream,
)
from anvilshift.router.claimed import ClaimedRuns
from anvilshift.router.claims import ClaimStore
from anvilshift.router.registry import Runs, continues_received
from anvilshift.router.requests import Job, read_chat, read_service_call
from anvilshift.router.runs import Shared
from anvilshift.router.services import ServiceCall
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, HttpRequest, Reply
from anvilshift.wire.server import Responder

CHAT_PATH = "/v1/chat/completions"
ADDRESSES_PATH = "/v1/addresses"
SERVICES_PATH = "/services/"
_RETRY_ELSEWHERE: Millis = 200.0


class CallerPort:
    """Answer callers.

    Parameters
    ----------
    ready
        Tells whether this router may serve.
    addresses
        Returns the addresses that a caller shall use, as JSON.
    """

    def __init__(
        self,
        shared: Shared,
        access_control: AccessControl,
        claims: ClaimStore,
        ready: Callable[[], bool],
        addresses: Callable[[], dict[str, object]],
    ) -> None:
        self.runs = Runs(shared)
        self.claimed = ClaimedRuns(claims, shared.clock)
        self.refusing = False
        self.calls = 0
        self._open: dict[asyncio.Task[None] | None, Job] = {}
        self._shared = shared
        self._access_control = access_control
        self._ready = ready
        self._addresses = addresses

    @property
    def in_flight(self) -> int:
        """Return how many requests have not ended."""
        return self.runs.in_flight + self.calls + self.claimed.in_flight

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        if not self._ready():
            raise AnvilshiftError(NOT_READY, "", _RETRY_ELSEWHERE)
        organisation = self._access_control.authenticate(request)
        if request.path == ADDRESSES_PATH and request.method == "GET":
            body = dump_json(self._addresses())
            await responder.send(Reply(200, [JSON_TYPE], body))
            return
        self.calls += 1
        try:
            if request.path == CHAT_PATH and request.method == "POST":
                await self._chat(request, organisation, responder)
            elif request.path.startswith(SERVICES_PATH):
                await self._service(request, organisation, responder)
            else:
                raise AnvilshiftError(UNKNOWN_ROUTE, "no such path")
        finally:
            self.calls -= 1
            self._open.pop(asyncio.current_task(), None)

    def _admit(self, job: Job) -> None:
        """Refuse new work of a planned stop; what runs here may be read on.

        A caller whose connection broke repeats its key.  Told *not run* while
        its order runs at this very router, it could place the order anew.
        """
        if self.refusing and not self.claimed.has(job) and not self.runs.has(job):
            raise AnvilshiftError(DRAINING, "", _RETRY_ELSEWHERE)
        self._open[asyncio.current_task()] = job

    def list_open(self) -> list[tuple[str, str]]:
        """Return id and organisation of each request that has not ended."""
        jobs = {job.identity: job for job in self._open.values()}
        running = [*self.runs.list_jobs(), *self.claimed.list_jobs()]
        jobs |= {job.identity: job for job in running}
        return [(job.identity, job.organisation.name) for job in jobs.values()]

    async def _chat(
        self, request: HttpRequest, organisation: Organisation, responder: Responder
    ) -> None:
        now = self._shared.clock.now()
        routes = dict(self._access_control.catalogue.routes)
        job = read_chat(request, organisation, routes, now)
        self._admit(job)
        if job.non_idempotent:
            await self._chat_once(job, responder)
            return
        run = self.runs.join(job, self._access_control.make_work(job))
        if job.stream:
            await write_stream(run, job, responder)
        else:
            await write_answer(await read_whole(run), job, responder)

    async def _chat_once(self, job: Job, responder: Responder) -> None:
        """Answer claimed work; a stream shows its text while it is made."""
        claimed = self.claimed.run(job, lambda: self._run_model(job))
        outcome = asyncio.ensure_future(claimed)
        running = asyncio.ensure_future(self.runs.find_claimed(job.identity))
        try:
            if job.stream:
                first = asyncio.FIRST_COMPLETED
                await asyncio.wait([outcome, running], return_when=first)
            run = running.result() if running.done() else None
            if run is not None and not outcome.done() and continues_received(run, job):
                await write_stream(run, job, responder, outcome)
            else:
                await write_answer(await outcome, job, responder)
        finally:
            # Only this caller stops waiting; the work goes on to its record.
            running.cancel()
            outcome.cancel()

    async def _run_model(self, job: Job) -> Answer:
        return await read_whole(
            self.runs.join(job, self._access_control.make_work(job))
        )

    async def _service(
        self, request: HttpRequest, organisation: Organisation, responder: Responder
    ) -> None:
        name, _, rest = request.target.removeprefix(SERVICES_PATH).partition("/")
        route = self._access_control.find_route(name)
        if route is None or route.kind is not TargetKind.SERVICE:
            raise AnvilshiftError(UNKNOWN_ROUTE, "no such service")
        now = self._shared.clock.now()
        job = read_service_call(request, organisation, route, rest, now)
        self._admit(job)
        call = ServiceCall(self._shared, job, request, f"/{rest}")
        work = self._access_control.make_work(job)
        if job.non_idempotent:
            answer = await self.claimed.run(job, lambda: call.run(work))
        else:
            answer = await call.run(work)
        headers = [("content-type", answer.content_type), (REQUEST_HEADER, job.key)]
        body = answer.body.encode("latin-1")
        await responder.send(Reply(answer.status, headers, body))
