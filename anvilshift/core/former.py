"""Keep the previously declared targets until every router has the change in force.

Load pattern: a change of declarations reaches the routers one after the other, and
late where a router is slow or cut off.  Meanwhile the homes of a content (see `homes`)
differ between routers, and a poison request would crash the two old homes and a new
one.

Therefore, until every router is known to have a change in force, a content is sent only
to targets that are its homes both before and after the change.  A router that hasn't
received the change uses the old homes; a router that knows that all have received it
uses the new ones; and two such routers never serve at the same time.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Target

MAX_CHANGE_LAG: Millis = 60 * SECOND
"""Longest time that a change waits for its acknowledgement by all routers.  A router
that is cut off has stopped serving by then, because its lease has expired.  A router
that can't parse some declaration never acknowledges it; without this limit, waiting for
it would leave every content without homes during a release."""

TargetsByName = Mapping[str, Target]


@dataclass(frozen=True)
class _FormerSet:
    """The targets that were in force before a revision.

    Attributes
    ----------
    superseded_by
        Revision of the declarations that replaced them.
    at
        Instant of the change at this router.
    """

    superseded_by: int
    at: Millis
    targets: TargetsByName


class FormerTargets:
    """The former targets of each change that some router may not have in force.

    Examples
    --------
    >>> former = FormerTargets()
    >>> e1, e2 = Target("e1", "north"), Target("e2", "north")
    >>> former.record_change({"e1": e1}, {"e1": e1, "e2": e2}, revision=7, now=0.0)
    >>> former.list_domains({"e1": e1, "e2": e2})
    [{'e1': 'north'}]
    >>> former.confirm_revision(7, now=1.0)
    True
    >>> former.list_domains({"e1": e1, "e2": e2})
    []
    """

    def __init__(self) -> None:
        self._pending_changes: list[_FormerSet] = []

    def record_change(
        self, old: TargetsByName, new: TargetsByName, revision: int, now: Millis
    ) -> None:
        """Record a change of the declared targets or of their failure domains.

        Parameters
        ----------
        revision
            Revision of the declarations that contains the new targets.
        """
        if old and _map_domains(old) != _map_domains(new):
            self._pending_changes.append(_FormerSet(revision, now, dict(old)))

    def confirm_revision(self, revision: int, now: Millis) -> bool:
        """Record the revision that all routers have in force.

        Returns
        -------
        bool
            Whether a change was completed, by that revision or by `MAX_CHANGE_LAG`.
        """
        pending = [
            change
            for change in self._pending_changes
            if change.superseded_by > revision and now - change.at <= MAX_CHANGE_LAG
        ]
        completed = len(pending) < len(self._pending_changes)
        self._pending_changes = pending
        return completed

    def list_domains(self, pool: TargetsByName) -> list[dict[str, str]]:
        """Return each former set of a pool's targets with their failure domains.

        Parameters
        ----------
        pool
            The pool's targets as they are declared now.
        """
        return [
            _map_domains(_select_former_pool(change.targets, pool))
            for change in self._pending_changes
        ]


def _select_former_pool(old: TargetsByName, pool: TargetsByName) -> TargetsByName:
    """Return the former targets of a pool.

    A target that is no longer declared is included if it may have served what the
    pool's targets serve.
    """
    served: set[str] = set().union(*(target.serves for target in pool.values()))
    return {
        name: target
        for name, target in old.items()
        if name in pool or _may_have_served(target, served)
    }


def _may_have_served(target: Target, served: Collection[str]) -> bool:
    return not served or not target.serves or not target.serves.isdisjoint(served)


def _map_domains(targets: TargetsByName) -> dict[str, str]:
    return {name: target.failure_domain for name, target in targets.items()}
