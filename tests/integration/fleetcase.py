"""A fleet of real processes for one test, and what its callers received."""

import asyncio
import json
import signal
import unittest

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.clock import MonotonicClock
from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.operator.administration import (
    apply_differences,
    compare,
    read_stored,
    read_usage,
    top_up,
    wait_until_in_force,
)
from anvilshift.settings.declarations import read_documents
from anvilshift.standins.engine import make_answer
from bench.fleet import LocalFleet, wait_until
from tests.integration.evidence import has_failed, keep_evidence

OPTIONS = {
    "lease_ms": 1500.0,
    "heartbeat_ms": 200.0,
    "keep_addresses_ms": 500.0,
    "commit_spacing_ms": 50.0,
}
TOKENS = 200_000


def count_tokens(prompt: str, tokens: int) -> int:
    """Return what the engine stand-in counts for a whole answer."""
    return len(prompt.encode()) // 4 + 1 + tokens


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Start three routers, engines, a service and the platform."""

    relayed: tuple[str, ...] = ()
    cut_off: tuple[str, ...] = ()

    async def asyncSetUp(self):
        self.fleet = LocalFleet(router_options=OPTIONS)
        self.addCleanup(self.fleet.stop)
        self.fleet.relayed = set(self.relayed)
        for name in self.cut_off:
            relay = self.fleet.start_relay(f"net-{name}", self.fleet.platform)
            self.fleet.router_platform[name] = relay
        self.justified = 0
        await self.fleet.start()
        self.store = HttpObjectStore(self.fleet.http, self.fleet.platform)
        await self.declare()
        for budget in ("kosice", "order-desk"):
            await top_up(self.store, budget, TOKENS, "invoice-1")

    async def declare(self):
        """Apply the declarations as the operators' command does, in process."""
        documents = read_documents(str(self.fleet.declarations))
        wanted = compare(documents, await read_stored(self.store), False)
        newest, _ = await apply_differences(self.store, documents, wanted)
        found = await wait_until_in_force(
            self.store, MonotonicClock(), newest, 10_000.0
        )
        self.assertTrue(found.accepted)

    async def asyncTearDown(self):
        if has_failed(self):
            keep_evidence(self, self.fleet.read_logs())
            print(self.fleet.read_logs())

    def client(self, organisation: str, router: str = "") -> Client:
        names = [router] if router else self.fleet.router_names
        seeds = [self.fleet.addresses[name] for name in names]
        client = Client(seeds, f"{organisation}-token")
        if router:
            client.look_up = lambda: _give(seeds)
        self.addCleanup(client.close)
        return client

    async def ask(self, prompt: str, tokens: int, client: Client | None = None) -> None:
        """Ask and require the whole answer, each character once."""
        client = client or self.client("kosice")
        message = {"role": "user", "content": prompt}
        asked = Conversation("tank-advisor", [message], tokens, deadline=15_000.0)
        self.assertEqual(await client.ask(asked), make_answer(prompt, tokens))
        self.justified += count_tokens(prompt, tokens)

    def begin_streams(self, count: int, tokens: int) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(self.ask(f"tank {n}", tokens)) for n in range(count)
        ]

    def begin_streams_at_each(
        self, count: int, tokens: int
    ) -> list[asyncio.Task[None]]:
        """Begin streams at each router; callers that lose theirs look up the others.

        Callers draw a router at random, so that one may get no stream at all.
        """
        return [
            asyncio.create_task(
                self.ask(f"tank {name} {n}", tokens, self.begin_at(name))
            )
            for name in self.fleet.router_names
            for n in range(count)
        ]

    def begin_at(self, router: str) -> Client:
        """Return a client that finds just one router at first, and then all."""
        client = self.client("kosice")
        look_up_all = client.look_up
        first = [[self.fleet.addresses[router]]]

        async def look_up():
            return first.pop() if first else await look_up_all()

        client.look_up = look_up
        return client

    async def order(self, key: str, router: str = "", deadline: float = 8_000.0):
        """Place an order; return the answer's body, or the error's fate."""
        body = json.dumps({"order": key}).encode()
        client = self.client("warehouse", router)
        try:
            answer = await client.call(
                "delivery",
                "/runs",
                body,
                key=key,
                non_idempotent=True,
                deadline=deadline,
            )
        except CallError as error:
            return error.fate
        return answer.body

    async def count_orders(self) -> dict[str, int]:
        """Return how often each order ran, past every fault of the network."""
        ran = (await self.fleet.audit("stock-1"))["ran"]
        return {
            json.loads(work.split(" ", 2)[2])["order"]: n for work, n in ran.items()
        }

    async def wait_busy(self, least: int = 1) -> str:
        """Return a router with so many requests in flight."""

        async def find() -> str:
            for name in self.fleet.router_names:
                if self.fleet.processes[name].exit_code is not None:
                    continue
                if (await self.fleet.status(name))["in_flight"] >= least:
                    return name
            return ""

        return await wait_until(find)

    def send(self, name: str, number: signal.Signals) -> None:
        self.fleet.processes[name].send(number)

    async def check_spend(self, budget: str, justified: int) -> None:
        """Wait until just what was served is recorded, and nothing is missing."""

        async def has_no_pending_changes() -> bool:
            row = (await read_usage(self.store))[budget]
            self.assertLessEqual(row["spent"], justified)
            return row["spent"] == justified

        await wait_until(has_no_pending_changes)
        row = (await read_usage(self.store))[budget]
        kept = row["spent"] + row["held"] + row["in_doubt"] + row["free"]
        self.assertEqual(kept, TOKENS)


async def _give(value):
    return value
