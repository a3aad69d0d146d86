import os
import pathlib
import subprocess
import sys
import tempfile
import textwrap
import time
import unittest
from unittest import mock

from tests.plan import WORKERS_VARIABLE, Company, Unit
from tests.runner import ROOT, Pool, Verdict, WorkerLostError
from tests.times import SLOWEST_TESTS

_UNIT_S = 0.01
_UNIT = Unit(("a.A.test_one", "a.A.test_two"), 1, Company.ANY)
_GREEN = """
    class Green(unittest.TestCase):
        def test_green(self):
            pass
"""


def make_report(seen=_UNIT.tests, problems=(), is_successful=True):
    return {
        "seen": list(seen),
        "problems": list(problems),
        "skipped": [],
        "is_successful": is_successful,
        "whole": (0.1, 0.1),
        "times": dict.fromkeys(seen, (0.05, 0.05)),
    }


def make_problem(test):
    return {"kind": "FAIL", "test": test, "title": test, "text": "1 != 2"}


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.verdict = Verdict()

    def count(self):
        return self.verdict.passed, len(self.verdict.problems), self.verdict.exit_code

    def test_nothing_run_is_no_pass(self):
        self.assertEqual(self.count(), (0, 0, 1))

    def test_green_unit_passes(self):
        self.verdict.add_report(_UNIT, make_report())
        self.assertEqual(self.count(), (2, 0, 0))

    def test_one_problem_fails_the_run(self):
        problems = [make_problem(_UNIT.tests[0])]
        self.verdict.add_report(_UNIT, make_report(problems=problems))
        self.assertEqual(self.count(), (1, 1, 1))

    def test_test_that_a_report_leaves_out_fails(self):
        """Guards against a pass of a run that lost a test on the way."""
        self.verdict.add_report(_UNIT, make_report(seen=_UNIT.tests[:1]))
        self.assertEqual(self.count(), (1, 1, 1))

    def test_unsuccessful_report_without_a_problem_fails(self):
        self.verdict.add_report(_UNIT, make_report(is_successful=False))
        self.assertEqual(self.count(), (0, 2, 1))

    def test_every_test_of_a_lost_unit_fails(self):
        self.verdict.add_loss(_UNIT, WorkerLostError("it ended"))
        self.assertEqual(self.count(), (0, 2, 1))

    def test_unit_that_no_worker_ran_fails(self):
        self.verdict.add_report(_UNIT, make_report())
        self.verdict.require([_UNIT])
        self.assertEqual(self.count(), (2, 0, 0))
        self.verdict.require([_UNIT, Unit(("b.B.test",), 1, Company.ANY)])
        self.assertEqual(self.count(), (2, 1, 1))


class StubWorker:
    """Runs units in no time and notes which run at once."""

    def __init__(self):
        self.running = set()
        self.seen_together = []

    def run(self, unit):
        self.running.add(unit)
        self.seen_together.append(frozenset(self.running))
        time.sleep(_UNIT_S)
        self.running.discard(unit)
        return make_report(unit.tests)

    def close(self):
        pass


class PoolTest(unittest.TestCase):
    def test_one_fleet_runs_at_a_time_and_every_unit_once(self):
        """Guards against fleets that starve each other's processes of cores."""
        verdict, stub = Verdict(), StubWorker()
        fleets = {Unit((f"f{n}",), 1, Company.NO_OTHER_FLEET) for n in range(9)}
        others = {Unit((f"o{n}",), 1, Company.ANY) for n in range(9)}
        pool = Pool(ROOT, verdict)
        with mock.patch("tests.runner.Worker", lambda root: stub):
            pool.run([*others, *fleets], 4)
        self.assertEqual(verdict.passed, len(fleets | others))
        self.assertEqual(len(stub.seen_together), len(fleets | others))
        self.assertEqual(max(len(seen & fleets) for seen in stub.seen_together), 1)
        self.assertEqual(max(len(seen) for seen in stub.seen_together), 4)


