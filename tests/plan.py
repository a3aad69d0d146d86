"""Split the tests of the tree into units that worker processes run."""

import os
import sys
import unittest
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

WORKERS_VARIABLE = "ANVILSHIFT_TEST_WORKERS"
_WEIGHTS = {"tests.bench": 30, "tests.platform": 10, "tests.operator": 5}
"""How long a test of a package takes, as a multiple of one of any other package."""
_FLEETS = "tests.integration."
"""Tests that start a fleet of processes, which takes several cores."""
_OVERLOADS = "tests.integration.test_overload."
"""Tests that measure a fleet at its limit, which moves if other tests take cores."""
_CLASS_FIXTURES = ("setUpClass", "tearDownClass")
_MODULE_FIXTURES = ("setUpModule", "tearDownModule")


class Company(Enum):
    """Beside which other units a unit may run."""

    ANY = "any"
    NO_OTHER_FLEET = "no other fleet"
    NONE = "none"


@dataclass(frozen=True)
class Unit:
    """Tests that one worker runs one after another.

    Attributes
    ----------
    tests
        Their ids.
    weight
        How long they take, in relation to other units.
    company
        Which other units may run at the same time.
    """

    tests: tuple[str, ...]
    weight: int
    company: Company


def walk(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Iterate over the tests of a suite and of the suites in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from walk(item)
        else:
            yield item


def discover(root: str) -> list[unittest.TestCase]:
    """Return the tests below a directory, which is the top of their packages."""
    return list(walk(unittest.defaultTestLoader.discover(root, top_level_dir=root)))


def make_units(tests: Iterable[unittest.TestCase]) -> list[Unit]:
    """Return the units of some tests, those that take longest first.

    Tests that share a fixture of their class or module stay together.
    """
    groups: dict[str, list[str]] = {}
    for test in tests:
        groups.setdefault(_find_shared_fixture(test) or test.id(), []).append(test.id())
    units = [_make_unit(tuple(ids)) for ids in groups.values()]
    return sorted(units, key=lambda unit: unit.weight, reverse=True)


def _find_shared_fixture(test: unittest.TestCase) -> str:
    kind = type(test)
    module = sys.modules.get(kind.__module__)
    if any(hasattr(module, name) for name in _MODULE_FIXTURES):
        return kind.__module__
    for name in _CLASS_FIXTURES:
        own, default = getattr(kind, name, None), getattr(unittest.TestCase, name)
        if getattr(own, "__func__", own) is not default.__func__:
            return f"{kind.__module__}.{kind.__qualname__}"
    return ""


def _make_unit(tests: tuple[str, ...]) -> Unit:
    package = ".".join(tests[0].split(".")[:2])
    weight = len(tests) * _WEIGHTS.get(package, 1)
    return Unit(tests, weight, _find_company(tests[0]))


def _find_company(test: str) -> Company:
    if test.startswith(_OVERLOADS):
        return Company.NONE
    return Company.NO_OTHER_FLEET if test.startswith(_FLEETS) else Company.ANY


def count_workers(environment: Mapping[str, str], cores: int) -> int:
    """Return how many workers to start: about half of the cores, or as set.

    Many tests measure times, so some cores stay free.

    Raises
    ------
    ValueError
        If the environment variable is no positive number.
    """
    workers = int(environment.get(WORKERS_VARIABLE) or cores // 2 + 1)
    if workers < 1:
        raise ValueError(f"{WORKERS_VARIABLE}: expected 1 or more, got {workers}")
    return workers


def count_cores() -> int:
    """Return how many cores this process may use."""
    return len(os.sched_getaffinity(0))
