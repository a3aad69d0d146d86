"""The outcomes of the bills that answers wait for."""

import asyncio
from collections.abc import Mapping

from anvilshift.core.account import BillState
from anvilshift.core.ledger import BillKey


class BillOutcomes:
    """Futures for bills that answers wait for; commits resolve them.

    Examples
    --------
    >>> async def wait() -> BillState:
    ...     outcomes = BillOutcomes()
    ...     outcome = outcomes.expect("shop", "request-1")
    ...     outcomes.resolve({("shop", "request-1"): BillState.RECORDED})
    ...     return await outcome
    >>> asyncio.run(wait()).name
    'RECORDED'
    """

    def __init__(self) -> None:
        self._futures: dict[BillKey, asyncio.Future[BillState]] = {}

    def expect(self, account: str, key: str) -> "asyncio.Future[BillState]":
        """Return a future for a bill's outcome.

        All calls for one bill get the same future, since the same request may be
        settled twice at the same time.
        """
        if (account, key) not in self._futures:
            loop = asyncio.get_running_loop()
            self._futures[account, key] = loop.create_future()
        return self._futures[account, key]

    def resolve(self, states: Mapping[BillKey, BillState]) -> None:
        """Set the outcomes of bills for all who wait for them."""
        for key, state in states.items():
            future = self._futures.pop(key, None)
            if future is not None and not future.done():
                future.set_result(state)
