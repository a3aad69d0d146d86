"""Apply the targets' entries in the store to the load map."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from anvilshift.core.clock import Clock
from anvilshift.core.departurenotices import DepartureNotices
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.following import TargetEntries
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Leaving, Registered
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.shared import RouterContext
from anvilshift.objects.store import ObjectChange
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address

_MAX_UNREADABLE = 1_000
"""Most names of unreadable entries that are kept; then they are logged again."""
_MAX_LOGGED_NAME = 80
"""Characters of such a name that are logged."""


@dataclass
class TargetRegistry:
    """Keep the known targets in step with the store; announce targets that leave.

    Parameters
    ----------
    on_target_lost
        Called with the name of a target that has ended or was restarted.
    on_new_start
        Called with the name of a target that was restarted under its name.
    on_read
        Called with each target whose entry was read, before it is used.
    on_entry
        Called with what a target's entry says, once it is in force.
    """

    dialect: Dialect
    loads: LoadMap
    client: HttpClient
    peers: Peers
    clock: Clock
    journal: Journal
    on_target_lost: Callable[[str], None]
    on_new_start: Callable[[str], None] = lambda name: None
    on_read: Callable[[TargetInfo], None] = lambda info: None
    on_entry: Callable[[TargetInfo], None] = lambda info: None
    _unreadable: set[str] = field(default_factory=set)
    _notices: DepartureNotices = field(default_factory=DepartureNotices)

    def __post_init__(self) -> None:
        self.entries = TargetEntries(self.clock, self.remove)

    def connect(
        self,
        shared: RouterContext,
        add_handler: Callable[[type, Callable[[Any], None]], None],
    ) -> None:
        """Handle what is said elsewhere of targets that leave and come back."""
        shared.on_target_replaced = self.handle_replaced
        add_handler(Leaving, self.apply_leaving)
        add_handler(Registered, self.apply_registered)

    def apply_change(self, change: ObjectChange) -> None:
        """Apply a target's written or removed entry."""
        if change.body is None:
            self.entries.drop(change.name, change.version)
            return
        info = self.dialect.read_target(change.name, change.body, self.clock.now())
        if info is None:
            self._note_unreadable(change.name)
            self.loads.remove(change.name, self.clock.now())
            return
        self._unreadable.discard(change.name)
        self.entries.put(change.name, change.version)
        self.on_read(info)
        known = self.loads.targets.get(change.name)
        if known is None or info.is_other_start(known.info):
            self._record_start(info, known)
        info = self._apply_notices(info, change.version)
        self._tell_others(info, known, change.version)
        if known is None or known.info != info:
            self.loads.declare(info)
        self.on_entry(info)

    def _note_unreadable(self, name: str) -> None:
        """Log that an entry names no target to use, once until it changes."""
        if name in self._unreadable:
            return
        if len(self._unreadable) >= _MAX_UNREADABLE:
            self._unreadable.clear()
        self._unreadable.add(name)
        self.journal.write("target_unreadable", target=name[:_MAX_LOGGED_NAME])

    def _record_start(self, info: TargetInfo, known: TargetLoad | None) -> None:
        """Record a target that is new, or was restarted under its name."""
        self.journal.write(
            "target_found",
            target=info.name,
            service=info.service,
            address=info.address,
            version=info.version,
        )
        self.client.forget(Address.parse(info.address))
        if known is not None:
            self.on_target_lost(info.name)
            self.on_new_start(info.name)

    def _apply_notices(self, info: TargetInfo, version: int) -> TargetInfo:
        """Return the target as leaving if that was said of this entry or a later."""
        is_covered = self._notices.covers(info.name, version)
        return replace(info, leaving=info.leaving or is_covered)

    def _tell_others(
        self, info: TargetInfo, known: TargetLoad | None, version: int
    ) -> None:
        """Tell the other routers if an entry says that its target leaves, or doesn't.

        The store may turn them away, so that they read neither this entry nor the one
        before it.
        """
        was_leaving = known is not None and known.info.leaving and not known.farewell
        if info.leaving:
            if known is not None and not known.info.leaving:
                self.journal.write("target_leaving", target=info.name)
                self.peers.broadcast(Leaving(info.name, version))
        elif self._notices.end(info.name) or was_leaving:
            self.journal.write("target_registered", target=info.name, revision=version)
            self.peers.broadcast(Registered(info.name, version, info.born))

    def apply_leaving(self, message: Leaving) -> None:
        """Send nothing more to a target that leaves or is gone, as another router says.

        A later entry that was read here already is more recent than that.
        """
        known = self.loads.targets.get(message.target)
        if not message.revision:
            if known is not None and not known.farewell:
                self._journal_leaving(known)
                known.mark_leaving()
            return
        self._notices.add(message.target, message.revision)
        if known is not None and self._is_covered(message.target):
            self._journal_leaving(known)
            self.loads.declare(replace(known.info, leaving=True))

    def apply_registered(self, message: Registered) -> None:
        """Use a target again that is ready by an entry which another router has read.

        Only the store's entry says where another start of it is, and an entry without
        its start may be of any.
        """
        name, revision = message.target, message.revision
        known = self.loads.targets.get(name)
        is_other = known is not None and known.info.born != message.born
        if is_other or not message.born:
            return
        is_outdated = self.entries.find_version(name) >= revision
        if is_outdated or self._notices.covers(name, revision):
            return
        self._notices.end(name)
        if known is None:
            return
        self.entries.put(name, revision)
        if known.info.leaving and not known.farewell:
            self.journal.write("target_registered", target=name, told=True)
            self.loads.declare(replace(known.info, leaving=False))

    def handle_replaced(self, name: str) -> None:
        """Stop using a target whose address another target has taken over.

        The old target's entry stays in the store for some seconds.  If the routers
        went on using it, each request there would fail and take a retry from the
        budget that all requests share.
        """
        self.on_target_lost(name)
        revision = self.entries.find_version(name)
        if not revision:
            # Its entry is gone, which was announced.
            return
        leaving = Leaving(name, revision)
        self.apply_leaving(leaving)
        self.peers.broadcast(leaving)

    def remove(self, name: str) -> None:
        """Remove a target, and announce to the other routers that it is gone."""
        self.on_target_lost(name)
        self.journal.write("target_gone", target=name)
        revision = self.entries.find_version(name)
        self.peers.broadcast(Leaving(name, revision))
        self._notices.add(name, revision)
        self.loads.remove(name, self.clock.now())

    def _is_covered(self, name: str) -> bool:
        return self._notices.covers(name, self.entries.find_version(name))

    def _journal_leaving(self, known: TargetLoad) -> None:
        if not known.info.leaving:
            self.journal.write("target_leaving", target=known.info.name, told=True)
