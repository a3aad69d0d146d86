"""Request and issue permits to send to targets that have announced rate limits.

A request to such a target needs a permit from the router that is the target's issuer.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.permits import TAKEOVER_DELAY, Bid, BidState, PermitQueue, Verdict
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.coldtargets import ColdTargets
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import LimitCallbacks, RateLimits
from anvilshift.gateway.messages import PermitAnswer, PermitAsk, PermitDropped
from anvilshift.gateway.peers import Peers

_RETRY_PAUSE: Millis = 40.0
"""Pause before an unanswered ask is repeated, about ten times the round trip to another
router."""
_MAX_TRIES = 3
"""Unanswered asks after which the request stops waiting for the issuer."""
_UNANSWERED_WAIT: Millis = 200.0
"""Assumed wait for a permit when the issuer doesn't answer."""
_RENEWAL_INTERVAL: Millis = 150.0
"""Interval at which a queued request repeats its ask."""
_BID_TIMEOUT: Millis = 4 * _RENEWAL_INTERVAL
"""The router of a bid that wasn't renewed for this long counts as lost."""
_MAX_PERMIT_WAIT: Millis = 500.0
"""How long a request waits for one permit before other targets are considered again."""
_REPORT_INTERVAL: Millis = 1 * SECOND
"""Interval of the log lines on the use of limits."""


@dataclass(frozen=True)
class Request:
    """A request that asks for a permit.

    Parameters
    ----------
    run
        Identifies the attempt among those of all routers.
    latest
        Instant after which a permit can't be used any more.
    """

    run: str
    identity: str
    organisation: str
    rank: int
    arrived: Millis
    latest: Millis


@dataclass
class _PendingAsk:
    """A request of this router that waits for its permit.

    Parameters
    ----------
    first
        Whether the request is told at once that it must wait, so that it can use
        another target.
    asked
        When the issuer was last asked.
    """

    request: Request
    target: str
    first: bool
    asked: Millis
    verdict: Verdict | None = None
    answered_event: asyncio.Event = field(default_factory=asyncio.Event)

    def set_verdict(self, verdict: Verdict) -> None:
        """Store the issuer's answer, and end the wait if it is decisive."""
        self.verdict = verdict
        if self.first or verdict.state is not BidState.QUEUED:
            self.answered_event.set()


