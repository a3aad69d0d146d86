"""Request permits to send to rate-limited targets, and issue them to other routers.

The dispatcher knows which work waits for a permit.  For each target, this module
requests one permit at a time from the router that issues the target's permits.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.membership import Member, Roster
from anvilshift.core.permits import (
    TAKEOVER_DELAY,
    Bid,
    BidState,
    PermitQueue,
    RouterPresence,
)
from anvilshift.core.pools import TargetView
from anvilshift.core.ratelimits import SPAN
from anvilshift.core.targetlimits import PermitNeed
from anvilshift.core.work import LoadReport, Send
from anvilshift.peers.generated.peers_pb2 import PermitReply, PermitRequest, SentRun
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.telemetry import Telemetry

_CONNECTED_HEARTBEATS = 3
"""A router counts as connected if it was heard from within this many heartbeats."""
_LONG_POLL_TIMEOUT: Millis = 400.0
"""How long an issuer holds a request open; less than the timeout of a peer call."""
_CHECK_INTERVAL: Millis = 20.0
"""Longest pause between two checks whether a permit is available."""
_BID_EXPIRY: Millis = 2 * SECOND
"""A bid that wasn't renewed for this long is dropped from the queue."""
_RETRY_DELAY: Millis = 100.0
"""Pause after a request that got no permit."""
_MAX_REPLY_AGE: Millis = 1.5 * SECOND
"""A permit that arrives later than this isn't used: this process was paused, and the
time that the permit was issued for is over."""


@dataclass(frozen=True)
class PermitSources:
    """The components of a router that its permits use.

    Parameters
    ----------
    read_members
        Returns the other routers as this router currently sees them.
    heartbeat
        Interval between two heartbeats.
    """

    own: Member
    read_members: Callable[[], Roster]
    link: PeerLink
    dispatch: DispatchLoop
    telemetry: Telemetry
    clock: Clock
    heartbeat: Millis


