"""A router fleet in one process, without sockets, on an in-memory platform.

Tests can cut any router off from the platform and from other routers.
"""

import asyncio
import random
import unittest

from anvilshift.peers.link import PeerError
from anvilshift.router.node import Node, World
from anvilshift.router.telemetry import Telemetry
from anvilshift.settings.router import RouterSettings
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, VirtualLoop
from anvilshift.wire.messages import Address

LEASE = 5_000.0
HEARTBEAT = 500.0


class VirtualTestCase(unittest.IsolatedAsyncioTestCase):
    """Run each test in virtual time, independently of the machine's load."""

    def _setupAsyncioRunner(self):  # noqa: N802
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualLoop)


class Nodes:
    """A fleet of routers in one process, named `r1`, `r2` and so on."""

    def __init__(self, engine=None):
        self.platform = MemoryStore()
        self.nodes = {}
        self.peer_cuts = set()
        self.pair_cuts = set()
        self.clock = VirtualClock()
        self._engine = engine

    async def start(self, *names):
        for name in names:
            self.start_one(name)
        await wait_until(lambda: all(self.nodes[n].is_ready() for n in names))

    def start_one(self, name):
        number = int(name[1:])
        addresses = [Address("127.0.0.1", 100 * k + number) for k in (1, 2, 3)]
        platform = Address("127.0.0.1", 1)
        settings = RouterSettings(
            name,
            f"host-{name}",
            "north",
            *addresses,
            platform,
            lease=LEASE,
            heartbeat=HEARTBEAT,
            keep_addresses=100.0,
        )
        world = World(
            self.clock,
            self.platform.view(name),
            NodeLink(self, name),
            NodeConnector(self._engine, name),
            Telemetry(exported=False),
            random.Random(name),
        )
        self.nodes[name] = Node(settings, world)
        self.nodes[name].start()
        return self.nodes[name]

    def cut_from_platform(self, *names):
        self.platform.faults.cut = set(names)
        # A watch that is waiting at this moment must end, as its connection would.
        self.platform._wake()

    def cut_peers(self, *names):
        self.peer_cuts = set(names)

    def ready(self):
        return {name for name, node in self.nodes.items() if node.is_ready()}

    async def close(self):
        self.platform.faults.outage = False
        self.cut_from_platform()
        for node in self.nodes.values():
            await node.close()


class NodeLink:
    """Call the other routers directly, unless the connection is cut."""

    def __init__(self, nodes, name):
        self._nodes = nodes
        self._name = name

    def _find_fleet(self, address):
        for name, node in self._nodes.nodes.items():
            if node.fleet.member.peer_address == address:
                pair = frozenset({name, self._name})
                if self._nodes.peer_cuts & pair or pair in self._nodes.pair_cuts:
                    break
                return node.fleet
        raise PeerError("cut")

    async def beat(self, address, beat):
        return await self._find_fleet(address).take_beat(beat)

    async def keep(self, address, request):
        return await self._find_fleet(address).take_copies(request)

    async def give_back(self, address, request):
        return await self._find_fleet(address).take_give_back(request)

    async def call_store(self, address, request):
        return await self._find_fleet(address).take_call_store(request)

    async def permit(self, address, request):
        return await self._find_fleet(address).take_permit(request)

    async def relocate(self, address, request):
        return await self._find_fleet(address).take_relocate(request)

    def close(self):
        pass


class NodeConnector:
    def __init__(self, engine, router):
        self._engine = engine
        self._router = router

    def engine(self, engine):
        return self._engine(engine, self._router)

    def service(self, engine):
        return None


async def wait_until(condition, timeout=120.0):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)
