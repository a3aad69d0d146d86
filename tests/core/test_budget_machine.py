"""Random event orders of routers, a ledger and witnesses never overspend a budget."""

import random
import unittest
from dataclasses import dataclass, field

from anvilshift.core.billcopies import BillCopies
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, BillState, Commit, Ledger, Outcome

SEEDS = 200
STEPS = 150
FATES = ("done", "done", "request lost", "response lost", "hangs")


@dataclass
class Router:
    """A router's budget state; its ledger calls begin and end in separate events."""

    incarnation: str
    holder_accounts: Escrow
    copies: BillCopies
    allowance: int = 60
    generation: int = 0
    running: dict[str, int] = field(default_factory=dict)
    commit: Commit | None = None
    outcome: Outcome | None = None
    sealed: list[Escrow] = field(default_factory=list)

    @classmethod
    def start(cls, name: str) -> "Router":
        router = cls(name, Escrow(name), BillCopies(name))
        router.holder_accounts.open("pounds", router.allowance, level=150)
        return router

    @property
    def grant_state(self):
        return self.holder_accounts.grant_states["pounds"]


class BudgetRun:
    """One random run; the tokens that callers received are summed independently."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.ledger = Ledger().top_up("pounds", "t0", 400)
        self.routers = [Router.start(f"r{n}-0") for n in range(3)]
        self.tokens: dict[str, int] = {}
        self.answered: set[str] = set()
        self.killed = 0
        self.now = 0
        for at in range(3):
            self.choose_witness(at, (at + 1) % 3)
            self.commit(at, False, "done")

    def add_answered(self, states):
        for (_, key), state in states.items():
            if state is not BillState.REFUSED:
                self.answered.add(key)

    def step(self):
        at, rng = self.rng.randrange(3), self.rng
        kinds = {
            lambda: self.serve(at, rng.randint(1, 80), rng.random() < 0.7): 8,
            lambda: self.commit(at, rng.random() < 0.2, rng.choice(FATES)): 8,
            lambda: self.release_early(at, rng.random() < 0.8): 6,
            lambda: self.finish_commit(at): 2,
            lambda: self.witness(at): 2,
            lambda: self.submit_released(at): 2,
            lambda: self.seal(at): 1,
            lambda: self.kill(at): 0.3,
            lambda: self.choose_witness(at, rng.randrange(3)): 1,
            lambda: self.set_allowance(at, rng.choice([10, 60, 100])): 1,
            lambda: self.top_up(rng.randint(1, 80)): 1,
            self.forget: 0.5,
        }
        rng.choices(list(kinds), list(kinds.values()))[0]()
        self.check()

    def top_up(self, tokens):
        self.now += 1
        self.ledger = self.ledger.top_up("pounds", f"t{self.now}", tokens)

    def serve(self, at, tokens, ends):
        router = self.routers[at]
        self.now += 1
        key = f"k{self.now}"
        if router.holder_accounts.reserve("pounds", key, tokens, float(self.now)):
            router.running[key] = tokens
        if ends and router.running:
            self.end_request(router)

    def end_request(self, router):
        key, tokens = router.running.popitem()
        self.tokens[key] = tokens
        bill = Bill(key, "kosice", tokens, router.holder_accounts.holder, at=self.now)
        router.holder_accounts.bill("pounds", bill)

    def release_early(self, at, reachable):
        router = self.routers[at]
        for key in list(router.grant_state.pending):
            if not router.holder_accounts.release_early("pounds", key):
                continue
            bills = (("pounds", router.grant_state.pending[key]),)
            holder, witness = (
                router.holder_accounts.holder,
                router.grant_state.grant.witness,
            )
            kept = [
                reachable and one.copies.add(holder, bills, witness)
                for one in self.routers
                if one.incarnation == witness
            ]
            if not witness or any(kept):
                self.answered.add(key)

    def set_allowance(self, at, allowance):
        self.routers[at].holder_accounts.open("pounds", allowance, level=150)

    def choose_witness(self, at, of):
        name = "" if at == of else self.routers[of].incarnation
        self.routers[at].holder_accounts.choose_witness(name)

    def commit(self, at, returning, fate):
        """Commit; a later event finishes or loses a commit that hangs."""
        router = self.routers[at]
        if router.commit is None:
            holder_accounts, now = router.holder_accounts, float(self.now)
            make = (
                holder_accounts.give_back if returning else holder_accounts.begin_commit
            )
            router.commit = make(now=now)
        if fate != "request lost":
            self.ledger, router.outcome = self.ledger.apply(router.commit)
        if fate == "done":
            self.finish_commit(at)
        elif fate != "hangs":
            router.commit = router.outcome = None

    def finish_commit(self, at):
        router = self.routers[at]
        if router.commit is None or router.outcome is None:
            router.commit = router.outcome = None
            return
        commit, outcome = router.commit, router.outcome
        router.commit = router.outcome = None
        self.add_answered(outcome.bills)
        if not outcome.sealed:
            router.holder_accounts.finish_commit(commit, outcome, float(self.now))
            assert not router.grant_state.frozen
            return
        router.holder_accounts.drop_decided_bills(outcome.bills)
        router.sealed.append(router.holder_accounts)
        router.generation += 1
        name = f"{router.incarnation}.{router.generation}"
        router.holder_accounts = router.holder_accounts.succeed(name)

    def seal(self, at):
        self.ledger = self.ledger.seal(
            self.routers[at].holder_accounts.holder, self.now + 1
        )

    def submit_released(self, at):
        for holder_accounts in self.routers[at].sealed:
            bills = holder_accounts.list_released()
            self.ledger, states = self.ledger.submit_late_bills(
                holder_accounts.holder, bills, holder_accounts.holder
            )
            self.add_answered(states)
            refused = {key for (_, key), s in states.items() if s is BillState.REFUSED}
            assert not refused & self.answered, "the bill of an ended answer is refused"
            self.routers[at].holder_accounts.adopt(states, bills)
        self.routers[at].sealed = []

    def witness(self, at):
        copies = self.routers[at].copies
        name = self.routers[at].incarnation
        for holder in self.ledger.list_sealed(self.now + 9):
            if name in self.ledger.list_witnesses(holder):
                bills = copies.close(holder)
                self.ledger, _ = self.ledger.submit_late_bills(holder, bills, name)

    def kill(self, at):
        self.killed += 1
        self.routers[at] = Router.start(f"r{at}-{self.killed}")

    def forget(self):
        self.ledger = self.ledger.forget(self.now, 0)
        self.now += 40

    def check(self):
        account = self.ledger.account("pounds").check()
        received = sum(self.tokens[key] for key in self.answered)
        assert received <= account.total, (
            "callers received more tokens than were topped up"
        )
        assert account.spent <= sum(self.tokens.values()), "a request is billed twice"

    def end(self):
        """Finish the commits of all living routers and compare the sums."""
        for at, router in enumerate(self.routers):
            router.commit = router.outcome = None
            for _ in range(3):
                self.commit(at, True, "done")
            self.submit_released(at)
            self.commit(at, True, "done")
            assert not router.grant_state.pending
        self.check()
        if not self.killed:
            spent = self.ledger.account("pounds").spent
            assert spent == sum(self.tokens[key] for key in self.answered)


class BudgetRunTest(unittest.TestCase):
    def test_no_order_of_events_overspends_or_bills_twice(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run = BudgetRun(seed)
                for _ in range(STEPS):
                    run.step()
                run.end()
