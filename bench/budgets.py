"""Compare strategies for spending a prepaid budget (``make budgets``).

The budgets of the routers runs in virtual time on an in-memory platform with
4 ms per call, and every strategy receives the same requests.  Refusals are
checked against the tokens that are really left.  A refusal is false when the
tokens of the budget, less those spent and those reserved by requests in flight,
covered the request during the whole time from its arrival to its refusal.  (If
only the instant of the refusal counted, then of 40 requests that wait for the
last 300 tokens all would be false refusals.)
"""

import asyncio
import logging as plain_logging
import random
import sys
from dataclasses import dataclass, field, replace
from typing import Protocol

from absl import logging

from anvilshift.core.clock import Millis
from anvilshift.core.declarations import Budget
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, Ledger
from anvilshift.objects import ledgers
from anvilshift.objects.records import decode
from anvilshift.objects.store import update
from anvilshift.router.budgets import LEDGER_KIND, LEDGER_NAME, RouterBudgets
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from bench.metered import MeteredBudgets

ROUTERS = 5
PLATFORM_CALL_S = 0.004
COMMIT_SPACING: Millis = 250.0


@dataclass(frozen=True)
class Request:
    """One request of the trace."""

    key: str
    account: str
    router: int
    at: float
    bound: int
    tokens: int
    span: float


@dataclass(frozen=True)
class Load:
    """A workload: budgets, their tokens, and the rate of the requests."""

    name: str
    budgets: int
    tokens: int
    rate: float
    seconds: float
    allowance: int
    grant: int

    def make_trace(self, seed: int) -> list[Request]:
        """Return the requests; a few routers and budgets receive most of them."""
        rng = random.Random(seed)
        now, trace = 0.0, []
        while now < self.seconds:
            now += rng.expovariate(self.rate)
            router = min(int(rng.expovariate(0.5)), ROUTERS - 1)
            account = f"b{min(int(rng.expovariate(0.7)), self.budgets - 1)}"
            tokens = rng.randint(40, 200)
            span = 0.2 + tokens * 0.01
            key = f"{seed}-{len(trace)}"
            trace.append(Request(key, account, router, now, 300, tokens, span))
        return trace


HOMARNIK = Load("homarnik", 5, 60_000, 80.0, 40.0, allowance=2_000, grant=20_000)
BLUE_MAHOE = Load("blue-mahoe", 1, 400_000, 100.0, 40.0, allowance=8_000, grant=20_000)
STEADY = Load("steady", 5, 10**8, 250.0, 8.0, allowance=2_000, grant=20_000)


class BudgetClient(Protocol):
    """The access of one router to the budgets."""

    async def reserve(self, account: str, key: str, tokens: int) -> None:
        """Reserve tokens of an account for a request."""

    def release(self, account: str, key: str) -> None:
        """Release a reservation."""

    async def settle(
        self, account: str, key: str, organisation: str, tokens: int
    ) -> None:
        """Bill the used tokens of a request."""


