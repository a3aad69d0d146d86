"""Mutation tests of the soak and of the gateway's courses: expect a failed check.

``make mutants`` prints one row a mutant: what was broken, whether the expected check
caught it, the seed, and the failed check.  A mutant that no expected check catches
shows that the checks are incomplete, and the command then exits non-zero.
"""

import contextlib
import dataclasses
import itertools
import pathlib
import sys
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from anvilshift.core.account import Account, Grant
from anvilshift.core.clock import Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.escrow import Escrow
from anvilshift.core.exposure import TARGETS, Exposure
from anvilshift.core.ledger import Ledger
from anvilshift.core.pools import Pool, TargetView
from anvilshift.core.quarantine import Quarantine
from anvilshift.core.restriction import TargetRestriction
from anvilshift.core.state import DispatchState
from anvilshift.core.work import Actions, Cancel, Work
from anvilshift.router import claims
from anvilshift.router.budgets import RouterBudgets
from anvilshift.router.earlyrelease import EarlyRelease
from anvilshift.router.fleet import Fleet
from anvilshift.router.node import Node
from bench import gatewaymutants, mutation
from bench.mutation import Patch, replace, wrap
from bench.soak.course import Course
from bench.soak.drawn import draw_course
from bench.soak.run import play_course, run_seed

SEEDS = range(1, 7)
NETWORK_SEEDS = range(15)
COURSES = pathlib.Path("tests/bench/courses")
DRAWN, DRAWN_SECONDS = "drawn", 30.0
SECONDS = 90.0


@dataclass(frozen=True)
class SoakMutant:
    """A fault injected into the code and the checks that must catch it.

    Parameters
    ----------
    caught_by
        Prefixes of the names of the checks that may catch it.
    courses
        Names of the recorded courses to play; `drawn` generates one from the seed.
        Without courses, seeded runs are made.
    rejects
        Whether engines reject most requests at times in the seeded runs.
    silences
        Whether engines fall silent at times in the seeded runs.
    """

    name: str
    caught_by: tuple[str, ...]
    patch: Patch
    courses: tuple[str, ...] = ()
    rejects: bool = False
    silences: bool = False

    def list_seeds(self) -> Iterable[int]:
        """Return the seeds of the network, or of whole runs."""
        return NETWORK_SEEDS if self.courses else SEEDS

    def play(self, seed: int) -> None:
        """Play the courses of the soak, or make one run of it."""
        if not self.courses:
            run_seed(seed, SECONDS, rejects=self.rejects, silences=self.silences)
        for name in self.courses:
            course = (
                draw_course(seed, DRAWN_SECONDS)
                if name == DRAWN
                else Course.load(COURSES / f"{name}.json")
            )
            play_course(course, seed)


def _seal_without_doubt(grant: Grant) -> Grant:
    return dataclasses.replace(grant, sealed=True, doubt=0)


_ATTEMPT_NUMBERS = itertools.count()


def _bill_by_attempt(settle: Any) -> Any:
    async def settle_attempt(
        self: RouterBudgets, account: str, key: str, *rest: Any, **named: Any
    ) -> None:
        attempt = f"{key}-{next(_ATTEMPT_NUMBERS)}"
        self.release(account, key)
        await self.reserve(account, attempt, rest[1], metered=True)
        await settle(self, account, attempt, *rest, **named)

    return settle_attempt


async def _drain_immediately(self: Node, abandoned: Any) -> int:
    return self.callers.in_flight


async def _do_nothing(self: Any, *_: Any, **__: Any) -> None:
    return None


async def _grant_any_claim(self: Any, identity: str, claim: claims.Claim) -> Any:
    return claim


async def _release_within_allowance(
    self: EarlyRelease, holder_accounts: Escrow, account: str, key: str
) -> bool:
    return holder_accounts.release_early(account, key)


@contextlib.contextmanager
def _ignore_lost_routers() -> Iterator[None]:
    with (
        mock.patch.object(RouterBudgets, "seal", _do_nothing),
        mock.patch.object(RouterBudgets, "seal_lost", _do_nothing),
    ):
        yield


@contextlib.contextmanager
def _ignore_crashes() -> Iterator[None]:
    with (
        _quarantine_by_blame_only(),
        mock.patch.object(Quarantine, "is_quarantined", lambda *_: False),
    ):
        yield


@contextlib.contextmanager
def _ignore_limits() -> Iterator[None]:
    # While each content is restricted to two engines, too few requests wait for one
    # engine to exceed its limit, so that restriction is removed as well.
    with (
        mock.patch.object(TargetRestriction, "list_allowed", lambda *_: None),
        mock.patch.object(Dispatcher, "update_rate_limit", lambda *_: None),
    ):
        yield


@contextlib.contextmanager
def _quarantine_by_blame_only() -> Iterator[None]:
    with (
        mock.patch.object(TargetRestriction, "list_allowed", lambda *_: None),
        mock.patch.object(Exposure, "list_charged_targets", lambda *_: []),
        mock.patch.object(Exposure, "list_only_targets", lambda *_: []),
    ):
        yield


