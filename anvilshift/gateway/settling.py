"""Report the settled tokens of this router to the allocators that lent them."""

from collections.abc import Callable

from anvilshift.core.balances import Balances
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.settlements import SettledReports
from anvilshift.gateway.messages import Settled

_INTERVAL: Millis = 1 * SECOND
"""Time between two reports.  Until it has them an allocator answers that a spent total
may have tokens left, and its callers return; a report is a datagram."""
_MAX_ORGANISATIONS = 20
"""Organisations in one report, which has to fit a datagram."""


class SettlementReports:
    """Hand counts of settled tokens to allocators, and take those of other routers."""

    def __init__(self, balances: Balances, clock: Clock) -> None:
        self.balances = balances
        self.clock = clock
        self._reports = SettledReports()
        self._due: Millis = 0.0

    def list_due(
        self, find_allocator: Callable[[str], tuple[str, str] | None]
    ) -> list[tuple[Settled, str]]:
        """Return the reports to send now, each with the address of its receiver.

        Parameters
        ----------
        find_allocator
            Returns the incarnation and the address of an allocator of an
            organisation's tokens; None if there is none.
        """
        now = self.clock.now()
        if now < self._due:
            return []
        self._due = now + _INTERVAL
        sums: dict[tuple[str, str], list[tuple[str, int]]] = {}
        for name, balance in self.balances.by_name.items():
            lends = balance.keeping or not balance.limited
            receiver = None if lends else find_allocator(name)
            if receiver is None:
                continue
            tokens = self.balances.hand_over_settled(name)
            if tokens:
                self._reports.hand_over(receiver[0], name, tokens)
            known = self._reports.collect(receiver[0], name)
            if known is not None:
                sums.setdefault(receiver, []).append((name, known))
        return [
            (Settled(self.balances.holder, holder, tuple(some)), address)
            for (holder, address), listed in sums.items()
            for some in _split(listed)
        ]

    def apply(self, message: Settled) -> None:
        """Count the settled tokens of another router as known here."""
        if message.receiver != self.balances.holder:
            return
        for name, tokens in message.tokens:
            more = self._reports.accept(message.holder, name, tokens)
            self.balances.take_over_settled(name, more)


def _split(listed: list[tuple[str, int]]) -> list[list[tuple[str, int]]]:
    starts = range(0, len(listed), _MAX_ORGANISATIONS)
    return [listed[start : start + _MAX_ORGANISATIONS] for start in starts]