class RunTest(unittest.TestCase):
    """Runs the runner on small trees of tests."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)

    def write(self, name, text):
        text = "import os, sys, unittest\n" + textwrap.dedent(text)
        (self.root / f"test_{name}.py").write_text(text)

    def run_tree(self, workers=2):
        """Return the exit code and the lines that the runner printed."""
        done = subprocess.run(
            [sys.executable, "-m", "tests.runner", str(self.root)],
            cwd=ROOT,
            env={**os.environ, WORKERS_VARIABLE: str(workers)},
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout.splitlines()

    def test_green_tree_passes(self):
        for n in range(5):
            self.write(f"green{n}", _GREEN)
        code, lines = self.run_tree(workers=3)
        self.assertEqual((code, lines[-1]), (0, "5 passed, 0 failed"))

    def test_tree_without_tests_fails(self):
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "0 passed, 0 failed"))

    def test_folders_and_slowest_tests_are_printed_before_the_counts(self):
        slow = """
            import time

            class Slow(unittest.TestCase):
                @classmethod
                def setUpClass(cls):
                    time.sleep(1.6)

                def test_idle(self):
                    time.sleep(1.1)

                def test_busy(self):
                    while time.process_time() < self.start + 0.2:
                        pass

                def setUp(self):
                    self.start = time.process_time()
        """
        for n in range(SLOWEST_TESTS):
            self.write(f"green{n}", _GREEN)
        self.write("slow", slow)
        code, lines = self.run_tree()
        counts = r"ran 22 tests in \S+ s in 2 workers"
        self.assertRegex(lines[-2], counts)
        self.assertEqual((code, lines[-1]), (0, "22 passed, 0 failed"))
        table = [line.split(" s ") for line in lines[:-2]]
        (folder,) = (row for row in table if row[-1].strip() == ". (22 tests)")
        self.assertGreater(float(folder[0]), 2.8)
        rows = table[-SLOWEST_TESTS:]
        names = [name.strip() for _, _, name in rows]
        shared = "fixtures of test_slow.Slow"
        slow = "test_slow.Slow.test_"
        self.assertEqual(names[:3], [shared, f"{slow}idle", f"{slow}busy"])
        processor = [float(taken) for _, taken, _ in rows]
        self.assertLess(max(processor[:2]), 0.2)
        self.assertGreaterEqual(processor[2], 0.2)

    def test_failure_is_printed_whole(self):
        self.write("green", _GREEN)
        red = """
            class Red(unittest.TestCase):
                def test_red(self):
                    print("what the test printed")
                    self.assertEqual(1, 2, "why it failed")
        """
        self.write("red", red)
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))
        text = "\n".join(lines)
        for part in ("what the test printed", "why it failed", "Traceback"):
            self.assertIn(part, text)

    def test_failed_subtest_and_error_count(self):
        red = """
            class Red(unittest.TestCase):
                def test_red(self):
                    with self.subTest("part"):
                        self.fail("no")

                def test_error(self):
                    raise OSError
        """
        self.write("red", red)
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "0 passed, 2 failed"))

    def test_unexpected_success_fails(self):
        red = """
            class Red(unittest.TestCase):
                @unittest.expectedFailure
                def test_red(self):
                    pass
        """
        self.write("red", red)
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "0 passed, 1 failed"))

    def test_module_that_cannot_be_imported_fails(self):
        self.write("green", _GREEN)
        self.write("broken", "import a_module_that_is_not_there")
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))

    def test_failed_class_fixture_fails(self):
        red = """
            class Red(unittest.TestCase):
                @classmethod
                def setUpClass(cls):
                    raise OSError

                def test_red(self):
                    pass
        """
        self.write("green", _GREEN)
        self.write("red", red)
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))

    def test_class_fixture_is_played_once(self):
        shared = """
            class Shared(unittest.TestCase):
                @classmethod
                def setUpClass(cls):
                    with open("MARK", "a") as file:
                        file.write("played")

                def test_one(self):
                    pass

                def test_two(self):
                    pass
        """
        mark = self.root / "mark"
        self.write("shared", shared.replace("MARK", str(mark)))
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (0, "2 passed, 0 failed"))
        self.assertEqual(mark.read_text(), "played")

    def test_worker_that_dies_fails_its_test_only(self):
        """Guards against a pass when a crash takes a worker and its tests away."""
        for status in (0, 3):
            with self.subTest(status=status):
                fatal = f"""
                    class Fatal(unittest.TestCase):
                        def test_fatal(self):
                            os._exit({status})
                """
                self.write("fatal", fatal)
                self.write("green", _GREEN)
                code, lines = self.run_tree(workers=1)
                self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))
                self.assertIn("WORKER LOST: test_fatal.Fatal.test_fatal", lines)

    def test_worker_that_exits_with_an_error_fails_the_run(self):
        late = """
            import atexit

            class Late(unittest.TestCase):
                def test_late(self):
                    atexit.register(os._exit, 3)
        """
        self.write("late", late)
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))

    def test_output_past_python_is_no_answer_to_the_runner(self):
        """Guards against a child process of a test that writes to the runner."""
        loud = """
            class Loud(unittest.TestCase):
                def test_loud(self):
                    os.write(1, b'{"report": {}}\\n')
                    self.assertEqual(os.read(0, 1), b"")
        """
        self.write("loud", loud)
        code, lines = self.run_tree()
        self.assertEqual((code, lines[-1]), (0, "1 passed, 0 failed"))

    def test_known_red_tests_are_passed_over_and_printed_first(self):
        red = """
            class Red(unittest.TestCase):
                def test_red(self):
                    self.fail()

                def test_red_too(self):
                    self.fail()
        """
        self.write("green", _GREEN)
        self.write("red", red)
        entry = "test_red.Red.test_red, the test itself: fails, issue 1"
        (self.root / "KNOWN-RED.txt").write_text(f"# a heading\n{entry}\n")
        code, lines = self.run_tree()
        self.assertEqual(lines[0], f"KNOWN RED, passed over: {entry}")
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))
        self.assertIn("FAIL: test_red.Red.test_red_too", lines)
