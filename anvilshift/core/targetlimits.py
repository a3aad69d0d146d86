"""Apply the rate limits that targets announce to waiting work.

Work is sent to a target that has announced a limit only with a permit.  For each such
target one router issues the permits for all routers.  A router requests a permit when
work waits for the target and only the permit is missing.  A permit that isn't used
at once expires.
"""

from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.pools import TargetView
from anvilshift.core.ratelimits import learn
from anvilshift.core.sending import Sender
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Actions


@dataclass(frozen=True)
class PermitNeed:
    """A request for a permit: work waits for a target and lacks only a permit.

    Parameters
    ----------
    target
        Name of the target.
    organisation
        Organisation of the work.
    rank
        Urgency of the work; a lower rank is more urgent.
    deadline
        Deadline of the work.
    """

    target: str
    organisation: str
    rank: int
    deadline: Millis


class TargetLimits:
    """The rate limits that a router's targets have announced, and their permits."""

    def __init__(self, state: DispatchState, sender: Sender) -> None:
        self._state = state
        self._sender = sender
        self._limited: set[str] = set()

    def learn(self, view: TargetView, named: float | None, at: Millis) -> None:
        """Update a target's limit from a report of the target.

        Parameters
        ----------
        named
            The limit in requests a second; None if the report announces none.
        at
            When the target made the report.
        """
        view.named = learn(view.named, named, sent=at, now=at)
        if view.named is not None:
            self._limited.add(view.target.name)
            self._state.refresh(view)

    def remove_expired(self, now: Millis) -> Actions:
        """Remove limits that no longer apply, and send the work that waited."""
        actions: Actions = []
        for name in list(self._limited):
            view = self._state.views.get(name)
            named = view.named if view else None
            if named is not None and named.find_rate(now) is not None:
                continue
            self._limited.discard(name)
            if view is not None:
                view.named = None
                self._state.refresh(view)
                actions += self._sender.fill(view, now)
        return actions

    def list_permit_needs(self) -> list[PermitNeed]:
        """Return the permits to request, at most one for each target."""
        wants = []
        for name in self._limited:
            view = self._state.views.get(name)
            if view is not None and not view.is_permitted() and view.has_slot():
                wants += self._find_want(view)
        return wants

    def _find_want(self, view: TargetView) -> list[PermitNeed]:
        found = self._sender.find_next_queue(view)
        if found is None:
            return []
        queue, pool = found
        work, name = queue.peek().work, view.target.name
        rank = -pool.priorities[name]
        return [PermitNeed(name, work.organisation, rank, work.deadline)]

    def use_permit(self, name: str, run: str, now: Millis) -> Actions:
        """Apply a granted permit to the work that is next for the target.

        Parameters
        ----------
        name
            Name of the target.
        run
            Identifies the permit across all routers.
        """
        view = self._state.views.get(name)
        if view is None:
            return []
        view.meter.add(run, now)
        view.permits = 1
        self._state.refresh(view)
        actions = self._sender.fill(view, now)
        # The work that the permit was requested for may have been sent to another
        # target in the meantime, so an unused permit expires here.
        view.permits = 0
        self._state.refresh(view)
        return actions
