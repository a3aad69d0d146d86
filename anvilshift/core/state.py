"""What the parts of the dispatcher share."""

import random
from dataclasses import dataclass, field

from anvilshift.core.admission import draw_retry, is_hopeless
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.durations import Mean
from anvilshift.core.errors import QUARANTINED, Code
from anvilshift.core.exposure import FORGET_AFTER
from anvilshift.core.former import FormerTargets
from anvilshift.core.pools import Pool, Pools, TargetView
from anvilshift.core.prefixes import PrefixBelief
from anvilshift.core.preparations import Preparations
from anvilshift.core.quarantine import Quarantine
from anvilshift.core.queue import Entry
from anvilshift.core.retries import RetryBudget
from anvilshift.core.timers import Timers
from anvilshift.core.work import DispatchSettings, Refuse, Work

NO_TARGET_RETRY: Millis = 1 * SECOND
"""A target that restarts or is replaced takes a second at least."""
_LONGEST_RECORDING: Millis = 1 * SECOND
"""Bills slower than this come of an outage, in which they aren't waited for."""


@dataclass(eq=False, slots=True)
class Attempt:
    """Work that a target has now.

    Parameters
    ----------
    warm
        Whether the target was believed to hold the prompt's prefix.
    first
        When its first token came.
    """

    entry: Entry
    pool: Pool
    view: TargetView
    sent: Millis
    warm: bool
    first: Millis | None = None

    @property
    def counts(self) -> bool:
        """Tell whether it says something of its target as it is now."""
        return self.sent >= self.view.health.since


@dataclass(eq=False)
class DispatchState:
    """The targets and what is known of them.

    Parameters
    ----------
    former
        Targets of changes that some router may not have in force yet.
    recording
        How long the ends of answers waited for their bills.
    routers
        Routers that share the targets, as far as this one knows.
    partitioned
        Whether some other router can't be heard.
    has_others
        Whether any other router is known, be it that it doesn't serve yet.
    began
        When the first targets were declared here.
    router_lost
        When a router was last missed that had not said that it leaves.
    """

    settings: DispatchSettings
    rng: random.Random
    views: dict[str, TargetView] = field(default_factory=dict)
    timers: Timers = field(default_factory=Timers)
    prefixes: PrefixBelief = field(default_factory=PrefixBelief)
    quarantine: Quarantine = field(default_factory=Quarantine)
    former: FormerTargets = field(default_factory=FormerTargets)
    retries: RetryBudget = field(default_factory=RetryBudget)
    recording: Mean = field(default_factory=lambda: Mean(1.0))
    preparations: Preparations = field(default_factory=Preparations)
    partitioned: bool = False
    has_others: bool = False
    began: Millis = float("inf")
    router_lost: Millis = float("-inf")

    def __post_init__(self) -> None:
        self.routers = self.settings.routers
        self.pools = Pools(self.views)

    @property
    def is_alone(self) -> bool:
        """Tell whether no other router shares the targets."""
        return self.routers == 1 and not (self.partitioned or self.has_others)

    def refresh(self, view: TargetView, draw: bool = False) -> None:
        """Bring the pools up to date after a change of a target."""
        if draw:
            view.whole = view.limit.draw_whole(self.rng)
        view.refresh()

    def due(self, work: Work) -> Millis:
        """Return when an answer must be whole for its bill to be in time.

        A bill that takes longer than the little time left turns an answer that
        was made in time into one that comes too late.
        """
        return work.deadline - min(_LONGEST_RECORDING, self.recording.high())

    def has_no_hope(self, entry: Entry, pool: Pool, now: Millis) -> bool:
        """Tell whether work sent now would end too late."""
        durations = pool.kind.durations
        if not durations.is_fresh(now):
            return False
        service = durations.safe_service(entry.work)
        return is_hopeless(self.due(entry.work), now, 0.0, service)

    def refuse_quarantined(self, work: Work) -> Refuse:
        """Return the refusal of work that crashes what runs it."""
        return Refuse(work.identity, QUARANTINED, "", FORGET_AFTER)

    def refuse(self, entry: Entry, code: Code, detail: str, excess: Millis) -> Refuse:
        """Return a refusal that says when to come back."""
        retry = draw_retry(excess, self.rng)
        return Refuse(entry.work.identity, code, detail, retry)
