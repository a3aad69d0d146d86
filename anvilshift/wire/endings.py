"""How the body of an answer is framed, and how it ended.

Only a length, chunks or a status without a body show that an answer is complete.  One
that ends with its connection is taken as complete by the protocol, although a server
that breaks off may close its connection in the same way.  Where the content itself
shows that a part is missing, no framing makes the answer complete.

References
----------
RFC 9112, sections 6.3 and 8.
"""

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
