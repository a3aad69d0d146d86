"""One router that follows a store whose connections may fall silent."""

import asyncio
import random

from anvilshift.gateway.following import find_interval_factor
from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.store import PlatformStore
from anvilshift.standins.virtual import VirtualClock
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from tests.gateway.silent import SilentJournal
from tests.platform.gatewaycase import make_configuration
from tests.platform.memorynetwork import MemoryNetwork
from tests.platform.stubs import StoreStub

_ADDRESS = Address("10.0.0.1", 1)


class BabblingStore(StoreStub):
    """A store that answers watches with bytes without end, while it is told to.

    Attributes
    ----------
    pause
        Seconds between two pieces of such an answer; None if it answers properly.
    piece
        What it sends each time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pause: float | None = None
        self.piece = b" " * 1_000

    async def handle(self, request, responder) -> None:
        pause = self.pause
        if pause is None or "watch=" not in request.target:
            await super().handle(request, responder)
            return
        await responder.start(200, [("content-type", "application/json")])
        for _ in range(10_000):
            await responder.write(self.piece)
            await asyncio.sleep(pause)


class Play:
    """One router that follows a store in virtual time; its other parts don't run.

    Parameters
    ----------
    routers
        Size of its fleet.
    drain_bound
        Setting of the same name: None unless failure domains can be drained.
    """

    def __init__(self, routers: int, drain_bound: float | None = None) -> None:
        self.store = BabblingStore()
        self.network = MemoryNetwork(self.store.server)
        self.client = PlatformStore(HttpClient(network=self.network), _ADDRESS)
        self.journal = SilentJournal()
        settings = GatewaySettings(
            "n1",
            "10.0.0.2",
            "north",
            _ADDRESS,
            None,
            None,
            1,
            2,
            _ADDRESS,
            drain_bound=drain_bound,
        )
        self.node = GatewayNode(
            settings,
            PlatformDialect(),
            self.client,
            VirtualClock(),
            self.journal,
            random.Random(1),
        )
        self.factor = find_interval_factor(routers)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, idle: int) -> None:
        """Follow the store, with as many idle connections to it besides."""
        self.put(1)
        for follower in (self.node.configuration_follower, self.node.target_follower):
            follower.interval_factor = self.factor
            self.tasks.append(asyncio.create_task(follower.run()))
        self.tasks.append(asyncio.create_task(self.node.drains.run()))
        await asyncio.sleep(0.1)
        # As many calls at a time as need that many connections.
        calls = (self.client.get("notes", "a") for _ in range(idle))
        await asyncio.gather(*calls)
        await asyncio.sleep(self.factor * 4.6)

    def put(self, version: int) -> None:
        self.store.put("config", "main", make_configuration(version))

    @property
    def version(self) -> int:
        table = self.node.shared.table
        return table.configuration.version if table else 0

    async def measure(self, version: int, since: float) -> float:
        """Return how long after an instant a version is in force, 30 s at most."""
        loop = asyncio.get_running_loop()
        while self.version < version and loop.time() < since + 30.0:
            await asyncio.sleep(0.01)
        return loop.time() - since

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
