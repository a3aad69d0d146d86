"""Read the store's answers, in which other writers may have left anything.

An object that can't be read must not hide the others of the same answer.  What no
reader of JSON has to accept is replaced here, and makes its own object unreadable.
"""

import json
import re
from typing import Any

from anvilshift.core.errors import PLATFORM_UNREADABLE, AnvilshiftError

_MAX_DIGITS = 20
"""Most digits of an integer; those of the platform have 64 bits."""
_MAX_DEPTH = 60
"""Deepest nesting of an object's content."""
_MAX_PARSED_DEPTH = 70
"""Nesting of an answer that is parsed: more than an object's content may have, with
the levels around it, and less than the parser bears."""
_BRACKETS = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)
"""Strings, whose brackets mean nothing, and brackets."""


class _Unreadable:
    """Stands for a value that can't be read."""


_UNREADABLE = _Unreadable()


def parse_answer(data: bytes) -> dict[str, Any]:
    """Return the object that an answer holds.

    Raises
    ------
    AnvilshiftError
        Code 5003 if the answer as a whole can't be read.

    Examples
    --------
    >>> parse_answer(b'{"at": 7, "entries": []}')
    {'at': 7, 'entries': []}
    """
    # Bytes that are no text may be in one object only.
    text = data.decode("utf-8", "replace")
    try:
        value = _parse(text)
    except ValueError as error:
        detail = "the answer is not valid JSON"
        raise AnvilshiftError(PLATFORM_UNREADABLE, detail) from error
    if not isinstance(value, dict):
        raise AnvilshiftError(PLATFORM_UNREADABLE, "the answer is not a JSON object")
    return value


def read_content(value: Any) -> dict[str, Any]:
    """Return the content of an object; empty if it can't be read.

    Examples
    --------
    >>> answer = parse_answer(b'{"sound": {"a": [1]}, "odd": {"a": [1e999]}}')
    >>> read_content(answer["sound"]), read_content(answer["odd"])
    ({'a': [1]}, {})
    """
    return value if isinstance(value, dict) and _is_readable(value) else {}


def _parse(text: str) -> Any:
    try:
        return _DECODER.decode(text)
    except RecursionError:
        return _DECODER.decode(_prune(text))


def _prune(text: str) -> str:
    """Return JSON without what is nested too deep to be parsed."""
    kept, depth, begin = [], 0, 0
    for match in _BRACKETS.finditer(text):
        bracket = match.group()
        if bracket in ("[", "{"):
            depth += 1
            if depth == _MAX_PARSED_DEPTH + 1:
                kept += [text[begin : match.start()], "null"]
        elif bracket in ("]", "}"):
            if depth == _MAX_PARSED_DEPTH + 1:
                begin = match.end()
            depth -= 1
    if depth > _MAX_PARSED_DEPTH:
        raise ValueError("a bracket has no end")
    return "".join([*kept, text[begin:]])


def _is_readable(content: dict[str, Any]) -> bool:
    """Return whether all values can be read, and none is nested too deep."""
    level: list[Any] = [content]
    for _ in range(_MAX_DEPTH):
        inner: list[Any] = []
        for value in level:
            inner += value.values() if isinstance(value, dict) else value
        if any(one is _UNREADABLE for one in inner):
            return False
        level = [one for one in inner if isinstance(one, dict | list)]
        if not level:
            return True
    return False


def _parse_integer(text: str) -> int | _Unreadable:
    return int(text) if len(text) <= _MAX_DIGITS else _UNREADABLE


def _parse_number(text: str) -> float | _Unreadable:
    number = float(text)
    return _UNREADABLE if number in (float("inf"), float("-inf")) else number


_DECODER = json.JSONDecoder(
    parse_int=_parse_integer,
    parse_float=_parse_number,
    parse_constant=lambda name: _UNREADABLE,
    strict=False,
)
