"""Decide whether an answer may end before the platform has recorded its bill.

The bill must survive this router.  Before an answer ends, another process has it or
can make it: the witness and other routers keep copies, and the ledger may have the
cost.
"""

import asyncio

from absl import logging

from anvilshift.core.account import Bill
from anvilshift.core.escrow import Escrow
from anvilshift.router.hooks import Hooks


class EarlyRelease:
    """Release the ends of answers whose bills wait for a commit."""

    def __init__(self, hooks: Hooks) -> None:
        self._hooks = hooks
        self._sending: set[asyncio.Future[bool]] = set()

    async def release(self, holder_accounts: Escrow, account: str, key: str) -> bool:
        """Tell whether an answer may end now; if so, its bill counts as released."""
        grant_state = holder_accounts.grant_states[account]
        bill = grant_state.pending.get(key)
        # A bill that isn't pending here is being submitted for a sealed holder;
        # the answer can only end when it is recorded.
        if bill is None or not holder_accounts.release_early(account, key):
            return False
        copies = self._send_copies(holder_accounts, account, bill)
        if grant_state.is_cost_recorded(key):
            return True
        if grant_state.grant.witness:
            return await self._store_at_witness(holder_accounts, account, bill, copies)
        # A router that reaches nobody holds the end back: killed then, it would take
        # the bill along.  One that is the whole fleet has nobody to wait for.
        if await copies:
            return True
        if self._hooks.has_peers():
            return False
        logging.warning(
            "answer released without a copy holder=%s account=%s tokens=%d",
            holder_accounts.holder,
            account,
            bill.tokens,
        )
        return True

    def _send_copies(
        self, holder_accounts: Escrow, account: str, bill: Bill
    ) -> asyncio.Future[bool]:
        """Start to send copies to routers other than the witness.

        They can't close the amount in doubt; they serve to record the bill if holder
        and witness are lost together.
        """
        witness = holder_accounts.grant_states[account].grant.witness
        sending = asyncio.ensure_future(
            self._hooks.keep_copies(holder_accounts.holder, ((account, bill),), witness)
        )
        self._sending.add(sending)
        sending.add_done_callback(self._sending.discard)
        return sending

    async def _store_at_witness(
        self,
        holder_accounts: Escrow,
        account: str,
        bill: Bill,
        copies: asyncio.Future[bool],
    ) -> bool:
        # The witness must have its copy before the answer ends: otherwise, when the
        # witness closes the amount in doubt of a lost holder, tokens that this
        # answer has spent would return to the budget.
        witness = holder_accounts.grant_states[account].grant.witness
        stored = self._hooks.store_at_witness(
            witness, holder_accounts.holder, ((account, bill),)
        )
        kept, _ = await asyncio.gather(stored, copies)
        return kept
