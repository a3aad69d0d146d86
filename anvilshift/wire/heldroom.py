"""Give connections room for the bytes that they hold, out of one budget."""

import contextlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import h11

from anvilshift.core.admission.heldbytes import (
    HeldBytes,
    UnreadAnswer,
    Use,
    find_slowest,
)
from anvilshift.core.clock import Clock
from anvilshift.core.errors import OVERLOADED, AnvilshiftError

COPIES = 2
"""Copies of a body or an answer: itself, and what of it is written and not read."""
UNCOUNTED = 16 * 1024
"""Bytes that each answer may be read ahead without being counted: most are read by
their callers as they come."""
READ_STEP = 16 * 1024
"""Most bytes read ahead at a time; each answer may exceed its room by so many."""
_RETURN_JITTER = 0.5
"""Callers who were refused together come back at times apart from each other, up to so
much later than there is room."""


class Abortable(Protocol):
    """What can be ended at once."""

    def abort(self) -> None:
        """End it; what isn't sent yet is lost."""


@dataclass
class HeldRoom:
    """Room for the bytes of callers' bodies and of answers.

    Parameters
    ----------
    on_refusal, on_cut
        Called with the bytes of a body that is refused, and of an answer that is cut
        off for want of memory.
    """

    held: HeldBytes
    clock: Clock
    rng: random.Random
    on_refusal: Callable[[int], None] = lambda size: None
    on_cut: Callable[[int], None] = lambda size: None
    _unread: dict[UnreadAnswer, Abortable] = field(default_factory=dict)

    @contextlib.contextmanager
    def hold_unread(self, size: int, connection: Abortable) -> Iterator[None]:
        """Count what is written to a caller while the caller is behind.

        Above the ceiling the slowest callers are cut off.
        """
        size *= COPIES
        answer = UnreadAnswer(size, self.clock.now())
        self._unread[answer] = connection
        self.held.change(Use.UNREAD, size, answer.since, count=1)
        self._cut_slowest()
        try:
            yield
        finally:
            self._forget(answer)

    def _forget(self, answer: UnreadAnswer) -> None:
        if self._unread.pop(answer, None) is not None:
            self.held.change(Use.UNREAD, -answer.size, self.clock.now(), count=-1)

    def _cut_slowest(self) -> None:
        while self.held.is_above_ceiling:
            slowest = find_slowest(self._unread, self.clock.now())
            if slowest is None:
                return
            connection = self._unread[slowest]
            self._forget(slowest)
            self.on_cut(slowest.size // COPIES)
            connection.abort()


def find_announced_length(head: h11.Request) -> int:
    """Return the length that a request's head announces for its body; 0 for none."""
    return int(dict(head.headers).get(b"content-length", 0))


class BodyHold:
    """The room of one request's body, from its head to the end of its answer."""

    def __init__(self, room: HeldRoom | None) -> None:
        self._room = room
        self._size = 0

    def take(self, length: int) -> None:
        """Take room for a body of so many bytes.

        Raises
        ------
        AnvilshiftError
            When there is none; the caller is told when to come back.
        """
        room, size = self._room, length * COPIES
        if room is None or size <= self._size:
            return
        now = room.clock.now()
        if not room.held.may_take(Use.BODY, size, self._size):
            room.on_refusal(length)
            wait = room.held.promise(Use.BODY, size, now)
            wait *= 1.0 + room.rng.uniform(0.0, _RETURN_JITTER)
            detail = "no memory is free for the body"
            raise AnvilshiftError(OVERLOADED, detail, wait)
        room.held.change(Use.BODY, size - self._size, now, count=not self._size)
        self._size = size

    def release(self) -> None:
        """Give the room up."""
        if self._room is not None and self._size:
            now = self._room.clock.now()
            self._room.held.change(Use.BODY, -self._size, now, count=-1)
        self._size = 0


class AheadHold:
    """The room of what is read ahead of one answer.

    Attributes
    ----------
    size
        Bytes that are counted; 0 while only a few are read ahead.
    """

    def __init__(self, room: HeldRoom) -> None:
        self._room = room
        self.size = 0

    def set(self, size: int) -> None:
        """Set the bytes that are read ahead and not yet taken."""
        counted = size if size > UNCOUNTED else 0
        if counted == self.size:
            return
        count = bool(counted) - bool(self.size)
        now, added = self._room.clock.now(), counted - self.size
        self._room.held.change(Use.AHEAD, added, now, count)
        self.size = counted

    def may_grow(self) -> bool:
        """Return whether more of the answer may be read."""
        more = self.size + READ_STEP
        return self._room.held.may_take(Use.AHEAD, more, self.size)
