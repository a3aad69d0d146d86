"""Files that hold a configuration, and the lines at which their values stand."""

import bisect
import json
import pathlib
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

import yaml

from anvilshift.core.errors import BAD_DECLARATION, AnvilshiftError
from anvilshift.settings.files import LOADER

Path = Sequence[str | int]
"""Keys and indices that lead from the top of a document to a value."""
_SPACE = re.compile(r"[ \t\r\n]*")
_SPACE_AND_COMMA = re.compile(r"[ \t\r\n,]*")
_SPACE_AND_COLON = re.compile(r"[ \t\r\n:]*")


@dataclass(frozen=True)
class Source:
    r"""One file, read once.

    Parameters
    ----------
    documents
        Its values: one for JSON, one a document for YAML.

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
            text = pathlib.Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise AnvilshiftError(BAD_DECLARATION, f"{path}: {error}") from error
        is_json = path.endswith(".json")
        try:
            documents = (json.loads(text),) if is_json else _load_yaml(text)
        except json.JSONDecodeError as error:
            detail = f"{path}:{error.lineno}: not JSON: {error.msg}"
            raise AnvilshiftError(BAD_DECLARATION, detail) from error
        except (yaml.YAMLError, ValueError, RecursionError) as error:
            mark = getattr(error, "problem_mark", None)
            line = f":{mark.line + 1}" if mark else ""
            why = getattr(error, "problem", None) or type(error).__name__
            detail = f"{path}{line}: not {'JSON' if is_json else 'YAML'}: {why}"
            raise AnvilshiftError(BAD_DECLARATION, detail) from error
        return cls(path, text, documents, is_json)

    def find_line(self, path: Path, document: int = 0) -> int:
        """Return the line of a value, or of the innermost one that is there."""
        if self.is_json:
            return 1 + bisect.bisect_left(self._line_ends, self._find_offset(path))
        return 1 + int(_find_node(self._nodes[document], path).start_mark.line)

    @cached_property
    def _nodes(self) -> list[yaml.Node]:
        return list(yaml.compose_all(self.text, Loader=LOADER))

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


def _load_yaml(text: str) -> tuple[Any, ...]:
    loaded = yaml.load_all(text, Loader=LOADER)
    return tuple(loaded)


def _find_node(node: yaml.Node, path: Path) -> yaml.Node:
    for step in path:
        found = None
        if isinstance(node, yaml.MappingNode):
            pairs = ((key.value, value) for key, value in node.value)
            found = next((value for key, value in pairs if key == str(step)), None)
        elif isinstance(node, yaml.SequenceNode) and isinstance(step, int):
            found = node.value[step] if step < len(node.value) else None
        if found is None:
            break
        node = found
    return node


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
