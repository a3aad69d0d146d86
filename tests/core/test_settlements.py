import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.allotments import Allotments, Totals
from anvilshift.core.balances import Balances
from anvilshift.core.settlements import SettledReports
from anvilshift.core.usage import SpendingBounds, UseRecord

POUNDS = "pounds"
TOTAL = 300
SIZES = (1, 10, 40, 90)
RANKS = (0, 1, None, None)
"""Two allocators and two routers that aren't."""
LOSS = {"gift": 0.01, "report": 0.2}
"""Lost tokens are gone, so that more losses would keep totals from being spent."""


@dataclass
class Router:
    """One router: what it holds, and what it wrote and reported."""

    node: int
    holder: str
    rank: int | None
    balances: Balances
    reports: SettledReports = field(default_factory=SettledReports)
    record: UseRecord | None = None
    keys: list[str] = field(default_factory=list)


class Model:
    """Routers, one store and datagrams, with a count of what was really delivered."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.total, self.version = TOTAL, 1
        self.told: dict[int, tuple[int, int]] = {}
        self.store = Allotments()
        self.records: dict[int, UseRecord] = {}
        self.flying: list[tuple[str, str, int, str]] = []
        self.delivered = 0
        self.births = 0
        self.routers = [self.start(node) for node in range(len(RANKS))]

    def start(self, node: int) -> Router:
        self.births += 1
        holder, rank = f"r{node}.{self.births}", RANKS[node]
        balances = Balances(holder)
        self.told[node] = self.version, self.total
        balances.configure({POUNDS: self.total}, self.now)
        balance = balances.by_name[POUNDS]
        balance.rank, balance.allocators = rank, 2
        return Router(node, holder, rank, balances)

    def reserve(self, router: Router) -> None:
        key = f"k{self.random.random()}"
        tokens = self.random.choice(SIZES)
        if self.draw(router, key, tokens):
            router.keys.append(key)
        elif not router.balances.by_name[POUNDS].keeping:
            self.lend(self.random.choice(self.routers[:2]), router)

    def draw(self, router: Router, key: str, tokens: int) -> bool:
        """Reserve tokens, at an allocator after a draw and a record where needed."""
        balances = router.balances
        if not balances.reserve(POUNDS, key, tokens, self.now):
            if balances.by_name[POUNDS].keeping:
                self.write(router)
                self.record(router)
            balances.reserve(POUNDS, key, tokens, self.now)
        balances.cancel_waiting(POUNDS, key)
        return key in balances.by_name[POUNDS].reserved

    def settle(self, router: Router) -> None:
        if router.keys:
            key = router.keys.pop(self.random.randrange(len(router.keys)))
            most = router.balances.by_name[POUNDS].reserved[key]
            used = self.random.choice((0, most // 3, most, most))
            router.balances.settle(POUNDS, key, used, self.now)
            self.delivered += used

    def lend(self, router: Router, other: Router | None = None) -> None:
        other = other or self.random.choice(self.routers)
        if router is not other:
            self.draw(router, "lent", self.random.choice(SIZES))
            tokens = router.balances.transfer_reservation(POUNDS, "lent", self.now)
            self.flying.append((other.holder, "gift", tokens, ""))

    def give_back(self, router: Router) -> None:
        tokens = max(0, router.balances.by_name[POUNDS].available(self.now))
        router.balances.debit(POUNDS, tokens)
        self.flying.append((self.routers[0].holder, "gift", tokens, ""))

    def report(self, router: Router) -> None:
        receiver = self.random.choice(self.routers[:2]).holder
        tokens = router.balances.hand_over_settled(POUNDS)
        if tokens:
            router.reports.hand_over(receiver, POUNDS, tokens)
        known = router.reports.collect(receiver, POUNDS)
        if known is not None:
            message = receiver, "report", known, router.holder
            self.flying += [message] * self.random.choice((1, 1, 2))

    def land(self, _: Router) -> None:
        if not self.flying:
            return
        index = self.random.randrange(len(self.flying))
        receiver, kind, tokens, sender = self.flying.pop(index)
        if self.random.random() < LOSS[kind]:
            return
        for router in self.routers:
            if router.holder == receiver and kind == "gift":
                router.balances.credit(POUNDS, tokens)
            elif router.holder == receiver:
                more = router.reports.accept(sender, POUNDS, tokens)
                router.balances.take_over_settled(POUNDS, more)

    def write(self, router: Router) -> None:
        requests = router.balances.make_share_requests(self.now)
        version, total = self.told[router.node]
        totals = Totals(version, {POUNDS: total})
        granted = self.store.grant(router.holder, requests, totals)
        if self.random.random() < 0.9:
            self.store = granted
            if self.random.random() < 0.9:
                router.balances.apply_allotments(granted, self.now)

    def read(self, router: Router) -> None:
        if self.store.of(POUNDS).shares.get(router.holder) is None:
            router.balances.apply_allotments(self.store, self.now)

    def record(self, router: Router) -> None:
        uses = router.balances.make_uses(self.now)
        record = router.record or UseRecord(router.holder, "", self.now, uses=uses)
        if router.record is None:
            router.balances.limit_by_record(record)
        router.record = record
        if self.random.random() < 0.9:
            self.records[router.node] = record
            if self.random.random() < 0.9:
                router.balances.confirm_record(record)
                router.record = None

    def kill(self, router: Router) -> None:
        """Kill a router; its successor ends its share, by its record if proved."""
        record = self.records.pop(router.node, None)
        bounds = None
        if record and record.holder == router.holder and self.random.random() < 0.7:
            bounds = record.bound(self.now - record.anchor)
        self.store = self.store.end(router.holder, bounds)
        self.routers[router.node] = self.start(router.node)

    def stop(self, router: Router) -> None:
        while router.keys:
            self.settle(router)
        balance = router.balances.by_name[POUNDS]
        bounds = SpendingBounds(balance.spent, balance.spent, balance.delivered)
        self.store = self.store.end(router.holder, {POUNDS: bounds})
        self.routers[router.node] = self.start(router.node)

    def move(self, router: Router) -> None:
        """Let a router be an allocator, or be none any more."""
        rank = self.random.choice((0, 1, None))
        router.balances.by_name[POUNDS].rank = rank

    def top_up(self, router: Router) -> None:
        self.total, self.version = self.total + 50, self.version + 1
        self.tell(router)

    def tell(self, router: Router) -> None:
        self.told[router.node] = self.version, self.total
        router.balances.configure({POUNDS: self.total}, self.now)

    def check(self) -> None:
        assert self.delivered <= self.total, "overspent"
        for router in self.routers:
            seen = router.balances.seen.of(POUNDS)
            total = max(self.told[router.node][1], seen.total if seen.version else 0)
            for tokens in (1, 10, 40, 150, TOTAL):
                if router.balances.is_exhausted(POUNDS, tokens):
                    left = total - self.delivered
                    assert left < tokens, f"{left} left, no {tokens} at {router.holder}"


COMMON = (
    ("reserve", 8),
    ("settle", 8),
    ("write", 5),
    ("lend", 4),
    ("land", 8),
    ("report", 4),
    ("record", 3),
    ("give_back", 1),
    ("read", 2),
)
NAMES = [name for name, weight in COMMON for _ in range(weight)]
RARE = ("kill", "stop", "move", "move", "top_up", "tell")
STEPS = 500


def play(seed: int, rare: float) -> None:
    """Play a day of random steps, of which some are rare ones, and check each."""
    model = Model(seed)
    for _ in range(STEPS):
        names = RARE if model.random.random() < rare else NAMES
        model.now += model.random.choice((0, 10, 300, 900))
        getattr(model, model.random.choice(names))(model.random.choice(model.routers))
        model.check()


class SettlementTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.integers(0, 2**32), st.sampled_from((0.0, 0.02, 0.1)))
    def test_no_total_is_exhausted_while_settled_tokens_leave_enough(self, seed, rare):
        """Guards against a final refusal for tokens that nobody has settled.

        Routers reserve, settle, lend, lose datagrams and answers of the store, are
        killed, stopped and exchanged as allocators, and the total is topped up.
        """
        play(seed, rare)

    def test_tokens_that_other_routers_settled_exhaust_a_total(self):
        """Guards against a spent total whose callers are told to return for ever."""
        allocator, other = Balances("r1"), Balances("r2")
        for balances in (allocator, other):
            balances.configure({POUNDS: 100}, 0.0)
        allocator.by_name[POUNDS].ceiling = 100
        other.by_name[POUNDS].rank = None
        allocator.reserve(POUNDS, "lent", 100, 0.0)
        other.credit(POUNDS, allocator.transfer_reservation(POUNDS, "lent", 0.0))
        other.reserve(POUNDS, "x", 100, 0.0)
        self.assertFalse(allocator.is_exhausted(POUNDS, 1))
        other.settle(POUNDS, "x", 100, 1.0)
        reported = other.hand_over_settled(POUNDS)
        allocator.take_over_settled(POUNDS, reported)
        self.assertTrue(allocator.is_exhausted(POUNDS, 1))
        self.assertEqual(other.hand_over_settled(POUNDS), 0)
        self.assertEqual(allocator.by_name[POUNDS].spent, 100)
        self.assertEqual(allocator.by_name[POUNDS].lent, 0)

    def test_settled_tokens_of_a_killed_router_stay_known(self):
        """Guards against a total that is spent and no longer known to be."""
        model = Model(0)
        allocator = model.routers[0].balances
        self.assertFalse(allocator.reserve(POUNDS, "x", TOTAL, 0.0))
        requests = allocator.make_share_requests(0.0)
        totals = Totals(1, {POUNDS: TOTAL})
        model.store = model.store.grant("r0.1", requests, totals)
        allocator.apply_allotments(model.store, 0.0)
        self.assertTrue(allocator.reserve(POUNDS, "x", TOTAL, 0.0))
        allocator.settle(POUNDS, "x", TOTAL, 0.0)
        record = UseRecord("r0.1", "", uses=allocator.make_uses(0.0))
        model.store = model.store.end("r0.1", record.bound(1_000.0))
        successor = model.start(0).balances
        successor.apply_allotments(model.store, 0.0)
        self.assertEqual(model.store.of(POUNDS).settled, TOTAL)
        self.assertTrue(successor.is_exhausted(POUNDS, 1))


if __name__ == "__main__":
    unittest.main()
