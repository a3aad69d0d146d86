"""The run's independent ledger: what ran, what callers got, what was checked."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

LEAVING_LIMIT: Millis = 3 * SECOND
"""A leaving engine gets no new work this long after the first sign."""
POISON_LIMIT = 2
COPIES_LOST = 3
LOSS_SPAN: Millis = 60 * SECOND
"""Longer than an outage of the platform lasts in a run, with its recovery."""


class BrokenInvariantError(AssertionError):
    """An invariant did not hold; the message names it first."""


@dataclass
class Receipt:
    """What one caller got in the end."""

    request: str
    organisation: str
    outcome: str
    at: Millis = 0.0


@dataclass
class Journal:
    """Counts and records, kept apart from everything the routers keep."""

    now: Callable[[], Millis]
    checks: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    engine_runs: Counter[str] = field(default_factory=Counter)
    service_runs: Counter[str] = field(default_factory=Counter)
    poison: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    receipts: dict[str, Receipt] = field(default_factory=dict)
    losses: list[Millis] = field(default_factory=list)
    events: int = 0
    fail: Callable[[BaseException], None] = lambda error: None

    def check(self, invariant: str, held: bool, detail: str = "") -> None:
        """Count a check; end the run when the invariant did not hold.

        The error is told apart from raising it, because the code under test
        may catch what is raised through it.
        """
        self.checks[invariant] += 1
        if not held:
            error = BrokenInvariantError(f"{invariant}: {detail}")
            self.fail(error)
            raise error

    def engine_ran(self, name: str, prompt: str, leaving: Millis | None) -> None:
        """Record that an engine began to run a prompt."""
        self.events += 1
        self.engine_runs[prompt] += 1
        if leaving is not None:
            late = self.now() - leaving
            detail = f"{name} got work {late:.0f} ms after the first sign"
            self.check("leaving engine gets no work", late <= LEAVING_LIMIT, detail)

    def poisoned(self, prompt: str, engine: str) -> None:
        """Record that a prompt crashed an engine."""
        self.poison[prompt].append(engine)
        lost = len(set(self.poison[prompt]))
        detail = f"{prompt} crashed {lost} engines: {self.poison[prompt]}"
        self.check("poison costs at most two engines", lost <= POISON_LIMIT, detail)

    def service_ran(self, order: str) -> int:
        """Record that a service ran an order; return how often it has."""
        self.events += 1
        self.service_runs[order] += 1
        count = self.service_runs[order]
        self.check("order runs at most once", count == 1, f"{order} ran {count} times")
        return count

    def received(self, receipt: Receipt) -> None:
        """Record what a caller got in the end."""
        self.events += 1
        receipt.at = self.now()
        self.outcomes[receipt.outcome] += 1
        self.receipts[receipt.request] = receipt

    def may_lose_bill(self, receipt: Receipt) -> bool:
        """Tell whether a bill may have died with every router that had a copy.

        In an outage a released bill is with its holder, a witness and two
        spare allocators.  With four routers that is all of them, and each that
        ends takes its copy along; below three losses a copy is left.
        """
        near = [at for at in self.losses if receipt.at <= at <= receipt.at + LOSS_SPAN]
        return len(near) >= COPIES_LOST

    def show(self) -> str:
        """Return the counts as text."""
        lines = [f"events {self.events}"]
        for title, counts in (
            ("faults", self.faults),
            ("callers received", self.outcomes),
            ("checks", self.checks),
        ):
            lines.append(title)
            lines += [f"  {name:48} {n}" for name, n in sorted(counts.items())]
        return "\n".join(lines)
