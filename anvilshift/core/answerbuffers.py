"""Bound the bytes of unfinished answers that a router holds in memory.

Load pattern: targets in trouble send bytes without end, for many requests at a time.
Each answer has a size limit of its own, but sixty that reach it at once would take more
memory than the router may use, and end it together with all of its other requests.

While all answers together hold too much, only those that hold more than an equal part
are broken off: the answers of other targets are short.
"""

from types import TracebackType
from typing import Self

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Bytes of unfinished answers in total: two of the largest that are read completely."""


class AnswerBuffers:
    """The bytes of all unfinished answers of a router.

    Parameters
    ----------
    limit
        Bytes above which an answer that holds more than an equal part may not grow.

    Attributes
    ----------
    held
        Bytes that all answers hold now.

    Examples
    --------
    >>> buffers = AnswerBuffers(limit=100)
    >>> with buffers.begin() as long, buffers.begin() as short:
    ...     long.hold(90), short.hold(20), long.hold(91), short.hold(30), buffers.held
    (True, True, False, True, 121)
    >>> buffers.held
    0
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self.held = 0
        self._limit = limit
        self._count = 0

    def begin(self) -> "AnswerBuffer":
        """Return the account of one answer, for use in a ``with`` statement."""
        return AnswerBuffer(self)

    def change(self, count: int = 0, held: int = 0) -> None:
        """Add to the number of answers and to the bytes that they hold."""
        self._count += count
        self.held += held

    def may_hold(self, size: int) -> bool:
        """Tell whether an answer may hold so many bytes."""
        return self.held <= self._limit or size * self._count <= self._limit


class AnswerBuffer:
    """The bytes that one unfinished answer holds."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._size = 0

    def __enter__(self) -> Self:
        self._buffers.change(count=1)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._buffers.change(count=-1, held=-self._size)

    def hold(self, size: int) -> bool:
        """Set the bytes that the answer holds; return whether it may hold so many."""
        self._buffers.change(held=size - self._size)
        self._size = size
        return self._buffers.may_hold(size)
