"""Detect duplicates among numbered messages."""

from dataclasses import dataclass, field

_MAX_STORED = 256
"""Most numbers of one sender that are stored.  Messages arrive out of order by only a
few positions."""


@dataclass
class SequenceNumbers:
    """The numbers of one sender's messages that were received.

    Numbers up to `floor` are no longer stored and count as received.  So a message
    that arrives very late may be dropped, but none is accepted twice.

    Parameters
    ----------
    floor
        The largest number that was removed from `seen`.
    seen
        The received numbers above `floor`.

    Examples
    --------
    >>> numbers = SequenceNumbers()
    >>> numbers.accept(1), numbers.accept(3), numbers.accept(1), numbers.accept(2)
    (True, True, False, True)
    """

    floor: int = 0
    seen: set[int] = field(default_factory=set)

    def accept(self, number: int) -> bool:
        """Record a number as received; return whether it is new."""
        if number <= self.floor or number in self.seen:
            return False
        self.seen.add(number)
        if len(self.seen) > _MAX_STORED:
            self.floor = min(self.seen)
            self.seen.discard(self.floor)
        return True
