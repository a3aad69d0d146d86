"""Decide which runs get a copy of their memory on another target.

Load pattern: long streams whose request may run once only break off as their target
ends.  A copy that another target holds lets such a run go on there; each copy carries
the memory of the whole prompt, and is wasted unless the target ends.

A run gets a copy only within limits that the operators set, and at targets that are
likely to end unless they want it at all.  The copy's target differs in its host, has
the same version, and has half of its memory free by what is known; another failure
domain is preferred.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.bucket import Bucket
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.ejection import HealthState
from anvilshift.core.placement.targetmemory import count_held, count_tokens
from anvilshift.core.targetload import Prompt, TargetInfo, TargetLoad

LIKELY_FOR: Millis = 30 * SECOND
"""Time for which a target that has ended is taken to be likely to end again."""
_LOOKED_AT = 8
"""Targets that are looked at for a copy."""
_FREE_PART = 0.5
"""Part of a target's memory that stays free of requests and copies: the engine drops
copies where room is short, and requests come before them."""
_BURST: Millis = 1 * SECOND
"""Time whose tokens may be copied at once, unless one run alone needs more."""


@dataclass(frozen=True)
class CopyLimits:
    """What copies of runs may cost.

    Parameters
    ----------
    run_tokens
        Most tokens of one run that are copied, its prompt and its longest answer; 0 if
        no run gets a copy.
    rate
        Tokens a second of the runs that this router has copied.
    least_answer
        Tokens of the longest answer from which a run lasts long enough for a copy.
    all_targets
        Whether runs at targets that aren't likely to end get copies as well.
    """

    run_tokens: int = 0
    rate: float = 0.0
    least_answer: int = 0
    all_targets: bool = False

    @property
    def are_used(self) -> bool:
        """Return whether any run may get a copy."""
        return self.run_tokens > 0 and self.rate > 0.0


@dataclass
class UnsteadyTargets:
    """Targets that are likely to end, by what was seen of them.

    Examples
    --------
    >>> unsteady = UnsteadyTargets()
    >>> first = TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8, born=1)
    >>> unsteady.note_entry(first, now=0.0)
    >>> unsteady.is_likely_to_end(TargetLoad(first), now=1.0)
    False
    >>> again = TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8, born=2)
    >>> unsteady.note_entry(again, now=2.0)
    >>> unsteady.is_likely_to_end(TargetLoad(again), now=3.0)
    True
    """

    _entries: dict[str, TargetInfo] = field(default_factory=dict)
    _ended: dict[str, Millis] = field(default_factory=dict)

    def note_entry(self, info: TargetInfo, now: Millis) -> None:
        """Record an entry: another start without a farewell shows an unplanned end."""
        known = self._entries.get(info.name)
        self._entries[info.name] = info
        if known is not None and info.is_other_start(known) and not known.leaving:
            self.note_end(info.name, now)

    def note_end(self, name: str, now: Millis) -> None:
        """Record that a target has ended unplanned."""
        self._ended[name] = now

    def retain(self, names: Iterable[str], now: Millis) -> None:
        """Forget old ends, and the entries of other targets than these."""
        self._ended = {n: at for n, at in self._ended.items() if now - at < LIKELY_FOR}
        kept = {*names, *self._ended}
        self._entries = {n: one for n, one in self._entries.items() if n in kept}

    def is_likely_to_end(self, target: TargetLoad, now: Millis) -> bool:
        """Return whether a target leaves, fails much, or has lately ended."""
        ended = self._ended.get(target.info.name)
        if ended is not None and now - ended < LIKELY_FOR:
            return True
        is_ending = target.info.leaving or target.ended_at is not None
        is_ejected = target.health.state is not HealthState.HEALTHY
        return is_ending or is_ejected or target.avoided_until > now


@dataclass
class RunCopies:
    """The copies of this router's runs.

    Attributes
    ----------
    begun, tokens
        Copies so far, and the tokens of their runs.
    continued
        Runs that went on from a copy.
    """

    limits: CopyLimits = field(default_factory=CopyLimits)
    unsteady: UnsteadyTargets = field(default_factory=UnsteadyTargets)
    begun: int = 0
    tokens: int = 0
    continued: int = 0
    _bucket: Bucket = field(init=False)
    _runs: dict[str, tuple[str, int]] = field(default_factory=dict)
    _held: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        burst = max(self.limits.rate * _BURST / SECOND, float(self.limits.run_tokens))
        self._bucket = Bucket(self.limits.rate, burst)

    def wants(self, prompt: Prompt, source: TargetLoad, now: Millis) -> bool:
        """Return whether a run at a target is to have a copy."""
        limits, need = self.limits, count_tokens(prompt)
        if not limits.are_used or source.version is None:
            return False
        if need > limits.run_tokens or prompt.most_answer < limits.least_answer:
            return False
        return limits.all_targets or self.unsteady.is_likely_to_end(source, now)

    def choose(
        self,
        run: str,
        prompt: Prompt,
        source: TargetLoad,
        usable: Iterable[TargetLoad],
        capacity: int,
        now: Millis,
        rng: random.Random,
    ) -> TargetLoad | None:
        """Choose the target of a run's copy; None if the run gets none.

        Parameters
        ----------
        source
            Target that runs the request.
        usable
            Targets of its service to which the request may be sent.
        capacity
            Tokens that a target has memory for.
        """
        need = count_tokens(prompt)
        fitting = [one for one in usable if self._differs(one, source, now)]
        looked_at = rng.sample(fitting, min(_LOOKED_AT, len(fitting)))
        held = [(self._count_held(one, now), one) for one in looked_at]
        room = capacity * (1.0 - _FREE_PART) - need
        spare = [(tokens, one) for tokens, one in held if tokens <= room]
        if not spare or not self._bucket.take(now, float(need)):
            return None
        domain = source.info.failure_domain
        _, copy = min(
            spare, key=lambda one: (one[1].info.failure_domain == domain, one[0])
        )
        self.end(run)
        self._runs[run] = copy.info.name, need
        self._held[copy.info.name] = self._held.get(copy.info.name, 0) + need
        self.begun += 1
        self.tokens += need
        return copy

    def end(self, run: str) -> None:
        """Record that a run has ended: its copy is given up or used."""
        name, tokens = self._runs.pop(run, ("", 0))
        if name:
            self._held[name] -= tokens
            if not self._held[name]:
                del self._held[name]

    def _differs(self, target: TargetLoad, source: TargetLoad, now: Millis) -> bool:
        """Return whether a target fits a run, and won't end with its target."""
        is_other = _find_host(target) != _find_host(source)
        is_same_version = target.version == source.version
        is_steady = not self.unsteady.is_likely_to_end(target, now)
        is_open = not target.is_cold(now) and target.find_admission_delay(now) <= 0.0
        has_slot = target.count_requests(now) < target.info.slots
        return is_other and is_same_version and is_steady and is_open and has_slot

    def _count_held(self, target: TargetLoad, now: Millis) -> float:
        return count_held(target, now) + self._held.get(target.info.name, 0)


def _find_host(target: TargetLoad) -> str:
    return target.info.address.rpartition(":")[0]


@dataclass(frozen=True)
class BrokenRun:
    """How a run broke off.

    Parameters
    ----------
    last_id
        Id of the last event that was received; None without one.
    is_lost
        Whether the connection to its target ended without an answer's end, and not by
        this router's decision.
    is_direct
        Whether no other router stood between.
    has_ended
        Whether its target accepts no connection any more.
    targets, most
        Targets that may have run the request, and how many may.
    """

    last_id: str | None
    is_lost: bool
    is_direct: bool
    has_ended: bool
    targets: int
    most: int

    def may_continue(self) -> bool:
        """Return whether the run may go on from its copy.

        A target that has ended doesn't count as one that has run the request.  Through
        another router nothing shows that the target works on the run no more.

        Examples
        --------
        >>> ended = BrokenRun("7", True, True, has_ended=True, targets=1, most=1)
        >>> reset = BrokenRun("7", True, True, has_ended=False, targets=1, most=1)
        >>> ended.may_continue(), reset.may_continue()
        (True, False)
        """
        if self.last_id is None or not self.is_lost or not self.is_direct:
            return False
        counted = self.targets - 1 if self.has_ended else self.targets
        return counted < self.most
