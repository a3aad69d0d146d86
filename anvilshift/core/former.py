"""Remember the targets that were declared before, until no router has them in force.

Load pattern: a change of declarations reaches routers one after the other, later
where a router is slow or cut off.  Meanwhile the homes of a content (see `homes`)
differ between routers, and a poison would cost the old two and a new one.

So until every router is known to have a change in force, a content goes only where
it may go before the change as well as after it.  A router that has not heard of the
change keeps to the old homes, one that knows that all have heard of it to the new
ones, and those two never serve at the same time.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Target

MOST_BEHIND: Millis = 60 * SECOND
"""A router that is cut off has stopped serving by then, as its lease is over.  One
that can't read some declaration never acknowledges it: waited for without end, it
would leave no homes to any content in a release."""

Declared = Mapping[str, Target]


@dataclass(frozen=True)
class _Former:
    """Targets that were in force before a revision."""

    superseded: int
    at: Millis
    targets: Declared


class FormerTargets:
    """The targets of each change that some router may not have in force.

    Examples
    --------
    >>> former = FormerTargets()
    >>> e1, e2 = Target("e1", "north"), Target("e2", "north")
    >>> former.supersede({"e1": e1}, {"e1": e1, "e2": e2}, revision=7, now=0.0)
    >>> former.list_domains({"e1": e1, "e2": e2})
    [{'e1': 'north'}]
    >>> former.agree(7, now=1.0)
    True
    >>> former.list_domains({"e1": e1, "e2": e2})
    []
    """

    def __init__(self) -> None:
        self._former: list[_Former] = []

    def supersede(
        self, old: Declared, new: Declared, revision: int, now: Millis
    ) -> None:
        """Take in a change of the declared targets.

        Parameters
        ----------
        revision
            Revision of the declarations that brings the new ones.
        """
        if old and _read_domains(old) != _read_domains(new):
            self._former.append(_Former(revision, now, dict(old)))

    def agree(self, revision: int, now: Millis) -> bool:
        """Take in the revision that all routers have; tell if a change is over."""
        left = [
            one
            for one in self._former
            if one.superseded > revision and now - one.at <= MOST_BEHIND
        ]
        ended = len(left) < len(self._former)
        self._former = left
        return ended

    def list_domains(self, pool: Declared) -> list[dict[str, str]]:
        """Return each former set of a pool's targets with their failure domains.

        Parameters
        ----------
        pool
            The pool's targets as they are declared now.
        """
        return [
            _read_domains(_select_former(one.targets, pool)) for one in self._former
        ]


def _select_former(old: Declared, pool: Declared) -> Declared:
    """Return the targets that were in a pool before.

    Those that are gone count where they served what the pool's targets serve.
    """
    served: set[str] = set().union(*(target.serves for target in pool.values()))
    return {
        name: target
        for name, target in old.items()
        if name in pool or _may_have_served(target, served)
    }


def _may_have_served(target: Target, served: Collection[str]) -> bool:
    return not served or not target.serves or not target.serves.isdisjoint(served)


def _read_domains(targets: Declared) -> dict[str, str]:
    return {name: target.failure_domain for name, target in targets.items()}
