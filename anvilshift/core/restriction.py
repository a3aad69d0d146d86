"""Decide which targets a content may be sent to.

Load pattern: a request crashes each target that runs it, and copies of it arrive
through any router at any time.  The fleet loses at most two targets to it if every
router restricts the content to the same two, independently of that router's own state;
see `homes`.  The restriction ends with the first complete answer, which shows that the
content is harmless.
"""

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import TARGETS
from anvilshift.core.homes import choose_homes
from anvilshift.core.pools import Pool
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Work

RECENT_OUTAGE: Millis = 60 * SECOND
"""Longer than a crashed target is out of use and than a caller keeps retrying."""


class TargetRestriction:
    """Determine the targets that this router may send work to."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state

    def list_allowed(
        self, work: Work, pool: Pool, now: Millis
    ) -> tuple[str, ...] | None:
        """Return the targets that work may be sent to now.

        Returns
        -------
        tuple[str, ...] or None
            None if the work may be sent to any candidate.  Empty while the content
            is held back for another router's relocation, and during a change of the
            declared targets while the old and new homes have no target in common.
        """
        content = work.content
        if self._state.preparations.is_held(content, now):
            return ()
        reached = self._state.quarantine.list_charged_targets(content)
        if len(reached) >= TARGETS:
            return tuple(reached)
        if not content or self._state.quarantine.is_harmless(content):
            return None
        if self._state.is_single_router:
            homes = tuple(pool.order(content)[:TARGETS])
            return homes if self._went_down_recently(homes, pool, now) else None
        homes = self._find_homes(content, pool)
        return (*reached, *(n for n in homes if n not in reached))[:TARGETS]

    def list_usable(self, work: Work, pool: Pool, now: Millis) -> list[str] | None:
        """Return the allowed targets that are in use; None if all are allowed."""
        names = self.list_allowed(work, pool, now)
        if names is None:
            return None
        return [name for name in names if self.is_used(name, pool)]

    def has_no_usable_target(self, work: Work, pool: Pool, now: Millis) -> bool:
        """Tell whether no target that work may be sent to is in use now.

        Work without any allowed target counts as stuck only once the outcome of
        another router's relocation is overdue.
        """
        if not self.list_allowed(work, pool, now):
            return self._state.preparations.is_overdue(work.content, now)
        return not self.list_usable(work, pool, now)

    def _find_homes(self, content: str, pool: Pool) -> tuple[str, ...]:
        """Return the homes under every set of targets that may be in force."""
        homes = pool.homes.get(content)
        if homes is None:
            targets = {name: self._state.views[name].target for name in pool.priorities}
            domains = {n: target.failure_domain for n, target in targets.items()}
            homes = choose_homes(content, domains)
            for former in self._state.former.list_domains(targets):
                former_homes = choose_homes(content, former) if former else ()
                homes = tuple(name for name in homes if name in former_homes)
            pool.cache_homes(content, homes)
        return homes

    def is_used(self, name: str, pool: Pool) -> bool:
        """Tell whether a target is a candidate and in use."""
        view = self._state.views.get(name)
        return view is not None and name in pool.priorities and view.is_used

    def _went_down_recently(
        self, names: tuple[str, ...], pool: Pool, now: Millis
    ) -> bool:
        """Tell whether a content may have taken its first targets down recently.

        A router that runs alone and has just started doesn't know what another
        router had sent to these targets.  If the content crashed them, these
        targets are down and no others.
        """
        views = [self._state.views[name] for name in names if name in self._state.views]
        if any(now - v.last_outage > RECENT_OUTAGE for v in views):
            return False
        if any(v.is_healthy for v in views):
            return False
        declared = [self._state.views.get(name) for name in pool.priorities]
        unsound = sum(view is not None and not view.is_healthy for view in declared)
        return unsound <= len(names)
