"""The sends of one request, all but the first of which need a retry."""

from anvilshift.core.clock import Clock
from anvilshift.core.errors import check_invariant
from anvilshift.core.retries import Retry, RetryBudget


class RequestRetries:
    """The sends of one request to targets of one service.

    Every send is recorded here, so that a request can't be sent again without a retry
    from the budget, whatever the reason.

    Parameters
    ----------
    clock
        A clock that goes on while the host is suspended.

    Attributes
    ----------
    sends
        How often the request was sent.
    """

    def __init__(self, budget: RetryBudget, service: str, clock: Clock) -> None:
        self._budget = budget
        self._service = service
        self._clock = clock
        self._unused: Retry | None = None
        self._sent: Retry | None = None
        self.sends = 0

    def may_send(self) -> bool:
        """Return whether the request may be sent now; take a retry if it needs one."""
        if not self.sends or self._unused is not None:
            return True
        self._unused = self._budget.take(self._service, self._clock.now())
        return self._unused is not None

    def record_send(self) -> None:
        """Record that the request is about to be sent.

        Raises
        ------
        InvariantError
            When it was sent before and has no retry.
        """
        if self.sends:
            check_invariant(
                self._unused is not None, "a request is sent again without a retry"
            )
            self._budget.counts.find(self._service).repeats += 1
        self.sends += 1
        self._sent, self._unused = self._unused, None

    def record_arrival(self) -> None:
        """Record that what was sent last has arrived, or never will."""
        if self._sent is not None:
            self._sent.settle(self._clock.now())
            self._sent = None

    def close(self) -> None:
        """Give back a retry with which nothing was sent."""
        self.record_arrival()
        self.give_back()

    def give_back(self) -> None:
        """Give back a retry that was taken and isn't used after all."""
        if self._unused is not None:
            self._budget.give_back(self._service, self._unused)
            self._unused = None
