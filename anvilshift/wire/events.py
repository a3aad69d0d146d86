"""Read and write server-sent events.

See Also
--------
The format: HTML Living Standard, section "Server-sent events".
"""

from dataclasses import dataclass

from anvilshift.core.errors import ENGINE_FAILED, AnvilshiftError
from anvilshift.wire.eventlines import LineReader, check_event_size, parse_field

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
        self._lines = LineReader()
        self._data: list[str] = []
        self._id: str | None = None
        self._size = 0

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        AnvilshiftError
            Code 4001 if an event exceeds the size limit or isn't valid UTF-8.
        """
        events = []
        end = 0
        for line, position in self._lines.feed(data):
            if line:
                self._read_field(line)
                continue
            end = position
            if self._data:
                events.append(Event("\n".join(self._data), self._id))
            self._data, self._id = [], None
        self._size = len(data) - end if end else self._size + len(data)
        check_event_size(self._size, _MAX_EVENT_BYTES)
        return events

    def _read_field(self, line: bytes) -> None:
        name, value = parse_field(line)
        try:
            text = value.decode()
        except UnicodeDecodeError as error:
            detail = "an event is not valid UTF-8"
            raise AnvilshiftError(ENGINE_FAILED, detail) from error
        if name == b"data":
            self._data.append(text)
        elif name == b"id":
            self._id = text