class LedgerWriteClient:
    """Writes the ledger for each reservation and each bill."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self._store = store.view(name)
        self._holder_accounts = Escrow(name)
        self._lock = asyncio.Lock()

    async def _commit(self) -> None:
        async with self._lock:
            commit = self._holder_accounts.begin_commit()
            outcomes = []

            def change(ledger: Ledger) -> Ledger:
                ledger, outcome = ledger.apply(commit)
                outcomes.append(outcome)
                return ledger

            body = ledgers.make_body_change(change)
            await update(self._store, LEDGER_KIND, LEDGER_NAME, body)
            self._holder_accounts.finish_commit(commit, outcomes[-1])

    async def reserve(self, account: str, key: str, tokens: int) -> None:
        """Reserve tokens, with a write to the ledger when the grant is too small."""
        self._holder_accounts.open(account, 0, 0)
        if not self._holder_accounts.reserve(account, key, tokens):
            await self._commit()
        if not self._holder_accounts.reserve(account, key, tokens):
            code = self._holder_accounts.grant_states[account].refuse(key, tokens, 0.0)
            raise AnvilshiftError(code)

    def release(self, account: str, key: str) -> None:
        """Release a reservation."""
        self._holder_accounts.release(account, key)

    async def settle(
        self, account: str, key: str, organisation: str, tokens: int
    ) -> None:
        """Bill the used tokens with a write to the ledger."""
        bill = Bill(key, organisation, tokens, self._holder_accounts.holder)
        self._holder_accounts.bill(account, bill)
        await self._commit()


class FixedShareClient:
    """Spends from a fixed share of each budget that no other router can use."""

    def __init__(self, router_budgets: RouterBudgets, number: int) -> None:
        self._router_budgets = router_budgets
        self._number = number

    def _share_account(self, account: str) -> str:
        return f"{account}/{self._number}"

    async def reserve(self, account: str, key: str, tokens: int) -> None:
        """Reserve tokens of an account for a request."""
        await self._router_budgets.reserve(self._share_account(account), key, tokens)

    def release(self, account: str, key: str) -> None:
        """Release a reservation."""
        self._router_budgets.release(self._share_account(account), key)

    async def settle(
        self, account: str, key: str, organisation: str, tokens: int
    ) -> None:
        """Bill the used tokens of a request."""
        await self._router_budgets.settle(
            self._share_account(account), key, organisation, tokens
        )


@dataclass
class Fleet:
    """A platform, the routers' budget clients and the results of the callers."""

    strategy: str
    load: Load
    store: MemoryStore = field(default_factory=MemoryStore)
    clients: list[BudgetClient] = field(default_factory=list)
    all_router_budgets: list[RouterBudgets] = field(default_factory=list)
    left: dict[str, int] = field(default_factory=dict)
    received: dict[str, int] = field(default_factory=dict)
    served: int = 0
    refused: int = 0
    false_refusals: int = 0
    settle_failures: int = 0
    settle_waits: list[float] = field(default_factory=list)
    killed: set[int] = field(default_factory=set)
    lowest_remaining: dict[str, dict[str, int]] = field(default_factory=dict)

    def _change_remaining(self, account: str, change: int) -> None:
        self.left[account] += change
        waiting = self.lowest_remaining.get(account, {})
        for key in waiting:
            waiting[key] = min(waiting[key], self.left[account])

    async def open(self) -> None:
        """Top up the budgets and create the budget clients of the routers."""

        async def delay_call(caller: str, verb: str) -> None:
            await asyncio.sleep(PLATFORM_CALL_S / 2)

        self.store.faults.before = self.store.faults.after = delay_call
        for number in range(self.load.budgets):
            await self._top_up(f"b{number}", self.load.tokens)
        for number in range(ROUTERS):
            self.clients.append(self._make_client(number))

    async def _top_up(self, account: str, tokens: int) -> None:
        self.left[account] = self.left.get(account, 0) + tokens
        names = [account]
        if self.strategy == "fixed shares":
            names = [f"{account}/{n}" for n in range(ROUTERS)]
        for name in names:
            await ledgers.top_up(self.store, name, "first", tokens // len(names))

    def _make_client(self, number: int) -> BudgetClient:
        if self.strategy == "a write a request":
            return LedgerWriteClient(self.store, f"r{number}")
        view = self.store.view(f"r{number}")
        router_budgets = MeteredBudgets(
            view, VirtualClock(), f"r{number}-a", COMMIT_SPACING
        )
        self.all_router_budgets.append(router_budgets)
        names = [f"b{n}" for n in range(self.load.budgets)]
        if self.strategy == "fixed shares":
            names = [f"{name}/{number}" for name in names]
        grant, allowance = self.load.grant, self.load.allowance
        budgets = {n: Budget(n, allowance=allowance, grant=grant) for n in names}
        router_budgets.configure(budgets)
        if self.strategy == "fixed shares":
            return FixedShareClient(router_budgets, number)
        router_budgets.ask_peers = lambda account: self._ask(number, account)
        if self.strategy == "escrow, witnessed":
            witness = (number + 1) % ROUTERS
            router_budgets.hooks.choose_witness = lambda _: f"r{witness}-a"
            router_budgets.hooks.store_at_witness = self._keep_witnessed
        return router_budgets

    async def _ask(self, number: int, account: str) -> None:
        others = [t for n, t in enumerate(self.all_router_budgets) if n != number]
        await asyncio.sleep(0.002)
        await asyncio.gather(*(t.give_back(account) for t in others))

    async def _keep_witnessed(self, witness: str, holder: str, bills) -> bool:  # type: ignore[no-untyped-def]
        await asyncio.sleep(0.002)
        number = int(witness[1 : witness.index("-")])
        alive = number not in self.killed
        return alive and self.all_router_budgets[number].copies.add(
            holder, bills, witness
        )

    async def serve(self, request: Request) -> None:
        """Serve a request and classify its outcome."""
        await asyncio.sleep(request.at)
        client, account = self.clients[request.router], request.account
        lowest_remaining = self.lowest_remaining.setdefault(account, {})
        lowest_remaining[request.key] = self.left[account]
        try:
            await client.reserve(account, request.key, request.bound)
        except AnvilshiftError:
            self.refused += 1
            self.false_refusals += request.bound <= lowest_remaining.pop(request.key)
            return
        del lowest_remaining[request.key]
        self._change_remaining(account, -request.bound)
        await asyncio.sleep(request.span)
        began = asyncio.get_running_loop().time()
        try:
            await client.settle(account, request.key, "all", request.tokens)
        except AnvilshiftError:
            self.settle_failures += 1
            return
        self.settle_waits.append(asyncio.get_running_loop().time() - began)
        self._change_remaining(account, request.bound - request.tokens)
        self.received[account] = self.received.get(account, 0) + request.tokens
        self.served += 1

    @property
    def ledger(self) -> Ledger:
        """Return the ledger as the platform stores it."""
        return decode(
            Ledger, self.store.read_ignoring_faults(LEDGER_KIND, LEDGER_NAME) or {}
        )

    @property
    def overspend(self) -> int:
        """Return the tokens that callers received beyond the prepaid amount."""
        total = self.load.tokens
        return sum(max(0, tokens - total) for tokens in self.received.values())


async def run_load(strategy: str, load: Load, seed: int) -> str:
    """Run a workload without faults; return its row of the table."""
    fleet = Fleet(strategy, load)
    await fleet.open()
    before = fleet.store.calls["put"]
    trace = load.make_trace(seed)
    work = [asyncio.create_task(fleet.serve(request)) for request in trace]
    await asyncio.sleep(load.seconds)
    puts = (fleet.store.calls["put"] - before) / load.seconds
    await asyncio.gather(*work)
    settle_waits = sorted(fleet.settle_waits)
    median, tail = (
        settle_waits[len(settle_waits) // 2],
        settle_waits[int(len(settle_waits) * 0.95)],
    )
    return (
        f"{load.name:11} {strategy:18} overspend {fleet.overspend}, "
        f"refused {fleet.refused} of {len(trace)}, false {fleet.false_refusals} "
        f"({100 * fleet.false_refusals / len(trace):.2f}%), "
        f"writes/s a router {puts / ROUTERS:.1f}, a budget {puts / load.budgets:.1f}, "
        f"end waits p50 {median * 1000:.0f} ms p95 {tail * 1000:.0f} ms"
    )


async def run_crash(strategy: str, load: Load, seed: int) -> str:
    """Kill a router with requests in flight; return the row of tokens in doubt."""
    fleet = Fleet(strategy, load)
    await fleet.open()
    trace = [r for r in load.make_trace(seed) if r.at < 10]
    work = [asyncio.create_task(fleet.serve(request)) for request in trace]
    await asyncio.sleep(6)
    fleet.store.faults.cut.add("r0")
    fleet.killed.add(0)
    before = fleet.ledger
    held = sum(a.grant("r0-a").held for a in before.accounts.values())
    for task in work:
        task.cancel()
    await fleet.all_router_budgets[1].seal("r0-a")
    sealed = sum(a.doubt for a in fleet.ledger.accounts.values())
    for router_budgets in fleet.all_router_budgets[1:]:
        await router_budgets.seal_lost([f"r{n}-a" for n in range(ROUTERS)])
    left = sum(a.doubt for a in fleet.ledger.accounts.values())
    return (
        f"{load.name:11} {strategy:18} allowance {load.allowance}: "
        f"the dead held {held}, "
        f"in doubt when sealed {sealed}, after the witness's sweep {left}"
    )


async def run_outage(strategy: str, load: Load, seed: int) -> str:
    """Run into a platform outage; return the row of how long answers still end."""
    fleet = Fleet(strategy, load)
    await fleet.open()
    trace = load.make_trace(seed)
    work = [asyncio.create_task(fleet.serve(request)) for request in trace]
    await asyncio.sleep(10)
    fleet.store.faults.outage = True
    served, last_served = fleet.served, 0.0
    first: float | None = None
    for tick in range(1, 100):
        refused = fleet.refused
        await asyncio.sleep(0.2)
        if fleet.served > served:
            served, last_served = fleet.served, tick * 0.2
        if first is None and fleet.refused > refused:
            first = tick * 0.2
    refused_in_outage = fleet.refused
    fleet.store.faults.outage = False
    await asyncio.gather(*work)
    started = "none" if first is None else f"{first:.1f} s"
    return (
        f"{load.name:11} {strategy:18} allowance {load.allowance}: "
        f"first refusal {started}, "
        f"last answer ended {last_served:.1f} s into an outage of 20 s, "
        f"refused in it {refused_in_outage}, overspend {fleet.overspend}"
    )


STRATEGIES = ("a write a request", "fixed shares", "escrow", "escrow, witnessed")


def main(seed: int = 7) -> None:
    """Print the tables for normal load, crashes and outages."""
    logging.set_verbosity(logging.FATAL)
    plain_logging.disable()
    print("load without faults")
    for load in (HOMARNIK, BLUE_MAHOE, STEADY):
        for strategy in STRATEGIES:
            print(run_virtual(run_load(strategy, load, seed)), flush=True)
    print("allowance: doubt after a crash, life in an outage")
    for load in (HOMARNIK, BLUE_MAHOE):
        for allowance in (500, 2_000, 8_000, 32_000):
            sized = replace(load, allowance=allowance)
            for strategy in STRATEGIES[2:]:
                print(run_virtual(run_crash(strategy, sized, seed)), flush=True)
                print(run_virtual(run_outage(strategy, sized, seed)), flush=True)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
