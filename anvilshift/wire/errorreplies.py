"""The answers that report errors to callers."""

import math

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, HeaderFields, Reply


def render_error(error: AnvilshiftError) -> Reply:
    """Return the answer that reports an error to the caller."""
    headers: HeaderFields = [JSON_TYPE]
    body: dict[str, object] = {
        "code": error.code.number,
        "name": error.code.name,
        "fate": error.code.fate.value,
        "message": error.detail,
    }
    if error.retry_after is not None:
        body["retry_after_ms"] = math.ceil(error.retry_after)
        seconds = max(1, math.ceil(error.retry_after / SECOND))
        headers.append(("retry-after", str(seconds)))
    return Reply(error.code.status, headers, dump_json({"error": body}))
