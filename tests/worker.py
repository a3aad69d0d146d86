"""Run tests as the runner asks for them, a unit at a time.

The runner writes one line for each unit, the list of its test ids in JSON.  The worker
answers with lines in JSON too: `started` when a test starts and `report` after the
unit.
"""

import io
import json
import os
import sys
import time
import unittest
from typing import Any, TextIO

from tests.plan import discover
from tests.times import Taken


class RecordingResult(unittest.TextTestResult):
    """A result that also knows which tests were run, and tells the runner.

    Attributes
    ----------
    answers
        Where lines to the runner go.
    seen
        Ids of the tests that started or were skipped.
    times
        What each test took, with its own fixtures.
    """

    answers: TextIO

    def __init__(self, *arguments: Any, **rest: Any) -> None:
        super().__init__(*arguments, **rest)
        self.seen: set[str] = set()
        self.times: dict[str, Taken] = {}
        self._start = read_clocks()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.seen.add(test.id())
        send(self.answers, {"started": test.id()})
        super().startTest(test)
        self._start = read_clocks()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.times[test.id()] = read_clocks() - self._start
        super().stopTest(test)

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:  # noqa: N802
        self.seen.add(test.id())
        super().addSkip(test, reason)


def send(answers: TextIO, message: dict[str, Any]) -> None:
    """Write one line to the runner."""
    answers.write(json.dumps(message) + "\n")
    answers.flush()


def read_clocks() -> Taken:
    """Return the time that has passed since some instant."""
    return Taken(time.monotonic(), time.process_time())


def make_report(result: RecordingResult, whole: Taken) -> dict[str, Any]:
    """Return what the runner needs to know of a unit's result."""
    found = [("FAIL", *item) for item in result.failures]
    found += [("ERROR", *item) for item in result.errors]
    surprising = "passed, although the test is marked as an expected failure"
    found += [
        ("UNEXPECTED SUCCESS", test, surprising) for test in result.unexpectedSuccesses
    ]
    return {
        "seen": sorted(result.seen),
        "problems": [
            {
                "kind": kind,
                "test": find_id(test),
                "title": result.getDescription(test),
                "text": text,
            }
            for kind, test, text in found
        ],
        "skipped": [[test.id(), reason] for test, reason in result.skipped],
        "is_successful": result.wasSuccessful(),
        "whole": whole,
        "times": result.times,
    }


def find_id(test: Any) -> str:
    """Return the id of a test, or of the test that a subtest belongs to."""
    return getattr(test, "test_case", test).id()


def run_unit(tests: list[unittest.TestCase], answers: TextIO) -> dict[str, Any]:
    """Run tests with their fixtures and return a report."""

    class Result(RecordingResult):
        pass

    Result.answers = answers
    runner = unittest.TextTestRunner(
        io.StringIO(), verbosity=0, buffer=True, resultclass=Result
    )
    start = read_clocks()
    result = runner.run(unittest.TestSuite(tests))
    assert isinstance(result, RecordingResult)
    return make_report(result, read_clocks() - start)


def take_channels() -> tuple[TextIO, TextIO]:
    """Return the lines from and to the runner, and hide them from the tests.

    A test, or a process that it starts, would otherwise write into the answers or
    read away a unit.
    """
    units = os.fdopen(os.dup(0), "r")
    answers = os.fdopen(os.dup(1), "w")
    nothing = os.open(os.devnull, os.O_RDONLY)
    os.dup2(nothing, 0)
    os.close(nothing)
    os.dup2(2, 1)
    return units, answers


def main(root: str) -> None:
    """Run units until the runner closes its end."""
    units, answers = take_channels()
    tests = {test.id(): test for test in discover(root)}
    for line in units:
        chosen = [tests.pop(name) for name in json.loads(line)]
        send(answers, {"report": run_unit(chosen, answers)})


if __name__ == "__main__":
    main(sys.argv[1])
