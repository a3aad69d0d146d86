"""Measure how long the attempts of one request take at their targets."""

from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.health.slowstart import judge_answer
from anvilshift.core.placement.learnedspeeds import WorkKind
from anvilshift.gateway.outgoing import Outgoing
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext

_LEAST_EVENTS = 5
"""Events of a stream from which the time between them is measured."""


@dataclass
class AttemptTimes:
    """The times of one request's attempts, recorded for later requests."""

    shared: RouterContext
    routed: RoutedRequest
    relay: AnswerRelay
    _first_at: Millis = 0.0
    _events_before: int = 0

    def begin(self) -> None:
        """Begin to measure an attempt."""
        self._events_before = self.relay.events

    def record_first_byte(
        self, outgoing: Outgoing, sent: Millis, concurrent_runs: int
    ) -> None:
        """Record that a target began to answer with success.

        Parameters
        ----------
        concurrent_runs
            Requests that the target was running when this one was sent.
        """
        self._first_at = self.shared.clock.now()
        span = self._first_at - sent
        self._record_outcome(outgoing, span, sent)
        # A request that waits for a slot doesn't tell how fast the target works.
        if concurrent_runs < outgoing.choice.target.info.slots:
            self._record_speed(outgoing, span)

    def _record_outcome(self, outgoing: Outgoing, span: Millis, sent: Millis) -> None:
        """Record whether the target was late by its own fault."""
        objective = self.routed.rule.objective - (sent - self.routed.arrived)
        usual = outgoing.choice.wait
        if not outgoing.capacity:
            usual += self.shared.find_service_time(self.routed.service).value
        outcome = judge_answer(span, objective, usual)
        self.shared.sender.record_outcome(outgoing, outcome, sent)

    def _record_speed(self, outgoing: Outgoing, span: Millis) -> None:
        """Record how fast the target worked."""
        choice, now = outgoing.choice, self.shared.clock.now()
        kind = WorkKind.PREFILL if outgoing.capacity else WorkKind.PLAIN
        sample = choice.target.normalise(kind, span, choice.unscaled, now)
        if sample is not None:
            self.shared.sender.told.add_sample(
                choice.target, outgoing.run, kind, sample, now
            )

    def record_stream(self, outgoing: Outgoing) -> None:
        """Record the time between the events of a stream that has ended."""
        events, now = self.relay.events - self._events_before, self.shared.clock.now()
        target = outgoing.choice.target
        if events > 0:
            target.learned_speeds.service.events.add(float(events))
        if events >= _LEAST_EVENTS:
            between = (now - self._first_at) / (events - 1) / target.find_slowness(now)
            self.shared.sender.told.add_sample(
                target, outgoing.run, WorkKind.DECODE, between, now
            )

    def record_run(self, sent: Millis) -> None:
        """Record how long a target ran the whole of a request that succeeded."""
        is_whole = not self._events_before and self.routed.call.resume_after is None
        if is_whole:
            span = self.shared.clock.now() - sent
            self.shared.term.record_run(self.routed.rule.name, span)
