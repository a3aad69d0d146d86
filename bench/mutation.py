"""Inject a fault into the code, and find the check that catches it."""

import multiprocessing
from collections.abc import Callable, Iterable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol
from unittest import mock

from absl import logging

from bench.soak.journal import BrokenInvariantError

WORKERS = 4

Patch = Callable[[], AbstractContextManager[Any]]


class Mutant(Protocol):
    """A fault that is injected into the code."""

    @property
    def name(self) -> str:
        """Return what is broken."""
        ...

    @property
    def caught_by(self) -> tuple[str, ...]:
        """Return prefixes of the names of the checks that may catch it."""
        ...

    @property
    def patch(self) -> Patch:
        """Return what injects it for as long as a context lasts."""
        ...

    def list_seeds(self) -> Iterable[int]:
        """Return the seeds to try, the first one first."""
        ...

    def play(self, seed: int) -> None:
        """Play a seed; raise an error if a check fails."""
        ...


@dataclass(frozen=True)
class Row:
    """Result of a mutant: the seed and the check that caught it."""

    name: str
    seed: int
    caught: str
    expected: bool


def replace(owner: Any, name: str, new: Any) -> Patch:
    """Return a patch that puts another object in the place of an attribute."""
    return lambda: mock.patch.object(owner, name, new)


def wrap(owner: Any, name: str, make: Callable[[Any], Any]) -> Patch:
    """Return a patch that makes the new object from the one that it replaces."""
    return lambda: mock.patch.object(owner, name, make(getattr(owner, name)))


def try_mutant(mutant: Mutant) -> Row:
    """Play one seed after another until a check catches the mutant."""
    for seed in mutant.list_seeds():
        try:
            with mutant.patch():
                mutant.play(seed)
        except BrokenInvariantError as error:
            caught = str(error)
            return Row(mutant.name, seed, caught, caught.startswith(mutant.caught_by))
        except Exception as error:
            return Row(mutant.name, seed, f"{type(error).__name__}: {error}", False)
    return Row(mutant.name, 0, "nothing", False)


def silence_logs() -> None:
    """Log nothing further in this process but what ends it."""
    logging.set_verbosity(logging.FATAL)


def _try_mutant_number(
    list_mutants: Callable[[], Sequence[Mutant]], number: int
) -> Row:
    return try_mutant(list_mutants()[number])


def run(list_mutants: Callable[[], Sequence[Mutant]]) -> int:
    """Try every mutant and print one row each; return the exit code.

    Parameters
    ----------
    list_mutants
        A function of a module, which each worker process calls.
    """
    with multiprocessing.Pool(WORKERS, silence_logs) as pool:
        count = len(list_mutants())
        attempt = partial(_try_mutant_number, list_mutants)
        rows = pool.map(attempt, range(count), chunksize=1)
    for row in rows:
        verdict = "caught" if row.expected else "NOT CAUGHT AS EXPECTED"
        print(f"{row.name:42} {verdict}, seed {row.seed}: {row.caught[:90]}")
    caught = sum(row.expected for row in rows)
    print(f"{caught} of {len(rows)} mutants caught")
    return 0 if caught == len(rows) else 1
