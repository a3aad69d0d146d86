"""Which failure domains are drained: nothing may be sent to their targets.

Operators request a drain in the platform's store, and routers tell each other of it.
News overtake each other, and a late one must not undo a newer one.  So a view of the
drains says up to which revision of the store it is complete: a drain as old as that
revision which the view lacks has ended.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis


@dataclass(frozen=True)
class DomainDrain:
    """The drain of one failure domain.

    Parameters
    ----------
    revision
        Revision of the store at which it was requested.
    since
        When a router first knew it, by this router's clock.
    """

    domain: str
    revision: int
    since: Millis


@dataclass(frozen=True)
class DrainView:
    """What one router knows of the drains.

    Parameters
    ----------
    revision
        Revision up to which all changes are known; 0 if nothing is known.
    drains
        The drains in force.
    """

    revision: int
    drains: tuple[DomainDrain, ...] = ()


@dataclass(frozen=True)
class DrainChanges:
    """The drains that began and ended with one piece of news."""

    begun: tuple[DomainDrain, ...] = ()
    ended: tuple[DomainDrain, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.begun or self.ended)


@dataclass
class DomainDrains:
    """The drains in force, as far as this router knows.

    Parameters
    ----------
    is_followed
        Whether operators can drain failure domains.  Then nothing is sent anywhere
        before the drains are known.
    revision
        Revision of the store up to which all changes are known.

    Examples
    --------
    >>> drains = DomainDrains(is_followed=True)
    >>> drains.may_send("north")
    False
    >>> _ = drains.merge(DrainView(7, (DomainDrain("south", 5, 0.0),)))
    >>> drains.may_send("north"), drains.may_send("south")
    (True, False)
    >>> _ = drains.merge(DrainView(9))
    >>> drains.may_send("south")
    True
    """

    is_followed: bool = False
    revision: int = 0
    _drains: dict[str, DomainDrain] = field(default_factory=dict)

    @property
    def is_known(self) -> bool:
        """Return whether this router knows which failure domains are drained."""
        return not self.is_followed or self.revision > 0

    @property
    def is_clear(self) -> bool:
        """Return whether work may be sent to the targets of every failure domain."""
        return self.is_known and not self._drains

    def may_send(self, domain: str) -> bool:
        """Return whether work may be sent to the targets of a failure domain."""
        return self.is_known and domain not in self._drains

    def list_drains(self) -> tuple[DomainDrain, ...]:
        """Return the drains in force."""
        return tuple(self._drains.values())

    def get_view(self) -> DrainView:
        """Return what this router knows."""
        return DrainView(self.revision, self.list_drains())

    def begin(self, drain: DomainDrain) -> DrainChanges:
        """Apply a drain that was requested, unless newer news are known."""
        known = self._drains.get(drain.domain)
        if drain.revision <= max(self.revision, known.revision if known else 0):
            return DrainChanges()
        since = known.since if known else drain.since
        self._drains[drain.domain] = DomainDrain(drain.domain, drain.revision, since)
        return DrainChanges() if known else DrainChanges(begun=(drain,))

    def end(self, domain: str, revision: int) -> DrainChanges:
        """Apply the end of a drain that was requested at a revision or before."""
        known = self._drains.get(domain)
        if known is None or known.revision > revision:
            return DrainChanges()
        del self._drains[domain]
        return DrainChanges(ended=(known,))

    def merge(self, view: DrainView) -> DrainChanges:
        """Apply what another router knows."""
        names = {drain.domain for drain in view.drains}
        ended = self.retain(names, view.revision).ended
        begun = [one for drain in view.drains for one in self.begin(drain).begun]
        self.advance(view.revision)
        return DrainChanges(tuple(begun), ended)

    def retain(self, domains: Collection[str], revision: int) -> DrainChanges:
        """End the drains but for those that are in force at a revision."""
        ended = tuple(
            drain
            for drain in self._drains.values()
            if drain.domain not in domains and drain.revision <= revision
        )
        for drain in ended:
            del self._drains[drain.domain]
        return DrainChanges(ended=ended)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision have been applied."""
        self.revision = max(self.revision, revision)

    def is_ahead_of(self, view: DrainView) -> bool:
        """Return whether another router holds a drain that ended, or lacks one."""
        told = {drain.domain: drain for drain in view.drains}
        has_ended = any(
            drain.revision <= self.revision and domain not in self._drains
            for domain, drain in told.items()
        )
        is_lacking = any(
            drain.revision > view.revision and domain not in told
            for domain, drain in self._drains.items()
        )
        return has_ended or is_lacking or (self.revision > 0 and not view.revision)
