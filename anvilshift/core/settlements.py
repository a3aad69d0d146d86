"""Counts of settled tokens that one router hands to another, each token once.

Load pattern: dozens of routers serve an organisation with tokens that two allocators
lend them.  An allocator learns only from them which of these tokens are settled, and
until it does, it can't tell a caller that the total is exhausted.

Each router counts its settled tokens until it hands the count to an allocator.  It
reports to each incarnation the sum of all that it has handed to it, so that a report
that is lost, late or repeated changes nothing.
"""

_SENDS = 3
"""How often a sum is reported.  A datagram may be lost, and no later one may follow."""


class SettledReports:
    """The sums that one router has reported to others, and others to it.

    Examples
    --------
    >>> sender, receiver = SettledReports(), SettledReports()
    >>> sender.hand_over("r1.1", "pounds", 30)
    >>> sender.collect("r1.1", "pounds"), sender.collect("r1.1", "pounds")
    (30, 30)
    >>> receiver.accept("r2.1", "pounds", 30), receiver.accept("r2.1", "pounds", 30)
    (30, 0)
    """

    def __init__(self) -> None:
        self._reported: dict[tuple[str, str], int] = {}
        self._sends_left: dict[tuple[str, str], int] = {}
        self._heard: dict[tuple[str, str], int] = {}

    def hand_over(self, receiver: str, organisation: str, tokens: int) -> None:
        """Add tokens to what is reported to an incarnation."""
        key = receiver, organisation
        self._reported[key] = self._reported.get(key, 0) + tokens
        self._sends_left[key] = _SENDS

    def collect(self, receiver: str, organisation: str) -> int | None:
        """Return the sum to report to an incarnation now; None if it was told."""
        key = receiver, organisation
        left = self._sends_left.pop(key, 0)
        if left > 1:
            self._sends_left[key] = left - 1
        return self._reported[key] if left else None

    def accept(self, sender: str, organisation: str, tokens: int) -> int:
        """Return by how much a reported sum exceeds those heard before."""
        key = sender, organisation
        heard = self._heard.get(key, 0)
        self._heard[key] = max(heard, tokens)
        return max(0, tokens - heard)
