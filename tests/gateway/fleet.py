"""Routers on several hosts that share one store and a total, in virtual time."""

import asyncio

from anvilshift.core.allocators import AllocatorMap
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.retention import Mark, MarkLog
from anvilshift.gateway.messages import Ask, Gift, Settled
from anvilshift.gateway.recording import Recorder
from anvilshift.gateway.reserving import Reservations
from anvilshift.gateway.shares import KIND, NAME, ShareManager, read_allotments
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.silent import SilentJournal

POUNDS = "pounds"
HISTORY = 20_000.0
_DATAGRAM_DELAY_S = 0.001
_DETECTION_S = 0.65
"""Time after a kill until the other routers notice it."""
_SWEEP_INTERVAL_S = 0.1


class Fleet:
    """Routers that share one organisation's total; datagrams take a millisecond.

    Parameters
    ----------
    recording
        Whether routers record their use.  Each start of a host follows a power
        failure and has a new boot id.
    sparing
        Whether they write as rarely as is safe, and tell each other marks of the
        store's history.

    Attributes
    ----------
    copies
        How often each datagram arrives.
    silent
        Allocators that no ask reaches.
    """

    def __init__(self, recording: bool = False, sparing: bool = False) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock, HISTORY, returns_conflicting_object=True)
        self.recording, self.sparing = recording, sparing
        self.allotters: dict[str, ShareManager] = {}
        self.reservations: dict[str, Reservations] = {}
        self.recorders: dict[str, Recorder] = {}
        self.journals: dict[str, SilentJournal] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}
        self.asks: list[tuple[str, Ask]] = []
        self.copies = 1
        self.silent: set[str] = set()
        self.spent = 0
        self.starts = 0

    def start(
        self, node: str, total: int = 10_000, version: int = 1, ip: str = ""
    ) -> ShareManager:
        self.starts += 1
        holder = f"{node}.{self.starts}"
        journal = self.journals[node] = SilentJournal()
        store = self.store.view(node)
        allotter = ShareManager(store, node, holder, self.clock, journal)
        allotter.has_no_peers = False
        reservations = Reservations(
            allotter,
            AllocatorMap(node, self.sparing),
            self.clock,
            journal,
            lambda allocator, *ask: self._ask(node, allocator, *ask),
        )
        self.allotters[node] = allotter
        self.reservations[node] = reservations
        self.tasks[node] = [asyncio.create_task(self._run(node))]
        self.tasks[node].append(asyncio.create_task(self._sweep(node)))
        if self.recording:
            recorder = self.recorders[node] = Recorder(
                store,
                node,
                ip or node,
                holder,
                self.clock,
                journal,
                allotter.balances,
                MarkLog(HISTORY),
                boot=holder,
                read_wall=self.clock.now,
                end_record=allotter.notify_waiters,
            )
            if self.sparing:
                recorder.on_new_mark = self._tell_mark
            allotter.bound_former_use = recorder.bound_former_use
            reservations.recorder = recorder
            self.tasks[node].append(asyncio.create_task(self._record(node)))
        allotter.configure(version, {POUNDS: total})
        self._note_routers()
        return allotter

    def _note_routers(self) -> None:
        for one in self.reservations.values():
            if one.allocators.set_routers(set(self.reservations)):
                one.allotter.last_discovery = self.clock.now()
            one.balances.set_allocators(one.allocators)

    async def _run(self, node: str) -> None:
        await self.allotters[node].run()

    async def _record(self, node: str) -> None:
        while not self.allotters[node].is_ready:
            await asyncio.sleep(0.1)
        await self.recorders[node].run()

    async def _sweep(self, node: str) -> None:
        one = self.reservations[node]
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if self.recording:
                recorder = self.recorders[node]
                recorder.is_sparing = self.sparing
                one.balances.set_provable(recorder.can_prove_age())
                one.balances.set_sparing(self.sparing, recorder.find_schedule().hold)
            for gift, allocator in one.return_idle(self._find_allocator(one)):
                self._send(allocator, gift)
            for report, allocator in one.settlements.list_due(
                self._find_allocator(one)
            ):
                self._send(allocator, report)

    def _tell_mark(self, mark: Mark) -> None:
        for node in self.tasks:
            self.recorders[node].marks.add(mark)

    def _find_allocator(self, one: Reservations):
        def find(name: str) -> tuple[str, str] | None:
            present = [
                k for k in one.allocators.list_others(name) if k in self.allotters
            ]
            return (self.allotters[present[0]].holder, present[0]) if present else None

        return find

    def _ask(
        self, node: str, allocator: str, number: int, name: str, tokens: int
    ) -> bool:
        if allocator not in self.reservations:
            return False
        asker = self.reservations[node]
        keeping = asker.allocators.is_allocator(name)
        ask = Ask(asker.allotter.holder, number, node, name, tokens, keeping)
        self.asks.append((allocator, ask))
        loop = asyncio.get_running_loop()
        for _ in range(self.copies):
            loop.call_later(_DATAGRAM_DELAY_S, self._hear_ask, allocator, ask)
        return True

    def _hear_ask(self, allocator: str, ask: Ask) -> None:
        if allocator in self.tasks and allocator not in self.silent:
            task = asyncio.create_task(self._lend(self.reservations[allocator], ask))
            self.tasks[allocator].append(task)

    async def _lend(self, allocator: Reservations, ask: Ask) -> None:
        answer = await allocator.answer_ask(ask)
        if answer is not None:
            self._send(ask.ip, answer)

    def _send(self, node: str, answer) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(self.copies):
            loop.call_later(_DATAGRAM_DELAY_S, self._receive, node, answer)

    def _receive(self, node: str, answer) -> None:
        if node not in self.reservations:
            return
        if isinstance(answer, Gift):
            self.reservations[node].apply_gift(answer)
        elif isinstance(answer, Settled):
            self.reservations[node].settlements.apply(answer)
        else:
            self.reservations[node].apply_lack(answer)

    def kill(self, node: str) -> None:
        for task in self.tasks.pop(node):
            task.cancel()
        self.spent += self.allotters.pop(node).balances.by_name[POUNDS].settled
        del self.reservations[node]
        asyncio.get_running_loop().call_later(_DETECTION_S, self._note_routers)

    async def spend(self, node: str, key: str, tokens: int) -> bool:
        reservations = self.reservations[node]
        until = self.clock.now() + 5_000.0
        try:
            await reservations.reserve(POUNDS, key, tokens, until)
        except AnvilshiftError:
            return False
        reservations.settle(POUNDS, key, tokens)
        return True

    def count_spent(self) -> int:
        live = [a.balances.by_name[POUNDS].settled for a in self.allotters.values()]
        return self.spent + sum(live)

    def read(self):
        return read_allotments(self.store.read_ignoring_faults(KIND, NAME)).of(POUNDS)

    def stop(self) -> None:
        for tasks in self.tasks.values():
            for task in tasks:
                task.cancel()


def run_scenario(scenario, recording: bool = False, sparing: bool = False) -> None:
    """Run a scenario, an async function of a fleet, in virtual time."""

    async def run():
        fleet = Fleet(recording, sparing)
        try:
            await scenario(fleet)
        finally:
            fleet.stop()

    run_virtual(run())
