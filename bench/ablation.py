"""Make copies of the tree with one mechanism switched off in each.

    python -m bench.ablation FOLDER [NAME ...]

What a mechanism is worth shows when a copy is played beside the whole tree.  The
product has no switches for this: no operator would use them.
"""

import pathlib
import shutil
import sys
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
_COPIED = ("anvilshift", "deploy", "requirements.txt", "pyproject.toml")


@dataclass(frozen=True)
class Patch:
    """Text of one file that is replaced."""

    path: str
    old: str
    new: str

    def apply(self, root: pathlib.Path) -> None:
        """Replace the text.

        Raises
        ------
        ValueError
            When the text isn't there just once.
        """
        file = root / "anvilshift" / self.path
        text = file.read_text()
        if text.count(self.old) != 1:
            raise ValueError(f"{self.path}: {self.old!r} is not there just once")
        file.write_text(text.replace(self.old, self.new))


PATCHES: dict[str, tuple[Patch, ...]] = {
    "shared-sends": (
        Patch(
            "gateway/peers.py", "self._waiting.setdefault(domains", "{}.setdefault(0"
        ),
    ),
    "fetch": (Patch("core/choosing.py", "_FETCH_LEAST = 300", "_FETCH_LEAST = 10**9"),),
    "ranks": (
        Patch(
            "core/timeouts.py",
            "    if elapsed + wait > rule.objective:",
            "    return SHORT_PRIORITY\n    if elapsed + wait > rule.objective:",
        ),
    ),
    "disturbance": (
        Patch("core/choosing.py", "pause > demand.pause, plain", "False, plain"),
    ),
    "learned-speeds": (
        Patch("core/targetload.py", "if predicted >= _TELLING:", "if False:"),
    ),
    "asks": (
        Patch(
            "gateway/conversation.py",
            "if peer is None:\n            return False",
            "if True:\n            return False",
        ),
    ),
    "second-keeper": (Patch("core/allocators.py", "ALLOCATORS = 2", "ALLOCATORS = 1"),),
    "records-of-use": (
        Patch(
            "platform/settings.py",
            "history=_convert_to_ms(self.platform.history_s)",
            "history=None",
        ),
    ),
    "waits-for-tokens": (
        Patch(
            "gateway/reserving.py",
            "_WAIT: Millis = 2.5 * SECOND",
            "_WAIT: Millis = 1.0",
        ),
    ),
    "remembered-refusals": (
        Patch(
            "core/refusals.py",
            "_REMEMBER: Millis = 500.0",
            "_REMEMBER: Millis = 0.0",
        ),
    ),
    "near-engines": (
        Patch("core/choosing.py", "_FAR_MS_PER_KB = 0.5", "_FAR_MS_PER_KB = 0.0"),
    ),
    "ejection": (
        Patch(
            "gateway/targethealth.py",
            "if unreachable or health.should_eject(0.0):",
            "if False:",
        ),
    ),
    "shared-failures": (
        Patch(
            "gateway/targethealth.py", "if not self._is_suspect(target):", "if True:"
        ),
    ),
    "bounds-of-a-try": (
        Patch(
            "gateway/attempts.py",
            "watch.start(self._find_timeout(choice, self._routed.end - self.sent))",
            "watch.start(None)",
        ),
    ),
    "retries": (
        Patch(
            "core/retries.py",
            "if self.count_left(allowance, now) < 1.0:",
            "if False:",
        ),
    ),
}


def make_copy(name: str, folder: pathlib.Path) -> pathlib.Path:
    """Return a copy of the tree with one mechanism off."""
    copy = folder / name
    for part in _COPIED:
        source, target = ROOT / part, copy / part
        if source.is_dir():
            shutil.copytree(
                source, target, ignore=shutil.ignore_patterns("__pycache__")
            )
        else:
            shutil.copy(source, target)
    for patch in PATCHES[name]:
        patch.apply(copy)
    return copy


def run(folder: str, *names: str) -> None:
    """Make the copies that are named, or all."""
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for name in names or PATCHES:
        print(make_copy(name, target))


if __name__ == "__main__":
    run(*sys.argv[1:])
