"""Cut a stream of server-sent events into whole events.

Only whole events go on to the caller: an engine that fails in the midst of one
leaves a piece that a run which resumes elsewhere would send again.
"""

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    r"""Collect bytes and give them back as whole events.

    Attributes
    ----------
    count
        Whole events so far.
    last_id
        Id of the last whole event that had one.

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
        """Return the whole events that are complete now."""
        data = self.rest + data
        end = data.rfind(_END)
        if end < 0:
            self.rest = data
            return b""
        whole, self.rest = data[: end + 2], data[end + 2 :]
        self.count += whole.count(_END)
        self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        at = whole.rfind(b"\n" + _ID)
        start = at + 1 if at >= 0 else 0
        if not whole.startswith(_ID, start):
            return
        line = whole[start + len(_ID) :].split(b"\n", 1)[0]
        self.last_id = line.strip().decode("latin-1")
