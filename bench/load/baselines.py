"""Baseline policies without a queue, without limits and without load shedding."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from anvilshift.core.clock import Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import ENGINE_FAILED
from anvilshift.core.failures import Failure
from anvilshift.core.work import (
    Actions,
    Ask,
    CacheEvent,
    DispatchSettings,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)
from bench.load.thin import FifoDispatcher


class Policy(Protocol):
    """The interface that a simulation run requires of a dispatcher."""

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Replace the set of targets."""

    def set_routers(self, routers: int) -> None:
        """Set the number of routers that share the targets."""

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Handle the arrival of a request."""

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Handle the first token of an answer."""

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Handle the completion of an answer."""

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Handle a failed attempt."""

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Handle the departure of a caller."""

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Handle the load report of a target."""

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Handle a change of a target's prefix cache."""

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Return whether this router holds a content back for another router."""

    def finish_relocation(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Handle whether the routers agreed to send a content to the target."""

    def tick(self, now: Millis) -> Actions:
        """Perform the actions that are due."""

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the instant at which `tick` must be called, None if never."""


class RoundRobin:
    """Send each request to the next target in turn."""

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self._rng = rng
        self._attempts = settings.attempts
        self._names: list[str] = []
        self._next = rng.randrange(1_000)
        self._running: dict[str, tuple[Work, str, int]] = {}
        self._load: dict[str, int] = {}

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Replace the set of targets."""
        self._names = [target.name for target in targets]
        return []

    def set_routers(self, routers: int) -> None:
        """Set the number of routers that share the targets."""

    def choose(self) -> str:
        """Return the next target."""
        self._next += 1
        return self._names[self._next % len(self._names)]

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Handle the arrival of a request."""
        return self._send(work, 1)

    def _send(self, work: Work, attempt: int) -> Actions:
        target = self.choose()
        self._running[work.identity] = work, target, attempt
        self._load[target] = self._load.get(target, 0) + 1
        return [Send(work.identity, target, attempt, work.candidates[target])]

    def _remove_running(self, identity: str) -> tuple[Work, str, int] | None:
        found = self._running.pop(identity, None)
        if found is not None:
            self._load[found[1]] -= 1
        return found

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Handle the first token of an answer."""
        return []

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Handle the completion of an answer."""
        self._remove_running(identity)
        return []

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Handle a failed attempt."""
        found = self._remove_running(identity)
        if found is None:
            return []
        work, _, attempt = found
        if attempt >= self._attempts:
            return [Refuse(identity, ENGINE_FAILED, "", 1_000.0)]
        return self._send(work, attempt + 1)

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Handle the departure of a caller."""
        self._remove_running(identity)
        return []

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Handle the load report of a target."""
        return []

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Handle a change of a target's prefix cache."""
        return []

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Return False: this policy holds no content back."""
        return False

    def finish_relocation(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Ignore the result: this policy never asks other routers."""
        return []

    def tick(self, now: Millis) -> Actions:
        """Perform the actions that are due."""
        return []

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the instant at which `tick` must be called, None if never."""
        return None


class LeastRequests(RoundRobin):
    """Send each request to the target with the fewest of this router's requests."""

    def choose(self) -> str:
        """Return the target with the fewest requests in flight; ties are random."""
        key = lambda name: (self._load.get(name, 0), self._rng.random())  # noqa: E731
        return min(self._names, key=key)


class LeastReported(RoundRobin):
    """Send each request to the target whose last load report is the lowest."""

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._reported: dict[str, int] = {}

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Handle the load report of a target."""
        self._reported[report.target] = report.running + report.waiting
        return []

    def choose(self) -> str:
        """Return the target with the lowest reported load; ties go by name."""
        return min(self._names, key=lambda n: (self._reported.get(n, 0), n))


POLICIES: dict[str, Callable[[DispatchSettings, random.Random], Policy]] = {
    "round robin": RoundRobin,
    "least requests": LeastRequests,
    "least reported": LeastReported,
    "thin": FifoDispatcher,
    "anvilshift": Dispatcher,
}
