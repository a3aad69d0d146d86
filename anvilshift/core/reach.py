"""Decide which targets a content may be sent to.

Load pattern: a request crashes each target that runs it, and copies of it come
through any router at any time.  The fleet's bound of two targets holds if every
router keeps a content to the same two, whatever it knows; see `homes`.  It ends with
a whole answer, by which the content is known to do no harm.
"""

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import TARGETS
from anvilshift.core.homes import choose_homes
from anvilshift.core.pools import Pool
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Work

RECENT: Millis = 60 * SECOND
"""Longer than a crashed target is away and a caller's retries go on."""


class Reach:
    """Which targets work may be sent to by this router."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state

    def list_allowed(
        self, work: Work, pool: Pool, now: Millis
    ) -> tuple[str, ...] | None:
        """Return the only targets that work may be sent to now.

        Returns
        -------
        tuple[str, ...] or None
            None for any candidate.  Empty while the content is held back for
            another router, and while its homes change and the old ones have none
            in common with the new.
        """
        content = work.content
        if self._state.preparations.is_held(content, now):
            return ()
        reached = self._state.quarantine.list_reached(content)
        if len(reached) >= TARGETS:
            return tuple(reached)
        if not content or self._state.quarantine.is_harmless(content):
            return None
        if self._state.is_alone:
            homes = tuple(pool.order(content)[:TARGETS])
            return homes if self._went_down_recently(homes, pool, now) else None
        homes = self._find_homes(content, pool)
        return (*reached, *(n for n in homes if n not in reached))[:TARGETS]

    def list_usable(self, work: Work, pool: Pool, now: Millis) -> list[str] | None:
        """Return those allowed targets that are in use; None for any candidate."""
        names = self.list_allowed(work, pool, now)
        if names is None:
            return None
        return [name for name in names if self.is_used(name, pool)]

    def is_stuck(self, work: Work, pool: Pool, now: Millis) -> bool:
        """Tell whether no target that work may be sent to is in use now."""
        if not self.list_allowed(work, pool, now):
            return self._state.preparations.is_overdue(work.content, now)
        return not self.list_usable(work, pool, now)

    def _find_homes(self, content: str, pool: Pool) -> tuple[str, ...]:
        """Return the targets that are homes by every set that may be in force."""
        found = pool.homes.get(content)
        if found is None:
            targets = {name: self._state.views[name].target for name in pool.priorities}
            domains = {n: target.failure_domain for n, target in targets.items()}
            found = choose_homes(content, domains)
            for former in self._state.former.list_domains(targets):
                before = choose_homes(content, former) if former else ()
                found = tuple(name for name in found if name in before)
            pool.remember_homes(content, found)
        return found

    def is_used(self, name: str, pool: Pool) -> bool:
        """Tell whether a target is a candidate and in use."""
        view = self._state.views.get(name)
        return view is not None and name in pool.priorities and view.is_used

    def _went_down_recently(
        self, names: tuple[str, ...], pool: Pool, now: Millis
    ) -> bool:
        """Tell whether a content may have taken its first targets down lately.

        An only router that has just started doesn't know what another one sent
        there.  If the content did it, they are down, and no others.
        """
        views = [self._state.views[name] for name in names if name in self._state.views]
        if any(now - v.out_since > RECENT for v in views):
            return False
        if any(v.is_sound for v in views):
            return False
        declared = [self._state.views.get(name) for name in pool.priorities]
        unsound = sum(view is not None and not view.is_sound for view in declared)
        return unsound <= len(names)
