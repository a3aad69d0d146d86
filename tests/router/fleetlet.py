"""Routers, an in-memory platform and targets on the loopback, in one process."""

import asyncio
import contextlib
import json
import random
from typing import Any

from anvilshift.client.client import Client
from anvilshift.core.clock import MonotonicClock
from anvilshift.core.ledger import Ledger
from anvilshift.engines.http import HttpConnector
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import update
from anvilshift.peers.link import PeerError
from anvilshift.router.accesscontrol import hash_token
from anvilshift.router.budgets import LEDGER_KIND, LEDGER_NAME
from anvilshift.router.node import Node, World
from anvilshift.router.telemetry import Telemetry
from anvilshift.settings.router import RouterSettings
from anvilshift.standins.engine import EngineStandin
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.service import ServiceStandin
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HeaderFields, HttpResponse
from anvilshift.wire.server import HttpServer
from bench.fleet import make_address, wait_until

ANY = Address("127.0.0.1", 0)
TOKENS = 100_000


class CountingTelemetry(Telemetry):
    """Telemetry that keeps the names of the counted events."""

    def __init__(self) -> None:
        super().__init__(exported=False)
        self.events: list[str] = []

    def count_event(self, event: str) -> None:
        self.events.append(event)


class SilentLink:
    """Peer link on which no peer answers."""

    async def beat(self, address, beat):
        raise PeerError(address)

    keep = give_back = beat

    def close(self) -> None:
        pass


class Fleetlet:
    """A few routers, engines and one service, in one process."""

    def __init__(self, routers: int = 1, engines: int = 1) -> None:
        self.store = MemoryStore()
        self.engines = [EngineStandin() for _ in range(engines)]
        self.service = ServiceStandin()
        self.http = HttpClient()
        self.nodes: list[Node] = []
        self.addresses: list[Address] = []
        self._servers: list[HttpServer] = []
        self._count = routers

    async def start(self) -> None:
        addresses = [await engine.start(ANY) for engine in self.engines]
        await self.declare(addresses, await self.service.start(ANY))
        await self.top_up()
        for index in range(self._count):
            address = make_address()
            node = self._make_node(index, address)
            server = HttpServer(node.callers.handle)
            self.addresses.append(await server.start(address))
            self._servers.append(server)
            self.nodes.append(node)
        # Routers that start one after another wait until the others have the revision
        # in force that they found, which takes these until their next renewal.
        for node in self.nodes:
            node.start()
        await wait_until(lambda: all(node.is_ready() for node in self.nodes))

    def _make_node(self, index: int, listen: Address) -> Node:
        name = f"r{index + 1}"
        settings = RouterSettings(
            name, name, "north", listen, ANY, ANY, ANY, commit_spacing=5.0
        )
        world = World(
            MonotonicClock(),
            self.store.view(name),
            SilentLink(),
            HttpConnector(self.http),
            CountingTelemetry(),
            random.Random(index),
        )
        return Node(settings, world)

    async def declare(self, engines: list[Address], service: Address) -> None:
        every: dict[str, Any] = {}
        for kind, name, body in (
            ("Budget", "b", {"allowance": 1_000, "grant": 10_000}),
            ("Organisation", "pound", {"budget": "b"}),
            ("Organisation", "rival", {"budget": "b"}),
            ("Route", "m", {"target": "model", "timeout_ms": 8_000}),
            ("Route", "book", {"target": "service", "cost": 10}),
            ("EngineGroup", "es", {"target": "model", "models": ["m"]}),
            ("EngineGroup", "ss", {"target": "service"}),
            ("Policy", "all", {"organisations": every, "engines": every}),
        ):
            body = {"kind": kind, "name": name, **body}
            if kind == "Organisation":
                body["credentials"] = [hash_token(name)]
            if kind == "Route":
                body["engines"] = {"match_labels": {"of": name}}
                body["non_idempotent"] = name == "book"
            if kind == "EngineGroup":
                addresses = engines if name == "es" else [service]
                body["labels"] = {"of": "m" if name == "es" else "book"}
                body["engines"] = [
                    {
                        "name": f"{name}{index}",
                        "address": str(address),
                        "failure_domain": "north",
                    }
                    for index, address in enumerate(addresses)
                ]
            await self.store.put(kind, name, body, 0)

    async def top_up(self, tokens: int = TOKENS) -> None:
        def change(body: Any) -> Any:
            ledger = decode(Ledger, body) if body else Ledger()
            return encode(ledger.top_up("b", f"i{tokens}", tokens))

        await update(self.store, LEDGER_KIND, LEDGER_NAME, change)

    @property
    def spent(self) -> int:
        body = self.store.read_ignoring_faults(LEDGER_KIND, LEDGER_NAME)
        return decode(Ledger, body).account("b").spent

    async def post(
        self,
        path: str,
        body: bytes,
        *headers: tuple[str, str],
        router: int = 0,
        token: str = "pound",
    ) -> HttpResponse:
        fields: HeaderFields = [("authorization", f"Bearer {token}"), *headers]
        address = self.addresses[router]
        return await self.http.call(address, "POST", path, fields, body, 10_000)

    async def book(self, key: str, drums: int = 1, **rest: Any) -> HttpResponse:
        body = json.dumps({"drums": drums}).encode()
        path = "/services/book/runs"
        return await self.post(path, body, ("idempotency-key", key), **rest)

    async def chat(
        self, prompt: str, *headers: tuple[str, str], tokens: int = 8, **rest: Any
    ) -> HttpResponse:
        body = make_chat(prompt, tokens, rest.pop("extra", {}))
        return await self.post("/v1/chat/completions", body, *headers, **rest)

    def client(self, token: str = "pound") -> Client:
        return Client(self.addresses, token)

    async def cut(self, router: int) -> None:
        """Close a router's server for callers and its connections."""
        await self._servers[router].close()

    async def close(self) -> None:
        for server in self._servers:
            await server.close()
        for node in self.nodes:
            with contextlib.suppress(asyncio.CancelledError):
                await node.close()
        for engine in self.engines:
            await engine.close()
        await self.service.close()
        self.http.close()


def make_chat(prompt: str, tokens: int = 8, extra: dict[str, Any] | None = None):
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        **(extra or {}),
    }
    return json.dumps(body).encode()


def read_code(answer: HttpResponse) -> tuple[int, str]:
    """Return the number of an error and the fate of the work that it states."""
    error = json.loads(answer.body)["error"]
    return error["code"], error["fate"]
