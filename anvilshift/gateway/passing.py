"""Handle one caller's request from its arrival to its outcome.

Its route and the organisation that pays are found here, and its tokens reserved and
settled; `attempts` sends it to targets.
"""

import asyncio

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    ANSWER_LATE,
    NO_ENGINE,
    NOT_READY,
    OVERLOADED,
    STREAM_NOT_RESUMABLE,
    UNAUTHENTICATED,
    UNKNOWN_ROUTE,
    AnvilshiftError,
)
from anvilshift.core.origins import Origin, make_stream_key
from anvilshift.core.routing import (
    ModelLimits,
    OrganisationBudget,
    RequestKind,
    RouteTable,
    Rule,
)
from anvilshift.core.timeouts import NO_ENGINE_RETRY, find_return
from anvilshift.gateway.attempts import Attempts
from anvilshift.gateway.border import Call
from anvilshift.gateway.charging import count_used_tokens
from anvilshift.gateway.crashes import CrashTracker, digest_request
from anvilshift.gateway.origins import Finding
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import STOPPING, RouterContext
from anvilshift.gateway.toldloads import describe_report
from anvilshift.wire.messages import HttpRequest
from anvilshift.wire.responder import SERVER_CLOSED, CallerDisconnectedError, Responder

_MAX_LOGGED_ID = 64
"""Characters of an id from a caller that are logged."""

_KEEPER_RETRY: Millis = 500.0
"""Retry delay while routers that may know a stream don't answer: a restart of a router
takes about that long."""

_INFORM_RETRY: Millis = 150.0
"""Retry delay while a router that starts asks the others what they know."""

_DRAIN_RETRY: Millis = 5 * SECOND
"""Retry delay while all targets of a service are drained, unless its caller waits less:
operators take a drain back after seconds at the soonest."""


