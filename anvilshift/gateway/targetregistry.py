"""Apply the targets' entries in the store to the load map."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import Clock
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.following import TargetEntries
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Leaving
from anvilshift.gateway.peers import Peers
from anvilshift.objects.store import ObjectChange
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address


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

    def __post_init__(self) -> None:
        self.entries = TargetEntries(self.clock, self.remove)

    def apply_change(self, change: ObjectChange) -> None:
        """Apply a target's written or removed entry."""
        if change.body is None:
            self.entries.drop(change.name)
            return
        info = self.dialect.read_target(change.name, change.body, self.clock.now())
        if info is None:
            if change.name not in self._unreadable:
                self._unreadable.add(change.name)
                self.journal.write("target_unreadable", target=change.name)
            self.loads.remove(change.name, self.clock.now())
            return
        self.entries.put(change.name, change.body)
        self.on_read(info)
        known = self.loads.targets.get(change.name)
        if known is None or info.is_other_start(known.info):
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
        elif known.info.leaving and not info.leaving:
            # Another router announced that the target leaves; its entry is older.
            info = replace(info, leaving=True)
        elif info.leaving and not known.info.leaving:
            self.journal.write("target_leaving", target=info.name)
            self.peers.broadcast(Leaving(info.name))
        if known is None or known.info != info:
            self.loads.declare(info)
        self.on_entry(info)

    def remove(self, name: str) -> None:
        """Remove a target, and announce to the other routers that it is gone."""
        self.on_target_lost(name)
        self.journal.write("target_gone", target=name)
        self.peers.broadcast(Leaving(name))
        self.loads.remove(name, self.clock.now())
