"""The requests that run on this router's connections to targets, by target."""

from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.pauses import TargetActivity
from anvilshift.wire.connection import Connection

_SILENT_AFTER: Millis = 300.0
"""Time without a byte from a target whose answer is due, after which other targets are
preferred."""


@dataclass(eq=False)
class Exchange:
    """A request that is running on a connection.

    Parameters
    ----------
    due
        When the target is expected to have begun its answer.
    on_doubt
        Called when nothing may come on the connection any more.
    """

    connection: Connection
    due: Millis
    is_engine: bool
    on_doubt: Callable[[], None]


@dataclass
class RunningExchanges:
    """The running exchanges, and when each target sent anything."""

    _running: dict[str, set[Exchange]] = field(default_factory=dict)
    _activities: dict[str, TargetActivity] = field(default_factory=dict)

    def __iter__(self) -> Iterator[Exchange]:
        """Iterate over all running exchanges."""
        return (one for running in self._running.values() for one in running)

    def add(self, name: str, exchange: Exchange) -> None:
        """Record that an exchange with a target begins."""
        self._running.setdefault(name, set()).add(exchange)

    def remove(self, name: str, exchange: Exchange) -> None:
        """Record that an exchange with a target has ended."""
        self.find_activity(name)
        running = self._running[name]
        running.discard(exchange)
        if not running:
            del self._running[name]

    def list_direct(self, name: str) -> list[Exchange]:
        """Return the exchanges with a target on connections of this router."""
        running = self._running.get(name, ())
        return [one for one in running if not one.connection.via]

    def list_targets(self) -> list[str]:
        """Return the targets with running exchanges."""
        return list(self._running)

    def find_activity(self, name: str) -> TargetActivity:
        """Return when a target sent this router anything."""
        activity = self._activities.setdefault(name, TargetActivity())
        running = self._running.get(name)
        if running:
            activity.record(max(one.connection.received for one in running))
        return activity

    def list_silent(self, now: Millis) -> list[str]:
        """Return the targets that owe an answer and send nothing at all."""
        return [
            name
            for name, running in self._running.items()
            if now - self._find_owed(name, running) >= _SILENT_AFTER
        ]

    def _find_owed(self, name: str, running: set[Exchange]) -> Millis:
        """Return since when a target owes the next bytes of some answer."""
        due = min(one.due for one in running)
        return max(due, self.find_activity(name).heard)

    def retain(self, names: Container[str]) -> None:
        """Forget what targets sent that are gone."""
        for name in [name for name in self._activities if name not in names]:
            del self._activities[name]
