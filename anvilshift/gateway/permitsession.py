"""The wait of one request for permits at targets with rate limits."""

import asyncio
import math

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.permits import BidState
from anvilshift.core.targetload import SLOT_WAIT, TargetLoad
from anvilshift.gateway.permits import Request
from anvilshift.gateway.shared import RouterContext

_MAX_PAUSE_WAIT: Millis = 250.0
"""How long a request waits for a paused target before other targets are considered."""
_UNTOLD: Millis = 10.0
"""Time after which the other routers have been told of a request, unless timers are
late."""
_LATE_TURNS = 2
"""Turns of event loops on the way of such a message: its sender's, and its reader's,
which is taken to be as late."""
_MAX_SLOT_WAIT: Millis = 300.0
"""How long a request waits until some brittle target has a free slot."""
_MAX_PAUSE_FACTOR = 1.2
"""Requests that wait for the end of a pause are spread over up to this multiple of the
remaining time, so that they aren't all sent at once."""


class PermitSession:
    """The permits of one request, and the issuers' answers to it.

    Attributes
    ----------
    organisation
        The organisation that pays; empty while unknown and for an anonymous
        request.
    """

    def __init__(self, shared: RouterContext, identity: str, arrived: Millis) -> None:
        self._shared = shared
        self._identity = identity
        self.organisation = ""
        self._arrived = arrived
        self._permits_expected_at: dict[str, Millis] = {}
        self._retry_at: dict[str, Millis] = {}
        self._pending_ask: tuple[str, str] | None = None
        self._waited_for_slot: Millis = 0.0

    @property
    def refused(self) -> set[str]:
        """Return the targets at which this request gets no permit in time."""
        return set(self._retry_at)

    def find_return(self) -> Millis | None:
        """Return the time until a permit may be available; None if none was refused."""
        now = self._shared.clock.now()
        return max(0.0, min(self._retry_at.values()) - now) if self._retry_at else None

    def list_permit_delays(self) -> dict[str, Millis]:
        """Return the expected time until a permit, for targets with a queued ask."""
        now = self._shared.clock.now()
        return {name: at - now for name, at in self._permits_expected_at.items()}

    async def request_permit(
        self, choice: Choice, rank: int, end: Millis
    ) -> str | None:
        """Return the name of an attempt that may be sent now; None if none may.

        After None the target is paused, or the expected wait or refusal is known, and
        another target may be the better choice.

        Parameters
        ----------
        end
            Deadline for the start of the answer.
        """
        permits, name = self._shared.permits, choice.target.info.name
        if self._pending_ask is not None and self._pending_ask[1] != name:
            self.close()
        pause = choice.target.paused_until - self._shared.clock.now()
        if pause > 0:
            self.close()
            factor = self._shared.rng.uniform(1.0, _MAX_PAUSE_FACTOR)
            await asyncio.sleep(min(pause * factor, _MAX_PAUSE_WAIT) / SECOND)
            return None
        if not self._may_take_room(choice.target):
            self.close()
            await self._wait_for_slot(name)
            return None
        if not permits.is_limited(choice.target):
            self.close()
            return self._shared.next_run()
        first = self._pending_ask is None
        run = self._pending_ask[0] if self._pending_ask else self._shared.next_run()
        self._pending_ask = run, name
        request = Request(
            run,
            self._identity,
            self.organisation,
            rank,
            self._arrived,
            end - choice.wait,
        )
        verdict = await permits.ask(choice.target, request, first)
        now = self._shared.clock.now()
        if verdict.state is BidState.QUEUED:
            self._permits_expected_at[name] = now + verdict.wait
            return None
        self._pending_ask = None
        if verdict.state is BidState.REFUSED:
            self._retry_at[name] = now + verdict.wait
            return None
        return run

    def _may_take_room(self, target: TargetLoad) -> bool:
        """Tell whether to send to a target that may have little room left.

        The other routers are told of a request later, and may each send as many by
        then.  Where there isn't room for all of them chance decides.
        """
        shared, now = self._shared, self._shared.clock.now()
        room = target.count_room(now)
        if room == math.inf:
            return True
        others = len(shared.sender.peers.list_present())
        sends = target.meter.list_since(now - self._find_untold())
        prefix = f"{shared.router}/"
        own = sum(run in target.runs and run.startswith(prefix) for run, _ in sends)
        return shared.rng.random() < (room - own * others) / (1 + others)

    def _find_untold(self) -> Millis:
        """Return the age from which on the other routers know of a request.

        In a larger fleet most of them never hear of it.
        """
        peers = self._shared.sender.peers
        if not peers.small:
            return math.inf
        return _UNTOLD + _LATE_TURNS * peers.find_lateness()

    async def _wait_for_slot(self, name: str) -> None:
        """Wait a while for a slot of a brittle target, or give the target up."""
        if self._waited_for_slot >= _MAX_SLOT_WAIT:
            self._retry_at[name] = self._shared.clock.now() + SLOT_WAIT
            return
        self._waited_for_slot += SLOT_WAIT
        await asyncio.sleep(SLOT_WAIT / SECOND)

    def save(self) -> tuple[Millis, dict[str, Millis]]:
        """Return the time waited for slots, and the refusals so far."""
        return self._waited_for_slot, dict(self._retry_at)

    def restore(self, saved: tuple[Millis, dict[str, Millis]]) -> None:
        """Forget waits and refusals since they were saved; a pending ask stays."""
        self._waited_for_slot, self._retry_at = saved

    def close(self) -> None:
        """Withdraw the pending ask of this request."""
        if self._pending_ask is not None:
            self._shared.permits.withdraw(*self._pending_ask)
            self._pending_ask = None
