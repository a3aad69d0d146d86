"""The answers that report errors to callers."""

import math

import h11

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


def list_last_events(error: AnvilshiftError) -> list[h11.Event]:
    """Return the parts of an answer after which the connection closes."""
    reply = render_error(error)
    length = ("content-length", str(len(reply.body)))
    headers = [*reply.headers, length, ("connection", "close")]
    head = h11.Response(status_code=reply.status, headers=headers)
    return [head, h11.Data(data=reply.body), h11.EndOfMessage()]