class Permits:
    """Request permits for a router's own work, and issue those of some targets."""

    def __init__(self, sources: PermitSources) -> None:
        self._sources = sources
        self._clock = sources.clock
        self._own_name = sources.own.name
        self._dispatcher = sources.dispatch.dispatcher
        self._attendance = RouterPresence()
        self._attendance.update({self._own_name}, (), self._clock.now())
        self._permit_queues: dict[str, PermitQueue] = {}
        self._request_tasks: dict[str, asyncio.Task[None]] = {}
        self._request_numbers = itertools.count()
        sources.dispatch.on_change = self.request_permits

    # Assignment of issuers

    def update_routers(self) -> None:
        """Update which routers are connected; drop the queues whose issuer changed."""
        now = self._clock.now()
        member_statuses = self._sources.read_members().member_statuses.values()
        heard = {
            s.member.name
            for s in member_statuses
            if s.last_heartbeat is not None
            and now - s.last_heartbeat
            <= _CONNECTED_HEARTBEATS * self._sources.heartbeat
        }
        leaving = {s.member.name for s in member_statuses if s.member.leaving}
        before = self._attendance.list_issuers()
        recorded = {s.member.name for s in member_statuses}
        present = (heard - leaving) | {self._own_name}
        if not self._attendance.update(present, leaving, now, recorded):
            return
        for name in list(self._permit_queues):
            if self._find_issuer(name) != before.get(name):
                del self._permit_queues[name]

    def has_lost_routers(self) -> bool:
        """Tell whether a router that fell silent may still run behind a partition."""
        return self._attendance.count_lost(self._clock.now()) > 0

    def _find_issuer(self, target: str) -> str:
        return self._attendance.find_issuer(target)

    def apply_report(self, report: LoadReport) -> None:
        """Log a new, changed or ended limit before the dispatcher applies it."""
        view = self._find_view(report.target)
        if view is None:
            return
        known = view.named.rate if view.named and view.named.ended is None else None
        if report.limit == known:
            return
        self._sources.telemetry.record_limit(report.target, report.limit or 0.0)
        now = self._clock.now()
        logging.info(
            "limit named target=%s rate=%s before=%s age=%.0f lately=%d",
            report.target,
            report.limit,
            known,
            now - report.as_of,
            view.meter.count(now),
        )

    # Permits for this router's own work

    def request_permits(self) -> None:
        """Request the permits that waiting work needs."""
        for want in self._dispatcher.list_permit_needs():
            if want.target not in self._request_tasks:
                task = asyncio.get_running_loop().create_task(self._obtain(want))
                self._request_tasks[want.target] = task
                task.add_done_callback(partial(self._finish_request, want))

    def _finish_request(self, want: PermitNeed, task: asyncio.Task[None]) -> None:
        self._request_tasks.pop(want.target, None)
        if task.cancelled():
            return
        if task.exception() is not None:
            logging.error("permit request failed", exc_info=task.exception())
            return
        self.request_permits()

    async def _obtain(self, want: PermitNeed) -> None:
        """Repeat the request until a permit is granted or refused, or isn't needed."""
        run = f"{self._sources.own.incarnation}/{next(self._request_numbers)}"
        began = self._clock.now()
        while any(
            w.target == want.target for w in self._dispatcher.list_permit_needs()
        ):
            requested_at = self._clock.now()
            reply = await self._request_permit(want, run, began)
            now = self._clock.now()
            if (
                reply.state == BidState.GRANTED.value
                and now - requested_at <= _MAX_REPLY_AGE
            ):
                actions = self._dispatcher.use_permit(want.target, run, now)
                self._sources.dispatch.act(actions)
                if not any(isinstance(action, Send) for action in actions):
                    # No waiting work can be sent to the target, so the next permit
                    # would be unused as well.
                    await asyncio.sleep(_RETRY_DELAY / SECOND)
                return
            if reply.state != BidState.QUEUED.value:
                self._sources.telemetry.count_permit(want.target, "held back")
                logging.info(
                    "permit held back target=%s organisation=%s wait=%.0f",
                    want.target,
                    want.organisation,
                    reply.wait_ms,
                )
                await asyncio.sleep(_RETRY_DELAY / SECOND)
                return
            if now - requested_at < _CHECK_INTERVAL:
                await asyncio.sleep(_CHECK_INTERVAL / SECOND)

    async def _request_permit(
        self, want: PermitNeed, run: str, began: Millis
    ) -> PermitReply:
        issuer = self._find_issuer(want.target)
        request = self._make_request(want, run, began)
        if issuer == self._own_name:
            return await self.handle_permit(request)
        status = self._sources.read_members().member_statuses.get(issuer)
        if status is None:
            return PermitReply(state=BidState.REFUSED.value)
        try:
            address = status.member.peer_address
            return await self._sources.link.permit(address, request)
        except PeerError as error:
            logging.info("no permit from issuer=%s %s", issuer, error)
            await asyncio.sleep(_RETRY_DELAY / SECOND)
            return PermitReply(state=BidState.QUEUED.value)

    def _make_request(self, want: PermitNeed, run: str, began: Millis) -> PermitRequest:
        now, view = self._clock.now(), self._find_view(want.target)
        sends = view.meter.list_since(now - SPAN) if view else []
        return PermitRequest(
            run=run,
            target=want.target,
            organisation=want.organisation,
            rank=want.rank,
            waited_ms=now - began,
            patience_ms=max(0.0, want.deadline - now),
            rate=(view.named.find_rate(now) or 0.0) if view and view.named else 0.0,
            sent=[SentRun(run=name, age_ms=now - at) for name, at in sends],
        )

    def _find_view(self, target: str) -> TargetView | None:
        return self._dispatcher.find_view(target)

    # Permits that this router issues

    async def handle_permit(self, request: PermitRequest) -> PermitReply:
        """Answer a request when a permit is available, or when the long poll ends."""
        view = self._find_view(request.target)
        if view is None or self._find_issuer(request.target) != self._own_name:
            return PermitReply(state=BidState.QUEUED.value, wait_ms=_RETRY_DELAY)
        now = self._clock.now()
        for sent in request.sent:
            view.meter.add(sent.run, now - sent.age_ms)
        permit_queue = self._find_permit_queue(view)
        until = now + _LONG_POLL_TIMEOUT
        latest = now + request.patience_ms
        try:
            while True:
                now = self._clock.now()
                bid = Bid(
                    request.run,
                    request.organisation,
                    request.rank,
                    now - request.waited_ms,
                    latest,
                    now,
                )
                permit_queue.expire(now, _BID_EXPIRY)
                verdict = permit_queue.ask(bid, self._find_rate(view, request), now)
                if verdict.state is not BidState.QUEUED or now >= until:
                    return self._reply(request.target, verdict.state, verdict.wait)
                step = max(1.0, min(verdict.wait, _CHECK_INTERVAL))
                await asyncio.sleep(step / SECOND)
        finally:
            permit_queue.withdraw(request.run)

    def _reply(self, target: str, state: BidState, wait: Millis) -> PermitReply:
        if state is BidState.GRANTED:
            self._sources.telemetry.count_permit(target, "issued")
        return PermitReply(state=state.value, wait_ms=wait)

    def _find_rate(self, view: TargetView, request: PermitRequest) -> float | None:
        """Return the rate that the connected routers share, or None without a limit.

        The limit is the lower of the two that this router and the requesting one
        know.
        """
        now = self._clock.now()
        own = view.named.find_rate(now) if view.named else None
        rates = [rate for rate in (own, request.rate) if rate]
        share = self._attendance.find_part(now)
        return min(rates) * share if rates else None

    def _find_permit_queue(self, view: TargetView) -> PermitQueue:
        name = view.target.name
        permit_queue = self._permit_queues.get(name)
        if permit_queue is None or not permit_queue.is_of(view.meter):
            permit_queue = PermitQueue(view.meter, self._clock.now() + TAKEOVER_DELAY)
            self._permit_queues[name] = permit_queue
        return permit_queue

    def close(self) -> None:
        """Cancel the requests for permits."""
        for task in self._request_tasks.values():
            task.cancel()