class RequestHandler:
    """Handle one caller's request."""

    def __init__(
        self, shared: RouterContext, request: HttpRequest, responder: Responder
    ) -> None:
        self.shared = shared
        self.request = request
        self.arrived = shared.clock.now() - request.unread
        self.payer: OrganisationBudget | None = None
        self.relay = AnswerRelay(responder, shared.clock, shared.buffers)
        self.attempts: Attempts | None = None
        self.tokens = 0
        self.why = ""
        self.is_cut = False
        self._route_name = ""
        self._timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Answer the request, and write its log line.

        Raises
        ------
        AnvilshiftError
            When there is no complete answer.
        CallerDisconnectedError
            When the caller closed its connection.
        """
        call = self.shared.dialect.read_call(self.request)
        self.call = call
        self.turn = PermitSession(self.shared, call.identity, self.arrived)
        self.shared.open_requests.add(self)
        try:
            await self._serve_until_stopped(call)
        except AnvilshiftError as error:
            self._record_end(error.code.name, error.detail)
            raise
        except CallerDisconnectedError as error:
            self._record_loss(str(error))
            raise
        except asyncio.CancelledError:
            self._record_loss(self.relay.responder.loss or SERVER_CLOSED)
            raise
        except Exception as error:
            self._record_end("handler failed", repr(error))
            raise
        finally:
            self.shared.open_requests.discard(self)
            self.turn.close()
            self._write_log_line()

    # A planned stop

    @property
    def is_unanswered(self) -> bool:
        """Return whether its answer hasn't begun."""
        return not self.relay.started

    def check_stop(self) -> None:
        """End the request unless it may be answered before a planned stop ends."""
        is_ended = self._timeout is None or self._timeout.when() is not None
        if is_ended or self.relay.started or self._may_be_answered():
            return
        assert self._timeout is not None
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def _may_be_answered(self) -> bool:
        term, now, sent = self.shared.term, self.shared.clock.now(), self.attempts
        if sent is not None and sent.may_have_run:
            return now < term.ends
        wait = sent.find_link_wait() if sent is not None else 0.0
        return term.allows(self._route_name, wait, now)

    async def _serve_until_stopped(self, call: Call) -> None:
        """Serve a request until a planned stop leaves no time to answer it.

        Raises
        ------
        AnvilshiftError
            When it has ended the request.
        """
        try:
            async with asyncio.timeout(None) as self._timeout:
                await self._serve(call)
        except TimeoutError:
            assert self._timeout is not None
            if not self._timeout.expired():
                raise
            if self.relay.responder.finished:
                return
            if self.attempts is not None and self.attempts.may_have_run:
                raise AnvilshiftError(ANSWER_LATE, STOPPING) from None
            raise self.shared.make_stop_refusal() from None

    def _record_loss(self, why: str) -> None:
        """Record that nobody waits for the answer any more."""
        outcome = "process ended" if why == SERVER_CLOSED else "caller gone"
        self._record_end(outcome, why)

    def _record_end(self, outcome: str, why: str) -> None:
        self.relay.outcome, self.why = outcome, why
        self.is_cut = self.relay.started

    def _write_log_line(self) -> None:
        now, first = self.shared.clock.now(), self.relay.first
        sent = self.attempts
        self.shared.journal.write(
            "request",
            id=self.call.identity,
            path=self.request.path,
            organisation=self.payer.name if self.payer else None,
            target=sent.target if sent else "",
            version=sent.version if sent else None,
            began_as=(self.call.began_as or "")[:_MAX_LOGGED_ID] or None,
            via=sent.via if sent else "",
            tries=sent.tries if sent else 1,
            predicted=round(sent.predicted, 1) if sent else 0.0,
            first=None if first is None else round(first - self.arrived, 1),
            took=round(now - self.arrived, 1),
            unread=round(self.request.unread, 1),
            events=self.relay.events,
            tokens=self.tokens,
            pause=round(self.relay.longest_pause, 1),
            running=sent.concurrent_runs if sent else 0,
            **describe_report(sent.told if sent else None, sent.sent if sent else now),
            outcome=self.relay.outcome,
            cut=self.is_cut or self.relay.is_cut,
            why=self.why,
            **self.relay.describe_ending(),
        )

    # Routing and payment

    async def _serve(self, call: Call) -> None:
        table = self.shared.table
        if table is None:
            raise AnvilshiftError(NOT_READY, retry_after=NO_ENGINE_RETRY)
        rule = table.find(call.host, self.request.path)
        if rule is None:
            raise AnvilshiftError(UNKNOWN_ROUTE)
        self.payer = self._authenticate(table, call, rule)
        self.turn.organisation = self.payer.name if self.payer else ""
        self._route_name = rule.name
        self.shared.check_finishing(rule.name)
        content = digest_request(self.request, self.turn.organisation)
        crashes = CrashTracker(self.shared, content)
        crashes.check()
        origin = await self._find_origin(call, rule)
        routed = self._route(table, call, rule, origin)
        self._check_drains(routed)
        self._check_parts(routed)
        self.shared.retries.add_request(routed.service, self.shared.boot_clock.now())
        attempts = Attempts(self.shared, routed, self.relay, self.turn, crashes)
        self.attempts = attempts
        if routed.model is None:
            await self._run_until_deadline(attempts, routed.end)
        else:
            await self._serve_prepaid(attempts, routed, routed.model)

    def _check_drains(self, routed: RoutedRequest) -> None:
        """Refuse a request at once whose service is drained, before it costs anything.

        Raises
        ------
        AnvilshiftError
            Also when this router has just started and doesn't know the drains yet.
        """
        loads = self.shared.sender.loads
        if not loads.drains.is_known:
            detail = "it isn't known yet which failure domains are drained"
            raise AnvilshiftError(NOT_READY, detail, retry_after=_INFORM_RETRY)
        if loads.is_drained(routed.service):
            left = max(0.0, routed.end - self.shared.clock.now())
            after = find_return(_DRAIN_RETRY, left, self.shared.rng)
            detail = "the failure domains of all its targets are drained"
            raise AnvilshiftError(NO_ENGINE, detail, after)

    def _check_parts(self, routed: RoutedRequest) -> None:
        """Refuse a prompt with a part that ends engines, before it costs anything.

        Raises
        ------
        AnvilshiftError
            Also when this router has just started and doesn't know such parts yet.
        """
        parts = self.shared.parts
        if routed.model is not None and not parts.is_informed:
            detail = "the other routers haven't told yet what ends engines"
            raise AnvilshiftError(NOT_READY, detail, retry_after=_INFORM_RETRY)
        parts.check(routed)

    async def _find_origin(self, call: Call, rule: Rule) -> Origin | None:
        """Return where the stream began that a call takes up; None for a new request.

        Raises
        ------
        AnvilshiftError
            When that isn't known, or the route doesn't lead there any more.  A caller
            of another organisation learns nothing else either.
        """
        if call.resume_after is None or rule.kind is not RequestKind.STREAMING:
            return None
        finding = await self._ask_origin(call)
        origin, is_final = finding.origin, finding.is_final
        if origin is None and is_final and not finding.is_told:
            origin = self._infer_origin(call, rule)
            # What was written before the caller came may not be read here yet.
            if origin is not None:
                is_final = await self.shared.origins.confirm(self.arrived)
                origin = self._infer_origin(call, rule) if is_final else None
        if origin is None:
            wait = None if is_final else _KEEPER_RETRY
            detail = "where the stream began isn't known"
            raise AnvilshiftError(STREAM_NOT_RESUMABLE, detail, wait)
        if not rule.leads_to(origin.service):
            detail = "the route doesn't lead to the stream's service any more"
            raise AnvilshiftError(STREAM_NOT_RESUMABLE, detail)
        return origin

    def _infer_origin(self, call: Call, rule: Rule) -> Origin | None:
        """Return where a stream began of which nobody was told, if it can't differ."""
        table = self.shared.table
        version = table.configuration.version if table else 0
        patience = rule.timeout if call.patience is None else call.patience
        return self.shared.origins.infer(rule, patience, version)

    async def _ask_origin(self, call: Call) -> Finding:
        """Return what the routers were told of the stream that a call takes up."""
        if call.began_as is None:
            return Finding(None)
        organisation = self.payer.name if self.payer else ""
        key = make_stream_key(organisation, call.began_as)
        return await self.shared.origins.find(key)

    def _route(
        self, table: RouteTable, call: Call, rule: Rule, origin: Origin | None
    ) -> RoutedRequest:
        patience = rule.timeout if call.patience is None else call.patience
        name = origin.service if origin else rule.draw_service(self.shared.rng)
        service = table.configuration.services.get(name)
        return RoutedRequest(
            self.request,
            call,
            self.arrived,
            self.arrived + min(patience, rule.timeout),
            rule,
            self.payer,
            name,
            service.model if service else None,
            table.find_pause_objective(name),
            origin,
        )

    def _authenticate(
        self, table: RouteTable, call: Call, rule: Rule
    ) -> OrganisationBudget | None:
        if not table.configuration.organisations:
            return None
        found = table.find_organisation(call.credential) if call.credential else None
        if found is None and not rule.anonymous:
            raise AnvilshiftError(UNAUTHENTICATED)
        return found

    async def _serve_prepaid(
        self, attempts: Attempts, routed: RoutedRequest, model: ModelLimits
    ) -> None:
        """Answer a model request, with tokens reserved in its organisation's budget."""
        self.shared.check_accepting_streams()
        reservations, payer = self.shared.reservations, self.payer
        if payer is None:
            await self._run_until_deadline(attempts, routed.end)
            return
        prompt = routed.call.prompt
        key = f"{routed.call.identity}/{self.shared.runs}"
        most = prompt.tokens + prompt.most_answer + model.tokens_per_event
        await reservations.reserve(payer.name, key, most, routed.end)
        try:
            await self._run_until_deadline(attempts, routed.end)
        finally:
            if attempts.may_have_run:
                self.tokens = count_used_tokens(self.relay, prompt, model, routed.rule)
            reservations.settle(payer.name, key, self.tokens)

    async def _run_until_deadline(self, attempts: Attempts, end: Millis) -> None:
        """Make the attempts, and end the request when its deadline passes.

        An answer that has begun is cut off.  Otherwise the error says whether a target
        may have run the request.

        Raises
        ------
        AnvilshiftError
            When the deadline passed before the answer began.
        """
        loop = asyncio.get_running_loop()
        left = (end - self.shared.clock.now()) / SECOND
        try:
            async with asyncio.timeout_at(loop.time() + left):
                await attempts.run()
        except TimeoutError:
            self.relay.outcome = "time over"
            self.relay.broken = True
            if self.relay.started:
                self.relay.responder.abort()
                return
            if attempts.may_have_run:
                raise AnvilshiftError(ANSWER_LATE) from None
            raise AnvilshiftError(OVERLOADED, "the deadline has passed") from None
