"""Faults injected into the gateway, which its random courses must catch.

The soak plays the chat interface, which has no cold targets, no drains of failure
domains and no versions.
"""

import contextlib
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.health.coldtargets import SteadyView
from anvilshift.core.placement.domaindrains import (
    DomainDrains,
    DrainChanges,
    DrainView,
)
from anvilshift.core.routechanges import RouteChanges
from anvilshift.core.versionhistory import VersionHistory
from anvilshift.gateway import origins
from anvilshift.gateway.coldtargets import ColdTargets
from anvilshift.gateway.origins import Finding, StreamOrigins
from anvilshift.gateway.sending import Sender
from bench.mutation import Patch, replace
from bench.soak.journal import BrokenInvariantError
from tests.gateway import coldcourse, draincourse, origincourse
from tests.gateway.coldfleet import BOUND

SEEDS = range(1, 11)
_SHORT_WINDOW: Millis = 20 * SECOND

TOO_MANY = "a cold target gets no more than its bound"
TWO_VERSIONS, REFUSED = "two versions", "known stream refused"
SENT_LATE, MAY_SEND, HELD = "sent late", "may send late", "held at the end"


@dataclass(frozen=True)
class CourseMutant:
    """A fault injected into the gateway, and the course that must catch it.

    Parameters
    ----------
    play
        Plays the course of a seed; raises an error if a check fails.
    """

    name: str
    caught_by: tuple[str, ...]
    play: Callable[[int], None]
    patch: Patch

    def list_seeds(self) -> Iterable[int]:
        """Return the seeds of the courses."""
        return SEEDS


def play_cold(seed: int) -> None:
    """Play a course of cold targets."""
    most = coldcourse.run_amid_course(seed).count_most()
    if most > BOUND:
        raise BrokenInvariantError(f"{TOO_MANY}: {most} in a second")


def play_drains(seed: int) -> None:
    """Play a course of drained failure domains."""
    _raise_first(draincourse.play_course(seed, starts_unheard=True))


def play_versions(seed: int) -> None:
    """Play a course of versions that change beside losses of all routers."""
    _raise_first(origincourse.play_course(seed).faults)


def _raise_first(faults: list[str]) -> None:
    if faults:
        raise BrokenInvariantError(faults[0])


def _merge_without_revision(self: DomainDrains, view: DrainView) -> DrainChanges:
    known = {drain.domain for drain in self.list_drains()}
    begun = tuple(drain for drain in view.drains if drain.domain not in known)
    self._drains.update({drain.domain: drain for drain in begun})
    self.advance(view.revision)
    return DrainChanges(begun)


async def _find_without_asking(self: StreamOrigins, key: str) -> Finding:
    now = self.clock.now()
    return Finding(self.table.find(key, now), self.table.is_known(key, now))


@contextlib.contextmanager
def _vouch_for_the_past() -> Iterator[None]:
    with (
        mock.patch.object(VersionHistory, "find_covered", lambda *_: math.inf),
        mock.patch.object(RouteChanges, "has_settled", lambda *_: True),
    ):
        yield


def _do_nothing(*_: Any) -> None:
    return None


MUTANTS = (
    CourseMutant(
        "a cold target's permit isn't checked at its send",
        (TOO_MANY,),
        play_cold,
        replace(ColdTargets, "check_permit", _do_nothing),
    ),
    CourseMutant(
        "a new or lone view of the routers grants permits",
        (TOO_MANY,),
        play_cold,
        replace(SteadyView, "find_opening", lambda self, now, end: now),
    ),
    CourseMutant(
        "each group of a cut uses the whole rate",
        (TOO_MANY,),
        play_cold,
        replace(SteadyView, "find_part", lambda self, now: 1.0),
    ),
    CourseMutant(
        "a drain is asked for at the choice alone",
        (SENT_LATE,),
        play_drains,
        replace(Sender, "_check_drain", _do_nothing),
    ),
    CourseMutant(
        "views of the drains merge without revisions",
        (HELD,),
        play_drains,
        replace(DomainDrains, "merge", _merge_without_revision),
    ),
    CourseMutant(
        "a router sends before it knows the drains",
        (SENT_LATE, MAY_SEND),
        play_drains,
        replace(DomainDrains, "is_known", True),
    ),
    CourseMutant(
        "an origin is inferred while callers may be back",
        (TWO_VERSIONS,),
        play_versions,
        replace(origins, "SETTLING_TIME", _SHORT_WINDOW),
    ),
    CourseMutant(
        "a router that starts asks for no stream",
        (REFUSED,),
        play_versions,
        replace(StreamOrigins, "find", _find_without_asking),
    ),
    CourseMutant(
        "a router that starts vouches for the past",
        (TWO_VERSIONS,),
        play_versions,
        _vouch_for_the_past,
    ),
    CourseMutant(
        "a router that starts isn't told of versions",
        (TWO_VERSIONS,),
        play_versions,
        replace(VersionHistory, "list_seen", lambda self, now: ()),
    ),
)
