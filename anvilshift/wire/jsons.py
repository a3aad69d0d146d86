"""Read and write JSON with one set of rules."""

import json
from typing import Any

from anvilshift.core.errors import MALFORMED, AnvilshiftError


def dump_json(value: Any) -> bytes:
    """Return compact JSON.

    Examples
    --------
    >>> dump_json({"a": 1})
    b'{"a":1}'
    """
    return json.dumps(value, separators=(",", ":")).encode()


def parse_json(data: bytes) -> Any:
    """Read JSON, refusing what is malformed, too deep or not a number.

    Raises
    ------
    AnvilshiftError
        Code 1001 when the bytes are no JSON.
    """
    try:
        return json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise AnvilshiftError(MALFORMED, "the body is not valid JSON") from error


def parse_object(data: bytes) -> dict[str, Any]:
    """Read JSON that must be an object."""
    value = parse_json(data)
    if not isinstance(value, dict):
        raise AnvilshiftError(MALFORMED, "the body is not a JSON object")
    return value


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")