@dataclass
class Permits:
    """Permits at one router: asks for its own requests, and issues for targets.

    Parameters
    ----------
    ip
        Address at which this router receives messages.
    cold
        The cold targets; None where there are none.
    """

    limits: RateLimits
    ip: str
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    cold: ColdTargets | None = None
    _permit_queues: dict[str, PermitQueue] = field(default_factory=dict)
    _askers: dict[str, str] = field(default_factory=dict)
    _pending: dict[str, _PendingAsk] = field(default_factory=dict)
    _timers: dict[str, asyncio.TimerHandle] = field(default_factory=dict)
    _reported_at: Millis = 0.0

    def __post_init__(self) -> None:
        self.limits.hooks = LimitCallbacks(self._serve, self._close_permit_queue)

    def handle_suspension(self) -> None:
        """Issue no permits for a while after this process was suspended."""
        opens = self.clock.now() + TAKEOVER_DELAY
        for permit_queue in self._permit_queues.values():
            permit_queue.opens_at = opens
        if self.cold is not None:
            self.cold.view.restart(self.clock.now())

    # Requests of this router

    def is_limited(self, target: TargetLoad) -> bool:
        """Tell whether a request to a target needs a permit."""
        return target.find_rate(self.clock.now()) is not None

    async def ask(self, target: TargetLoad, request: Request, first: bool) -> Verdict:
        """Ask for a permit.

        Parameters
        ----------
        first
            Whether this is the first ask for the request; then it is told at once
            that it must wait, so that it can use another target.
        """
        pending = _PendingAsk(request, target.info.name, first, self.clock.now())
        self._pending[request.run] = pending
        try:
            verdict = await self._wait(pending)
        finally:
            del self._pending[request.run]
        if first and verdict.state is not BidState.GRANTED:
            self.journal.write(
                "permit_held_back",
                id=request.identity,
                target=pending.target,
                state=verdict.state.value,
                wait=round(verdict.wait, 1),
                issuer=self.limits.find_issuer(pending.target),
            )
        if verdict.state is BidState.GRANTED and self.cold is not None:
            self.cold.record_permit(request.run)
        return verdict

    async def _wait(self, pending: _PendingAsk) -> Verdict:
        """Repeat the ask until it is answered, because any datagram may be lost."""
        until = self.clock.now() + _MAX_PERMIT_WAIT
        tries = 0
        while self.clock.now() < until:
            self._send_ask(pending)
            pause = _RENEWAL_INTERVAL if pending.verdict else _RETRY_PAUSE
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause / SECOND):
                    await pending.answered_event.wait()
            verdict = pending.verdict
            if verdict is not None and pending.answered_event.is_set():
                return verdict
            tries += 1
            if verdict is None and tries >= _MAX_TRIES:
                return self._report_unanswered(pending)
        return pending.verdict or self._report_unanswered(pending)

    def _send_ask(self, pending: _PendingAsk) -> None:
        """Send an ask to the issuer, or decide it here if this router is the issuer."""
        now, request = self.clock.now(), pending.request
        pending.asked = now
        issuer = self.limits.find_issuer(pending.target)
        target = self.loads.targets.get(pending.target)
        ask = PermitAsk(
            request.run,
            pending.target,
            self.ip,
            request.organisation,
            request.rank,
            now - request.arrived,
            max(0.0, request.latest - now),
            self.cold.find_left(target) if self.cold and target else 0.0,
        )
        if issuer == self.limits.own:
            self._decide(ask)
            return
        ip = self.limits.find_ip(issuer)
        if ip is None or target is None:
            return
        if target.limit is not None and pending.verdict is None:
            # An issuer that doesn't know the limit would grant every ask.
            self.peers.send(self.limits.describe(target, target.limit), ip)
        self.peers.send(ask, ip)

    def _report_unanswered(self, pending: _PendingAsk) -> Verdict:
        issuer = self.limits.find_issuer(pending.target)
        self.journal.write("issuer_unheard", target=pending.target, issuer=issuer)
        return Verdict(pending.request.run, BidState.QUEUED, _UNANSWERED_WAIT)

    def withdraw(self, run: str, name: str) -> None:
        """Withdraw the ask of a request that no longer waits for a permit."""
        issuer = self.limits.find_issuer(name)
        ip = self.limits.find_ip(issuer)
        if issuer == self.limits.own:
            self.handle_withdrawal(PermitDropped(run, name))
        elif ip is not None:
            self.peers.send(PermitDropped(run, name), ip)

    def handle_answer(self, answer: PermitAnswer) -> None:
        """Pass the issuer's answer to the request that waits for it."""
        pending = self._pending.get(answer.run)
        if pending is None:
            return
        if self.clock.now() - pending.asked > 2 * _RENEWAL_INTERVAL:
            # This process was suspended, and the permit was for an earlier time.
            return
        pending.set_verdict(Verdict(answer.run, BidState(answer.state), answer.wait))

    # Requests of all routers, at the issuer

    def handle_ask(self, ask: PermitAsk) -> None:
        """Answer another router's ask."""
        if self.limits.find_issuer(ask.target) != self.limits.own:
            return
        self._askers[ask.run] = ask.ip
        if self.cold is not None:
            self.cold.apply_ask(ask.target, ask.cold_left)
        self._decide(ask)

    def handle_withdrawal(self, message: PermitDropped) -> None:
        """Remove the bid of a request that no longer waits."""
        permit_queue = self._permit_queues.get(message.target)
        if permit_queue is not None:
            permit_queue.withdraw(message.run)
        self._askers.pop(message.run, None)

    def _decide(self, ask: PermitAsk) -> None:
        target = self.loads.targets.get(ask.target)
        if target is None:
            return
        now = self.clock.now()
        bid = Bid(
            ask.run,
            ask.organisation,
            ask.rank,
            now - ask.waited,
            now + ask.patience,
            now,
        )
        permit_queue = self._find_permit_queue(target)
        self._answer(permit_queue.ask(bid, self._find_rate(target), now))
        self._set_timer(ask.target)

    def _find_permit_queue(self, target: TargetLoad) -> PermitQueue:
        name = target.info.name
        permit_queue = self._permit_queues.get(name)
        if permit_queue is None or not permit_queue.is_of(target.meter):
            permit_queue = PermitQueue(target.meter, self.clock.now() + TAKEOVER_DELAY)
            self._permit_queues[name] = permit_queue
        self._hold(permit_queue, target)
        return permit_queue

    def _find_rate(self, target: TargetLoad) -> float | None:
        rate = self.limits.find_rate(target)
        return rate if self.cold is None else self.cold.find_rate(target, rate)

    def _hold(self, permit_queue: PermitQueue, target: TargetLoad) -> None:
        """Set before which time no permit is granted, as far as is known now."""
        if self.cold is not None:
            permit_queue.held_until = self.cold.find_opening(target)

    def _answer(self, verdict: Verdict) -> None:
        """Send a verdict to its request, at this or another router."""
        queued = verdict.state is BidState.QUEUED
        find = self._askers.get if queued else self._askers.pop
        ip = find(verdict.run, None)
        if ip is not None:
            answer = PermitAnswer(verdict.run, verdict.state.value, verdict.wait)
            self.peers.send(answer, ip)
            return
        pending = self._pending.get(verdict.run)
        if pending is not None:
            pending.set_verdict(verdict)

    def _serve(self, name: str) -> None:
        """Issue the permits that are due."""
        permit_queue, target = (
            self._permit_queues.get(name),
            self.loads.targets.get(name),
        )
        if permit_queue is None or target is None:
            return
        self._hold(permit_queue, target)
        rate, now = self._find_rate(target), self.clock.now()
        for verdict in permit_queue.grant_due(rate, now, _BID_TIMEOUT):
            self._answer(verdict)
        self._set_timer(name)

    def _close_permit_queue(self, name: str) -> None:
        self._permit_queues.pop(name, None)

    def _set_timer(self, name: str) -> None:
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        permit_queue, target = (
            self._permit_queues.get(name),
            self.loads.targets.get(name),
        )
        if permit_queue is None or target is None or not permit_queue.waiting:
            return
        now = self.clock.now()
        due = permit_queue.find_next(self._find_rate(target), now)
        loop = asyncio.get_running_loop()
        delay = (due - now) / SECOND
        self._timers[name] = loop.call_later(delay, self._serve, name)

    # Periodic work

    def run_checks(self, now: Millis) -> None:
        """Remove expired limits and unused state; log the use of limits each second."""
        if self.cold is not None:
            self.cold.run_checks(now)
        self.limits.remove_expired(now)
        for name in list(self._permit_queues):
            target = self.loads.targets.get(name)
            if target is None or (target.limit is None and target.cold is None):
                self._close_permit_queue(name)
        if now - self._reported_at >= _REPORT_INTERVAL:
            self._reported_at = now
            self._remove_askers()
            self._report(now)

    def _remove_askers(self) -> None:
        """Forget the addresses of asks that are no longer queued."""
        for run in list(self._askers):
            if not any(
                run in permit_queue for permit_queue in self._permit_queues.values()
            ):
                del self._askers[run]

    def _report(self, now: Millis) -> None:
        for name, permit_queue in self._permit_queues.items():
            target = self.loads.targets[name]
            rate = self._find_rate(target)
            if rate is None:
                continue
            self.journal.write(
                "cold_use" if target.is_cold(now) else "limit_use",
                target=name,
                rate=round(rate, 3),
                lately=target.meter.count(now),
                issued=permit_queue.issued,
                refused=permit_queue.refused,
                waiting=permit_queue.waiting,
            )
