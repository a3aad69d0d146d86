"""Base class of tests that run whole gateways on loopback, with stubs around them."""

import asyncio
import random
import unittest

from anvilshift.core.clock import MonotonicClock
from anvilshift.core.retries import RetryLimits
from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient, Network
from anvilshift.wire.messages import Address
from bench.ports import take_free_port
from tests.gateway.silent import SilentJournal
from tests.platform.cutnetwork import SourcedNetwork
from tests.platform.stubs import StoreStub, TargetStub

ROUTES = {
    "chat": {
        "routeKind": "streaming",
        "service": "llm",
        "resumable": True,
        "maxAttempts": 2,
    },
    "review": {"routeKind": "streaming", "service": "llm", "maxAttempts": 1},
    "order": {"routeKind": "non_idempotent", "service": "desk", "maxAttempts": 1},
    "read": {"routeKind": "idempotent", "service": "desk", "maxAttempts": 2},
    "open": {"routeKind": "idempotent", "service": "desk", "anonymous": True},
}


ABSENT = object()
"""Stands for a field that an entry doesn't have."""
_SHARING_ROUTERS = 4
_WARM_UP_SUCCESSES = 20
"""Consecutive successes after which a router counts as warmed up."""
_PRINTED_LINES = 1_000
"""Lines of the routers' log that a failed test prints."""


