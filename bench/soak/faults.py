"""What goes wrong in a run, in any combination and at any moment."""

import asyncio
import random
from typing import TYPE_CHECKING, Any

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import HostEntry
from anvilshift.operator.platformside import wait_accepted
from bench.soak.course import Event, Tape, TapedRandom

if TYPE_CHECKING:
    from bench.soak.run import Soak

GAP_S = 2.0
KINDS = (
    "kill_router",
    "freeze_router",
    "drain_router",
    "cut_peers",
    "cut_platform",
    "isolate_router",
    "cut_engine",
    "platform_outage",
    "slow_platform",
    "lose_answers",
    "crash_engine",
    "break_streams",
    "slow_engine",
    "engine_leaves",
    "service_loses_answers",
    "top_up",
    "change_declarations",
    "race_operators",
    "forget_history",
)
"""Faults that a seeded run draws from."""
_LIST_LAG_S = 1.0
_TOPUP = 15_000
_LIST_READ_S = 0.5
"""How far apart a router's reads of the list are."""
_READABLE_STEP_S = 0.05


class FaultSchedule:
    """Draw faults, let each last a while and heal it."""

    def __init__(self, soak: "Soak", rng: random.Random) -> None:
        self._soak = soak
        self._rng: Any = TapedRandom(rng)
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Start faults until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / GAP_S))
            event = Event(self._soak.clock.now(), self._rng.choice(KINDS))
            self.start(event, self._soak.course.note(event))

    def start(self, event: Event, tape: Tape) -> None:
        """Start one fault."""
        self._soak.journal.faults[event.kind] += 1
        task = asyncio.ensure_future(tape.run(getattr(self, event.kind)()))
        self._tasks.add(task)  # type: ignore[arg-type]
        task.add_done_callback(self._finish)

    def _finish(self, task: "asyncio.Future[None]") -> None:
        self._tasks.discard(task)  # type: ignore[arg-type]
        if not task.cancelled() and task.exception() is not None:
            self._soak.fail(task.exception())

    async def heal(self) -> None:
        """Wait until every fault that began has ended."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def _span(self, least: float, most: float) -> float:
        return self._rng.uniform(least, most)

    def _take_router(self) -> int | None:
        """Return a router to which nothing is being done; None if all are busy."""
        from bench.soak.run import ROUTERS

        free = [i for i in range(ROUTERS) if f"r{i}" not in self._busy]
        return self._rng.choice(free) if free else None

    async def kill_router(self) -> None:
        """End a router without warning; a new one starts later."""
        index = self._take_router()
        if index is None:
            return
        self._busy.add(f"r{index}")
        entry = self._soak.entry(index)
        entry.presence.dead = True
        self._soak.journal.losses.append(self._soak.clock.now())
        entry.presence.running.set()
        entry.break_connections()
        await asyncio.sleep(self._span(0.5, 12.0))
        self._soak.start_node(index)
        self._busy.discard(f"r{index}")

    async def freeze_router(self) -> None:
        """Pause a router, often for longer than its lease."""
        index = self._take_router()
        if index is None:
            return
        self._busy.add(f"r{index}")
        running = self._soak.entry(index).presence.running
        running.clear()
        await asyncio.sleep(self._span(0.3, 15.0))
        self._soak.network.note_disturbed(f"r{index}", self._soak.clock.now())
        running.set()
        self._busy.discard(f"r{index}")

    async def drain_router(self) -> None:
        """Stop a router as planned; a new one starts later."""
        index = self._take_router()
        if index is None:
            return
        self._busy.add(f"r{index}")
        entry = self._soak.entry(index)
        cut_off = await entry.node.drain(asyncio.Event())
        self._soak.journal.check("planned stop cuts nothing off", cut_off == 0)
        await entry.node.close()
        entry.presence.dead = True
        self._soak.journal.losses.append(self._soak.clock.now())
        entry.break_connections()
        await asyncio.sleep(self._span(0.5, 5.0))
        self._soak.start_node(index)
        self._busy.discard(f"r{index}")

    async def cut_peers(self) -> None:
        """Cut two routers off from each other, one way or both."""
        pair = self._rng.sample(range(4), 2)
        a, b = (f"r{index}" for index in pair)
        cuts = {(a, b)} if self._rng.random() < 0.5 else {(a, b), (b, a)}
        await self._cut(cuts, self._span(1.0, 30.0))

    async def _cut(self, cuts: set[tuple[str, str]], span: float) -> None:
        network = self._soak.network
        cuts -= network.cuts
        network.cuts |= cuts
        await asyncio.sleep(span)
        network.cuts -= cuts

    async def cut_platform(self) -> None:
        """Cut one router off from the platform only."""
        await self._cut_platform(f"r{self._rng.randrange(4)}", self._span(1.0, 30.0))

    async def _cut_platform(self, name: str, span: float) -> None:
        cut = self._soak.store.faults.cut
        if name in cut:
            return
        cut.add(name)
        await asyncio.sleep(span)
        cut.discard(name)

    async def isolate_router(self) -> None:
        """Cut one router off from the platform and from every other router."""
        name = f"r{self._rng.randrange(4)}"
        span = self._span(1.0, 30.0)
        others = [f"r{i}" for i in range(4) if f"r{i}" != name]
        cuts = {(name, o) for o in others} | {(o, name) for o in others}
        await asyncio.gather(self._cut_platform(name, span), self._cut(cuts, span))

    async def cut_engine(self) -> None:
        """Cut an engine off from a router, one way or both."""
        router, engine = f"r{self._rng.randrange(4)}", f"e{self._rng.randrange(4)}"
        cuts = {(engine, router)}
        if self._rng.random() < 0.5:
            cuts.add((router, engine))
        await self._cut(cuts, self._span(1.0, 10.0))

    async def platform_outage(self) -> None:
        """Let the platform answer nobody."""
        if "platform" in self._busy:
            return
        self._busy.add("platform")
        self._soak.store.faults.outage = True
        await asyncio.sleep(self._span(0.5, 25.0))
        self._soak.store.faults.outage = False
        self._busy.discard("platform")

    async def slow_platform(self) -> None:
        """Slow every message down."""
        self._soak.network.slow = self._span(20.0, 300.0)
        await asyncio.sleep(self._span(1.0, 8.0))
        self._soak.network.slow = 0.0

    async def lose_answers(self) -> None:
        """Let writes take effect without an answer."""
        self._soak.store.faults.lose_answers += self._rng.randrange(1, 8)

    async def crash_engine(self) -> None:
        """Crash an engine."""
        self._soak.engines[f"e{self._rng.randrange(4)}"].crash()

    async def break_streams(self) -> None:
        """Let an engine's streams break now and then."""
        engine = self._soak.engines[f"e{self._rng.randrange(4)}"]
        engine.fail_streams = 0.05
        await asyncio.sleep(self._span(1.0, 8.0))
        engine.fail_streams = 0.0

    async def slow_engine(self) -> None:
        """Slow an engine down."""
        engine = self._soak.engines[f"e{self._rng.randrange(4)}"]
        engine.slow = 8.0
        await asyncio.sleep(self._span(1.0, 10.0))
        engine.slow = 1.0

    async def engine_leaves(self) -> None:
        """Put an engine on the platform's lagging list of leaving hosts."""
        name = f"e{self._rng.randrange(4)}"
        if name in self._busy:
            return
        self._busy.add(name)
        await asyncio.sleep(_LIST_LAG_S)
        entries = self._soak.store.host_entries
        self._soak.store.host_entries = (*entries, HostEntry(name, True))
        await self._mark_leaving(name)
        await asyncio.sleep(self._span(4.0, 15.0))
        self._soak.engines[name].leaving_since = None
        left = [e for e in self._soak.store.host_entries if e.name != name]
        self._soak.store.host_entries = tuple(left)
        self._busy.discard(name)

    async def _mark_leaving(self, name: str) -> None:
        """Hold routers to it once the list can be read: the list is the only sign.

        An entry that stood for less than the routers' reads are apart, before the
        platform went out, may have been seen by none; the next that can be counts.
        """
        while not await self._is_readable(_LIST_READ_S):
            await asyncio.sleep(_READABLE_STEP_S)
        if not self._soak.store.faults.cut and not self._frozen():
            since = self._soak.clock.now() - _LIST_READ_S * SECOND
            self._soak.engines[name].leaving_since = since

    async def _is_readable(self, seconds: float) -> bool:
        """Tell whether the platform answers all through a span."""
        for _ in range(round(seconds / _READABLE_STEP_S)):
            if self._soak.store.faults.outage:
                return False
            await asyncio.sleep(_READABLE_STEP_S)
        return not self._soak.store.faults.outage

    def _frozen(self) -> bool:
        entries = self._soak.entries.values()
        return any(not entry.presence.running.is_set() for entry in entries)

    async def service_loses_answers(self) -> None:
        """Let the plain service run orders without answering."""
        service = self._soak.services["desk"]
        service.lose_answers = 0.5
        await asyncio.sleep(self._span(1.0, 6.0))
        service.lose_answers = 0.0

    async def top_up(self) -> None:
        """Top a budget up, whatever else is going on."""
        budget = self._rng.choice(["kosice", "zilina", "counter"])
        while True:
            try:
                await self._soak.add_tokens(budget, _TOPUP)
                return
            except AnvilshiftError:
                self._soak.topped[budget] -= _TOPUP
                await asyncio.sleep(1.0)

    async def change_declarations(self) -> None:
        """Change a policy and wait until it is accepted."""
        store = self._soak.store
        try:
            found = await store.get("Policy", "all")
            assert found is not None
            body = {**found.body, "priority": self._rng.randrange(100)}
            written = await store.put("Policy", "all", body, found.version)
            accepted = await wait_accepted(
                store, self._soak.clock, written.version, 60 * SECOND
            )
        except AnvilshiftError:
            return
        if accepted.accepted:
            self._soak.accepted = max(self._soak.accepted, written.version)

    async def race_operators(self) -> None:
        """Let two operators change one policy at once."""
        await asyncio.gather(self.change_declarations(), self.change_declarations())

    async def forget_history(self) -> None:
        """Let every watch be too old."""
        self._soak.store.forget_history()