def _allow_next_in_use(
    self: TargetRestriction, work: Work, pool: Pool, now: Millis
) -> Any:
    """Allow any target first, then the targets reached and the next one in use."""
    reached = self._state.quarantine.list_charged_targets(work.content)
    if len(reached) >= TARGETS:
        return tuple(reached)
    if not reached:
        return None
    others = (name for name in pool.order(work.content) if name not in reached)
    used = [name for name in others if self.is_used(name, pool)]
    return (*reached, *used[:1])


def _give_up_first(
    self: Dispatcher,
    identity: str,
    silent: Collection[str],
    now: Millis,
    received: int = 0,
) -> Actions:
    """Cancel an attempt before it is known where its work goes on."""
    attempt = self._sender.running.get(identity)
    if attempt is None:
        return []
    entry = attempt.entry
    pool = self._state.pools.find(entry.work.candidates)
    if pool is None:
        return []
    self._sender.stop(entry.work.identity, now)
    self._state.refresh(attempt.view)
    cancel = Cancel(entry.work.identity, attempt.view.target.name, entry.attempts)
    waiting = self._backlog.wait(entry, pool, now)
    return [cancel, *waiting, *self._sender.offer(entry, pool, now)]


MUTANTS = (
    SoakMutant(
        "sealing frees the allowance too",
        ("answer is billed", "lost bills stay in doubt", "bills within"),
        replace(Grant, "seal", _seal_without_doubt),
    ),
    SoakMutant(
        "a sealed holder may go on",
        ("no budget overspent", "spent is", "answer is billed", "routers are ready"),
        replace(Ledger, "is_sealed", lambda self, holder: False),
    ),
    SoakMutant(
        "a bill that is known is recorded again",
        ("billed exactly once", "spent is"),
        replace(Account, "find", lambda self, bill: None),
    ),
    SoakMutant(
        "a request is billed by attempt",
        ("billed exactly once", "spent is", "bills are of requests"),
        wrap(RouterBudgets, "settle", _bill_by_attempt),
    ),
    SoakMutant(
        "an answer ends without its bill",
        ("answer is billed",),
        replace(RouterBudgets, "settle", _do_nothing),
    ),
    SoakMutant(
        "an answer ends with its bill at its router alone",
        ("answer is billed",),
        replace(EarlyRelease, "release", _release_within_allowance),
        courses=("4001",),
    ),
    SoakMutant(
        "lost routers are not sealed",
        ("tokens of lost routers",),
        _ignore_lost_routers,
    ),
    SoakMutant(
        "a limit that an engine names is not kept to",
        ("limits are kept",),
        replace(TargetView, "is_permitted", lambda self: True),
    ),
    SoakMutant(
        "work runs without a claim",
        ("order runs at most once",),
        replace(claims.ClaimStore, "_claim", _grant_any_claim),
    ),
    SoakMutant(
        "any claim may be run again",
        ("order runs at most once",),
        replace(claims, "decide", lambda found, claim: claims.Decision.RUN),
    ),
    SoakMutant(
        "a removed router serves on",
        ("accepted configuration",),
        replace(Fleet, "may_serve", lambda self: True),
    ),
    SoakMutant(
        "a leaving engine gets work",
        ("leaving engine",),
        replace(Dispatcher, "leaving", lambda self, target, now: []),
    ),
    SoakMutant(
        "a planned stop waits for nothing",
        ("planned stop",),
        replace(Node, "drain", _drain_immediately),
    ),
    SoakMutant(
        "nothing is quarantined",
        ("poison",),
        _ignore_crashes,
    ),
    SoakMutant(
        "only blame keeps a content from engines",
        ("poison",),
        _quarantine_by_blame_only,
        courses=("41",),
    ),
    SoakMutant(
        "only blame keeps a content from engines, another suspect",
        ("poison",),
        _quarantine_by_blame_only,
        courses=("48",),
    ),
    SoakMutant(
        "a content goes on to the next engine in use",
        ("poison",),
        replace(TargetRestriction, "list_allowed", _allow_next_in_use),
        courses=("7030",),
    ),
    SoakMutant(
        "the same in the first second of a cut",
        ("poison",),
        replace(TargetRestriction, "list_allowed", _allow_next_in_use),
        courses=("8012",),
    ),
    SoakMutant(
        "the same where routers know different things",
        ("poison",),
        replace(TargetRestriction, "list_allowed", _allow_next_in_use),
        courses=(DRAWN,),
    ),
    SoakMutant(
        "work goes to an engine before its limit is known",
        ("limits are kept",),
        _ignore_limits,
        courses=("9007",),
    ),
    SoakMutant(
        "work is sent again without end",
        ("repeats are bounded",),
        replace(DispatchState, "take_retry", lambda self, pool, failure, now: True),
        rejects=True,
    ),
    SoakMutant(
        "a silent attempt is given up first",
        ("a silent engine loses no answer",),
        replace(Dispatcher, "leave", _give_up_first),
        silences=True,
    ),
)


def list_mutants() -> tuple[mutation.Mutant, ...]:
    """Return the mutants of the chat interface and of the gateway."""
    return MUTANTS + gatewaymutants.MUTANTS


if __name__ == "__main__":
    sys.exit(mutation.run(list_mutants))
