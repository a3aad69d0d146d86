"""Allotters and recorders of several hosts on one store, in virtual time."""

import asyncio

from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.retention import MarkLog
from anvilshift.gateway.allotting import KIND, NAME, Allotter, read_allotments
from anvilshift.gateway.recording import Recorder
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.silent import SilentJournal

POUNDS = "pounds"
HISTORY = 20_000.0
_GIFT_S = 0.001


class Fleet:
    """Routers that share one organisation's total; gifts take a millisecond.

    Parameters
    ----------
    recording
        Whether routers record their use.  A host that is started again has lost
        power: its boot is another one each time.
    """

    def __init__(self, recording: bool = False) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock, HISTORY)
        self.recording = recording
        self.allotters: dict[str, Allotter] = {}
        self.recorders: dict[str, Recorder] = {}
        self.journals: dict[str, SilentJournal] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}
        self.spent = 0
        self.births = 0

    def start(
        self, node: str, total: int = 10_000, version: int = 1, ip: str = ""
    ) -> Allotter:
        self.births += 1
        holder = f"{node}.{self.births}"
        journal = self.journals[node] = SilentJournal()
        store = self.store.view(node)
        allotter = Allotter(
            store,
            node,
            holder,
            self.clock,
            journal,
            lambda name, tokens: self._ask(node, name, tokens),
        )
        self.allotters[node] = allotter
        self.tasks[node] = [asyncio.create_task(self._run(node))]
        if self.recording:
            recorder = self.recorders[node] = Recorder(
                store,
                node,
                ip or node,
                holder,
                self.clock,
                journal,
                allotter.wallet,
                MarkLog(HISTORY),
                boot=holder,
                read_wall=self.clock.now,
            )
            allotter.settle_former = recorder.settle_former
            allotter.hurry_record = recorder.hurry
            self.tasks[node].append(asyncio.create_task(self._record(node)))
        allotter.configure(version, {POUNDS: total})
        return allotter

    async def _run(self, node: str) -> None:
        await self.allotters[node].run()

    async def _record(self, node: str) -> None:
        while not self.allotters[node].begun:
            await asyncio.sleep(0.1)
        await self.recorders[node].run()

    def _ask(self, asker: str, name: str, tokens: int) -> None:
        for node, other in self.allotters.items():
            if node != asker:
                given = other.give(name, tokens)
                loop = asyncio.get_running_loop()
                loop.call_later(_GIFT_S, self.allotters[asker].receive, name, given)

    def kill(self, node: str) -> None:
        for task in self.tasks.pop(node):
            task.cancel()
        self.spent += self.allotters.pop(node).wallet.purses[POUNDS].settled

    async def spend(self, node: str, key: str, tokens: int) -> bool:
        allotter = self.allotters[node]
        until = self.clock.now() + 5_000.0
        try:
            await allotter.reserve(POUNDS, key, tokens, until)
        except AnvilshiftError:
            return False
        allotter.settle(POUNDS, key, tokens)
        return True

    def count_spent(self) -> int:
        live = [a.wallet.purses[POUNDS].settled for a in self.allotters.values()]
        return self.spent + sum(live)

    def read(self):
        return read_allotments(self.store.peek(KIND, NAME)).of(POUNDS)

    def stop(self) -> None:
        for tasks in self.tasks.values():
            for task in tasks:
                task.cancel()


def play(course, recording: bool = False) -> None:
    """Run a course of events on a fleet in virtual time."""

    async def run():
        fleet = Fleet(recording)
        try:
            await course(fleet)
        finally:
            fleet.stop()

    run_virtual(run())
