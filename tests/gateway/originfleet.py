"""Routers that know where streams began, in virtual time.

Each reads the register of engines at times of its own, and hears of the others' streams
by messages.
"""

import asyncio
import random
from types import SimpleNamespace

from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo
from anvilshift.gateway.origins import StreamOrigins
from anvilshift.gateway.streammessages import (
    HistorySeen,
    OriginAnswer,
    OriginAsk,
    StreamBegan,
)
from anvilshift.standins.virtual import VirtualClock
from tests.gateway.silent import SilentJournal

SERVICE = "llm"
_DATAGRAM_DELAY_S = 0.001
_TICK_S = 0.1
_READING_S = (0.05, 1.0)
"""Shortest and longest time between two readings of the register at one router."""
_FRESH_S = 2.0
_READY_S = 0.05
"""Time after which a router that starts has heard of the others, and serves."""


class Router:
    """One router, reduced to what it knows of streams and versions."""

    def __init__(self, fleet: "OriginFleet", name: str, rule) -> None:
        self.fleet, self.name = fleet, name
        self.clock, self.loads = VirtualClock(), LoadMap()
        self.peers = SimpleNamespace(routers={}, small=True, domain="north")
        self.peers.send = self.send
        self.peers.send_each = lambda message, ips: [self.send(message, i) for i in ips]
        self.peers.broadcast = lambda message: self.peers.send_each(
            message, list(self.peers.routers)
        )
        self.peers.list_present = lambda: list(self.peers.routers.values())
        self.origins = StreamOrigins(
            name, name, self.peers, self.loads, self.clock, SilentJournal()
        )
        self.origins.routes.update([rule], self.clock.now())
        self.handlers = {
            StreamBegan: self.origins.apply_told,
            OriginAsk: self.origins.answer,
            OriginAnswer: self.origins.apply_answer,
            HistorySeen: self.origins.adopt_history,
        }
        self._read: int | None = None
        self._confirmed = float("-inf")
        self.tasks = [
            asyncio.create_task(one) for one in (self._follow(), self._work())
        ]

    def send(self, message, ip: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_DATAGRAM_DELAY_S, self.fleet.hand_over, message, ip)

    async def _follow(self) -> None:
        while True:
            if not self.fleet.is_store_down:
                self._read_register()
            await asyncio.sleep(self.fleet.rng.uniform(*_READING_S))

    def _read_register(self) -> None:
        if self._read is None:
            for info in self.fleet.engines.values():
                self._declare(info)
            self.origins.note_list(self._confirmed)
        else:
            for name, info in self.fleet.changes[self._read :]:
                if info is None:
                    self.loads.remove(name, self.clock.now())
                else:
                    self._declare(info)
        self._read = len(self.fleet.changes)
        self._confirmed = self.clock.now()

    def _declare(self, info: TargetInfo) -> None:
        self.origins.note_target(info)
        self.loads.declare(info)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            now = self.clock.now()
            self.origins.update_routers()
            if now - self._confirmed <= _FRESH_S * 1_000:
                targets = [one.info for one in self.loads.targets.values()]
                self.origins.history.observe(targets, now)


class OriginFleet:
    """Routers, and the register of the engines of one service.

    Attributes
    ----------
    ready
        Routers that serve callers.
    changes
        Changes of the register, in order: a name and its entry, None if removed.
    """

    def __init__(self, rng: random.Random, rule) -> None:
        self.rng, self.rule = rng, rule
        self.routers: dict[str, Router] = {}
        self.ready: list[Router] = []
        self.engines: dict[str, TargetInfo] = {}
        self.changes: list[tuple[str, TargetInfo | None]] = []
        self.is_store_down = False

    async def start(self, *names: str, first: bool = False) -> None:
        """Start routers together, and wait until they serve.

        Parameters
        ----------
        first
            Whether no stream has begun anywhere before.
        """
        new = []
        for name in names:
            router = self.routers[name] = Router(self, name, self.rule)
            new.append(router)
            if first:
                router.origins.note_beginning()
            for other in self.routers.values():
                if other is not router:
                    self._introduce(router, other)
        await asyncio.sleep(_READY_S)
        self.ready += [one for one in new if self.routers.get(one.name) is one]

    @staticmethod
    def _introduce(new: Router, known: Router) -> None:
        """Let two routers hear of each other, and tell what they have seen."""
        for one, other in ((new, known), (known, new)):
            beat = SimpleNamespace(
                ip=other.name,
                router=other.name,
                failure_domain="north",
                leaving=False,
                version=1,
            )
            one.peers.routers[other.name] = SimpleNamespace(beat=beat)
            one.send(one.origins.describe_history(), other.name)

    def hand_over(self, message, name: str) -> None:
        if name in self.routers:
            router = self.routers[name]
            router.handlers[type(message)](message)

    def kill(self, *names: str) -> None:
        for name in names:
            router = self.routers.pop(name)
            for task in router.tasks:
                task.cancel()
            self.ready = [one for one in self.ready if one is not router]
        for one in self.routers.values():
            for name in names:
                one.peers.routers.pop(name, None)

    def register(self, name: str, version: str) -> None:
        info = TargetInfo(name, SERVICE, "10.0.0.1:80", "north", 8, version=version)
        self.engines[name] = info
        self.changes.append((name, info))

    def remove(self, name: str) -> None:
        del self.engines[name]
        self.changes.append((name, None))
