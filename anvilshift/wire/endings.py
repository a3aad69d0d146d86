"""How the body of an answer is framed, and how it ended.

Only a length, chunks or a status without a body show that an answer is complete.  One
that ends with its connection is taken as complete by the protocol, although a server
that breaks off may close its connection in the same way.  Where the content itself
shows that a part is missing, no framing makes the answer complete.

References
----------
RFC 9112, sections 6.3 and 8.
"""

import json
from enum import Enum

from anvilshift.wire.messages import Headers

_BODILESS_STATUSES = frozenset({204, 304})


class Framing(Enum):
    """What shows where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no body"
    CONNECTION = "connection"
    """The end of the connection, as the answer has neither a length nor chunks."""


class Ending(Enum):
    """How the body of an answer ended."""

    FRAMED = "framed"
    """Where its framing says that it ends."""
    CLOSED = "closed"
    """With the connection, which the server closed in order."""
    BROKEN = "broken"
    """Before the end that its framing gives, or by a reset."""
    INSIDE_EVENT = "inside an event"
    """Inside a server-sent event, whatever its framing says."""
    INSIDE_JSON = "inside a JSON text"
    """Inside a JSON text that nothing else delimits."""

    @property
    def is_complete(self) -> bool:
        """Return whether nothing shows that a part of the body is missing."""
        return self in (Ending.FRAMED, Ending.CLOSED)


def find_framing(method: str, status: int, headers: Headers) -> Framing:
    """Return how the body of an answer is framed.

    Examples
    --------
    >>> find_framing("GET", 200, Headers([("Content-Length", "5")]))
    <Framing.LENGTH: 'length'>
    >>> find_framing("GET", 200, Headers([("Connection", "close")]))
    <Framing.CONNECTION: 'connection'>
    """
    if method == "HEAD" or status in _BODILESS_STATUSES:
        return Framing.NO_BODY
    names = {name for name, _ in headers.pairs}
    if "transfer-encoding" in names:
        return Framing.CHUNKS
    if "content-length" in names:
        return Framing.LENGTH
    return Framing.CONNECTION


def judge_stream(ending: Ending, is_inside_event: bool) -> Ending:
    """Return how a stream of server-sent events ended.

    Parameters
    ----------
    ending
        How its body ended.
    is_inside_event
        Whether an event had begun that isn't complete.

    Examples
    --------
    >>> judge_stream(Ending.FRAMED, True)
    <Ending.INSIDE_EVENT: 'inside an event'>
    """
    return Ending.INSIDE_EVENT if is_inside_event and ending.is_complete else ending


def judge_body(ending: Ending, headers: Headers, body: bytes) -> Ending:
    """Return how a body that was read completely ended.

    A JSON text shows its own end, so one that only the end of the connection delimits
    is checked.  Other content can't be told from its beginning.

    Examples
    --------
    >>> headers = Headers([("Content-Type", "application/json")])
    >>> judge_body(Ending.CLOSED, headers, b"[1,")
    <Ending.INSIDE_JSON: 'inside a JSON text'>
    """
    is_checked = ending is Ending.CLOSED and _is_json(headers)
    return Ending.INSIDE_JSON if is_checked and not _is_json_text(body) else ending


def _is_json(headers: Headers) -> bool:
    types = [value for name, value in headers.pairs if name == "content-type"]
    names = [one.partition(";")[0].strip().lower() for one in types]
    return any(n == "application/json" or n.endswith("+json") for n in names)


def _is_json_text(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    except RecursionError:
        # It is nested too deeply to be read, which doesn't show that it is cut.
        return True
    return True
