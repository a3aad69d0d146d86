"""Read the lines of a stream of server-sent events.

References
----------
HTML Living Standard, section "Server-sent events", "Parsing an event stream".
"""

from collections.abc import Iterator

from anvilshift.core.errors import ENGINE_FAILED, AnvilshiftError

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
COMMENT = b":"
_LINE_ENDS = b"\r\n"


class LineReader:
    r"""Split a byte stream into lines, which end with CR LF, LF or CR.

    A line counts as ended at its CR, without waiting for a LF that may follow.

    Examples
    --------
    >>> lines = LineReader()
    >>> list(lines.feed(b"id: 1\r\nda"))
    [(b'id: 1', 7)]
    >>> list(lines.feed(b"ta: a\r")), list(lines.feed(b"\n\n"))
    ([(b'data: a', 6)], [(b'', 2)])
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._is_first = True
        self._ended_with_cr = False

    @property
    def partial(self) -> bytes:
        """Return the beginning of the line that is still incomplete."""
        return self._strip_mark(bytes(self._partial))

    @property
    def held(self) -> int:
        """Return the number of bytes of the incomplete line."""
        return len(self._partial)

    def _strip_mark(self, line: bytes) -> bytes:
        return line.removeprefix(BYTE_ORDER_MARK) if self._is_first else line

    def feed(self, data: bytes) -> Iterator[tuple[bytes, int]]:
        """Add bytes, and yield each line that they complete.

        Yields
        ------
        tuple of bytes and int
            The line without its end, and the position behind it in the bytes.
        """
        position = 0
        if self._ended_with_cr and data.startswith(b"\n"):
            position = 1
        if data:
            self._ended_with_cr = data.endswith(b"\r")
        for piece in data[position:].splitlines(keepends=True):
            position += len(piece)
            if piece[-1] not in _LINE_ENDS:
                self._partial += piece
                return
            line = piece.rstrip(_LINE_ENDS)
            if self._partial:
                line = bytes(self._partial) + line
                self._partial.clear()
            if self._is_first:
                line = self._strip_mark(line)
                self._is_first = False
            yield line, position


def parse_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name and the value of a line; the name of a comment is empty.

    Examples
    --------
    >>> parse_field(b"id: 7"), parse_field(b"data"), parse_field(b": ping")
    ((b'id', b'7'), (b'data', b''), (b'', b'ping'))
    """
    name, _, value = line.partition(COMMENT)
    return name, value.removeprefix(b" ")


def check_event_size(size: int, most: int) -> None:
    """Check the bytes received since the last complete event.

    Raises
    ------
    AnvilshiftError
        Code 4001 if they exceed the size limit of an event.
    """
    if size > most:
        raise AnvilshiftError(ENGINE_FAILED, "an event exceeds the size limit")
