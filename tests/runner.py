"""Run every unittest of the tree, passing over just those in KNOWN-RED.txt.

Several worker processes run them, as many as `plan.count_workers` says.  Tests that
start a fleet of processes run one at a time beside others, and those that must not run
beside any follow at the end in one worker.
"""

import collections
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from tests.plan import Company, Unit, count_cores, count_workers, discover, make_units
from tests.times import Taken, UnitTimes, make_table

ROOT = pathlib.Path(__file__).resolve().parent.parent
_EXIT_TIMEOUT_S = 30.0


def read_known_red(path: pathlib.Path) -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by the test that opens each."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    kept = [line for line in lines if line and not line.startswith("#")]
    return {line.split(",", 1)[0].strip(): line for line in kept}


class WorkerLostError(Exception):
    """A worker ended, or sent what is no report, before its unit was done."""


@dataclass(frozen=True)
class Problem:
    """Why a test did not pass."""

    kind: str
    test: str
    title: str
    text: str

    def print(self) -> None:
        """Print it as unittest does."""
        parts = ["=" * 70, f"{self.kind}: {self.title}", "-" * 70, self.text]
        print("\n".join(parts), flush=True)


def read_times(unit: Unit, report: dict[str, Any]) -> UnitTimes:
    """Return what a worker's report says of the time that its unit took."""
    tests = {test: Taken(*taken) for test, taken in report["times"].items()}
    return UnitTimes(unit.tests[0], Taken(*report["whole"]), tests)


@dataclass
class Verdict:
    """What has been run so far, and what went wrong.

    Attributes
    ----------
    ended
        Units that were reported on, or lost with a worker.
    seen
        Ids of the tests that were run.
    times
        What each unit took.
    """

    ended: set[Unit] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)
    problems: list[Problem] = field(default_factory=list)
    skipped: list[tuple[str, str]] = field(default_factory=list)
    times: list[UnitTimes] = field(default_factory=list)

    def add_report(self, unit: Unit, report: dict[str, Any]) -> None:
        """Add a worker's report on a unit."""
        self.ended.add(unit)
        seen = set(report["seen"])
        self.seen |= seen
        self.skipped += [(test, reason) for test, reason in report["skipped"]]
        self.times.append(read_times(unit, report))
        problems = [Problem(**problem) for problem in report["problems"]]
        missing = set(unit.tests) - seen
        if not problems and (missing or not report["is_successful"]):
            names = sorted(missing) or unit.tests
            text = "the worker's report says nothing of it"
            problems = [Problem("NOT RUN", name, name, text) for name in names]
        self.add_problems(problems)

    def add_problems(self, problems: Iterable[Problem]) -> None:
        """Add problems and print them at once."""
        for problem in problems:
            self.problems.append(problem)
            problem.print()

    def add_loss(self, unit: Unit, error: WorkerLostError) -> None:
        """Add a unit that a worker did not report on."""
        self.ended.add(unit)
        self.add_problems(
            Problem("WORKER LOST", name, name, str(error)) for name in unit.tests
        )

    def require(self, units: Iterable[Unit]) -> None:
        """Add a problem for each test of the units that nothing was heard of."""
        silent = [unit for unit in units if unit not in self.ended]
        names = [name for unit in silent for name in unit.tests]
        self.add_problems(
            Problem("NOT RUN", name, name, "no worker ran it") for name in names
        )

    @property
    def passed(self) -> int:
        """Return how many tests were run without a problem."""
        return len(self.seen - {problem.test for problem in self.problems})

    @property
    def exit_code(self) -> int:
        """Return 0 if tests were run and none had a problem, else 1."""
        return 0 if self.seen and not self.problems else 1


