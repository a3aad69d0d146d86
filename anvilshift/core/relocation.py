"""Relocate work whose content has no home in use, once all routers agree.

Load pattern: several targets are lost at once.  Without relocation, harmless work whose
two homes are among them would be refused until these are back, although other targets
have room.  If each router relocated work on its own, a poison request that crashed its
homes would crash a third target.  See `preparations` for how the routers agree.

Nobody knows what a router that ended without announcing it had sent to the homes.  A
content is therefore not relocated if a router was lost since the content's homes went
out of use.
"""

import math
from collections.abc import Callable

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.pools import Pool, TargetView
from anvilshift.core.queue import Entry
from anvilshift.core.restriction import RECENT_OUTAGE, TargetRestriction
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Actions, Ask, Work

_DETECTION_WINDOW: Millis = 5 * SECOND
"""Longest time from a target's outage to its detection."""
_TICKET_BITS = 64


class Relocation:
    """Relocate this router's work, and answer the other routers' questions about it.

    Parameters
    ----------
    enter
        Admits work to the dispatcher's queues.
    """

    def __init__(
        self,
        state: DispatchState,
        backlog: Backlog,
        restriction: TargetRestriction,
        enter: Callable[[Entry, Millis], Actions],
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._restriction = restriction
        self._enter = enter

    def begin(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        """Ask the other routers to agree to a new target for work, or refuse it."""
        content = entry.work.content
        target = self._find_target(entry.work, pool, now)
        ticket = f"{self._state.rng.getrandbits(_TICKET_BITS):x}"
        if target is None or not self._state.preparations.hold(content, ticket, now):
            return [self._backlog.refuse_stuck(entry)]
        self._backlog.entries[entry.work.identity] = entry, pool
        return [Ask(content, target, ticket)]

    def relocate_waiting(self, view: TargetView, now: Millis) -> Actions:
        """Relocate work that waits for a lost target and may use no other."""
        waiting = [
            (entry, pool)
            for pool in view.pools
            for queues in (pool.short, pool.long)
            for queue in queues.list_for(view.target.name)
            for entry in queue.list_entries()
        ]
        actions: Actions = []
        for entry, pool in waiting:
            if self._restriction.has_no_usable_target(entry.work, pool, now):
                pool.find_queues(entry).remove(entry)
                del self._backlog.entries[entry.work.identity]
                actions += self.begin(entry, pool, now)
        return actions

    def _find_target(self, work: Work, pool: Pool, now: Millis) -> str | None:
        """Return the target to propose for work; None if it must not be relocated."""
        state = self._state
        if not state.settings.asks or state.is_single_router or state.partitioned:
            return None
        if state.quarantine.list_charged_targets(work.content):
            return None
        homes = self._restriction.list_allowed(work, pool, now) or ()
        if not all(self._is_unaffected_by_lost_router(name, now) for name in homes):
            return None
        ranked = pool.order(work.content)
        usable = (name for name in ranked if self._restriction.is_used(name, pool))
        return next(usable, None)

    def _is_unaffected_by_lost_router(self, home: str, now: Millis) -> bool:
        """Tell whether no lost router can have sent the work that took a home down."""
        view, lost = self._state.views.get(home), self._state.last_router_loss
        if view is None:
            return False
        if view.last_outage == -math.inf:
            # The home was never in use here, so a router that was lost before this
            # one started counts too.
            lost = max(lost, self._state.began)
        return now - lost > RECENT_OUTAGE or lost < view.last_outage - _DETECTION_WINDOW

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Hold a content back for another router's relocation.

        Returns
        -------
        bool
            False if the content may have reached another target, if it is held back
            for another relocation, or if too many contents are held back.
        """
        reached = self._state.quarantine.list_charged_targets(ask.content)
        if any(name != ask.target for name in reached):
            return False
        return self._state.preparations.hold(ask.content, ask.ticket, now)

    def apply_outcome(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Apply the outcome of a relocation that this or another router proposed.

        Waiting work of the content is queued anew, or refused if it still has no
        target.
        """
        self._state.preparations.release(ask.content, ask.ticket)
        if agreed:
            self._state.quarantine.keep(ask.content, ask.target, now)
        waiting = [
            (entry, pool)
            for entry, pool in self._backlog.entries.values()
            if entry.work.content == ask.content
        ]
        actions: Actions = []
        for entry, pool in waiting:
            pool.find_queues(entry).remove(entry)
            del self._backlog.entries[entry.work.identity]
            if self._restriction.has_no_usable_target(entry.work, pool, now):
                actions.append(self._backlog.refuse_stuck(entry))
            else:
                actions += self._enter(entry, now)
        return actions
