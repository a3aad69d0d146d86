"""Read and write server-sent events.

See Also
--------
The format: HTML Living Standard, section "Server-sent events".
"""

from dataclasses import dataclass

from anvilshift.core.errors import ENGINE_FAILED, AnvilshiftError

_MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True)
class Event:
    """A server-sent event: its data, and its id if it has one."""

    data: str
    id: str | None = None

    def encode(self) -> bytes:
        r"""Return the event in the wire format.

        Examples
        --------
        >>> Event("hello", "7").encode()
        b'id: 7\ndata: hello\n\n'
        """
        head = f"id: {self.id}\n" if self.id is not None else ""
        lines = self.data.replace("\n", "\ndata: ")
        return f"{head}data: {lines}\n\n".encode()


class EventReader:
    r"""Incremental parser that splits a byte stream into events.

    Examples
    --------
    >>> reader = EventReader()
    >>> reader.feed(b"data: on")
    []
    >>> reader.feed(b"e\n\n")
    [Event(data='one', id=None)]
    """

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        AnvilshiftError
            Code 4001 if an event exceeds the size limit or isn't valid UTF-8.
        """
        buffer = (self._incomplete + data).replace(b"\r\n", b"\n")
        *blocks, self._incomplete = buffer.split(b"\n\n")
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise AnvilshiftError(ENGINE_FAILED, "an event exceeds the size limit")
        events = [_parse(block) for block in blocks]
        return [event for event in events if event is not None]


def _parse(block: bytes) -> Event | None:
    data: list[str] = []
    event_id: str | None = None
    try:
        text = block.decode()
    except UnicodeDecodeError as error:
        raise AnvilshiftError(ENGINE_FAILED, "an event is not valid UTF-8") from error
    for line in text.split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            data.append(value)
        elif field == "id":
            event_id = value
    return Event("\n".join(data), event_id) if data else None
