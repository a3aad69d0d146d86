"""Find targets that fail, from the failures that all routers report.

Load pattern: an engine loses four answers of ten while its health check is good.  In
a fleet of dozens of routers each sends it a request a second, sees one failure between
answers and never has the evidence to eject it, while dozens of requests fail there.

Therefore each router tells the others of the failures that it sees, and every router
judges a target by the failures of the last seconds at all of them:

* Relative to the other targets of its service: under overload, or when a service
  answers some requests with an error as a matter of course, all targets fail alike.
* Not on the word of one router or of one failure domain: it may be cut off itself.  So
  a router's report counts a little only, and the failures that are left without those
  of the failure domain that reports most must still be telling.
* By different requests: one request that fails everywhere is no evidence.
"""

import math
from collections import defaultdict, deque
from collections.abc import Collection
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_WINDOW: Millis = 2 * SECOND
"""How long a failure counts.  A service of six targets with a hundred requests a second
has thirty at each of them in this time."""
_MOST_PER_ROUTER = 2
"""Most failures of one target that count from one router."""
_LEAST = 4.0
"""Failures, beyond those of the other targets, that make a target suspect."""
_LEAST_PROBED = 2.0
"""The same for a target that was suspect and is being tried again."""
_DEVIATIONS = 4.0
"""Standard deviations of the other targets' count by which a target must exceed it;
counts of independent failures have the square root of their mean as deviation."""
_SECOND_OPINION = 1.0 / 3.0
"""Fraction of the necessary failures that other failure domains must have seen."""
_MOST_KEPT = 64
"""Reports kept of one target: as many as 32 routers may count."""


@dataclass(frozen=True)
class FailureReport:
    """One failed attempt at a target.

    Parameters
    ----------
    router, domain
        The router that sent the attempt, and its failure domain.
    content
        Identifies the request.
    answered
        Whether the target sent an answer, but an error or an unusable one.  Such
        failures are compared apart from the others, because some services answer with
        errors as a matter of course.
    """

    router: str
    domain: str
    content: str
    answered: bool


class FailureReports:
    """The recent failures at each target.

    Parameters
    ----------
    domains
        Number of failure domains with routers.

    Examples
    --------
    >>> reports = FailureReports(domains=2)
    >>> for n in range(6):
    ...     report = FailureReport(f"r{n}", f"zone-{n % 2}", f"id-{n}", False)
    ...     reports.add("e1", report, now=10.0 * n)
    >>> reports.is_suspect("e1", {"e2", "e3"}, now=60.0)
    True
    >>> reports.is_suspect("e2", {"e1", "e3"}, now=60.0)
    False
    """

    def __init__(self, domains: int = 1) -> None:
        self.domains = domains
        self._reports: dict[str, deque[tuple[Millis, FailureReport]]] = {}

    def add(self, target: str, report: FailureReport, now: Millis) -> None:
        """Record a failure; the same failure may be told more than once."""
        known = self._reports.setdefault(target, deque(maxlen=_MOST_KEPT))
        self._expire(known, now)
        contents = (one.content for _, one in known)
        if report.content not in contents:
            known.append((now, report))

    def forget(self, target: str) -> None:
        """Forget the failures of a target, which has been judged or started anew."""
        self._reports.pop(target, None)

    def list_targets(self) -> list[str]:
        """Return the targets of which failures are kept."""
        return list(self._reports)

    def retain(self, targets: Collection[str]) -> None:
        """Forget the failures of all but some targets."""
        for name in self._reports.keys() - set(targets):
            self.forget(name)

    def may_be_suspect(self, target: str, now: Millis, probed: bool = False) -> bool:
        """Tell whether a target fails often enough to be compared with others."""
        if target not in self._reports:
            return False
        return any(
            self._count(target, now, answered) >= _find_least(probed)
            for answered in (False, True)
        )

    def is_suspect(
        self, target: str, others: Collection[str], now: Millis, probed: bool = False
    ) -> bool:
        """Tell whether a target fails more than the others of its service.

        Parameters
        ----------
        others
            The other targets of its service that are in use.
        probed
            Whether it was suspect shortly before.
        """
        if not others or target not in self._reports:
            return False
        least = _find_least(probed)
        return any(
            self._is_suspect_by(target, others, now, least, answered)
            for answered in (False, True)
        )

    def _is_suspect_by(
        self,
        target: str,
        others: Collection[str],
        now: Millis,
        least: float,
        answered: bool,
    ) -> bool:
        by_domain = self._count_by_domain(target, now, answered)
        total = sum(by_domain.values())
        if total < least:
            return False
        counts = [self._count(name, now, answered) for name in others]
        typical = _find_typical(counts)
        needed = typical + _DEVIATIONS * math.sqrt(typical) + least
        if total < needed or self.domains < 2:
            return total >= needed
        return total - max(by_domain.values()) >= needed * _SECOND_OPINION

    def _count(self, target: str, now: Millis, answered: bool) -> int:
        """Return the failures of a target that count."""
        return sum(self._count_by_domain(target, now, answered).values())

    def _count_by_domain(
        self, target: str, now: Millis, answered: bool
    ) -> dict[str, int]:
        """Return the failures that count, by the failure domain of their routers."""
        known = self._reports.get(target)
        if known is None:
            return {}
        self._expire(known, now)
        by_router: dict[tuple[str, str], int] = defaultdict(int)
        for _, report in known:
            by_router[report.router, report.domain] += report.answered == answered
        by_domain: dict[str, int] = defaultdict(int)
        for (_, domain), count in by_router.items():
            by_domain[domain] += min(count, _MOST_PER_ROUTER)
        return by_domain

    def _expire(self, known: deque[tuple[Millis, FailureReport]], now: Millis) -> None:
        while known and now - known[0][0] > _WINDOW:
            known.popleft()


def _find_least(probed: bool) -> float:
    """Return the failures below which no target is suspect."""
    return _LEAST_PROBED if probed else _LEAST


def _find_typical(counts: list[int]) -> float:
    """Return the mean count of targets that don't fail more than others.

    It is estimated from the lower half of the counts, so that a service of which
    nearly half of the targets fail is judged by the others.  The lower half of
    independent counts is about a standard deviation lower than their mean.

    Examples
    --------
    >>> _find_typical([4, 20, 4, 30, 4])
    6.0
    >>> _find_typical([0, 9])
    0.0
    """
    lower = sorted(counts)[: (len(counts) + 1) // 2]
    mean = sum(lower) / len(lower)
    return mean + math.sqrt(mean)
