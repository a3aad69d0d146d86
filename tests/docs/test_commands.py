import contextlib
import doctest
import inspect
import os
import pathlib
import re
import shlex
import shutil
import signal
import subprocess
import tempfile
import unittest

from anvilshift.operator.main import Commands
from bench.ports import take_free_port
from tests.docs.pages import ROOT, list_pages, read_commands

_ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
_MARK = "@@@"


class Ports:
    """Give each port that a page names a free one of its own."""

    def __init__(self) -> None:
        self._taken: dict[str, int] = {}

    def replace(self, text: str) -> str:
        return _ADDRESS.sub(lambda found: self._find(found[1]), text)

    def _find(self, port: str) -> str:
        free = self._taken.setdefault(port, take_free_port())
        return f"127.0.0.1:{free}"


def run_script(script: str, directory: pathlib.Path) -> list[str]:
    path = f"{ROOT / '.venv' / 'bin'}:{os.environ['PATH']}"
    process = subprocess.Popen(
        ["bash", "-c", script],
        cwd=directory,
        env={**os.environ, "PATH": path, "PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=60)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
    return output.split(f"{_MARK}\n")[1:]


class TestReadme(unittest.TestCase):
    def test_a_newcomer_can_follow_it(self):
        """A newcomer copies the README's lines into a shell, one after another,
        and sees what the page shows: a flag that was renamed since, or a file
        that moved, would end the visit there.
        """
        ports = Ports()
        directory = pathlib.Path(tempfile.mkdtemp(prefix="anvilshift-readme-"))
        self.addCleanup(shutil.rmtree, directory, ignore_errors=True)
        shutil.copytree(ROOT / "docs/quickstart", directory / "docs/quickstart")
        for path in (directory / "docs").rglob("*.*"):
            path.write_text(ports.replace(path.read_text()))
        commands = list(read_commands((ROOT / "README.md").read_text()))
        self.assertGreater(len(commands), 10)
        lines = [f"echo {_MARK}\n{ports.replace(c)}" for c, _ in commands]
        outputs = run_script("\n".join(lines), directory)
        self.assertEqual(len(outputs), len(commands))
        checker = doctest.OutputChecker()
        for (command, expected), got in zip(commands, outputs, strict=True):
            with self.subTest(command):
                held = checker.check_output(expected, got, doctest.ELLIPSIS)
                self.assertTrue(held, f"expected {expected!r}, got {got!r}")


class TestOperatorVerbs(unittest.TestCase):
    def test_every_quoted_verb_and_flag_exists(self):
        """An operator in an outage copies a line from a page; the verb must take
        the flags that the page gives it.
        """
        checked = 0
        for page in list_pages():
            for command, _ in read_commands(page.read_text()):
                if command.startswith("anvilshift "):
                    with self.subTest(page=page.name, command=command):
                        self._check(shlex.split(command, comments=True)[1:])
                        checked += 1
        self.assertGreater(checked, 8)

    def _check(self, words: list[str]) -> None:
        part: object = Commands()
        while words and hasattr(part, words[0]):
            part = getattr(part, words.pop(0))
        self.assertTrue(callable(part), "no such verb")
        known = inspect.signature(part).parameters
        for word in words:
            if word.startswith("--"):
                name = word[2:].split("=")[0].replace("-", "_")
                self.assertIn(name, known)
