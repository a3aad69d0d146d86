"""What becomes of bills that answers wait for."""

import asyncio
from collections.abc import Mapping

from anvilshift.core.account import BillState
from anvilshift.core.ledger import BillKey


class BillOutcomes:
    """The bills that answers wait for, until a commit tells what became of them.

    Examples
    --------
    >>> async def wait() -> BillState:
    ...     outcomes = BillOutcomes()
    ...     done = outcomes.expect("shop", "request-1")
    ...     outcomes.resolve({("shop", "request-1"): BillState.RECORDED})
    ...     return await done
    >>> asyncio.run(wait()).name
    'RECORDED'
    """

    def __init__(self) -> None:
        self._expected: dict[BillKey, asyncio.Future[BillState]] = {}

    def expect(self, account: str, key: str) -> "asyncio.Future[BillState]":
        """Return what will hold a bill's outcome.

        Shared, for the same request may be settled twice at a time.
        """
        if (account, key) not in self._expected:
            loop = asyncio.get_running_loop()
            self._expected[account, key] = loop.create_future()
        return self._expected[account, key]

    def resolve(self, states: Mapping[BillKey, BillState]) -> None:
        """Tell those who wait what became of their bills."""
        for key, state in states.items():
            done = self._expected.pop(key, None)
            if done is not None and not done.done():
                done.set_result(state)
