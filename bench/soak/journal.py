"""Record of a run, independent of the routers: executions, outcomes and checks."""

import contextlib
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

LEAVING_LIMIT: Millis = 3 * SECOND
"""Time after the first notice from which a leaving engine must get no new work."""
POISON_LIMIT = 2
MIN_LOST_ROUTERS = 3
"""Lost routers from which every copy of a bill may be gone; see `may_lose_bill`."""
LOSS_SPAN: Millis = 60 * SECOND
"""Longer than an outage of the platform in a run, including the recovery."""


class BrokenInvariantError(AssertionError):
    """An invariant did not hold; the message begins with its name."""


@dataclass
class Receipt:
    """The final outcome that one caller received."""

    identity: str
    organisation: str
    outcome: str
    at: Millis = 0.0


@dataclass(frozen=True)
class RouterLoss:
    """A router that was killed, by its name."""

    router: str
    at: Millis


@dataclass
class EngineWork:
    """The attempts of one router at one prompt."""

    engines: set[str] = field(default_factory=set)
    until: Millis = 0.0


@dataclass
class Journal:
    """Counts and records of a run, kept apart from the state of the routers."""

    now: Callable[[], Millis]
    checks: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    engine_runs: Counter[str] = field(default_factory=Counter)
    service_runs: Counter[str] = field(default_factory=Counter)
    crashed_engines: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    work: dict[tuple[str, str], EngineWork] = field(
        default_factory=lambda: defaultdict(EngineWork)
    )
    receipts: dict[str, Receipt] = field(default_factory=dict)
    router_losses: list[RouterLoss] = field(default_factory=list)
    events: int = 0
    fail: Callable[[BaseException], None] = lambda error: None

    def check(self, invariant: str, held: bool, detail: str = "") -> None:
        """Count a check; end the run when the invariant did not hold.

        The error is passed to `fail` as well as raised, because the code under test
        may catch an exception that is raised through it.
        """
        self.checks[invariant] += 1
        if not held:
            error = BrokenInvariantError(f"{invariant}: {detail}")
            self.fail(error)
            raise error

    def record_engine_run(self, name: str, prompt: str, leaving: Millis | None) -> None:
        """Record that an engine started a prompt; check that it wasn't leaving."""
        self.events += 1
        self.engine_runs[prompt] += 1
        if leaving is not None:
            delay = self.now() - leaving
            detail = f"{name} got work {delay:.0f} ms after the first sign"
            self.check("leaving engine gets no work", delay <= LEAVING_LIMIT, detail)

    @contextlib.contextmanager
    def record_attempt(self, router: str, prompt: str, engine: str) -> Iterator[None]:
        """Record that a router passes a prompt on to an engine, and when that ends."""
        work = self.work[router, prompt]
        work.engines.add(engine)
        work.until = float("inf")
        try:
            yield
        finally:
            work.until = self.now()

    def record_poison_crash(self, prompt: str, engine: str) -> None:
        """Record that a prompt crashed an engine; check how many it has crashed."""
        self.crashed_engines[prompt].append(engine)
        crashed = len(set(self.crashed_engines[prompt]))
        detail = f"{prompt} crashed {crashed} engines: {self.crashed_engines[prompt]}"
        self.check("poison costs at most two engines", crashed <= POISON_LIMIT, detail)

    def record_service_run(self, order: str) -> int:
        """Record that a service ran an order; return how often it has run it."""
        self.events += 1
        self.service_runs[order] += 1
        count = self.service_runs[order]
        self.check("order runs at most once", count == 1, f"{order} ran {count} times")
        return count

    def record_receipt(self, receipt: Receipt) -> None:
        """Record the final outcome that a caller received."""
        self.events += 1
        receipt.at = self.now()
        self.outcomes[receipt.outcome] += 1
        self.receipts[receipt.identity] = receipt

    def may_lose_bill(self, receipt: Receipt) -> bool:
        """Tell whether every router that had a copy of a bill may have been lost.

        During an outage, copies of a released bill are at its holder, at a witness
        and at two spare copy holders.  With four routers that is all of them, and each
        router that is killed loses its copy; below three lost routers a copy is left.
        One that restarts and is killed again has no second copy to lose, and one that
        stops as planned hands its copies on.
        """
        lost = {
            loss.router
            for loss in self.router_losses
            if receipt.at <= loss.at <= receipt.at + LOSS_SPAN
        }
        return len(lost) >= MIN_LOST_ROUTERS

    def record_router_loss(self, router: str) -> None:
        """Record that a router was killed."""
        self.router_losses.append(RouterLoss(router, self.now()))

    def format_counts(self) -> str:
        """Return the counts as text, one a line."""
        lines = [f"events {self.events}"]
        for title, counts in (
            ("faults", self.faults),
            ("callers received", self.outcomes),
            ("checks", self.checks),
        ):
            lines.append(title)
            lines += [f"  {name:48} {n}" for name, n in sorted(counts.items())]
        return "\n".join(lines)