class Worker:
    """A process that runs units."""

    def __init__(self, root: pathlib.Path) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.worker", str(root)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._started = "none"

    def run(self, unit: Unit) -> dict[str, Any]:
        """Return the report on a unit.

        Raises
        ------
        WorkerLostError
            If the worker ends before or sends something else.
        """
        assert self._process.stdin is not None and self._process.stdout is not None
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.write(json.dumps(unit.tests) + "\n")
            self._process.stdin.flush()
        for line in self._process.stdout:
            try:
                message = json.loads(line)
            except ValueError:
                raise WorkerLostError(f"the worker sent {line!r}") from None
            if "report" in message:
                report: dict[str, Any] = message["report"]
                return report
            self._started = message["started"]
        code = self._wait()
        raise WorkerLostError(
            f"the worker ended with {code}, the last test to start: {self._started}"
        )

    def _wait(self) -> int | None:
        try:
            return self._process.wait(_EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self._process.kill()
        self._close_pipes()
        self._process.wait()

    def close(self) -> None:
        """Let the process exit.

        Raises
        ------
        WorkerLostError
            If it doesn't in time, or exits with an error.
        """
        self._close_pipes()
        code = self._wait()
        if code is None:
            self.kill()
        if code != 0:
            raise WorkerLostError(f"the worker ended with {code} after its last test")

    def _close_pipes(self) -> None:
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                with contextlib.suppress(BrokenPipeError):
                    pipe.close()


class Pool:
    """Workers that run units until none is left."""

    def __init__(self, root: pathlib.Path, verdict: Verdict) -> None:
        self._root = root
        self._verdict = verdict
        self._units: collections.deque[Unit] = collections.deque()
        self._fleets: collections.deque[Unit] = collections.deque()
        self._has_fleet = False
        self._lock = threading.Lock()
        self._workers: set[Worker] = set()

    def run(self, units: Iterable[Unit], workers: int) -> None:
        """Run units in some workers."""
        for unit in units:
            is_fleet = unit.company is Company.NO_OTHER_FLEET
            (self._fleets if is_fleet else self._units).append(unit)
        with ThreadPoolExecutor(workers) as executor:
            drives = [executor.submit(self._drive) for _ in range(workers)]
            try:
                for drive in drives:
                    drive.result()
            finally:
                self._end()

    def _drive(self) -> None:
        worker = None
        while (unit := self._take()) is not None:
            worker = worker or self._start()
            try:
                report = worker.run(unit)
            except WorkerLostError as error:
                worker.kill()
                self._workers.discard(worker)
                worker = None
                with self._lock:
                    self._verdict.add_loss(unit, error)
            else:
                with self._lock:
                    self._verdict.add_report(unit, report)
            self._note_end(unit)
        if worker is not None:
            self._close(worker)

    def _take(self) -> Unit | None:
        with self._lock:
            if self._fleets and not self._has_fleet:
                self._has_fleet = True
                return self._fleets.popleft()
            return self._units.popleft() if self._units else None

    def _note_end(self, unit: Unit) -> None:
        print(".", end="", file=sys.stderr, flush=True)
        if unit.company is Company.NO_OTHER_FLEET:
            with self._lock:
                self._has_fleet = False

    def _start(self) -> Worker:
        worker = Worker(self._root)
        self._workers.add(worker)
        return worker

    def _close(self, worker: Worker) -> None:
        self._workers.discard(worker)
        try:
            worker.close()
        except WorkerLostError as error:
            problem = Problem("WORKER LOST", "", "at its exit", str(error))
            with self._lock:
                self._verdict.add_problems([problem])

    def _end(self) -> None:
        """End what is left when the run is interrupted."""
        self._units.clear()
        self._fleets.clear()
        for worker in list(self._workers):
            worker.kill()


def run(
    root: pathlib.Path = ROOT, choose: Callable[[str], bool] = lambda test: True
) -> int:
    """Run the tests below a directory; return the exit code.

    Parameters
    ----------
    choose
        Returns whether to run the test of an id.
    """
    red = read_known_red(root / "KNOWN-RED.txt")
    for line in red.values():
        print(f"KNOWN RED, passed over: {line}", flush=True)
    workers = count_workers(os.environ, count_cores())
    tests = [test for test in discover(str(root)) if test.id() not in red]
    units = make_units(test for test in tests if choose(test.id()))
    start = time.monotonic()
    verdict = Verdict()
    pool = Pool(root, verdict)
    pool.run([unit for unit in units if unit.company is not Company.NONE], workers)
    pool.run([unit for unit in units if unit.company is Company.NONE], 1)
    verdict.require(units)
    print_summary(verdict, time.monotonic() - start, workers)
    return verdict.exit_code


def print_summary(verdict: Verdict, seconds: float, workers: int) -> None:
    """Print what took longest, what did not pass and the counts."""
    print(*make_table(verdict.times), sep="\n")
    for test, reason in verdict.skipped:
        print(f"SKIPPED: {test}: {reason}")
    for problem in verdict.problems:
        print(f"{problem.kind}: {problem.test}")
    ran = len(verdict.seen)
    print(f"ran {ran} tests in {seconds:.1f} s in {workers} workers")
    print(f"{verdict.passed} passed, {len(verdict.problems)} failed")


if __name__ == "__main__":
    sys.exit(run(*map(pathlib.Path, sys.argv[1:2])))
