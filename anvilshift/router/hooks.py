"""What the router's budgets ask of the rest of its router."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from anvilshift.core.holderaccounts import Bills

KeepCopies = Callable[[str, Bills, str], Awaitable[bool]]
"""Leaves copies of a holder's bills with routers other than its witness, named last;
False if none took them."""
KeepWitnessed = Callable[[str, str, Bills], Awaitable[bool]]
"""Leaves copies with one router, named first; True once it has them."""
AskPeers = Callable[[str], Awaitable[None]]
"""Asks other routers to give unused tokens of a budget back."""


async def _keep_nothing(holder: str, bills: Bills, witness: str) -> bool:
    return False


async def _reach_no_witness(witness: str, holder: str, bills: Bills) -> bool:
    return False


async def _ask_nobody(account: str) -> None:
    return None


@dataclass
class Hooks:
    """What the router's budgets ask of the rest of its router."""

    keep_copies: KeepCopies = _keep_nothing
    store_at_witness: KeepWitnessed = _reach_no_witness
    choose_witness: Callable[[str], str] = lambda current: ""
    ask_peers: AskPeers = _ask_nobody
    count_event: Callable[[str], None] = lambda event: None
