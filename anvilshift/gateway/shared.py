"""State and services of a router that all its requests share."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from anvilshift.core.admission.servingterm import ServingTerm
from anvilshift.core.answerbuffers import AnswerBuffers
from anvilshift.core.blame import CrashBlame
from anvilshift.core.clock import Clock, Millis
from anvilshift.core.durations import DecayingMean
from anvilshift.core.errors import NOT_READY, AnvilshiftError
from anvilshift.core.retries import RetryBudget
from anvilshift.core.routing import RouteTable
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.origins import StreamOrigins
from anvilshift.gateway.partwatch import PartWatch
from anvilshift.gateway.permits import Permits
from anvilshift.gateway.reserving import Reservations
from anvilshift.gateway.sending import Sender
from anvilshift.gateway.targethealth import TargetHealth
from anvilshift.gateway.tries import Tries

_RETRY_DELAY: Millis = 150.0
"""Retry delay for callers that a stopping router refuses; they reach another router."""
STOPPING = "a planned stop"
"""Detail of the errors with which a planned stop ends requests."""
_DEFAULT_WORK = 40.0
"""Assumed milliseconds of a plain service's request until some are measured."""


async def _wait_for_nothing() -> None:
    return None


class OpenRequest(Protocol):
    """A caller's request that is being handled."""

    @property
    def is_unanswered(self) -> bool:
        """Return whether its answer hasn't begun."""

    def check_stop(self) -> None:
        """End it unless it may be answered before a planned stop ends."""


@dataclass
class RouterContext:
    """State and services of a router that all its requests share.

    Parameters
    ----------
    domain
        This router's failure domain.
    boot_clock
        A clock that goes on while the host is suspended.
    on_target_lost, on_target_replaced
        Called with the name of a target that is gone, and of one whose address
        another target has taken over.
    work
        Measured times of plain services' requests, by service.
    buffers
        The bytes of unfinished answers that this router holds.
    wait_for_share
        Waits a moment for a share of the fleet's retries if that may bring one.
    runs
        Number of attempts named so far.
    ending
        Whether a planned stop will soon cut off streams.
    term
        Until when this router serves, and how long requests run.
    open_requests
        The callers' requests that are being handled.
    """

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
    boot_clock: Clock
    health: TargetHealth
    origins: StreamOrigins
    parts: PartWatch
    tries: Tries
    table: RouteTable | None = None
    blame: CrashBlame = field(default_factory=CrashBlame)
    on_target_lost: Callable[[str], None] = lambda target: None
    on_target_replaced: Callable[[str], None] = lambda target: None
    wait_for_share: Callable[[], Awaitable[None]] = _wait_for_nothing
    work: dict[str, DecayingMean] = field(default_factory=dict)
    buffers: AnswerBuffers = field(default_factory=AnswerBuffers)
    runs: int = 0
    ending: bool = False
    term: ServingTerm = field(default_factory=ServingTerm)
    open_requests: set[OpenRequest] = field(default_factory=set)

    def check_accepting_streams(self) -> None:
        """Refuse a stream that a planned stop of this router would cut off.

        Callers with an old address answer connect until the stop.  Without the
        refusal their answers would break off in the middle.

        Raises
        ------
        AnvilshiftError
            Code of a router that is not ready: the request was not executed, and
            the caller may retry at another router.
        """
        if self.ending:
            raise self.make_stop_refusal()

    def check_finishing(self, route: str) -> None:
        """Refuse a request that runs for longer than this router still serves.

        Raises
        ------
        AnvilshiftError
            As above.
        """
        if not self.term.allows(route, 0.0, self.clock.now()):
            raise self.make_stop_refusal()

    def make_stop_refusal(self) -> AnvilshiftError:
        """Return the refusal of a request that another router may still serve."""
        return AnvilshiftError(NOT_READY, STOPPING, retry_after=_RETRY_DELAY)

    def next_run(self) -> str:
        """Return a name for an attempt that is unique among all routers."""
        self.runs += 1
        return f"{self.router}/{self.runs}"

    def find_service_time(self, service: str) -> DecayingMean:
        """Return the mean time of a plain service's requests."""
        return self.work.setdefault(service, DecayingMean(_DEFAULT_WORK))
