"""A model fleet: routers' budgets, a ledger, copies, and events in any order."""

from dataclasses import dataclass, field

from anvilshift.core.billcopies import BillCopies
from anvilshift.core.clock import ManualClock
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, BillState, Ledger, Reservation
from anvilshift.router.hooks import Hooks
from anvilshift.router.ledgerclient import LedgerClient
from anvilshift.router.sealing import belongs
from anvilshift.standins.memory import MemoryStore

TOTAL, TOKENS, ALLOWANCE, LEVEL = 80, 20, 40, 40
KEYS = tuple("abcdefghij")
FIXED = frozenset("fghij")
"""Requests whose cost is known before they run."""


@dataclass
class Router:
    """One incarnation of a router: its holder, its copies and what it can reach."""

    incarnation: str
    client: LedgerClient
    copies: BillCopies
    cut: set[str]
    failing: bool = False
    sealed: list[Escrow] = field(default_factory=list)

    @property
    def escrow(self) -> Escrow:
        return self.client.holder_accounts

    @property
    def pending(self):
        return self.escrow.grant_states["pounds"].pending

    def has_released(self, key):
        """Tell whether the router still has the bill of an answer that it ended."""
        late = {b.key for one in self.sealed for _, b in one.list_released()}
        return key in self.pending or key in late


async def may_end(router, key):
    """Ask the product whether an answer with an unrecorded bill may end."""
    return await router.client.early_release.release(router.escrow, "pounds", key)


