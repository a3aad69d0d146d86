"""Tables of what the tests of a run took."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

SLOWEST_TESTS = 20
_LEAST_FIXTURES_S = 0.1
_LINE = "{:>8.1f} s {:>8.1f} s  {}"


class Taken(NamedTuple):
    """Time that something took.

    Parameters
    ----------
    seconds
        Time that passed.
    processor
        Processor time of the worker alone, in seconds: without the processes that a
        test starts, which take theirs beside it.
    """

    seconds: float
    processor: float

    def __add__(self, other: "Taken") -> "Taken":  # type: ignore[override]
        return Taken(self.seconds + other.seconds, self.processor + other.processor)

    def __sub__(self, other: "Taken") -> "Taken":
        return Taken(self.seconds - other.seconds, self.processor - other.processor)


NOTHING = Taken(0.0, 0.0)


@dataclass(frozen=True)
class UnitTimes:
    """What one unit took.

    Parameters
    ----------
    name
        Id of its first test.
    whole
        What it took with the fixtures of its class or module.
    tests
        Each test's own, by its id.
    """

    name: str
    whole: Taken
    tests: dict[str, Taken]

    def list_rows(self) -> Iterator[tuple[str, Taken]]:
        """Iterate over the tests, and over the fixtures that they share if any."""
        yield from self.tests.items()
        fixtures = self.whole - sum(self.tests.values(), NOTHING)
        if fixtures.seconds >= _LEAST_FIXTURES_S:
            yield f"fixtures of {find_class(self.name)}", fixtures


def find_class(test: str) -> str:
    """Return the class of a test's id.

    Examples
    --------
    >>> find_class("tests.core.test_bills.BillTest.test_zero")
    'tests.core.test_bills.BillTest'
    """
    return test.rpartition(".")[0]


def find_folder(test: str) -> str:
    """Return the folder of a test's id, as a path from the root of the tree.

    Examples
    --------
    >>> find_folder("tests.core.test_bills.BillTest.test_zero")
    'tests/core'
    >>> find_folder("test_bills.BillTest.test_zero")
    '.'
    """
    folders = []
    for part in test.split("."):
        if part.startswith("test_"):
            break
        folders.append(part)
    return "/".join(folders) or "."


def make_table(units: Sequence[UnitTimes]) -> list[str]:
    """Return the lines on all folders and on the tests that took longest."""
    rows = [row for unit in units for row in unit.list_rows()]
    rows.sort(key=lambda row: row[1].seconds, reverse=True)
    return [
        "    time, processor time of the worker, by folder",
        *_describe_folders(units),
        f"    the same of the {SLOWEST_TESTS} slowest tests, each alone",
        *(_LINE.format(*taken, name) for name, taken in rows[:SLOWEST_TESTS]),
    ]


def _describe_folders(units: Sequence[UnitTimes]) -> list[str]:
    sums: dict[str, Taken] = defaultdict(lambda: NOTHING)
    counts: dict[str, int] = defaultdict(int)
    for unit in units:
        folder = find_folder(unit.name)
        sums[folder] += unit.whole
        counts[folder] += len(unit.tests)
    return [
        _LINE.format(*taken, f"{folder} ({counts[folder]} tests)")
        for folder, taken in sorted(
            sums.items(), key=lambda item: item[1].seconds, reverse=True
        )
    ]
