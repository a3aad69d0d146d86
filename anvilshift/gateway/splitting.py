"""Split a stream of server-sent events into complete events.

Only complete events are sent to the caller.  If an engine fails in the middle of an
event, the attempt that resumes the stream at another engine sends that event again from
its start, so the caller must not have received a part of it.
"""

from anvilshift.wire.eventlines import (
    BYTE_ORDER_MARK,
    COMMENT,
    LineReader,
    check_event_size,
    parse_field,
)

_MAX_EVENT_BYTES = 8 * 1024 * 1024
"""Size limit of an event, with all that is sent between the event before and it."""
_FIELDS_OF_EVENTS = frozenset({b"data", b"event", b"id"})
"""Fields that take effect at the end of their event, unlike ``retry``."""


class EventSplitter:
    r"""Buffer the bytes of a stream and return them as complete events.

    Nothing is returned before the first event, so that an attempt that fails before it
    has sent nothing to the caller.

    Parameters
    ----------
    resumed
        Whether the stream goes on with one of which the caller has received a part; a
        byte order mark at its beginning is then left out.

    Attributes
    ----------
    count
        Number of complete events so far.  A comment or a blank line is none.
    last_id
        Id of the last complete event that had one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.count, splitter.last_id, splitter.rest, splitter.is_inside_event
    (1, '1', b'id: 2\nda', True)
    """

    def __init__(self, resumed: bool = False) -> None:
        self.count = 0
        self.last_id: str | None = None
        self._skips_mark = resumed
        self._pending = bytearray()
        self._lines = LineReader()
        self._id: str | None = None
        self._has_data = False
        self._has_field = False

    @property
    def held(self) -> int:
        """Return the number of bytes in memory: those of a partial line twice."""
        return len(self._pending) + self._lines.held

    @property
    def rest(self) -> bytes:
        """Return the bytes behind the last complete event."""
        return bytes(self._pending)

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that isn't complete.

        A comment is none, nor are fields that take effect at once.
        """
        partial = self._lines.partial
        return self._has_field or (bool(partial) and not partial.startswith(COMMENT))

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the events that they complete.

        Raises
        ------
        AnvilshiftError
            Code 4001 if an event exceeds the size limit.
        """
        end = 0
        for line, position in self._lines.feed(data):
            if line:
                self._read_field(line)
            else:
                self._end_event()
                end = position
        if not (end and self.count):
            self._pending += data
            check_event_size(len(self._pending), _MAX_EVENT_BYTES)
            return b""
        whole = bytes(self._pending) + data[:end]
        self._pending = bytearray(data[end:])
        return self._strip_mark(whole)

    def _strip_mark(self, whole: bytes) -> bytes:
        if not self._skips_mark:
            return whole
        self._skips_mark = False
        return whole.removeprefix(BYTE_ORDER_MARK)

    def _read_field(self, line: bytes) -> None:
        name, value = parse_field(line)
        if name in _FIELDS_OF_EVENTS:
            self._has_field = True
        if name == b"data":
            self._has_data = True
        elif name == b"id" and b"\0" not in value:
            self._id = value.decode("latin-1")

    def _end_event(self) -> None:
        self.count += self._has_data
        self.last_id = self._id
        self._has_data = self._has_field = False
