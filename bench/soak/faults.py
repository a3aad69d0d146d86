"""Fault injection: faults overlap in any combination and start at any time."""

import asyncio
import random
from typing import TYPE_CHECKING, Any

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import HostEntry
from anvilshift.operator.administration import wait_until_in_force
from bench.soak.course import DrawRecord, Event, ReplayableRandom

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
"""Kinds of fault from which a run chooses; each is a method of `FaultSchedule`."""
_LIST_DELAY_S = 1.0
_TOPUP = 15_000
_LIST_INTERVAL_S = 0.5
"""Seconds between two reads of the list of hosts by a router."""
_POLL_S = 0.05


class FaultSchedule:
    """Start random faults and end each after a random duration."""

    def __init__(self, soak: "Soak", rng: random.Random) -> None:
        self._soak = soak
        self._rng: Any = ReplayableRandom(rng)
        self._tasks: set[asyncio.Task[None]] = set()
        self.affected: set[str] = set()
        self.gap_s = GAP_S

    async def run(self) -> None:
        """Start and record random faults until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / self.gap_s))
            event = Event(self._soak.clock.now(), self._rng.choice(KINDS))
            self.start(event, self._soak.course.record(event))

    def start(self, event: Event, record: DrawRecord) -> None:
        """Start the fault of an event in the background; its errors end the run."""
        self._soak.journal.faults[event.kind] += 1
        task = asyncio.ensure_future(record.run(getattr(self, event.kind)()))
        self._tasks.add(task)  # type: ignore[arg-type]
        task.add_done_callback(self._finish)

    def _finish(self, task: "asyncio.Future[None]") -> None:
        self._tasks.discard(task)  # type: ignore[arg-type]
        if not task.cancelled() and task.exception() is not None:
            self._soak.fail(task.exception())

    async def wait_healed(self) -> None:
        """Wait until every fault that was started has ended."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def _draw_duration(self, least: float, most: float) -> float:
        return self._rng.uniform(least, most)

    def _pick_router(self) -> int | None:
        """Choose a router without a process fault; None if every router has one."""
        from bench.soak.run import ROUTERS

        free = [i for i in range(ROUTERS) if f"r{i}" not in self.affected]
        return self._rng.choice(free) if free else None

    async def kill_router(self) -> None:
        """Kill a router without warning and start its successor later."""
        index = self._pick_router()
        if index is None:
            return
        self.affected.add(f"r{index}")
        entry = self._soak.find_entry(index)
        entry.process.dead = True
        self._soak.journal.record_router_loss(f"r{index}")
        entry.process.running.set()
        entry.break_connections()
        await asyncio.sleep(self._draw_duration(0.5, 12.0))
        self._soak.start_node(index)
        self.affected.discard(f"r{index}")

    async def freeze_router(self) -> None:
        """Pause a router's process, often for longer than its lease."""
        index = self._pick_router()
        if index is None:
            return
        self.affected.add(f"r{index}")
        running = self._soak.find_entry(index).process.running
        running.clear()
        await asyncio.sleep(self._draw_duration(0.3, 15.0))
        self._soak.network.record_start(f"r{index}", self._soak.clock.now())
        running.set()
        self.affected.discard(f"r{index}")

    async def drain_router(self) -> None:
        """Drain and stop a router and start its successor later."""
        index = self._pick_router()
        if index is None:
            return
        self.affected.add(f"r{index}")
        entry = self._soak.find_entry(index)
        aborted = await entry.node.drain(asyncio.Event())
        self._soak.journal.check("planned stop cuts nothing off", aborted == 0)
        await entry.node.close()
        entry.process.dead = True
        entry.break_connections()
        await asyncio.sleep(self._draw_duration(0.5, 5.0))
        self._soak.start_node(index)
        self.affected.discard(f"r{index}")

    async def cut_peers(self) -> None:
        """Drop messages between two routers, in one direction or both."""
        pair = self._rng.sample(range(4), 2)
        a, b = (f"r{index}" for index in pair)
        cuts = {(a, b)} if self._rng.random() < 0.5 else {(a, b), (b, a)}
        await self._cut_links(cuts, self._draw_duration(1.0, 30.0))

    async def _cut_links(self, cuts: set[tuple[str, str]], duration: float) -> None:
        network = self._soak.network
        cuts -= network.cuts
        network.cuts |= cuts
        await asyncio.sleep(duration)
        network.cuts -= cuts

    async def cut_platform(self) -> None:
        """Disconnect one router from the platform only."""
        await self._cut_platform(
            f"r{self._rng.randrange(4)}", self._draw_duration(1.0, 30.0)
        )

    async def _cut_platform(self, name: str, duration: float) -> None:
        cut = self._soak.store.faults.cut
        if name in cut:
            return
        cut.add(name)
        await asyncio.sleep(duration)
        cut.discard(name)

    async def isolate_router(self) -> None:
        """Disconnect one router from the platform and from every other router."""
        name = f"r{self._rng.randrange(4)}"
        duration = self._draw_duration(1.0, 30.0)
        others = [f"r{i}" for i in range(4) if f"r{i}" != name]
        cuts = {(name, o) for o in others} | {(o, name) for o in others}
        await asyncio.gather(
            self._cut_platform(name, duration), self._cut_links(cuts, duration)
        )

    async def cut_engine(self) -> None:
        """Drop messages from an engine to a router, or in both directions."""
        router, engine = f"r{self._rng.randrange(4)}", f"e{self._rng.randrange(4)}"
        cuts = {(engine, router)}
        if self._rng.random() < 0.5:
            cuts.add((router, engine))
        await self._cut_links(cuts, self._draw_duration(1.0, 10.0))

    async def platform_outage(self) -> None:
        """Make the platform unavailable to every router."""
        if "platform" in self.affected:
            return
        self.affected.add("platform")
        self._soak.store.faults.outage = True
        await asyncio.sleep(self._draw_duration(0.5, 25.0))
        self._soak.store.faults.outage = False
        self.affected.discard("platform")

    async def slow_platform(self) -> None:
        """Add a delay to every message, including platform calls."""
        self._soak.network.slow = self._draw_duration(20.0, 300.0)
        await asyncio.sleep(self._draw_duration(1.0, 8.0))
        self._soak.network.slow = 0.0

    async def lose_answers(self) -> None:
        """Apply some writes at the platform but lose their answers."""
        self._soak.store.faults.lose_answers += self._rng.randrange(1, 8)

    async def crash_engine(self) -> None:
        """Crash a random engine, which restarts by itself."""
        self._soak.engines[f"e{self._rng.randrange(4)}"].crash()

    async def break_streams(self) -> None:
        """Break an engine's streams with a probability of 5% per token."""
        engine = self._soak.engines[f"e{self._rng.randrange(4)}"]
        engine.fail_streams = 0.05
        await asyncio.sleep(self._draw_duration(1.0, 8.0))
        engine.fail_streams = 0.0

    async def slow_engine(self) -> None:
        """Slow an engine's decoding down eightfold."""
        engine = self._soak.engines[f"e{self._rng.randrange(4)}"]
        engine.slow = 8.0
        await asyncio.sleep(self._draw_duration(1.0, 10.0))
        engine.slow = 1.0

    async def engine_leaves(self) -> None:
        """Mark an engine's host as leaving on the platform's list, after a lag."""
        name = f"e{self._rng.randrange(4)}"
        if name in self.affected:
            return
        self.affected.add(name)
        await asyncio.sleep(_LIST_DELAY_S)
        entries = self._soak.store.host_entries
        self._soak.store.host_entries = (*entries, HostEntry(name, True))
        await self._start_leaving_check(name)
        await asyncio.sleep(self._draw_duration(4.0, 15.0))
        self._soak.engines[name].leaving_since = None
        remaining = [e for e in self._soak.store.host_entries if e.name != name]
        self._soak.store.host_entries = tuple(remaining)
        self.affected.discard(name)

    async def _start_leaving_check(self, name: str) -> None:
        """Start the check that the engine gets no new work, once routers can know.

        Routers learn of it only from the list.  An entry that was listed for less
        than one read interval before a platform outage may have been read by no
        router, so the check starts after the list was readable for a whole interval.
        It isn't started while a router is disconnected from the platform or paused.
        """
        while not await self._is_readable(_LIST_INTERVAL_S):
            await asyncio.sleep(_POLL_S)
        if not self._soak.store.faults.cut and not self._has_frozen_router():
            since = self._soak.clock.now() - _LIST_INTERVAL_S * SECOND
            self._soak.engines[name].leaving_since = since

    async def _is_readable(self, seconds: float) -> bool:
        """Wait for a duration; tell whether the platform was available throughout."""
        for _ in range(round(seconds / _POLL_S)):
            if self._soak.store.faults.outage:
                return False
            await asyncio.sleep(_POLL_S)
        return not self._soak.store.faults.outage

    def _has_frozen_router(self) -> bool:
        entries = self._soak.entries.values()
        return any(not entry.process.running.is_set() for entry in entries)

    async def service_loses_answers(self) -> None:
        """Lose half of the plain service's answers after it has run the orders."""
        service = self._soak.services["desk"]
        service.lose_answers = 0.5
        await asyncio.sleep(self._draw_duration(1.0, 6.0))
        service.lose_answers = 0.0

    async def top_up(self) -> None:
        """Top a budget up, and retry until the platform accepts the write."""
        budget = self._rng.choice(["kosice", "zilina", "counter"])
        while True:
            try:
                await self._soak.add_tokens(budget, _TOPUP)
                return
            except AnvilshiftError:
                self._soak.topped_up[budget] -= _TOPUP
                await asyncio.sleep(1.0)

    async def change_declarations(self) -> None:
        """Change a policy and wait until it is accepted."""
        store = self._soak.store
        try:
            found = await store.get("Policy", "all")
            assert found is not None
            body = {**found.body, "priority": self._rng.randrange(100)}
            written = await store.put("Policy", "all", body, found.version)
            accepted = await wait_until_in_force(
                store, self._soak.clock, written.version, 60 * SECOND
            )
        except AnvilshiftError:
            return
        if accepted.accepted:
            self._soak.accepted = max(self._soak.accepted, written.version)

    async def race_operators(self) -> None:
        """Let two operators change the same policy concurrently."""
        await asyncio.gather(self.change_declarations(), self.change_declarations())

    async def forget_history(self) -> None:
        """Discard the store's history, so that every watch has to list anew."""
        self._soak.store.forget_history()
