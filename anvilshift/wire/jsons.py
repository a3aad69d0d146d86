"""Read and write JSON with the same rules everywhere in the package."""

import json
from typing import Any

from anvilshift.core.errors import MALFORMED, AnvilshiftError


def dump_json(value: Any) -> bytes:
    """Return a value as JSON without whitespace between tokens.

    Examples
    --------
    >>> dump_json({"a": 1})
    b'{"a":1}'
    """
    return json.dumps(value, separators=(",", ":")).encode()


def parse_json(data: bytes) -> Any:
    """Parse JSON; reject malformed or too deeply nested input, and NaN and Infinity.

    Raises
    ------
    AnvilshiftError
        Code 1001 if the bytes are not valid JSON.
    """
    try:
        return json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise AnvilshiftError(MALFORMED, "the body is not valid JSON") from error


def parse_object(data: bytes) -> dict[str, Any]:
    """Parse JSON that must be an object.

    Raises
    ------
    AnvilshiftError
        Code 1001 if the bytes are not valid JSON or hold another type.
    """
    value = parse_json(data)
    if not isinstance(value, dict):
        raise AnvilshiftError(MALFORMED, "the body is not a JSON object")
    return value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not valid JSON")
