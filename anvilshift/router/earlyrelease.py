"""Decide whether an answer may end before the platform has recorded its bill.

The bill must survive this router.  Before the answer ends, a witness or another router
keeps a copy of it, or the ledger has the cost, so that any router can make the bill.
"""

import asyncio
from collections import defaultdict

from absl import logging

from anvilshift.core.account import Bill
from anvilshift.core.commit import BillKey
from anvilshift.core.escrow import Escrow
from anvilshift.router.hooks import Hooks


class EarlyRelease:
    """Release the ends of answers whose bills wait for a commit."""

    def __init__(self, hooks: Hooks) -> None:
        self._hooks = hooks
        self._without_spare: set[BillKey] = set()

    async def release(self, holder_accounts: Escrow, account: str, key: str) -> bool:
        """Tell whether an answer may end now; if so, its bill counts as released."""
        grant_state = holder_accounts.grant_states[account]
        bill = grant_state.pending.get(key)
        # A bill that isn't pending here is being submitted for a sealed holder;
        # the answer can only end when it is recorded.
        if bill is None or not holder_accounts.release_early(account, key):
            return False
        holder, witness = holder_accounts.holder, grant_state.grant.witness
        bills = ((account, bill),)
        # Copies at other routers can't close the amount in doubt; they serve to
        # record the bill if holder and witness are lost together.
        copies = self._hooks.keep_copies(holder, bills, witness)
        if witness:
            # The witness must have its copy before the answer ends: otherwise, when
            # the witness closes the amount in doubt of a lost holder, tokens that this
            # answer has spent would return to the budget.
            stored = self._hooks.store_at_witness(witness, holder, bills)
            kept, spared = await asyncio.gather(stored, copies)
            if kept and not spared:
                self._without_spare.add((account, key))
            return kept
        if await copies or grant_state.is_cost_recorded(key):
            return True
        # A router that reaches nobody holds the end back: killed then, it would take
        # the bill along.  One that is the whole fleet has nobody to wait for.
        if self._hooks.has_peers():
            return False
        logging.warning(
            "answer released without a copy holder=%s account=%s tokens=%d",
            holder,
            account,
            bill.tokens,
        )
        return True

    async def add_spare_copies(self, holder_accounts: Escrow) -> None:
        """Send copies to another router for bills that only a witness has.

        Others may have been starting or leaving when the answers ended.  If nobody
        were asked again, holder and witness could take the bills along in an outage
        that many routers live through.
        """
        released = holder_accounts.list_released()
        self._without_spare &= {(account, bill.key) for account, bill in released}
        by_witness: dict[str, list[tuple[str, Bill]]] = defaultdict(list)
        for account, bill in released:
            if (account, bill.key) in self._without_spare:
                witness = holder_accounts.grant_states[account].grant.witness
                by_witness[witness].append((account, bill))
        for witness, bills in by_witness.items():
            holder = holder_accounts.holder
            if await self._hooks.keep_copies(holder, tuple(bills), witness):
                self._without_spare -= {(account, bill.key) for account, bill in bills}
