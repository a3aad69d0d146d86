"""Checks at the end of a run: billing against answers, and recovery from faults."""

from collections import Counter
from typing import TYPE_CHECKING

from anvilshift.core.account import make_mark
from anvilshift.objects.ledgers import LEDGER_KIND, read_body

if TYPE_CHECKING:
    from bench.soak.run import Soak


def check_billing(soak: "Soak") -> None:
    """Check bills against runs at targets, budgets, and the answers callers received.

    An answer without a bill is accepted only if every router that had a copy of the
    bill may have been lost; its cost must then be covered by the account's doubt.
    """
    journal = soak.journal
    cost: Counter[str] = Counter()
    unbilled: Counter[str] = Counter()
    for request in soak.billed.values():
        runs = journal.engine_runs[request.text]
        runs += journal.service_runs[request.text]
        journal.check("nothing billed that did not run", runs > 0, request.text)
        cost[request.organisation] += request.cost
    for name, tokens in soak.spent.items():
        detail = f"{name} spent {tokens}, its bills cost {cost[name]}"
        journal.check("spent is what was billed", tokens == cost[name], detail)
        fits = tokens <= soak.topped_up[name]
        journal.check("bills within the budget", fits, name)
    for receipt in journal.receipts.values():
        if receipt.outcome in ("model, whole", "order, answered"):
            request = soak.requests[receipt.identity]
            mark = make_mark(receipt.identity)
            billed = (request.organisation, mark) in soak.billed
            if not billed and journal.may_lose_bill(receipt):
                unbilled[request.organisation] += request.cost
                continue
            detail = f"{request.text} was answered and never billed"
            journal.check("answer is billed", billed, detail)
    for name, tokens in unbilled.items():
        detail = f"{name} has {soak.doubt[name]} in doubt for {tokens}"
        covered = tokens <= soak.doubt[name]
        journal.check("lost bills stay in doubt", covered, detail)


def check_recovery(soak: "Soak") -> None:
    """Check that routers, tokens and declarations have recovered from the faults.

    Every caller must have received an outcome as well.
    """
    journal = soak.journal
    live = tuple(entry.node.incarnation for entry in soak.entries.values())
    for name in soak.store.names(LEDGER_KIND):
        ledger = read_body(soak.store.peek(LEDGER_KIND, name))
        for account in ledger.accounts.values():
            for holder, grant in account.grants.items():
                returned = not grant.held or holder.startswith(live)
                journal.check("tokens of lost routers come back", returned, holder)
    for entry in soak.entries.values():
        ready = entry.node.is_ready()
        journal.check("routers are ready again", ready, entry.process.name)
        current = entry.node.gate.catalogue.revision >= soak.accepted
        journal.check("declarations converge", current, entry.process.name)
        serving = {e.name for e in soak.engines.values() if e.is_serving}
        avoided = sorted(serving & entry.node.departing.leaving)
        detail = f"{entry.process.name} takes {avoided} for leaving"
        journal.check("engines that serve are used", not avoided, detail)
    for identity, request in soak.requests.items():
        answered = identity in journal.receipts
        journal.check("every caller gets an answer", answered, request.text)
