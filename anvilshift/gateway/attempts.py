"""Send one request to targets until one has answered it.

A failed attempt is repeated at another target where that is allowed.  An error says
"not run" only if no target may have run the request.
"""

from functools import partial

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import Millis
from anvilshift.core.errors import ENGINE_FAILED, OVERLOADED, AnvilshiftError
from anvilshift.core.placement.toldload import LoadReport
from anvilshift.core.routing import RequestKind
from anvilshift.core.targetload import Prompt
from anvilshift.core.timeouts import (
    find_attempt_timeout,
    find_pause_timeout,
    find_return,
    rank,
)
from anvilshift.core.work import Failure
from anvilshift.gateway.attemptfailures import AttemptFailures
from anvilshift.gateway.attempttimes import AttemptTimes
from anvilshift.gateway.border import TargetFields
from anvilshift.gateway.crashes import CrashTracker
from anvilshift.gateway.outgoing import Answer, AttemptError, Outgoing
from anvilshift.gateway.parttries import PartTry
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.gateway.planning import AttemptPlanner, PlannedAttempt
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.retrying import RequestRetries
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.silencewatch import SilenceWatch
from anvilshift.gateway.streambinding import StreamBinding
from anvilshift.gateway.targetchoice import TargetChooser


class Attempts:
    """The attempts of one request at targets.

    Attributes
    ----------
    target, version
        Target of the last attempt, and the version of its software.
    via
        Router that forwards the last attempt; empty if none does.
    concurrent_runs
        Requests that the target was running when the last attempt was sent.
    """

    def __init__(
        self,
        shared: RouterContext,
        routed: RoutedRequest,
        relay: AnswerRelay,
        turn: PermitSession,
        crashes: CrashTracker,
    ) -> None:
        self._shared = shared
        self._routed = routed
        self._relay = relay
        self._crashes = crashes
        self._retries = RequestRetries(
            shared.retries, routed.service, shared.boot_clock
        )
        self.target = ""
        self.version: str | None = None
        self.via = ""
        self.sent = routed.arrived
        self.concurrent_runs = 0
        self.predicted: Millis = 0.0
        self._stream = StreamBinding(shared, routed)
        chooser = TargetChooser(shared, routed, turn, crashes, self._stream)
        self._try = PartTry(shared, routed, chooser)
        self._planner = AttemptPlanner(
            shared,
            routed,
            relay,
            turn,
            self._retries,
            self._stream,
            chooser,
            self._try,
            crashes,
        )
        self._progress = self._planner.progress
        self._failures = AttemptFailures(shared, routed, relay, crashes, self._try)
        self._has_begun = False
        self._times = AttemptTimes(shared, routed, relay)
        self.told: LoadReport | None = None
        self._planned_ahead: PlannedAttempt | None = None
        self._link_due: Millis | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether any target may have run the request, or may still run it."""
        return self._progress.may_have_run

    @property
    def tries(self) -> int:
        """Return how many attempts were planned, the running one included."""
        progress = self._progress
        return 1 + len(progress.failed_targets | progress.paused_targets)

    async def run(self) -> None:
        """Send the request to targets until one of them has answered it.

        Raises
        ------
        AnvilshiftError
            When no further attempt is made.
        """
        try:
            await self._send_until_answered()
        finally:
            if self._planned_ahead is not None:
                self._planned_ahead.release()
            self._planner.give_back_share()
            self._try.end()
            self._retries.close()

    async def _send_until_answered(self) -> None:
        planned = await self._planner.plan()
        while True:
            try:
                await self._attempt(planned)
                self._crashes.clear()
                return
            except AttemptError as error:
                await self._record_failure(planned.choice, error)
                ahead, self._planned_ahead = self._planned_ahead, None
                planned = ahead or await self._planner.plan_retry(error)

    async def _record_failure(self, choice: Choice, error: AttemptError) -> None:
        """Record a failed attempt, and find out what it did to its target.

        Raises
        ------
        AnvilshiftError
            When the request is now quarantined.
        """
        name = choice.target.info.name
        if self._failures.record(choice, error, self.sent):
            self._crashes.record_pause(name, may_have_run=not error.never_ran)
            self._progress.paused_targets.add(name)
            return
        if self._shared.sender.reach.is_leaving(self.via):
            # The router in between has stopped; the target is as sound as before.
            self._progress.paused_targets.add(name)
        else:
            self._progress.failed_targets.add(name)
        await self._failures.find_cause(choice.target, error, self._has_begun)

    async def _attempt(self, planned: PlannedAttempt) -> None:
        shared, choice = self._shared, planned.choice
        await self._wait_for_link()
        self.predicted = choice.wait
        self.sent, self.via = shared.clock.now(), ""
        self._relay.start_attempt()
        self._has_begun = False
        self.concurrent_runs = len(choice.target.runs)
        self.target = choice.target.info.name
        self.version = choice.target.info.version
        self.told = choice.target.report
        self._times.begin()
        progress, watch = self._progress, self._make_watch()
        before = progress.may_have_run, progress.targets
        self._crashes.charge_target(self.target)
        try:
            async with watch.guard():
                outgoing = self._make_outgoing(planned, watch)
                async with shared.sender.send(outgoing) as answer:
                    await self._relay_answer(outgoing, answer, watch)
        except AttemptError as error:
            if error.never_ran:
                progress.may_have_run, progress.targets = before
            else:
                self._relay.broken = True
            raise
        finally:
            self._planned_ahead = watch.planned
            self._retries.record_arrival()
            self._crashes.end(self.target, progress.targets > before[1])

    async def _wait_for_link(self) -> None:
        """Wait while this router's link is full; what can't be sent in time is refused.

        Raises
        ------
        AnvilshiftError
            When the request would still wait at its deadline.
        """
        shared, routed = self._shared, self._routed
        throttle, length = shared.sender.link_throttle, len(routed.request.body)
        if throttle is None:
            return
        now, due = shared.clock.now(), routed.arrived + routed.rule.objective
        if now > due:
            # It is late already, and leaves the link to those that aren't.
            due = routed.end
        left = max(0.0, routed.end - now)
        expected = throttle.find_expected(due, length)
        if not expected or expected < left:
            self._link_due = due
            try:
                await throttle.wait(due, length)
            finally:
                self._link_due = None
            return
        detail = f"a wait of {expected:.0f} ms for this router's link is expected"
        code = ENGINE_FAILED if self._progress.may_have_run else OVERLOADED
        raise AnvilshiftError(code, detail, find_return(expected, left, shared.rng))

    def find_link_wait(self) -> Millis:
        """Return how long the request is still kept back for this router's link."""
        throttle = self._shared.sender.link_throttle
        if self._link_due is None or throttle is None:
            return 0.0
        return throttle.find_expected(self._link_due, 0)

    def _make_watch(self) -> SilenceWatch:
        target = self.target
        return SilenceWatch(
            self._routed.call.identity,
            target,
            self._routed.end,
            self._shared.clock,
            self._shared.journal,
            partial(self._shared.sender.reach.running.find_activity, target),
            partial(self._planner.plan_ahead, target),
            self._planner.turn.close,
        )

    def _make_outgoing(self, planned: PlannedAttempt, watch: SilenceWatch) -> Outgoing:
        choice, routed, model = planned.choice, self._routed, self._routed.model
        return Outgoing(
            planned.run,
            routed.request,
            routed.call.identity,
            routed.call.host,
            routed.call.prompt if model is not None else Prompt(),
            self._make_delivery(choice, routed.end - self._shared.clock.now()),
            choice,
            model.cache_tokens if model is not None else 0,
            partial(self._record_send, watch, choice),
            planned.connection,
            watch.doubt,
            self._check_caller,
        )

    def _check_caller(self) -> None:
        """Check by connection and clock that the caller still waits.

        A busy event loop reads a caller's close, and runs the timer of its deadline,
        after what was ready before them.

        Raises
        ------
        CallerDisconnectedError, TimeoutError
            When it has closed its connection, or its deadline has passed.
        """
        self._relay.responder.check_caller()
        if self._shared.clock.now() >= self._routed.end:
            raise TimeoutError

    def _record_send(self, watch: SilenceWatch, choice: Choice, via: str) -> None:
        """Record that the request is about to be sent, and watch for its answer.

        Until now nothing has reached a target, however long the connection took.
        """
        self._retries.record_send()
        self.via = via
        self.sent = self._shared.clock.now()
        self._progress.may_have_run = True
        self._progress.targets += 1
        watch.start(self._find_timeout(choice, self._routed.end - self.sent))

    def _find_timeout(self, choice: Choice, left: Millis) -> Millis | None:
        """Return the timeout of the attempt's answer; None if no retry may follow."""
        if not self._planner.may_go_on():
            return None
        return find_attempt_timeout(self._routed.rule, choice.wait, left)

    def _find_max_silence(self) -> Millis | None:
        """Return the timeout of the next event; None if no retry may follow."""
        if not self._planner.may_go_on():
            return None
        return find_pause_timeout(self._routed.rule)

    def _make_delivery(self, choice: Choice, left: Millis) -> TargetFields:
        elapsed = self._shared.clock.now() - self._routed.arrived
        fetch = choice.fetch_from
        return TargetFields(
            expected=choice.target.info.name,
            organisation=self._routed.payer.name if self._routed.payer else None,
            remaining=max(1.0, left),
            priority=rank(self._routed.rule, elapsed, choice.wait)
            if self._routed.model
            else None,
            fetch_from=fetch.info.address if fetch else None,
            resume_after=self._relay.last_id or self._routed.call.resume_after,
        )

    # Answers

    async def _relay_answer(
        self, outgoing: Outgoing, answer: Answer, watch: SilenceWatch
    ) -> None:
        success = 200 <= answer.status < 300
        if success and not answer.notes.signed:
            detail = "the answer is unsigned"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if success and self._routed.rule.kind is RequestKind.STREAMING:
            on_first_event = partial(self._record_first_event, outgoing)
            await self._relay.stream(
                answer,
                watch,
                self._find_max_silence,
                on_first_event,
                self._routed.call.resume_after is not None,
            )
            self._times.record_stream(outgoing)
            self._times.record_run(self.sent)
            return
        record_part = partial(self._record_part, watch, outgoing.choice)
        body = await self._relay.read_complete(answer, record_part)
        watch.finish()
        self._record_first_byte(outgoing, success)
        failed = answer.status >= 500 and self._planner.may_go_on()
        if failed or self._relay.started:
            detail = f"status {answer.status}"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
        if self._routed.model is None:
            took = self._shared.clock.now() - self._routed.arrived
            self._shared.find_service_time(self._routed.service).add(took)
        if success:
            self._times.record_run(self.sent)
        await self._relay.send_complete(answer, body)

    def _record_part(self, watch: SilenceWatch, choice: Choice) -> None:
        """Record that a plain answer goes on: the next part is given as much time."""
        watch.record_event(self._find_timeout(choice, self._routed.end - self.sent))

    def _record_first_event(self, outgoing: Outgoing) -> None:
        """Record the first event of an attempt, before the caller gets it."""
        self._record_first_byte(outgoing, success=True)
        self._stream.record_event(outgoing.choice.target)

    def _record_first_byte(self, outgoing: Outgoing, success: bool) -> None:
        """Record that the target began to answer, and how long that took."""
        if success:
            self._has_begun = True
            self._shared.parts.record_answer(self._routed)
            self._try.end()
        self._retries.record_arrival()
        self._shared.sender.record_first_byte(outgoing)
        target = outgoing.choice.target
        target.health.add_answer()
        self._shared.sender.starts.recheck(target)
        span = self._shared.clock.now() - self.sent
        target.measure(span, outgoing.choice.unscaled)
        if success:
            self._times.record_first_byte(outgoing, self.sent, self.concurrent_runs)