class Fleet:
    """A fleet on which events are played; violated properties are collected."""

    def __init__(self, size, runner):
        self.size = size
        self.runner = runner
        self.ledger = Ledger().top_up("pounds", "t0", TOTAL)
        self.started = 0
        self.routers = []
        for at in range(size):
            self.routers.append(self.start(at, set()))
        self.ended: dict[str, str] = {}
        """Incarnation of the router that ended the answer of each request."""
        self.lost: set[str] = set()
        self.ran: set[str] = set()
        self.presumed: set[str] = set()
        """Requests billed from the reservation of a lost router without a witness."""
        self.early = 0
        self.repeats = 0
        self.uncovered: list[str] = []
        self.overspent: list[str] = []
        for at in range(size):
            self.play("record", at, "delivered")

    def start(self, at, cut):
        name = f"r{at}-{self.count_start()}"
        copies = BillCopies(name)
        hooks = Hooks(
            keep_copies=self.keep_copies,
            store_at_witness=self.store_at,
            has_peers=lambda: self.size > 1,
        )
        clock = ManualClock()
        client = LedgerClient(MemoryStore(), "ledger-0", clock, name, 200.0, hooks)
        client.holder_accounts.open("pounds", ALLOWANCE, LEVEL)
        return Router(name, client, copies, cut)

    def play(self, kind, at, *arguments):
        """Play one event; one that is impossible now has no effect."""
        if at < len(self.routers):
            getattr(self, f"play_{kind.replace(' ', '_')}")(
                self.routers[at], *arguments
            )
            self.check_sums()

    def check_sums(self):
        account = self.ledger.account("pounds")
        accounted = account.spent + account.held + account.doubt + account.free
        if account.free < 0 or accounted != account.total:
            self.overspent.append(f"the ledger's sums are wrong: {account}")
        if len(self.ended) * TOKENS > account.total - account.free:
            self.overspent.append("tokens of ended answers are free to be drawn")

    def find_peers(self, router):
        """Return the other routers that a router's messages reach."""
        others = [one for one in self.routers if one is not router]
        reached = [one for one in others if "peers" not in one.cut]
        return [] if "peers" in router.cut else reached

    def find_owner(self, holder):
        return next(r for r in self.routers if belongs(holder, r.incarnation))

    async def keep_copies(self, holder, bills, witness):
        peers = self.find_peers(self.find_owner(holder))
        spare = [one for one in peers if one.incarnation != witness]
        kept = [one.copies.add(holder, bills) for one in spare]
        return any(kept)

    async def store_at(self, witness, holder, bills):
        peers = self.find_peers(self.find_owner(holder))
        named = [one for one in peers if one.incarnation == witness]
        kept = [one.copies.add(holder, bills, witness) for one in named]
        return any(kept)

    def is_recorded(self, key):
        bill = Bill(key, "kosice", TOKENS, "")
        return self.ledger.account("pounds").find(bill) is not None

    def has_copy(self, key, incarnation):
        """Tell whether a live process has a copy of a router's bill."""
        return any(
            bill.key == key
            for one in self.routers
            for holder in one.copies.list_holders()
            if belongs(holder, incarnation)
            for _, bill in one.copies.list(holder)
        )

    def has_reservation(self, key, incarnation):
        """Tell whether the ledger has the fixed cost of a router's request."""
        grants = self.ledger.account("pounds").grants
        return any(
            key in grant.reservations
            for holder, grant in grants.items()
            if belongs(holder, incarnation)
        )

    def is_covered(self, key, incarnation):
        """Tell whether the bill of a router's request outlives the router."""
        return (
            self.is_recorded(key)
            or self.has_copy(key, incarnation)
            or self.has_reservation(key, incarnation)
        )

    def end_answer(self, router, key):
        self.ended.setdefault(key, router.incarnation)
        covered = self.is_covered(key, router.incarnation)
        if not covered and self.size > 1:
            self.uncovered.append(key)

    def end_decided(self, router, states):
        for (_, key), state in states.items():
            if state is not BillState.REFUSED and key not in self.ended:
                self.end_answer(router, key)

    def play_reserve(self, router, key):
        """Send a request; a caller repeats it only while it has no answer."""
        if key not in self.ended:
            self.repeats += any(key in one.pending for one in self.routers)
            cost = Reservation("kosice", TOKENS) if key in FIXED else None
            router.escrow.reserve("pounds", key, TOKENS, fixed_cost=cost)

    def play_settle(self, router):
        """Bill the oldest request that runs at a router."""
        for key in list(router.escrow.grant_states["pounds"].reserved)[:1]:
            bill = Bill(key, "kosice", TOKENS, router.escrow.holder)
            router.escrow.bill("pounds", bill)
            self.ran.add(key)

    def play_cancel(self, router):
        """Cancel the newest request that runs at a router: it was never sent."""
        for key in list(router.escrow.grant_states["pounds"].reserved)[-1:]:
            router.escrow.release("pounds", key)

    def play_record(self, router, fate):
        self.choose_witness(router)
        commit = router.escrow.begin_commit()
        router.failing = fate != "delivered" or "platform" in router.cut
        if fate == "request lost" or "platform" in router.cut:
            return
        self.ledger, outcome = self.ledger.apply(commit)
        if fate == "response lost":
            return
        self.end_decided(router, outcome.bills)
        if not outcome.sealed:
            router.escrow.finish_commit(commit, outcome)
            return
        router.escrow.drop_decided_bills(outcome.bills)
        router.sealed.append(router.escrow)
        name = f"{router.incarnation}.{self.count_start()}"
        router.client.commits.holder_accounts = router.escrow.succeed(name)

    def count_start(self):
        """Return a number that makes the name of a new holder unique."""
        self.started += 1
        return self.started

    def choose_witness(self, router):
        """Choose a witness as `LedgerClient` does, only while commits succeed."""
        if not router.failing:
            names = [one.incarnation for one in self.find_peers(router)]
            current = router.escrow.witness
            chosen = current if current in names else next(iter(names), "")
            router.escrow.choose_witness(chosen)

    def play_cut(self, router, what):
        router.cut.add(what)

    def play_heal(self, router):
        router.cut.clear()

    def play_release(self, router):
        """Try to end the oldest answer that waits at a router for its bill."""
        for key in [key for key in router.pending if key not in self.ended][:1]:
            if self.runner.run(may_end(router, key)):
                self.early += 1
                self.end_answer(router, key)

    def play_kill(self, router):
        """Kill a router; its successor has neither its bills nor its copies."""
        at = self.routers.index(router)
        self.routers[at] = self.start(at, router.cut)
        for key, incarnation in self.ended.items():
            owners = [r for r in self.routers if r.incarnation == incarnation]
            kept = any(owner.has_released(key) for owner in owners)
            if not (kept or self.is_covered(key, incarnation)):
                self.lost.add(key)

    def play_seal(self, router, slot):
        """Seal all holders of a router, which may be alive and return late."""
        if "platform" not in router.cut:
            for holder in self.ledger.list_open():
                if holder.startswith(f"r{slot}-"):
                    self.ledger = self.ledger.seal(holder)

    def play_hand_in(self, router):
        """Submit the copies of sealed holders, as witness or as spare copy holder."""
        if "platform" in router.cut:
            return
        router.copies.drop_recorded(self.ledger)
        for holder in self.ledger.list_sealed(9):
            attests = router.incarnation in self.ledger.list_witnesses(holder)
            bills = router.copies.list(holder)
            if attests:
                bills = router.copies.close(holder)
            if attests or bills:
                self.ledger, _ = self.ledger.submit_late_bills(
                    holder, bills, router.incarnation if attests else ""
                )

    def play_return(self, router):
        """Submit the released bills of the router's sealed holders."""
        if "platform" in router.cut:
            return
        for escrow in router.sealed:
            bills = escrow.list_released()
            self.ledger, states = self.ledger.submit_late_bills(
                escrow.holder, bills, escrow.holder
            )
            router.escrow.adopt(states, bills)
            self.end_decided(router, states)
        router.sealed = []

    def play_bill_reservations(self, router):
        """Bill the reservations of sealed holders whose witness is not there."""
        if "platform" in router.cut:
            return
        live = {one.incarnation for one in self.routers}
        account = self.ledger.account("pounds")
        for holder in self.ledger.list_sealed():
            if not self.ledger.list_witnesses(holder) & live:
                reserved = set(account.grant(holder).reservations)
                self.presumed |= {k for k in reserved if not self.is_recorded(k)}
                self.ledger = self.ledger.bill_reservations(holder, 1)

    def recover(self):
        """Heal every disconnection, seal lost holders and record what is left."""
        for at in range(len(self.routers)):
            self.play("heal", at)
        for _ in range(3):
            for at in range(len(self.routers)):
                self.play("record", at, "delivered")
                self.play("return", at)
        live = [router.incarnation for router in self.routers]
        for holder in self.ledger.list_open():
            if not any(belongs(holder, incarnation) for incarnation in live):
                self.ledger = self.ledger.seal(holder)
        for _ in range(2):
            for at in range(len(self.routers)):
                self.play("hand in", at)
        for at in range(len(self.routers)):
            self.play("bill reservations", at)