def make_configuration(version: int = 1, reserved: int = 100_000, timeout: int = 2_000):
    routes = [
        {
            "name": name,
            "hostname": "shop.example",
            "pathPrefix": f"/{name}/",
            "timeoutMs": timeout,
            "latencyGoalMs": 500,
            "itlTargetMs": 100 if name == "chat" else None,
            **rest,
        }
        for name, rest in ROUTES.items()
    ]
    services = [
        {"name": "llm", "engineId": {"slots": 8, "kvCapacity": 100_000, "stride": 5}},
        {"name": "desk"},
    ]
    tenants = [{"name": "pounds", "apiKeys": ["k1"], "reserved": reserved}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": {},
    }


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    allowance = 40.0
    """Repeats that all routers together may send beyond those that requests earn."""
    has_shares = True
    """Whether routers have their share at once, as if they had run for long."""
    drain_bound: float | None = None
    """Setting of the same name: None unless failure domains can be drained."""

    def run(self, result=None):
        """Run the test; print what the routers logged if it fails."""
        result = self.defaultTestResult() if result is None else result
        before = len(result.failures) + len(result.errors)
        result = super().run(result)
        if len(result.failures) + len(result.errors) > before:
            self.journal.print_tail(_PRINTED_LINES)
        return result

    async def asyncSetUp(self):
        # unittest runs its loop in debug mode, which takes more processor time than
        # all routers, targets and callers of a play together.
        asyncio.get_running_loop().set_debug(False)
        self.store_stub = StoreStub()
        self.store_address = await self.store_stub.start()
        self.targets: dict[str, TargetStub] = {}
        self.client = HttpClient()
        self.count = 0
        self.starts = 0
        self.node: GatewayNode | None = None
        self.nodes: list[GatewayNode] = []
        self.journal = SilentJournal()

    async def asyncTearDown(self):
        self.client.close()
        if self.node is not None:
            await self.node.close()
        for node in self.nodes:
            await node.close()
        for target in self.targets.values():
            await target.server.close()
        await self.store_stub.server.close()

    async def add_target(self, name: str, service: str, **entry) -> TargetStub:
        target = TargetStub(name)
        self.targets[name] = target
        address = await target.start()
        self.register(name, service, address, **entry)
        return target

    def register(self, name: str, service: str, address: Address, **rest) -> None:
        entry = {"service": service, "address": str(address), "zone": "north"}
        figures = {"slots": 8, "state": "ready", "sequence": 1, "born": 1}
        entry = {**entry, **figures, "version": "v1", **rest}
        present = {key: value for key, value in entry.items() if value is not ABSENT}
        self.store_stub.put("servers", name, present)

    async def start_node(
        self, configured: bool = True, history: float | None = None
    ) -> None:
        self.starts += 1
        if configured:
            self.store_stub.put("config", "main", make_configuration())
        self.node = self.make_node("n1", "127.0.0.1", history=history)
        await self.node.start()
        self.address = Address("127.0.0.1", self.node.server.port)
        if configured:
            await self.wait_for(
                lambda: len(self.node.loads.targets) >= len(self.targets)
            )
            await self.wait_for(self.node.is_ready)

    def make_node(
        self,
        name: str,
        ip: str,
        peer_port: int = 0,
        seeds: tuple[str, ...] = (),
        history: float | None = None,
        forward_port: int = 0,
        network: Network | None = None,
        domain: str = "north",
        configuration_port: int = 0,
    ) -> GatewayNode:
        settings = GatewaySettings(
            name,
            ip,
            domain,
            Address(ip, 0),
            None,
            None,
            peer_port,
            forward_port,
            self.store_address,
            seeds,
            retries=RetryLimits(allowance=self.allowance),
            history=history,
            configuration_port=configuration_port,
            drain_bound=self.drain_bound,
        )
        node = GatewayNode(
            settings,
            PlatformDialect(),
            self.make_store(),
            MonotonicClock(),
            self.journal,
            random.Random(self.starts + len(self.nodes)),
            network=network,
        )
        if self.has_shares:
            node.retry_shares.shares.count = lambda now: _SHARING_ROUTERS
            node.retry_shares.update()
        return node

    def make_store(self) -> PlatformStore:
        """Return the store of a router that is about to start."""
        return PlatformStore(HttpClient(), self.store_address)

    async def start_fleet(self, count: int) -> None:
        """Start routers that discover one another, each on its own address."""
        self.store_stub.put("config", "main", make_configuration())
        ips = [f"127.0.0.{n}" for n in range(2, 2 + count)]
        port, forward_port = take_free_port(), take_free_port()
        configuration_port = take_free_port()
        for ip in ips:
            network = self.make_network()
            if network is not None:
                network.source = ip
            node = self.make_node(
                f"n-{ip}",
                ip,
                peer_port=port,
                seeds=tuple(ips),
                forward_port=forward_port,
                network=network,
                configuration_port=configuration_port,
            )
            self.nodes.append(node)
            await node.start()
        await self.wait_for(lambda: all(node.is_ready() for node in self.nodes))
        others = count - 1
        await self.wait_for(
            lambda: all(len(n.peers.list_present()) == others for n in self.nodes)
        )
        targets = len(self.targets)
        await self.wait_for(
            lambda: all(len(n.loads.targets) == targets for n in self.nodes)
        )
        for node in self.nodes:
            await self.warm_up(node)

    def make_network(self) -> SourcedNetwork | None:
        """Return what opens the connections of a router that is about to start."""
        return None

    async def warm_up(self, node: GatewayNode) -> None:
        """Call a router until it has drawn enough tokens to serve every request.

        Until then it refuses requests with a `Retry-After` header.
        """
        served = 0
        async with asyncio.timeout(20):
            while served < _WARM_UP_SUCCESSES:
                status, _, _ = await self.call_at(node, "/chat/warm")
                served = served + 1 if status == 200 else 0
                await asyncio.sleep(0.02)

    async def wait_for(self, holds) -> None:
        async with asyncio.timeout(10):
            while not holds():
                await asyncio.sleep(0.01)

    async def call_at(self, node: GatewayNode, path: str, **rest):
        """Call one router of a fleet."""
        self.address = Address(node.settings.ip, node.server.port)
        return await self.call(path, **rest)

    async def call(self, path: str, body: bytes = b"", key: str | None = "k1", **rest):
        self.count += 1
        identity = rest.pop("identity", f"id-{self.count}")
        headers = [("anvilshift-attempt-id", identity)]
        if key is not None:
            headers.append(("authorization", f"Bearer {key}"))
        if path.startswith(("/chat", "/review")):
            headers += [
                ("anvilshift-token-usage", "100,30"),
                ("anvilshift-prefix-hash", "a:60,b:40"),
            ]
        headers.append(("anvilshift-deadline-ms", str(rest.pop("deadline", 2_000))))
        headers += rest.pop("headers", [])
        # Longer than any answer may take, so that a failing test does not hang.
        async with (
            asyncio.timeout(20),
            self.client.exchange(
                self.address, "POST", path, headers, body, host="shop.example"
            ) as response,
        ):
            return response.status, response.headers, await response.read()
