"""Try the platform's store in turn with others while it answers nobody here."""

from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.duties.storereaders import ReaderCandidate
from anvilshift.core.duties.storetries import TryTurns, find_turns, list_returned
from anvilshift.core.errors import PLATFORM_DOWN, AnvilshiftError
from anvilshift.gateway.following import Follower
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.settings import GatewaySettings

_APPLY_TIME: Millis = 1.1 * SECOND
"""Part of the time of recovery that is left once a router's turn has come: for its call
and for what it is told."""
_SHORTEST_PERIOD: Millis = 900.0
"""Period of a router that tries for itself, which turns never shorten."""
_TRY_WAIT: Millis = 0.0
"""How long a try waits for changes: it has to tell at once that the store is back."""


@dataclass
class FailedTries:
    """The calls for one kind of object that failed since the last answer.

    Attributes
    ----------
    tried, failed
        When the last one was made, and when it had failed.
    reached
        The other routers that reached the store then, as far as was known.
    is_probed
        Whether the follower's probe failed too at that time.
    is_alone
        Whether no other router was heard since.
    has_shared
        Whether this router shared its watches when the store answered last.
    is_failing
        Whether this router's own last call failed, whatever others told since.
    """

    follower: Follower
    count: int = 0
    tried: Millis = -1e12
    failed: Millis = -1e12
    reached: set[str] = field(default_factory=set)
    is_probed: bool = False
    is_alone: bool = False
    has_shared: bool = False
    is_failing: bool = False

    def is_probe_lost(self) -> bool:
        """Tell whether the follower has a probe that fails now."""
        probe = self.follower.probe
        return probe is not None and probe.is_lost


class StoreTurns:
    """When this router may try the store, which of its domain's routers none reaches.

    Whoever is answered says so in its heartbeat, and all others go on at once.
    """

    def __init__(self, settings: GatewaySettings, peers: Peers, clock: Clock) -> None:
        self._settings = settings
        self._peers = peers
        self._clock = clock
        period = max(settings.recovery - _APPLY_TIME, _SHORTEST_PERIOD)
        self._period = period
        self._is_on = settings.spare_writes and settings.readers_per_domain > 0

    def list_others(self) -> list[ReaderCandidate]:
        """Return the other routers that are present and not leaving."""
        beats = [peer.beat for peer in self._peers.list_present()]
        return [
            ReaderCandidate(one.router, one.failure_domain, one.fresh)
            for one in beats
            if not one.leaving
        ]

    def find_turns(
        self, tries: FailedTries, others: list[ReaderCandidate]
    ) -> TryTurns | None:
        """Return this router's turns; None if it tries as often as it likes."""
        if not self._is_on:
            return None
        own = ReaderCandidate(self._settings.name, self._settings.failure_domain, False)
        return find_turns([own, *others], own, self._period, tries.has_shared)

    def note_call(self, tries: FailedTries) -> None:
        """Record whether this router shares its watches, while the store answers."""
        if not tries.follower.is_lost:
            tries.has_shared = False
            tries.has_shared = self.find_turns(tries, self.list_others()) is not None

    def note_failure(self, tries: FailedTries, began: Millis) -> None:
        """Record a call that failed."""
        tries.count = tries.count + 1 if tries.follower.is_lost else 1
        tries.tried, tries.failed = began, self._clock.now()
        others = self.list_others()
        tries.reached, tries.is_alone = list_returned(others, ()), not others
        tries.is_probed = tries.is_probe_lost()
        tries.is_failing = True

    def is_worth_reading(self, tries: FailedTries) -> bool:
        """Tell whether this router may read the store though others do.

        Once its calls fail it asks others, and tries for itself once a period.
        """
        is_waiting = tries.count > 1 and self._clock.now() < tries.tried + self._period
        return not (self._is_on and tries.is_failing and is_waiting)

    def has_cause(self, tries: FailedTries) -> bool:
        """Tell whether a call is worth its price after one that failed.

        It is in this router's turn, once another router reaches the store again or the
        follower's probe does, and when a router that heard nobody hears one.
        """
        others = self.list_others()
        turns = self.find_turns(tries, others)
        if turns is None or not tries.follower.is_lost:
            return False
        tries.reached &= list_returned(others, ())
        tries.is_alone = tries.is_alone or not others
        is_back = tries.is_alone and bool(others) and tries.follower.probe is None
        if is_back or list_returned(others, tries.reached):
            return True
        is_probed = tries.is_probe_lost()
        if tries.is_probed and not is_probed:
            return True
        return self._clock.now() >= turns.find_due(
            tries.tried, tries.failed, tries.count, is_probed
        )

    def _takes_turns(self, tries: FailedTries) -> bool:
        """Tell whether a call may have to wait for this router's turn."""
        is_probe_back = tries.follower.probe is not None and not tries.is_probe_lost()
        is_failing = tries.follower.is_lost and not is_probe_back
        return is_failing and self.find_turns(tries, self.list_others()) is not None

    def check(self, tries: FailedTries, is_reader: bool = False) -> None:
        """Make sure that a call may be made now.

        Parameters
        ----------
        is_reader
            Whether this router reads for others.  These believe it for a moment, so
            it tries once more, as a single call may fail by itself.

        Raises
        ------
        AnvilshiftError
            Code 5001 if it is another router's turn.
        """
        if not self._takes_turns(tries) or self.has_cause(tries):
            return
        is_believed = is_reader and tries.follower.probe is None and tries.reached
        if tries.count > 1 or not is_believed:
            raise AnvilshiftError(PLATFORM_DOWN, "other routers try the store now")

    def bound_wait(self, tries: FailedTries, wait: Millis) -> Millis:
        """Return how long a watch may wait: a try has to tell of the store at once."""
        return min(wait, _TRY_WAIT) if self._takes_turns(tries) else wait
