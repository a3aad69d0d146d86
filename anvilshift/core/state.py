"""State that is shared by the components of the dispatcher."""

import random
from dataclasses import dataclass, field

from anvilshift.core.admission.deadlines import draw_retry_delay, misses_deadline
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.decayingmean import DecayingMean
from anvilshift.core.errors import QUARANTINED, Code
from anvilshift.core.exposure import CHARGE_LIFETIME
from anvilshift.core.failures import Failure
from anvilshift.core.former import FormerTargets
from anvilshift.core.pools import Pool, Pools, TargetView
from anvilshift.core.prefixes import PrefixIndex
from anvilshift.core.preparations import Preparations
from anvilshift.core.quarantine import Quarantine
from anvilshift.core.queue import Entry
from anvilshift.core.timers import Timers
from anvilshift.core.work import DispatchSettings, Refuse, Work

NO_TARGET_RETRY: Millis = 1 * SECOND
"""Retry delay for callers while no target is in use.  A target that restarts or is
replaced needs at least a second."""
_RETRY_ALLOWANCE = 30.0
"""Retries in a window beyond those that requests earn, at each router and for each kind
of target.  When three engines of eight slots that are shared by four routers fail, a
router has 6 requests in flight there; five times that also covers a fleet of one."""
_MAX_RECORDING: Millis = 1 * SECOND
"""Most time that is reserved for recording a bill.  Recording takes longer only during
an outage, in which answers don't wait for their bills."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to run work at a target, while it is under way.

    Parameters
    ----------
    warm
        Whether the target was expected to have the prompt's prefix in its cache.
    first
        Instant of the first token; None before it arrives.
    """

    entry: Entry
    pool: Pool
    view: TargetView
    sent: Millis
    warm: bool
    first: Millis | None = None

    @property
    def counts(self) -> bool:
        """Tell whether the attempt counts for its target's health.

        It doesn't if it was sent before the last probe of the target began.
        """
        return self.sent >= self.view.health.since


@dataclass(eq=False)
class DispatchState:
    """The targets, their recorded state, and what is known of other routers.

    Parameters
    ----------
    former
        Former targets of changes that some router may not have in force yet.
    recording
        Mean time for which completed answers waited for their bills to be recorded.
    routers
        Number of routers known to share the targets, including this one.
    partitioned
        Whether heartbeats of some other router are missing.
    has_others
        Whether any other router is known, including one that doesn't serve yet.
    began
        Instant at which targets were first declared to this router.
    last_router_loss
        Instant at which a router was last found lost without having announced that
        it leaves.
    """

    settings: DispatchSettings
    rng: random.Random
    views: dict[str, TargetView] = field(default_factory=dict)
    timers: Timers = field(default_factory=Timers)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    quarantine: Quarantine = field(default_factory=Quarantine)
    former: FormerTargets = field(default_factory=FormerTargets)
    recording: DecayingMean = field(default_factory=lambda: DecayingMean(1.0))
    preparations: Preparations = field(default_factory=Preparations)
    partitioned: bool = False
    has_others: bool = False
    began: Millis = float("inf")
    last_router_loss: Millis = float("-inf")

    def __post_init__(self) -> None:
        self.routers = self.settings.routers
        self.pools = Pools(self.views)

    @property
    def is_single_router(self) -> bool:
        """Tell whether no other router shares the targets."""
        return self.routers == 1 and not (self.partitioned or self.has_others)

    def refresh(self, view: TargetView, draw: bool = False) -> None:
        """Update the pools after a change of a target.

        Parameters
        ----------
        draw
            Whether to round the target's limit to a whole number anew, at random.
        """
        if draw:
            view.whole = view.limit.round_randomly(self.rng)
        view.refresh()

    def due(self, work: Work) -> Millis:
        """Return the instant by which an answer must be complete.

        It leaves time before the deadline to record the bill; otherwise an answer
        that was complete in time could reach its caller too late.
        """
        return work.deadline - min(_MAX_RECORDING, self.recording.high())

    def take_retry(self, pool: Pool, failure: Failure, now: Millis) -> bool:
        """Return whether work may be sent again after a failure, and count that.

        What was not sent puts no load on a target and isn't counted.
        """
        if failure is Failure.NOT_SENT:
            return True
        retry = pool.kind.retries.take(_RETRY_ALLOWANCE, now)
        if retry is not None:
            retry.settle(now)
        return retry is not None

    def would_miss_deadline(self, entry: Entry, pool: Pool, now: Millis) -> bool:
        """Tell whether work sent now is expected to miss its deadline."""
        durations = pool.kind.durations
        if not durations.is_fresh(now):
            return False
        service = durations.service_upper_bound(entry.work, entry.received)
        return misses_deadline(self.due(entry.work), now, 0.0, service)

    def refuse_quarantined(self, work: Work) -> Refuse:
        """Return the refusal of work that is quarantined for crashing targets."""
        return Refuse(work.identity, QUARANTINED, "", CHARGE_LIFETIME)

    def refuse(self, entry: Entry, code: Code, detail: str, excess: Millis) -> Refuse:
        """Return a refusal with a randomised retry delay.

        Parameters
        ----------
        excess
            Milliseconds by which the wait must shorten for the work to be accepted.
        """
        retry = draw_retry_delay(excess, self.rng)
        return Refuse(entry.work.identity, code, detail, retry)
