"""Orders of settling, cutting, killing and sealing keep the bill of an ended answer."""

import asyncio
import random
import unittest

from tests.router.modelfleet import KEYS, TOKENS, Fleet

SEEDS, STEPS, ROUTERS = 600, 80, 3
KINDS = {
    "reserve": 6,
    "settle": 5,
    "cancel": 1,
    "release": 6,
    "record": 4,
    "cut": 2,
    "heal": 2,
    "kill": 0.5,
    "seal": 1,
    "hand in": 1,
    "return": 1,
}
"""Kinds of event and their weights."""
CHOICES = {
    "reserve": KEYS,
    "record": ("delivered", "request lost", "response lost"),
    "cut": ("platform", "peers"),
    "seal": range(ROUTERS),
}


def draw_order(seed):
    """Draw the number of routers and an order of events."""
    rng = random.Random(seed)
    kinds = rng.choices(list(KINDS), list(KINDS.values()), k=STEPS)
    events = [
        (kind, rng.randrange(ROUTERS), *(rng.choice(c) for c in _list_choices(kind)))
        for kind in kinds
    ]
    return rng.randint(1, ROUTERS), events


def _list_choices(kind):
    return [CHOICES[kind]] if kind in CHOICES else []


def play_order(size, order):
    """Play an order of events on a fleet and let it recover."""
    with asyncio.Runner() as runner:
        fleet = Fleet(size, runner)
        for event in order:
            fleet.play(*event)
        fleet.recover()
    return fleet


def shorten(size, order, is_broken):
    """Remove events for as long as the order still breaks a property."""
    at = 0
    while at < len(order):
        shorter = order[:at] + order[at + 1 :]
        if is_broken(play_order(size, shorter)):
            order, at = shorter, 0
        else:
            at += 1
    return order


def find_overspent(fleet):
    return fleet.overspent


def find_billed_twice(fleet):
    """Return the marks of bills that are recorded more than once."""
    account = fleet.ledger.account("pounds")
    marks = [mark.key for mark in account.list_marks()]
    if account.spent != TOKENS * len(marks):
        return [f"spent {account.spent} for {len(marks)} bills"]
    return [mark for mark in marks if marks.count(mark) > 1]


def find_dropped(fleet):
    """Return the ended requests without a bill, but for those that no process had."""
    unbilled = [key for key in fleet.ended if not fleet.is_recorded(key)]
    return [key for key in unbilled if key not in fleet.lost]


def find_billed_without_run(fleet):
    """Return the billed requests that never ran, but for those billed by rule."""
    billed = [key for key in KEYS if fleet.is_recorded(key)]
    return [key for key in billed if key not in fleet.ran | fleet.presumed]


def find_open_reservations(fleet):
    """Return the reservations that are left when every fault is over."""
    states = [one.escrow.grant_states["pounds"] for one in fleet.routers]
    running = {key for one in states for key in (*one.reserved, *one.waiting)}
    grants = fleet.ledger.account("pounds").grants.values()
    return [key for one in grants for key in one.reservations if key not in running]


def find_uncovered(fleet):
    return fleet.uncovered


class BillSurvivalTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.orders = [draw_order(seed) for seed in range(SEEDS)]
        cls.fleets = [play_order(*order) for order in cls.orders]

    def check(self, find_broken):
        broken = [n for n, fleet in enumerate(self.fleets) if find_broken(fleet)]
        if broken:
            size, order = self.orders[broken[0]]
            order = shorten(size, order, find_broken)
            found = find_broken(play_order(size, order))
            seeds = f"{len(broken)} of {SEEDS} seeds, first {broken[0]}"
            self.fail(f"{found} in a fleet of {size} after {order}; {seeds}")

    def test_no_order_overspends_the_budget(self):
        """Guards against tokens that are counted twice or in no term of the account."""
        self.check(find_overspent)

    def test_no_order_bills_a_request_twice(self):
        """Guards against a repeat that is billed beside the first run's late bill."""
        self.check(find_billed_twice)

    def test_bill_that_a_live_process_has_is_recorded(self):
        """Guards against a bill that is dropped though a process still has it."""
        self.check(find_dropped)

    def test_no_answer_ends_while_only_its_router_has_the_bill(self):
        """Guards against an answer that ends at a router that reaches nobody."""
        self.check(find_uncovered)

    def test_nothing_is_billed_that_did_not_run(self):
        """Guards against billing a request that was only reserved, or was cancelled."""
        self.check(find_billed_without_run)

    def test_no_reservation_outlives_its_request(self):
        """Guards against a reservation that is billed long after it was cancelled."""
        self.check(find_open_reservations)

    def test_orders_include_early_ends_late_bills_and_repeats(self):
        """Guards against orders in which nothing can break a property."""
        self.assertGreater(sum(fleet.early for fleet in self.fleets), SEEDS / 2)
        holders = [one for f in self.fleets for one in f.ledger.holders.values()]
        self.assertGreater(sum(len(holder.late) for holder in holders), SEEDS / 10)
        self.assertGreater(sum(fleet.repeats for fleet in self.fleets), SEEDS / 10)
        self.assertGreater(sum(len(f.presumed) for f in self.fleets), SEEDS / 50)


if __name__ == "__main__":
    unittest.main()
