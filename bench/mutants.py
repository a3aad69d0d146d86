"""Mutation tests of the soak: inject a fault into the code and expect a failed check.

``make mutants`` prints one row a mutant: what was broken, whether the expected check
caught it, the seed, and the failed check.  A mutant that no expected check catches
shows that the checks are incomplete, and the command then exits non-zero.
"""

import contextlib
import dataclasses
import itertools
import multiprocessing
import pathlib
import sys
from collections.abc import Callable, Collection, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from absl import logging

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
from bench.soak.course import Course
from bench.soak.drawn import draw_course
from bench.soak.journal import BrokenInvariantError
from bench.soak.run import play_course, run_seed

SEEDS = range(1, 7)
NETWORK_SEEDS = range(15)
COURSES = pathlib.Path("tests/bench/courses")
DRAWN, DRAWN_SECONDS = "drawn", 30.0
SECONDS = 90.0
WORKERS = 4

Patch = Callable[[], AbstractContextManager[Any]]


@dataclass(frozen=True)
class Mutant:
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


@dataclass(frozen=True)
class Row:
    """Result of a mutant: the seed and the check that caught it."""

    name: str
    seed: int
    caught: str
    expected: bool


def _replace(owner: Any, name: str, new: Any) -> Patch:
    return lambda: mock.patch.object(owner, name, new)


def _wrap(owner: Any, name: str, make: Callable[[Any], Any]) -> Patch:
    return lambda: mock.patch.object(owner, name, make(getattr(owner, name)))


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
    Mutant(
        "sealing frees the allowance too",
        ("answer is billed", "lost bills stay in doubt", "bills within"),
        _replace(Grant, "seal", _seal_without_doubt),
    ),
    Mutant(
        "a sealed holder may go on",
        ("no budget overspent", "spent is", "answer is billed", "routers are ready"),
        _replace(Ledger, "is_sealed", lambda self, holder: False),
    ),
    Mutant(
        "a bill that is known is recorded again",
        ("billed exactly once", "spent is"),
        _replace(Account, "find", lambda self, bill: None),
    ),
    Mutant(
        "a request is billed by attempt",
        ("billed exactly once", "spent is", "bills are of requests"),
        _wrap(RouterBudgets, "settle", _bill_by_attempt),
    ),
    Mutant(
        "an answer ends without its bill",
        ("answer is billed",),
        _replace(RouterBudgets, "settle", _do_nothing),
    ),
    Mutant(
        "an answer ends with its bill at its router alone",
        ("answer is billed",),
        _replace(EarlyRelease, "release", _release_within_allowance),
        courses=("4001",),
    ),
    Mutant(
        "lost routers are not sealed",
        ("tokens of lost routers",),
        _ignore_lost_routers,
    ),
    Mutant(
        "a limit that an engine names is not kept to",
        ("limits are kept",),
        _replace(TargetView, "is_permitted", lambda self: True),
    ),
    Mutant(
        "work runs without a claim",
        ("order runs at most once",),
        _replace(claims.ClaimStore, "_claim", _grant_any_claim),
    ),
    Mutant(
        "any claim may be run again",
        ("order runs at most once",),
        _replace(claims, "decide", lambda found, claim: claims.Decision.RUN),
    ),
    Mutant(
        "a removed router serves on",
        ("accepted configuration",),
        _replace(Fleet, "may_serve", lambda self: True),
    ),
    Mutant(
        "a leaving engine gets work",
        ("leaving engine",),
        _replace(Dispatcher, "leaving", lambda self, target, now: []),
    ),
    Mutant(
        "a planned stop waits for nothing",
        ("planned stop",),
        _replace(Node, "drain", _drain_immediately),
    ),
    Mutant(
        "nothing is quarantined",
        ("poison",),
        _ignore_crashes,
    ),
    Mutant(
        "only blame keeps a content from engines",
        ("poison",),
        _quarantine_by_blame_only,
        courses=("41",),
    ),
    Mutant(
        "only blame keeps a content from engines, another suspect",
        ("poison",),
        _quarantine_by_blame_only,
        courses=("48",),
    ),
    Mutant(
        "a content goes on to the next engine in use",
        ("poison",),
        _replace(TargetRestriction, "list_allowed", _allow_next_in_use),
        courses=("7030",),
    ),
    Mutant(
        "the same in the first second of a cut",
        ("poison",),
        _replace(TargetRestriction, "list_allowed", _allow_next_in_use),
        courses=("8012",),
    ),
    Mutant(
        "the same where routers know different things",
        ("poison",),
        _replace(TargetRestriction, "list_allowed", _allow_next_in_use),
        courses=(DRAWN,),
    ),
    Mutant(
        "work goes to an engine before its limit is known",
        ("limits are kept",),
        _ignore_limits,
        courses=("9007",),
    ),
    Mutant(
        "work is sent again without end",
        ("repeats are bounded",),
        _replace(DispatchState, "take_retry", lambda self, pool, failure, now: True),
        rejects=True,
    ),
    Mutant(
        "a silent attempt is given up first",
        ("a silent engine loses no answer",),
        _replace(Dispatcher, "leave", _give_up_first),
        silences=True,
    ),
)


def try_mutant(mutant: Mutant) -> Row:
    """Run one seed after another until a check catches the mutant."""
    logging.set_verbosity(logging.FATAL)
    for seed in NETWORK_SEEDS if mutant.courses else SEEDS:
        try:
            with mutant.patch():
                _run(mutant, seed)
        except BrokenInvariantError as error:
            caught = str(error)
            return Row(mutant.name, seed, caught, caught.startswith(mutant.caught_by))
        except Exception as error:
            return Row(mutant.name, seed, f"{type(error).__name__}: {error}", False)
    return Row(mutant.name, 0, "nothing", False)


def _run(mutant: Mutant, seed: int) -> None:
    if not mutant.courses:
        run_seed(seed, SECONDS, mutant.rejects, mutant.silences)
    for name in mutant.courses:
        course = (
            draw_course(seed, DRAWN_SECONDS)
            if name == DRAWN
            else Course.load(COURSES / f"{name}.json")
        )
        play_course(course, seed)


def _try_mutant_number(number: int) -> Row:
    return try_mutant(MUTANTS[number])


def main() -> int:
    """Run every mutant and print one row each; return the exit code."""
    with multiprocessing.Pool(WORKERS) as pool:
        rows = pool.map(_try_mutant_number, range(len(MUTANTS)), chunksize=1)
    for row in rows:
        verdict = "caught" if row.expected else "NOT CAUGHT AS EXPECTED"
        print(f"{row.name:42} {verdict}, seed {row.seed}: {row.caught[:90]}")
    caught = sum(row.expected for row in rows)
    print(f"{caught} of {len(rows)} mutants caught")
    return 0 if caught == len(rows) else 1


if __name__ == "__main__":
    sys.exit(main())
