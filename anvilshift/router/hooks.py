"""Callbacks through which a router's budgets use its other components."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from anvilshift.core.escrow import Bills

KeepCopies = Callable[[str, Bills, str], Awaitable[bool]]
"""Sends copies of a holder's bills to routers other than its witness.

Called with the holder, the bills and the witness; returns False if no router accepted
them."""
KeepWitnessed = Callable[[str, str, Bills], Awaitable[bool]]
"""Sends copies of a holder's bills to one witness.

Called with the witness, the holder and the bills; returns True once the witness has
them."""
AskPeers = Callable[[str], Awaitable[None]]
"""Asks the other routers to give back unused tokens of a budget."""


async def _decline_copies(holder: str, bills: Bills, witness: str) -> bool:
    return False


async def _decline_witnessed_copies(witness: str, holder: str, bills: Bills) -> bool:
    return False


async def _skip_asking(account: str) -> None:
    return None


@dataclass
class Hooks:
    """Callbacks of the budgets; the defaults act as if no other router existed."""

    keep_copies: KeepCopies = _decline_copies
    store_at_witness: KeepWitnessed = _decline_witnessed_copies
    choose_witness: Callable[[str], str] = lambda current: ""
    ask_peers: AskPeers = _skip_asking
    has_peers: Callable[[], bool] = lambda: False
    count_event: Callable[[str], None] = lambda event: None
