"""What every request needs of its router."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.blame import BlameBook
from anvilshift.core.clock import Clock, Millis
from anvilshift.core.durations import Mean
from anvilshift.core.errors import NOT_READY, AnvilshiftError
from anvilshift.core.retries import RetryBudget
from anvilshift.core.routing import RouteTable
from anvilshift.gateway.attempts import Sender
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.permits import Permits
from anvilshift.gateway.reserving import Reservations

_RETURN: Millis = 150.0
"""When a caller that was refused by a stopping router may come to another one."""
_PLAIN_WORK = 40.0
"""Milliseconds of a plain request until some are measured."""


@dataclass
class Shared:
    """What every request needs of its router."""

    router: str
    clock: Clock
    rng: random.Random
    dialect: Dialect
    sender: Sender
    permits: Permits
    reservations: Reservations
    journal: Journal
    domain: str
    retries: RetryBudget
    table: RouteTable | None = None
    blame: BlameBook = field(default_factory=BlameBook)
    note_lost: Callable[[str], None] = lambda target: None
    note_replaced: Callable[[str], None] = lambda target: None
    work: dict[str, Mean] = field(default_factory=dict)
    runs: int = 0
    ending: bool = False

    def check_staying(self) -> None:
        """Refuse a stream that a planned stop of this router would cut off.

        Callers that hold an old address answer connect up to its end; what shows
        otherwise is an answer that breaks off in the middle.

        Raises
        ------
        AnvilshiftError
            Code of a router that is not ready: not run, come back elsewhere.
        """
        if self.ending:
            raise AnvilshiftError(NOT_READY, "a planned stop", retry_after=_RETURN)

    def next_run(self) -> str:
        """Return a name for an attempt, unique among all routers'."""
        self.runs += 1
        return f"{self.router}/{self.runs}"

    def mean_work(self, service: str) -> Mean:
        """Return the measured time of a plain service's requests."""
        return self.work.setdefault(service, Mean(_PLAIN_WORK))
