"""Serve callers: chat completions, plain services and address lookup."""

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
    REQUEST_ID_HEADER,
    read_whole,
    send_answer,
    send_stream,
)
from anvilshift.router.claimed import ClaimedRuns
from anvilshift.router.claims import ClaimStore
from anvilshift.router.registry import Runs, continues_received
from anvilshift.router.requests import Job, parse_chat_request, parse_service_call
from anvilshift.router.runs import RunContext
from anvilshift.router.services import ServiceCall
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, HttpRequest, Reply
from anvilshift.wire.responder import Responder

CHAT_PATH = "/v1/chat/completions"
ADDRESSES_PATH = "/v1/addresses"
SERVICES_PATH = "/services/"
_RETRY_ELSEWHERE_AFTER: Millis = 200.0


class CallerApi:
    """Handle callers' HTTP requests.

    Parameters
    ----------
    ready
        Returns whether this router may take new work.
    addresses
        Returns the addresses that a caller should use, as a JSON object.
    """

    def __init__(
        self,
        shared: RunContext,
        access_control: AccessControl,
        claims: ClaimStore,
        ready: Callable[[], bool],
        addresses: Callable[[], dict[str, object]],
    ) -> None:
        self.runs = Runs(shared)
        self.claimed = ClaimedRuns(claims, shared.clock)
        self.refusing = False
        self.calls = 0
        self._open_jobs: dict[asyncio.Task[None] | None, Job] = {}
        self._shared = shared
        self._access_control = access_control
        self._is_ready = ready
        self._list_addresses = addresses

    @property
    def in_flight(self) -> int:
        """Return the number of requests, runs and claims that have not ended."""
        return self.runs.in_flight + self.calls + self.claimed.in_flight

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request.

        Raises
        ------
        AnvilshiftError
            If the request is refused or fails before its response has started.
        """
        if not self._is_ready():
            raise AnvilshiftError(NOT_READY, "", _RETRY_ELSEWHERE_AFTER)
        organisation = self._access_control.authenticate(request)
        if request.path == ADDRESSES_PATH and request.method == "GET":
            body = dump_json(self._list_addresses())
            await responder.send(Reply(200, [JSON_TYPE], body))
            return
        self.calls += 1
        try:
            if request.path == CHAT_PATH and request.method == "POST":
                await self._handle_chat(request, organisation, responder)
            elif request.path.startswith(SERVICES_PATH):
                await self._handle_service_call(request, organisation, responder)
            else:
                raise AnvilshiftError(UNKNOWN_ROUTE, "unknown path")
        finally:
            self.calls -= 1
            self._open_jobs.pop(asyncio.current_task(), None)

    def _admit(self, job: Job) -> None:
        """Refuse new work in a planned stop, except repeats of work under way here.

        A caller whose connection broke repeats its key. If it were told *not run*
        while its order still runs at this router, it could place the order a second
        time.
        """
        if self.refusing and not self.claimed.has(job) and not self.runs.has(job):
            raise AnvilshiftError(DRAINING, "", _RETRY_ELSEWHERE_AFTER)
        self._open_jobs[asyncio.current_task()] = job

    def list_open(self) -> list[tuple[str, str]]:
        """Return the id and organisation of each request that has not ended."""
        jobs = {job.identity: job for job in self._open_jobs.values()}
        running = [*self.runs.list_jobs(), *self.claimed.list_jobs()]
        jobs |= {job.identity: job for job in running}
        return [(job.identity, job.organisation.name) for job in jobs.values()]

    async def _handle_chat(
        self, request: HttpRequest, organisation: Organisation, responder: Responder
    ) -> None:
        now = self._shared.clock.now() - request.unread
        routes = dict(self._access_control.catalogue.routes)
        job = parse_chat_request(request, organisation, routes, now)
        self._admit(job)
        if job.non_idempotent:
            await self._handle_claimed_chat(job, responder)
            return
        work = self._access_control.make_work(job)
        run = self.runs.join(job, work, responder.is_caller_there)
        if job.stream:
            await send_stream(run, job, responder)
        else:
            await send_answer(await read_whole(run), job, responder)

    async def _handle_claimed_chat(self, job: Job, responder: Responder) -> None:
        """Handle a non-idempotent chat request, which runs under a claim.

        A streaming caller gets the text as it is generated.
        """
        claimed = self.claimed.run(job, lambda: self._run_chat(job))
        outcome = asyncio.ensure_future(claimed)
        running = asyncio.ensure_future(self.runs.find_claimed(job.identity))
        try:
            if job.stream:
                first = asyncio.FIRST_COMPLETED
                await asyncio.wait([outcome, running], return_when=first)
            run = running.result() if running.done() else None
            if run is not None and not outcome.done() and continues_received(run, job):
                await send_stream(run, job, responder, outcome)
            else:
                await send_answer(await outcome, job, responder)
        finally:
            # This cancels only the waiting; the work continues until its outcome is
            # recorded.
            running.cancel()
            outcome.cancel()

    async def _run_chat(self, job: Job) -> Answer:
        return await read_whole(
            self.runs.join(job, self._access_control.make_work(job))
        )

    async def _handle_service_call(
        self, request: HttpRequest, organisation: Organisation, responder: Responder
    ) -> None:
        name, _, subpath = request.target.removeprefix(SERVICES_PATH).partition("/")
        route = self._access_control.find_route(name)
        if route is None or route.kind is not TargetKind.SERVICE:
            raise AnvilshiftError(UNKNOWN_ROUTE, "unknown service")
        now = self._shared.clock.now() - request.unread
        job = parse_service_call(request, organisation, route, subpath, now)
        self._admit(job)
        call = ServiceCall(
            self._shared, job, request, f"/{subpath}", responder.is_caller_there
        )
        work = self._access_control.make_work(job)
        if job.non_idempotent:
            answer = await self.claimed.run(job, lambda: call.run(work))
        else:
            answer = await call.run(work)
        headers = [("content-type", answer.content_type), (REQUEST_ID_HEADER, job.key)]
        body = answer.body.encode("latin-1")
        await responder.send(Reply(answer.status, headers, body))
