"""Grant tries of requests that may end the engine they run on.

Load pattern: requests with a suspect part arrive at many routers at once.  If each
router tried one, each would end another engine before any of them knew the outcome.

One router grants the tries of a service: one at a time for each suspect part, each at
an engine where no other try runs.  A try that isn't renewed has ended; its router may
have been killed or cut off.
"""

from dataclasses import dataclass, field

from anvilshift.core.clock import Millis

RENEWAL_INTERVAL: Millis = 150.0
"""Interval at which a router renews its tries."""
TRY_TIMEOUT: Millis = 4 * RENEWAL_INTERVAL
"""Time without a renewal after which a try has ended."""
TAKEOVER_DELAY: Millis = 300.0
"""How long a router grants no tries after it has taken over from another one, whose
tries are renewed here meanwhile."""


@dataclass(frozen=True)
class Try:
    """One request that is sent to find out about its suspect parts.

    Parameters
    ----------
    run
        Identifies the try among those of all routers.
    scope, suspects
        The suspect parts, and the service and model that read them.
    target
        Engine to which the request is sent.
    """

    run: str
    scope: str
    suspects: frozenset[str]
    target: str

    def conflicts_with(self, other: "Try") -> bool:
        """Return whether two tries may not be in progress at a time."""
        shared = self.scope == other.scope and self.suspects & other.suspects
        return bool(shared) or self.target == other.target


@dataclass
class TryTable:
    """The tries that this router has granted.

    Examples
    --------
    >>> table = TryTable()
    >>> first = Try("r1/1", "llm/m", frozenset({"bad"}), "e1")
    >>> second = Try("r2/1", "llm/m", frozenset({"bad", "rare"}), "e2")
    >>> table.ask(first, now=0.0), table.ask(second, now=10.0)
    (True, False)
    >>> table.end("r1/1")
    >>> table.ask(second, now=20.0)
    True
    """

    _tries: dict[str, tuple[Try, Millis]] = field(default_factory=dict)

    def ask(self, wanted: Try, now: Millis) -> bool:
        """Grant or renew a try; return False if another one is in its way."""
        self._expire(now)
        others = [one for run, (one, _) in self._tries.items() if run != wanted.run]
        if any(map(wanted.conflicts_with, others)):
            return False
        self._tries[wanted.run] = wanted, now
        return True

    def renew(self, running: Try, now: Millis) -> None:
        """Record that a try is in progress, whoever granted it."""
        self._tries[running.run] = running, now

    def end(self, run: str) -> None:
        """Record that a try has ended."""
        self._tries.pop(run, None)

    def end_all_of(self, router: str) -> None:
        """End the tries of a router that is lost, by the prefix of their names."""
        for run in [run for run in self._tries if run.startswith(router)]:
            del self._tries[run]

    def _expire(self, now: Millis) -> None:
        for run, (_, renewed) in list(self._tries.items()):
            if now - renewed > TRY_TIMEOUT:
                del self._tries[run]
