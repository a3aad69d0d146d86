"""Tell whether a numbered message came before."""

from dataclasses import dataclass, field

_KEPT = 256
"""Numbers of one sender that are kept: messages overtake one another by a few."""


@dataclass
class Numbers:
    """The numbers of one sender's messages that have come.

    Of those before the oldest one kept it is no longer known; they count as come,
    so that a message may be lost for being very late but is never taken twice.

    Examples
    --------
    >>> numbers = Numbers()
    >>> numbers.take(1), numbers.take(3), numbers.take(1), numbers.take(2)
    (True, True, False, True)
    """

    floor: int = 0
    seen: set[int] = field(default_factory=set)

    def take(self, number: int) -> bool:
        """Take in a number; tell whether it is new."""
        if number <= self.floor or number in self.seen:
            return False
        self.seen.add(number)
        if len(self.seen) > _KEPT:
            self.floor = min(self.seen)
            self.seen.discard(self.floor)
        return True
