"""Split a stream of server-sent events into complete events.

Only complete events are sent to the caller.  If an engine fails in the middle of an
event, the attempt that resumes the stream at another engine sends that event again from
its start, so the caller must not have received a part of it.
"""

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    r"""Buffer the bytes of a stream and return them as complete events.

    Attributes
    ----------
    count
        Number of complete events so far.
    last_id
        Id of the last complete event that had one.
    rest
        Bytes of the event that is still incomplete.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.count, splitter.last_id, splitter.rest
    (1, '1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.count = 0
        self.last_id: str | None = None
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the events that they complete."""
        data = self.rest + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self.rest = data
            return b""
        whole, self.rest = data[: end + 2], data[end + 2 :]
        self.count += whole.count(_EVENT_END)
        self._parse_last_id(whole)
        return whole

    def _parse_last_id(self, whole: bytes) -> None:
        at = whole.rfind(b"\n" + _ID_FIELD)
        start = at + 1 if at >= 0 else 0
        if not whole.startswith(_ID_FIELD, start):
            return
        line = whole[start + len(_ID_FIELD) :].split(b"\n", 1)[0]
        self.last_id = line.strip().decode("latin-1")
