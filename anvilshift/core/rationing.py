"""Keep waiting work to the limits that targets name.

Work goes to a target that has named a limit only with a permit, which some router
issues for all.  Where work waits for such a target and nothing but a permit is
missing, one is wanted; it is used at once or lapses.
"""

from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.pools import TargetView
from anvilshift.core.ratelimits import learn
from anvilshift.core.sending import Sender
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Actions


@dataclass(frozen=True)
class Want:
    """Work waits for a target, and only a permit is missing.

    Parameters
    ----------
    rank
        How urgent the work is; less is more urgent.
    """

    target: str
    organisation: str
    rank: int
    deadline: Millis


class Rationing:
    """The limits of a router's targets."""

    def __init__(self, state: DispatchState, sender: Sender) -> None:
        self._state = state
        self._sender = sender
        self._limited: set[str] = set()

    def learn(self, view: TargetView, named: float | None, at: Millis) -> None:
        """Take in what a target said of its limit.

        Parameters
        ----------
        at
            When it said so.
        """
        view.named = learn(view.named, named, sent=at, now=at)
        if view.named is not None:
            self._limited.add(view.target.name)
            self._state.refresh(view)

    def end_over(self, now: Millis) -> Actions:
        """Forget limits that are over, and send what waited for them."""
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

    def list_wants(self) -> list[Want]:
        """Return the targets for which a permit is wanted."""
        wants = []
        for name in self._limited:
            view = self._state.views.get(name)
            if view is not None and not view.is_permitted() and view.has_slot():
                wants += self._make_want(view)
        return wants

    def _make_want(self, view: TargetView) -> list[Want]:
        found = self._sender.next_for(view)
        if found is None:
            return []
        queue, pool = found
        work, name = queue.peek().work, view.target.name
        rank = -pool.priorities[name]
        return [Want(name, work.organisation, rank, work.deadline)]

    def permit(self, name: str, run: str, now: Millis) -> Actions:
        """Take in a permit; the work that goes first uses it.

        Parameters
        ----------
        run
            Names the permit among all routers'.
        """
        view = self._state.views.get(name)
        if view is None:
            return []
        view.meter.add(run, now)
        view.permits = 1
        self._state.refresh(view)
        actions = self._sender.fill(view, now)
        # What it suits may have gone elsewhere meanwhile.
        view.permits = 0
        self._state.refresh(view)
        return actions
