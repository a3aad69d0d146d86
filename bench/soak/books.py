"""The checks at a run's end: what callers got against what was billed."""

from collections import Counter
from typing import TYPE_CHECKING

from anvilshift.core.account import make_mark
from anvilshift.objects.ledgers import LEDGER_KIND, read_body

if TYPE_CHECKING:
    from bench.soak.run import Soak


def check_books(soak: "Soak") -> None:
    """Compare what callers received with what was billed."""
    journal = soak.journal
    cost: Counter[str] = Counter()
    unbilled: Counter[str] = Counter()
    for asked in soak.billed.values():
        ran = journal.engine_runs[asked.request]
        ran += journal.service_runs[asked.request]
        journal.check("nothing billed that did not run", ran > 0, asked.request)
        cost[asked.organisation] += asked.cost
    for name, tokens in soak.spent.items():
        detail = f"{name} spent {tokens}, its bills cost {cost[name]}"
        journal.check("spent is what was billed", tokens == cost[name], detail)
        fits = tokens <= soak.topped[name]
        journal.check("bills within the budget", fits, name)
    for receipt in journal.receipts.values():
        if receipt.outcome in ("model, whole", "order, answered"):
            asked = soak.asked[receipt.request]
            mark = make_mark(receipt.request)
            billed = (asked.organisation, mark) in soak.billed
            if not billed and journal.may_lose_bill(receipt):
                unbilled[asked.organisation] += asked.cost
                continue
            detail = f"{asked.request} was answered and never billed"
            journal.check("answer is billed", billed, detail)
    for name, tokens in unbilled.items():
        detail = f"{name} has {soak.doubt[name]} in doubt for {tokens}"
        covered = tokens <= soak.doubt[name]
        journal.check("lost bills stay in doubt", covered, detail)


def check_fleet(soak: "Soak") -> None:
    """Check that everything has come back once the faults are over."""
    journal = soak.journal
    live = tuple(entry.node.incarnation for entry in soak.entries.values())
    for name in soak.store.names(LEDGER_KIND):
        ledger = read_body(soak.store.peek(LEDGER_KIND, name))
        for account in ledger.accounts.values():
            for holder, grant in account.grants.items():
                back = not grant.held or holder.startswith(live)
                journal.check("tokens of lost routers come back", back, holder)
    for entry in soak.entries.values():
        ready = entry.node.is_ready()
        journal.check("routers are ready again", ready, entry.presence.name)
        newest = entry.node.access_control.catalogue.revision >= soak.accepted
        journal.check("declarations converge", newest, entry.presence.name)
        serving = {e.name for e in soak.engines.values() if e.is_serving}
        unused = sorted(serving & entry.node.leaving_targets.leaving)
        detail = f"{entry.presence.name} takes {unused} for leaving"
        journal.check("engines that serve are used", not unused, detail)
    for identity, asked in soak.asked.items():
        told = identity in journal.receipts
        journal.check("every caller gets an answer", told, asked.request)
