"""Plain ways to route, to compare with: no queue, no limit, no refusal."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from anvilshift.core.clock import Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import ENGINE_FAILED
from anvilshift.core.work import (
    Actions,
    Ask,
    CacheEvent,
    DispatchSettings,
    Failure,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)
from bench.load.thin import ThinDispatcher


class Policy(Protocol):
    """What a run needs of a dispatcher."""

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Take in the targets."""

    def set_routers(self, routers: int) -> None:
        """Take in how many routers share the targets."""

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Take in a request."""

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Take in that an answer has begun."""

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Take in that an answer is whole."""

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Take in that an attempt failed."""

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Take in that the caller left."""

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Take in a load report."""

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Take in a cache event."""

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Hold a content back that another router would send elsewhere."""

    def finish_relocation(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Take in whether a content goes to the target that was asked for."""

    def tick(self, now: Millis) -> Actions:
        """Do what is due."""

    def next_tick(self, now: Millis) -> Millis | None:
        """Return when `tick` must be called."""


class RoundRobin:
    """Send each request to the next target as it comes."""

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self._rng = rng
        self._attempts = settings.attempts
        self._names: list[str] = []
        self._next = rng.randrange(1_000)
        self._running: dict[str, tuple[Work, str, int]] = {}
        self._load: dict[str, int] = {}

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Take in the targets."""
        self._names = [target.name for target in targets]
        return []

    def set_routers(self, routers: int) -> None:
        """Take in how many routers share the targets."""

    def choose(self) -> str:
        """Return the next target."""
        self._next += 1
        return self._names[self._next % len(self._names)]

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Take in a request."""
        return self._send(work, 1)

    def _send(self, work: Work, attempt: int) -> Actions:
        target = self.choose()
        self._running[work.identity] = work, target, attempt
        self._load[target] = self._load.get(target, 0) + 1
        return [Send(work.identity, target, attempt, work.candidates[target])]

    def _stop(self, identity: str) -> tuple[Work, str, int] | None:
        found = self._running.pop(identity, None)
        if found is not None:
            self._load[found[1]] -= 1
        return found

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Take in that an answer has begun."""
        return []

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Take in that an answer is whole."""
        self._stop(identity)
        return []

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Take in that an attempt failed."""
        found = self._stop(identity)
        if found is None:
            return []
        work, _, attempt = found
        if attempt >= self._attempts:
            return [Refuse(identity, ENGINE_FAILED, "", 1_000.0)]
        return self._send(work, attempt + 1)

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Take in that the caller left."""
        self._stop(identity)
        return []

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Take in a load report."""
        return []

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Take in a cache event."""
        return []

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Hold nothing back."""
        return False

    def finish_relocation(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Take nothing in: this policy asks nobody."""
        return []

    def tick(self, now: Millis) -> Actions:
        """Do what is due."""
        return []

    def next_tick(self, now: Millis) -> Millis | None:
        """Return when `tick` must be called."""
        return None


class LeastRequests(RoundRobin):
    """Send each request to the target with the fewest own ones in flight."""

    def choose(self) -> str:
        """Return the least loaded target."""
        key = lambda name: (self._load.get(name, 0), self._rng.random())  # noqa: E731
        return min(self._names, key=key)


class LeastReported(RoundRobin):
    """Send each request to the target that reported the least load."""

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._reported: dict[str, int] = {}

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Take in a load report."""
        self._reported[report.target] = report.running + report.waiting
        return []

    def choose(self) -> str:
        """Return the target with the least reported load."""
        return min(self._names, key=lambda n: (self._reported.get(n, 0), n))


POLICIES: dict[str, Callable[[DispatchSettings, random.Random], Policy]] = {
    "round robin": RoundRobin,
    "least requests": LeastRequests,
    "least reported": LeastReported,
    "thin": ThinDispatcher,
    "anvilshift": Dispatcher,
}
