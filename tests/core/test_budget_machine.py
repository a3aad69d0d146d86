"""Routers, a ledger and witnesses in any order of events: nobody overspends."""

import unittest
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from anvilshift.core.copies import Copies
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, BillState, Commit, Ledger, Outcome

ROUTERS = st.integers(0, 2)


@dataclass
class Router:
    """A router's money, its calls spread over separate events."""

    incarnation: str
    escrow: Escrow
    copies: Copies
    allowance: int = 60
    generation: int = 0
    running: dict[str, int] = field(default_factory=dict)
    commit: Commit | None = None
    outcome: Outcome | None = None
    sealed: list[Escrow] = field(default_factory=list)

    @classmethod
    def start(cls, name: str) -> "Router":
        router = cls(name, Escrow(name), Copies(name))
        router.escrow.open("pounds", router.allowance, level=150)
        return router

    @property
    def purse(self):
        return self.escrow.purses["pounds"]


class BudgetMachine(RuleBasedStateMachine):
    """What callers received is summed up apart from the ledger."""

    def __init__(self):
        super().__init__()
        self.ledger = Ledger().top_up("pounds", "t0", 400)
        self.routers = [Router.start(f"r{n}-0") for n in range(3)]
        self.tokens: dict[str, int] = {}
        self.answered: set[str] = set()
        self.dead = 0
        self.now = 0

    def end_recorded(self, states):
        for (_, key), state in states.items():
            if state is not BillState.REFUSED:
                self.answered.add(key)

    @rule(tokens=st.integers(1, 50))
    def top_up(self, tokens):
        self.now += 1
        self.ledger = self.ledger.top_up("pounds", f"t{self.now}", tokens)

    @rule(at=ROUTERS, tokens=st.integers(1, 120))
    def begin_request(self, at, tokens):
        self.now += 1
        key = f"k{self.now}"
        if self.routers[at].escrow.reserve("pounds", key, tokens, float(self.now)):
            self.routers[at].running[key] = tokens

    @rule(at=ROUTERS)
    def end_request(self, at):
        router = self.routers[at]
        if router.running:
            key, tokens = router.running.popitem()
            self.tokens[key] = tokens
            bill = Bill(key, "kosice", tokens, router.escrow.holder, at=self.now)
            router.escrow.bill("pounds", bill)

    @rule(at=ROUTERS, reachable=st.booleans())
    def release_early(self, at, reachable):
        router = self.routers[at]
        for key in list(router.purse.pending):
            if not router.escrow.release_early("pounds", key):
                continue
            bills = (("pounds", router.purse.pending[key]),)
            holder, witness = router.escrow.holder, router.purse.grant.witness
            kept = [
                reachable and one.copies.add(holder, bills, witness)
                for one in self.routers
                if one.incarnation == witness
            ]
            if not witness or any(kept):
                self.answered.add(key)

    @rule(at=ROUTERS, allowance=st.sampled_from([10, 60, 100]))
    def change_allowance(self, at, allowance):
        self.routers[at].escrow.open("pounds", allowance, level=150)

    @rule(at=ROUTERS, of=ROUTERS)
    def choose_witness(self, at, of):
        name = "" if at == of else self.routers[of].incarnation
        self.routers[at].escrow.choose_witness(name)

    @rule(at=ROUTERS, giving=st.booleans())
    def begin_commit(self, at, giving):
        router = self.routers[at]
        if router.commit is None:
            escrow, now = router.escrow, float(self.now)
            make = escrow.give_back if giving else escrow.begin_commit
            router.commit = make(now=now)

    @rule(at=ROUTERS)
    def take_effect(self, at):
        router = self.routers[at]
        if router.commit is not None:
            self.ledger, router.outcome = self.ledger.apply(router.commit)

    @rule(at=ROUTERS)
    def lose_answer(self, at):
        self.routers[at].commit = self.routers[at].outcome = None

    @rule(at=ROUTERS)
    def finish_commit(self, at):
        router = self.routers[at]
        if router.commit is None or router.outcome is None:
            return
        commit, outcome = router.commit, router.outcome
        router.commit = router.outcome = None
        self.end_recorded(outcome.bills)
        if not outcome.sealed:
            router.escrow.finish_commit(commit, outcome, float(self.now))
            assert not router.purse.frozen
            return
        router.escrow.drop_judged(outcome.bills)
        router.sealed.append(router.escrow)
        router.generation += 1
        name = f"{router.incarnation}.{router.generation}"
        router.escrow = router.escrow.succeed(name)

    @rule(at=ROUTERS)
    def seal(self, at):
        self.ledger = self.ledger.seal(self.routers[at].escrow.holder, self.now + 1)

    @rule(at=ROUTERS)
    def hand_in_own(self, at):
        for escrow in self.routers[at].sealed:
            bills = escrow.list_released()
            self.ledger, states = self.ledger.hand_in(
                escrow.holder, bills, escrow.holder
            )
            assert BillState.REFUSED not in states.values()
            self.end_recorded(states)

    @rule(at=ROUTERS)
    def witness(self, at):
        copies = self.routers[at].copies
        name = self.routers[at].incarnation
        for holder in self.ledger.list_sealed(self.now + 9):
            if name in self.ledger.list_witnesses(holder):
                bills = copies.close(holder)
                self.ledger, _ = self.ledger.hand_in(holder, bills, name)

    @precondition(lambda self: self.dead < 4)
    @rule(at=ROUTERS)
    def kill(self, at):
        self.dead += 1
        self.routers[at] = Router.start(f"r{at}-{self.dead}")

    @rule()
    def forget(self):
        self.ledger = self.ledger.forget(self.now, self.now - 50)
        self.now += 40

    @invariant()
    def nobody_overspends(self):
        account = self.ledger.account("pounds").check()
        assert sum(self.tokens[key] for key in self.answered) <= account.total

    @invariant()
    def each_request_is_billed_at_most_once(self):
        assert self.ledger.account("pounds").spent <= sum(self.tokens.values())

    def teardown(self):
        for at, router in enumerate(self.routers):
            self.lose_answer(at)
            for _ in range(3):
                self.begin_commit(at, giving=True)
                self.take_effect(at)
                self.finish_commit(at)
            self.hand_in_own(at)
            assert not router.purse.pending
        if not self.dead:
            spent = self.ledger.account("pounds").spent
            assert spent == sum(self.tokens[key] for key in self.answered)


BudgetMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


class BudgetMachineTest(BudgetMachine.TestCase, unittest.TestCase):
    pass
