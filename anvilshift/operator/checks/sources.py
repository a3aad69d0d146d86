"""Files that hold a configuration, and the lines at which their values stand."""

import bisect
import json
import pathlib
import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

import yaml

from anvilshift.core.errors import BAD_DECLARATION, AnvilshiftError
from anvilshift.operator.checks.yamlnodes import load_documents

Path = Sequence[str | int]
"""Keys and indices that lead from the top of a document to a value."""
MAX_BYTES = 32 * 1024 * 1024
"""Largest file that is read; a device named by mistake has no end."""
_UNREADABLE = (yaml.YAMLError, ValueError, LookupError, AttributeError, RecursionError)
_REASONS: dict[type[BaseException], str] = {
    RecursionError: "it is nested too deeply",
    KeyError: "a value doesn't fit its tag",
    IndexError: "a value doesn't fit its tag",
    AttributeError: "a value doesn't fit its tag",
}
"""What the YAML library means by an error of Python's own."""
_SPACE = re.compile(r"[ \t\r\n]*")
_SPACE_AND_COMMA = re.compile(r"[ \t\r\n,]*")
_SPACE_AND_COLON = re.compile(r"[ \t\r\n:]*")


@dataclass(frozen=True)
class Source:
    r"""One file, read once.

    Parameters
    ----------
    documents
        Its values: one for JSON; for YAML one a document that isn't empty.

    Examples
    --------
    >>> source = Source("f.json", '{"a": [1,\n 2]}', ({"a": [1, 2]},), is_json=True)
    >>> source.find_line(["a", 1]), source.find_line(["a", 7])
    (2, 1)
    """

    path: str
    text: str
    documents: tuple[Any, ...]
    is_json: bool
    _known_nodes: list[yaml.Node] = field(default_factory=list, repr=False)
    _members: dict[int, dict[str | int, int]] = field(default_factory=dict, repr=False)

    @classmethod
    def from_file(cls, path: str) -> "Source":
        """Read a file: JSON by its suffix, else YAML.

        Raises
        ------
        AnvilshiftError
            Code 6002 with the file, and the line where it can't be read on.
        """
        try:
            text = _read_text(path)
        except (OSError, UnicodeDecodeError) as error:
            raise AnvilshiftError(BAD_DECLARATION, f"{path}: {error}") from error
        is_json = path.endswith(".json")
        try:
            if is_json:
                return cls(path, text, (json.loads(text),), is_json)
            documents, nodes = load_documents(text)
            return cls(path, text, tuple(documents), is_json, nodes)
        except json.JSONDecodeError as error:
            detail = f"{path}:{error.lineno}: not JSON: {error.msg}"
            raise AnvilshiftError(BAD_DECLARATION, detail) from error
        except _UNREADABLE as error:
            mark = getattr(error, "problem_mark", None)
            line = f":{mark.line + 1}" if mark else ""
            why = _explain(error)
            detail = f"{path}{line}: not {'JSON' if is_json else 'YAML'}: {why}"
            raise AnvilshiftError(BAD_DECLARATION, detail) from error

    def find_line(self, path: Path, document: int = 0) -> int:
        """Return the line of a value, or of the innermost one that is there."""
        if self.is_json:
            return 1 + bisect.bisect_left(self._line_ends, self._find_offset(path))
        return 1 + int(_find_node(self._nodes[document], path).start_mark.line)

    @cached_property
    def _nodes(self) -> list[yaml.Node]:
        return self._known_nodes or load_documents(self.text)[1]

    @cached_property
    def _line_ends(self) -> list[int]:
        return [one.start() for one in re.finditer("\n", self.text)]

    def _find_offset(self, path: Path) -> int:
        """Return where a value of JSON begins."""
        at = _skip(self.text, 0, _SPACE)
        for step in path:
            if at not in self._members:
                self._members[at] = _find_members(self.text, at)
            if step not in self._members[at]:
                break
            at = self._members[at][step]
        return at


def _explain(error: Exception) -> str:
    known = getattr(error, "problem", None) or _REASONS.get(type(error))
    return known or str(error).partition("\n")[0]


def _read_text(path: str) -> str:
    with pathlib.Path(path).open("rb") as file:
        data = file.read(MAX_BYTES + 1)
    if len(data) > MAX_BYTES:
        raise OSError(f"over {MAX_BYTES:,} bytes")
    return data.decode("utf-8")


def _find_node(node: yaml.Node, path: Path) -> yaml.Node:
    for step in path:
        found = None
        if isinstance(node, yaml.MappingNode):
            pairs = ((key.value, value) for key, value in node.value)
            # Of equal keys the last one counts.
            found = dict(_with_text(pairs)).get(str(step))
        elif isinstance(node, yaml.SequenceNode) and isinstance(step, int):
            found = node.value[step] if step < len(node.value) else None
        if found is None:
            break
        node = found
    return node


def _with_text(pairs: Iterable[tuple[Any, yaml.Node]]) -> Iterator[tuple[str, Any]]:
    return ((key, value) for key, value in pairs if isinstance(key, str))


def _find_members(text: str, at: int) -> dict[str | int, int]:
    """Return where each member of an object or a list begins; none of another value.

    The text is well-formed JSON.
    """
    found: dict[str | int, int] = {}
    if text[at] not in "{[":
        return found
    decoder = json.JSONDecoder()
    position = _skip(text, at + 1, _SPACE)
    while text[position] not in "}]":
        key: str | int = len(found)
        if text[at] == "{":
            key, position = decoder.raw_decode(text, position)
            position = _skip(text, position, _SPACE_AND_COLON)
        found[key] = position
        _, position = decoder.raw_decode(text, position)
        position = _skip(text, position, _SPACE_AND_COMMA)
    return found


def _skip(text: str, position: int, pattern: re.Pattern[str]) -> int:
    match = pattern.match(text, position)
    return match.end() if match else position
