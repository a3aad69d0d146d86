"""Send work elsewhere whose content has no home in use, once all routers agree.

Load pattern: several targets are lost at once.  Innocent work whose two homes are
among them would be refused for as long as they are away, though others have room; sent
elsewhere by each router as it sees fit, a poison that took the homes down would cost
a third target.  See `preparations` for how the routers agree.

What a router that ended without a farewell sent there is known to nobody.  So a
content also stays where it is if one was lost since its homes went out of use.
"""

import math
from collections.abc import Callable

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.pools import Pool, TargetView
from anvilshift.core.queue import Entry
from anvilshift.core.reach import RECENT, Reach
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Actions, Ask, Work

_NOTICED_WITHIN: Millis = 5 * SECOND
"""A target that went down is found out of use by then."""
_TICKET_BITS = 64


class Relocation:
    """The work of this router that goes to neither of its homes.

    Parameters
    ----------
    enter
        Lets work in.
    """

    def __init__(
        self,
        state: DispatchState,
        backlog: Backlog,
        reach: Reach,
        enter: Callable[[Entry, Millis], Actions],
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._reach = reach
        self._enter = enter

    def begin(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        """Ask where work may go that has no home in use, or refuse it."""
        content = entry.work.content
        target = self._find_target(entry.work, pool, now)
        ticket = f"{self._state.rng.getrandbits(_TICKET_BITS):x}"
        if target is None or not self._state.preparations.hold(content, ticket, now):
            return [self._backlog.refuse_stuck(entry)]
        self._backlog.entries[entry.work.identity] = entry, pool
        return [Ask(content, target, ticket)]

    def move_stuck(self, view: TargetView, now: Millis) -> Actions:
        """Find another place for what waits for a target just gone, and no other."""
        waiting = [
            (entry, pool)
            for pool in view.pools
            for queues in (pool.short, pool.long)
            for queue in queues.list_for(view.target.name)
            for entry in queue.list_entries()
        ]
        actions: Actions = []
        for entry, pool in waiting:
            if self._reach.is_stuck(entry.work, pool, now):
                pool.queue_of(entry).remove(entry)
                del self._backlog.entries[entry.work.identity]
                actions += self.begin(entry, pool, now)
        return actions

    def _find_target(self, work: Work, pool: Pool, now: Millis) -> str | None:
        """Return where work could go; None if it must not go anywhere."""
        state = self._state
        if not state.settings.asks or state.is_alone or state.partitioned:
            return None
        if state.quarantine.list_reached(work.content):
            return None
        homes = self._reach.list_allowed(work, pool, now) or ()
        if not all(self._is_known_since(name, now) for name in homes):
            return None
        ranked = pool.order(work.content)
        found = (name for name in ranked if self._reach.is_used(name, pool))
        return next(found, None)

    def _is_known_since(self, home: str, now: Millis) -> bool:
        """Tell whether no router was lost that may have taken a home down."""
        view, lost = self._state.views.get(home), self._state.router_lost
        if view is None:
            return False
        if view.out_since == -math.inf:
            # It never was in use here: a router lost before this one began counts.
            lost = max(lost, self._state.began)
        return now - lost > RECENT or lost < view.out_since - _NOTICED_WITHIN

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Hold a content back for another router; False if it may not go there."""
        reached = self._state.quarantine.list_reached(ask.content)
        if any(name != ask.target for name in reached):
            return False
        return self._state.preparations.hold(ask.content, ask.ticket, now)

    def settle(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Take in the end of a question of this router's or of another's."""
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
            pool.queue_of(entry).remove(entry)
            del self._backlog.entries[entry.work.identity]
            if self._reach.is_stuck(entry.work, pool, now):
                actions.append(self._backlog.refuse_stuck(entry))
            else:
                actions += self._enter(entry, now)
        return actions
