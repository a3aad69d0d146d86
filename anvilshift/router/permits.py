"""Ask other routers for permits to send to limited targets, and issue them.

What waits for a permit is known by the dispatcher; this asks for one permit a target
at a time, of the router that issues them for all.
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
    TAKEOVER,
    Attendance,
    Bid,
    PermitDesk,
    State,
)
from anvilshift.core.pools import TargetView
from anvilshift.core.ratelimits import SPAN
from anvilshift.core.rationing import Want
from anvilshift.core.work import LoadReport, Send
from anvilshift.peers.generated.peers_pb2 import PermitReply, PermitRequest, SentRun
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.telemetry import Telemetry

_HEARD_BEATS = 3
"""Heartbeats within which a router that is in touch is heard."""
_LONG_POLL: Millis = 400.0
"""How long an issuer keeps a question; less than a call between routers may take."""
_STEP: Millis = 20.0
"""Longest pause between two looks whether a permit is free."""
_SILENCE: Millis = 2 * SECOND
_PAUSE: Millis = 100.0
"""Pause after a question that brought no permit."""
_STALE: Millis = 1.5 * SECOND
"""A permit that came later was for a time in which this process stood still."""


@dataclass(frozen=True)
class PermitSources:
    """What the permits of one router need of its other parts.

    Parameters
    ----------
    read_roster
        Returns the others as this router sees them now.
    heartbeat
        Time between two heartbeats.
    """

    own: Member
    read_roster: Callable[[], Roster]
    link: PeerLink
    dispatch: DispatchLoop
    telemetry: Telemetry
    clock: Clock
    heartbeat: Millis


class Permits:
    """One router's part in keeping to limits."""

    def __init__(self, sources: PermitSources) -> None:
        self._sources = sources
        self._clock = sources.clock
        self._own = sources.own.name
        self._dispatcher = sources.dispatch.dispatcher
        self._attendance = Attendance()
        self._attendance.note({self._own}, (), self._clock.now())
        self._desks: dict[str, PermitDesk] = {}
        self._seeking: dict[str, asyncio.Task[None]] = {}
        self._numbers = itertools.count()
        sources.dispatch.at_change = self.seek

    # Who issues

    def note_routers(self) -> None:
        """Take in which routers are in touch now."""
        now = self._clock.now()
        sightings = self._sources.read_roster().sightings.values()
        heard = {
            s.member.name
            for s in sightings
            if s.heard is not None
            and now - s.heard <= _HEARD_BEATS * self._sources.heartbeat
        }
        leaving = {s.member.name for s in sightings if s.member.leaving}
        before = self._attendance.list_issuers()
        recorded = {s.member.name for s in sightings}
        present = (heard - leaving) | {self._own}
        if not self._attendance.note(present, leaving, now, recorded):
            return
        for name in list(self._desks):
            if self._find_issuer(name) != before.get(name):
                del self._desks[name]

    def has_lost_routers(self) -> bool:
        """Tell whether a router that fell silent may go on behind a cut."""
        return self._attendance.count_lost(self._clock.now()) > 0

    def _find_issuer(self, target: str) -> str:
        return self._attendance.find_issuer(target)

    def note_report(self, report: LoadReport) -> None:
        """Log a limit that is new, has changed or has ended, before it counts."""
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

    # Permits for this router's work

    def seek(self) -> None:
        """Ask for the permits that waiting work wants."""
        for want in self._dispatcher.list_wants():
            if want.target not in self._seeking:
                task = asyncio.get_running_loop().create_task(self._seek(want))
                self._seeking[want.target] = task
                task.add_done_callback(partial(self._note_end, want))

    def _note_end(self, want: Want, task: asyncio.Task[None]) -> None:
        self._seeking.pop(want.target, None)
        if task.cancelled():
            return
        if task.exception() is not None:
            logging.error("permit search broke", exc_info=task.exception())
            return
        self.seek()

    async def _seek(self, want: Want) -> None:
        """Ask until there is a permit or nothing that wants one."""
        run = f"{self._sources.own.incarnation}/{next(self._numbers)}"
        began = self._clock.now()
        while any(one.target == want.target for one in self._dispatcher.list_wants()):
            asked = self._clock.now()
            reply = await self._ask(want, run, began)
            now = self._clock.now()
            if reply.state == State.GRANTED.value and now - asked <= _STALE:
                actions = self._dispatcher.permit(want.target, run, now)
                self._sources.dispatch.act(actions)
                if not any(isinstance(action, Send) for action in actions):
                    # What waits doesn't suit the target: the next one wouldn't either.
                    await asyncio.sleep(_PAUSE / SECOND)
                return
            if reply.state != State.QUEUED.value:
                self._sources.telemetry.count_permit(want.target, "held back")
                logging.info(
                    "permit held back target=%s organisation=%s wait=%.0f",
                    want.target,
                    want.organisation,
                    reply.wait_ms,
                )
                await asyncio.sleep(_PAUSE / SECOND)
                return
            if now - asked < _STEP:
                await asyncio.sleep(_STEP / SECOND)

    async def _ask(self, want: Want, run: str, began: Millis) -> PermitReply:
        issuer = self._find_issuer(want.target)
        request = self._make_request(want, run, began)
        if issuer == self._own:
            return await self.take_permit(request)
        sighting = self._sources.read_roster().sightings.get(issuer)
        if sighting is None:
            return PermitReply(state=State.REFUSED.value)
        try:
            address = sighting.member.peer_address
            return await self._sources.link.permit(address, request)
        except PeerError as error:
            logging.info("no permit from issuer=%s %s", issuer, error)
            await asyncio.sleep(_PAUSE / SECOND)
            return PermitReply(state=State.QUEUED.value)

    def _make_request(self, want: Want, run: str, began: Millis) -> PermitRequest:
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

    async def take_permit(self, request: PermitRequest) -> PermitReply:
        """Answer a question, when there is a permit or after a while."""
        view = self._find_view(request.target)
        if view is None or self._find_issuer(request.target) != self._own:
            return PermitReply(state=State.QUEUED.value, wait_ms=_PAUSE)
        now = self._clock.now()
        for sent in request.sent:
            view.meter.add(sent.run, now - sent.age_ms)
        desk = self._find_desk(view)
        until = now + _LONG_POLL
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
                desk.expire(now, _SILENCE)
                verdict = desk.ask(bid, self._find_rate(view, request), now)
                if verdict.state is not State.QUEUED or now >= until:
                    return self._reply(request.target, verdict.state, verdict.wait)
                step = max(1.0, min(verdict.wait, _STEP))
                await asyncio.sleep(step / SECOND)
        finally:
            desk.withdraw(request.run)

    def _reply(self, target: str, state: State, wait: Millis) -> PermitReply:
        if state is State.GRANTED:
            self._sources.telemetry.count_permit(target, "issued")
        return PermitReply(state=state.value, wait_ms=wait)

    def _find_rate(self, view: TargetView, request: PermitRequest) -> float | None:
        """Return the rate for the routers in touch, as either side knows it."""
        now = self._clock.now()
        own = view.named.find_rate(now) if view.named else None
        rates = [rate for rate in (own, request.rate) if rate]
        part = self._attendance.find_part(now)
        return min(rates) * part if rates else None

    def _find_desk(self, view: TargetView) -> PermitDesk:
        name = view.target.name
        desk = self._desks.get(name)
        if desk is None or not desk.is_of(view.meter):
            desk = PermitDesk(view.meter, self._clock.now() + TAKEOVER)
            self._desks[name] = desk
        return desk

    def close(self) -> None:
        """Stop asking."""
        for task in self._seeking.values():
            task.cancel()
