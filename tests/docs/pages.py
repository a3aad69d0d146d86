"""Find the project's pages and what they quote."""

import pathlib
import re
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
_CONSOLE = re.compile(r"^```console\n(.*?)^```", re.DOTALL | re.MULTILINE)


def list_pages() -> list[pathlib.Path]:
    """Return every page, at the root and under docs."""
    return [*sorted(ROOT.glob("*.md")), *sorted((ROOT / "docs").rglob("*.md"))]


def read_commands(text: str) -> Iterator[tuple[str, str]]:
    """Yield each command of a page's console blocks with its expected output."""
    for block in _CONSOLE.findall(text):
        command, output = "", ""
        for line in block.splitlines(keepends=True):
            if not line.startswith("$ "):
                output += line
                continue
            if command:
                yield command, output
            command, output = line[2:].strip(), ""
        if command:
            yield command, output
