"""Engines that reject requests, and a count of what they are sent again."""

import asyncio
import json
import random
from collections import Counter, deque
from typing import TYPE_CHECKING

from anvilshift.core.clock import SECOND, Millis
from anvilshift.standins.engine import read_prompt
from anvilshift.wire.messages import HttpRequest
from bench.soak.journal import Journal

if TYPE_CHECKING:
    from bench.soak.run import Soak

WINDOW: Millis = 10 * SECOND
RATIO = 0.2
ALLOWANCE = 30.0
"""Repeats in a window beyond those that requests earn, for each process of a router."""
_MODEL_PATH = "/v1/chat/completions"
_GAP_S = 10.0
_REJECTED = 0.9


class RepeatWatch:
    """Count the arrivals at engines beyond the first of each request.

    A caller's own retry is a new request.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._requests: deque[Millis] = deque()
        self._repeats: deque[Millis] = deque()
        self._starts: deque[Millis] = deque()
        self._firsts: Counter[tuple[int, str]] = Counter()
        self._running = 0

    def count_request(self, process: object, request: HttpRequest) -> None:
        """Count a model request that a router's process got; ignore other calls."""
        if request.path == _MODEL_PATH:
            self._requests.append(self._journal.now())
            self._firsts[id(process), read_prompt(json.loads(request.body))] += 1

    def count_start(self, routers: int) -> None:
        """Count the start of a router's process; so many routers run then."""
        self._starts.append(self._journal.now())
        self._running = routers

    def count_arrival(self, process: object, prompt: str) -> None:
        """Count an arrival from a router's process, and check the bound."""
        if self._firsts[id(process), prompt]:
            self._firsts[id(process), prompt] -= 1
            return
        now = self._journal.now()
        self._repeats.append(now)
        for times in (self._requests, self._repeats, self._starts):
            while times and times[0] < now - WINDOW:
                times.popleft()
        processes = self._running + len(self._starts)
        allowed = RATIO * len(self._requests) + ALLOWANCE * processes
        count = len(self._repeats)
        detail = f"{count} in {WINDOW / SECOND:.0f} s, {allowed:.0f} allowed"
        self._journal.check("repeats are bounded", count <= allowed, detail)


class RejectingFaults:
    """Make all engines reject most requests at random times.

    Its random numbers are its own, so that other seeded choices stay as they are.
    """

    def __init__(self, soak: "Soak", seed: int) -> None:
        self._soak = soak
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Start and end periods of rejections until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / _GAP_S))
            self._soak.journal.faults["reject_requests"] += 1
            self._set_all(_REJECTED)
            await asyncio.sleep(self._rng.uniform(3.0, 15.0))
            self._set_all(0.0)

    def _set_all(self, rejected: float) -> None:
        for engine in self._soak.engines.values():
            engine.rejected = rejected
