"""Send a request to one target, and report the outcome of the attempt.

The start, first byte and end of every attempt are recorded in this router's load map
and sent to the other routers, whatever the attempt's outcome.
"""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import Clock, Millis
from anvilshift.core.failures import Failure
from anvilshift.core.health.slowstart import Outcome
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.border import AnswerFields, Dialect
from anvilshift.gateway.coldtargets import ColdTargets
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.linkthrottle import LinkThrottle
from anvilshift.gateway.messages import Ended, Held, Leaving, Sent
from anvilshift.gateway.outgoing import Answer, AttemptError, Outgoing
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.reach import TargetReach
from anvilshift.gateway.slowstarts import SlowStarts
from anvilshift.gateway.targetstarts import StartCheck, TargetStarts
from anvilshift.gateway.toldloads import ToldLoads
from anvilshift.wire.connection import Connection
from anvilshift.wire.messages import Headers
from anvilshift.wire.response import ExchangeError, Response

_MAX_LOGGED_FIELDS = 64
"""Names of answers' header fields that are logged, once each; more would be noise."""
_MAX_LOGGED_VALUE = 80
"""Characters of a header field's value that are logged."""

_STARTED_ANEW = "the target may have started anew with another version"


@dataclass
class Sender:
    """Send this router's attempts, and report their progress to the other routers."""

    reach: TargetReach
    dialect: Dialect
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    limits: RateLimits
    starts: TargetStarts
    cold: ColdTargets | None = None
    slow_starts: SlowStarts | None = None
    told: ToldLoads = field(init=False)
    link_throttle: LinkThrottle | None = None
    _logged_fields: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.told = ToldLoads(self.loads)

    @contextlib.asynccontextmanager
    async def send(self, outgoing: Outgoing) -> AsyncIterator[Answer]:
        """Send a request and yield its answer once the headers have arrived.

        Raises
        ------
        AttemptError
            When no answer to this request arrives, or the target states that it did
            not run the request.
        CallerDisconnectedError, TimeoutError
            When the caller has left, or its deadline has passed, before the first
            byte was sent.
        """
        self._record_send(outgoing)
        sent = self.clock.now()
        try:
            async with self._exchange(outgoing, sent) as response:
                self._log_fields(outgoing, response.headers)
                notes = self.dialect.read_answer_fields(
                    response.status, response.headers
                )
                self._record_limit(outgoing, notes, sent)
                _check_answer(outgoing, notes)
                yield Answer(response.status, response.headers, notes, response)
        except ExchangeError as error:
            failure = Failure.BROKE_OFF if error.sent else Failure.NOT_SENT
            raise AttemptError(
                failure, str(error), reused=error.reused, hung=error.hung
            ) from error
        finally:
            self._record_end(outgoing)

    def _log_fields(self, outgoing: Outgoing, headers: Headers) -> None:
        """Log each header field name that no earlier answer had.

        Targets may announce requirements in header fields that are unknown here.
        """
        for name, value in headers.pairs:
            if (
                name not in self._logged_fields
                and len(self._logged_fields) < _MAX_LOGGED_FIELDS
            ):
                self._logged_fields.add(name)
                self.journal.write(
                    "answer_field",
                    name=name,
                    value=value[:_MAX_LOGGED_VALUE],
                    id=outgoing.identity,
                    target=outgoing.choice.target.info.name,
                )

    def _record_limit(
        self, outgoing: Outgoing, notes: AnswerFields, sent: Millis
    ) -> None:
        """Record the load, the rate limit and the pause that a target announces.

        A signed answer without a limit withdraws the limit that was announced before.
        """
        is_matching = (
            notes.identity in (None, outgoing.identity) and not notes.misdirected
        )
        if not is_matching:
            return
        now = self.clock.now()
        outgoing.choice.target.rejections.add(notes.not_run, now)
        self.told.record_answer(outgoing.choice.target, notes, now)
        if notes.not_run:
            self.record_outcome(outgoing, Outcome.REJECTED, sent)
        name = outgoing.choice.target.info.name
        if notes.signed or notes.limit is not None:
            self.limits.apply_answer(name, notes.limit, sent, outgoing.identity)
        if notes.signed or notes.brittle is not None:
            self.limits.apply_brittleness(name, notes.brittle)
        if notes.leaving:
            self._record_farewell(outgoing)
        pause = notes.pause
        if notes.not_run and not pause:
            pause = self.limits.find_refusal_pause(name)
        if pause:
            self.limits.record_refusal(name, pause, outgoing.identity)

    @contextlib.asynccontextmanager
    async def _exchange(
        self, outgoing: Outgoing, began: Millis
    ) -> AsyncIterator[Response]:
        request, info = outgoing.request, outgoing.choice.target.info
        wait, is_engine = outgoing.choice.wait, outgoing.capacity > 0
        async with self.reach.open(
            info, wait, is_engine, outgoing.on_doubt, outgoing.connection
        ) as connection:
            target = outgoing.choice.target
            is_verified = connection is outgoing.connection
            is_verified = is_verified and self.starts.can_ask(target)
            resumes = outgoing.delivery.resume_after is not None
            if resumes and is_engine and not is_verified:
                await self._verify_start(target, connection)
            self._check_rest(info.name)
            self._check_drain(info)
            self._check_permit(outgoing)
            outgoing.check()
            outgoing.on_send(connection.via)
            left = outgoing.delivery.remaining - (self.clock.now() - began)
            delivery = replace(
                outgoing.delivery,
                remaining=max(1.0, left),
                fetch_from=self._find_source(outgoing),
            )
            headers = self.dialect.write_target_fields(request, delivery)
            async with self.reach.client.exchange(
                connection.address,
                request.method,
                request.target,
                headers,
                request.body,
                host=outgoing.host,
                connection=connection,
            ) as response:
                yield response

    async def connect(self, target: TargetLoad, is_engine: bool) -> Connection:
        """Open a connection to a target that answers, for a request that may follow.

        An engine says on it that it is the start that its entry describes.

        Raises
        ------
        AttemptError
            When an engine says something else, or nothing.
        ExchangeError
            When neither this router nor another one can connect to the target.
        """
        connection = await self.reach.connect(target.info)
        if is_engine:
            try:
                await self._verify_start(target, connection)
            except BaseException:
                connection.close()
                raise
        return connection

    async def _verify_start(self, target: TargetLoad, connection: Connection) -> None:
        """Check on a request's connection that its target is the start it is meant for.

        A stream goes on only at the version that began it, and no target checks that.

        Raises
        ------
        AttemptError
            When the target has started anew, or that isn't known; nothing was sent.
        """
        if not self.starts.can_ask(target):
            if target.is_start_doubted:
                raise AttemptError(Failure.REJECTED, _STARTED_ANEW)
            return
        try:
            result = await self.starts.check(target, connection)
        except (ExchangeError, TimeoutError) as error:
            detail = f"the target's start can't be verified: {error!r}"
            raise AttemptError(Failure.REJECTED, detail) from error
        if result is StartCheck.OTHER or target.is_start_doubted:
            raise AttemptError(Failure.REJECTED, _STARTED_ANEW)
        client, address = self.reach.client, connection.address
        if client.take_idle(address, lambda one: one is connection) is None:
            detail = "the target closed the connection after its report"
            raise AttemptError(Failure.REJECTED, detail)

    def _record_farewell(self, outgoing: Outgoing) -> None:
        """Send nothing more to a target that says it is leaving; tell the others."""
        name = outgoing.choice.target.info.name
        target = self.loads.targets.get(name)
        if target is None or target.farewell:
            return
        known = target.info.leaving
        target.mark_leaving()
        self.journal.write(
            "target_leaving", target=name, id=outgoing.identity, known=known
        )
        if not known:
            self.peers.broadcast(Leaving(name))

    def _check_rest(self, name: str) -> None:
        """Turn a request back whose target asked for rest while a connection opened.

        Raises
        ------
        AttemptError
            When the target now accepts no request.
        """
        target = self.loads.targets.get(name)
        if target is not None and target.paused_until > self.clock.now():
            raise AttemptError(
                Failure.REJECTED, "the target has asked for rest meanwhile"
            )

    def _check_drain(self, info: TargetInfo) -> None:
        """Turn a request back whose target was drained since it was chosen.

        Raises
        ------
        AttemptError
            When nothing may be sent to the target's failure domain.
        """
        if not self.loads.drains.may_send(info.failure_domain):
            detail = "the target's failure domain is drained"
            raise AttemptError(Failure.REJECTED, detail)

    def _find_source(self, outgoing: Outgoing) -> str | None:
        """Return the address to fetch cache entries from, unless it was drained."""
        source = outgoing.choice.fetch_from
        if source is None or self.loads.drains.may_send(source.info.failure_domain):
            return outgoing.delivery.fetch_from
        return None

    def _check_permit(self, outgoing: Outgoing) -> None:
        """Turn a request back whose target became cold while a connection opened.

        Raises
        ------
        AttemptError
            When the target is cold, and the request has no permit to send to it now.
        """
        target = self.loads.targets.get(outgoing.choice.target.info.name)
        if self.cold is not None and target is not None:
            self.cold.record_reached(target)
            self.cold.check_permit(target, outgoing.run)

    def _record_send(self, outgoing: Outgoing) -> None:
        info, prompt = outgoing.choice.target.info, outgoing.prompt
        name = info.name
        cached, now = outgoing.choice.cached, self.clock.now()
        disturbing = outgoing.choice.disturbing
        self.loads.send(
            name, outgoing.run, prompt, cached, now, outgoing.capacity, disturbing
        )
        sent = Sent(
            outgoing.run,
            name,
            prompt.parts,
            prompt.tokens,
            prompt.most_answer,
            cached,
            disturbing,
        )
        self._tell_routers(sent, outgoing)
        self._tell_newly_cached(outgoing)

    def _tell_newly_cached(self, outgoing: Outgoing) -> None:
        """Tell distant routers which shared parts a target has newly cached.

        They get no report of the run itself.  Without this message each of them would
        have the part computed again at a target near it, although the part could be
        fetched from this target or the prompt be sent to it.
        """
        choice, shared_parts = outgoing.choice, outgoing.prompt.parts[:-1]
        fetched = choice.fetch_from is not None
        is_newly_cached = fetched or choice.cached < sum(
            tokens for _, tokens in shared_parts
        )
        if shared_parts and is_newly_cached and not self.peers.small:
            info = choice.target.info
            self.peers.send_far(Held(info.name, shared_parts), info.failure_domain)

    def record_outcome(
        self, outgoing: Outgoing, outcome: Outcome, sent: Millis
    ) -> None:
        """Record what an answer says of a target that has just come back."""
        if self.slow_starts is not None:
            name = outgoing.choice.target.info.name
            has_ended = outcome is Outcome.REJECTED
            self.slow_starts.record(name, outgoing.run, outcome, sent, has_ended)

    def record_first_byte(self, outgoing: Outgoing) -> None:
        """Record that the target began to answer, and tell the other routers."""
        target, now = outgoing.choice.target, self.clock.now()
        self.loads.begin(target.info.name, outgoing.run, now)
        if self.slow_starts is not None:
            self.slow_starts.record_answer(target.info.name)
        if self.peers.small:
            self.peers.broadcast(self.told.make_begun(outgoing.run, target, now))

    def _record_end(self, outgoing: Outgoing) -> None:
        target = outgoing.choice.target
        self.loads.end(target.info.name, outgoing.run)
        if self.slow_starts is not None:
            self.slow_starts.shares.end(target.info.name, outgoing.run)
        ended = self.told.make_ended(outgoing.run, target, self.clock.now())
        self._tell_routers(ended, outgoing)

    def _tell_routers(self, message: Sent | Ended, outgoing: Outgoing) -> None:
        """Send a message to the routers that may send requests to the same target.

        In a larger fleet these are only the routers near it, and only model engines
        are reported: a request at a plain service ends about as soon as the message
        arrives.  All are told of the end there if the target has become slow or full.
        """
        if self.peers.small:
            self.peers.broadcast(message)
        elif outgoing.capacity:
            domain = outgoing.choice.target.info.failure_domain
            self.peers.send_near(message, domain, soon=isinstance(message, Sent))
        elif isinstance(message, Ended) and self._is_notable(message, outgoing):
            self.peers.broadcast(message)

    def _is_notable(self, message: Ended, outgoing: Outgoing) -> bool:
        target, now = outgoing.choice.target, self.clock.now()
        return bool(message.told) and target.is_notable(now)


def _check_answer(outgoing: Outgoing, notes: AnswerFields) -> None:
    """Check that the answer is one to this request.

    Raises
    ------
    AttemptError
        When it answers another request, another target has the address, or the target
        states that it did not run the request.
    """
    if notes.identity is not None and notes.identity != outgoing.identity:
        # A duplicate answer to an earlier request can arrive late on a reused
        # connection.  Relaying it would give this caller another caller's answer.
        detail = "the answer belongs to another request"
        raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
    if notes.misdirected:
        detail = "another target answered at the address"
        raise AttemptError(Failure.REJECTED, detail, replaced=True)
    if notes.not_run:
        raise AttemptError(
            Failure.REJECTED, "the target states that it did not run the request"
        )
