"""Requests of the chat interface whose callers have left reach no target."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from anvilshift.core.clock import MonotonicClock
from bench.fleet import wait_until
from tests.router.fleetlet import Fleetlet, make_chat, read_code

DEADLINE = 8_000.0


class ShiftedClock(MonotonicClock):
    """A clock that a test moves on."""

    shift = 0.0

    def now(self) -> float:
        return super().now() + self.shift


class CallerLeavesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleetlet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.shared = self.fleet.nodes[0].callers._shared
        self.clock = self.shared.clock = ShiftedClock()
        self.placed = asyncio.Event()
        self.sock = socket.socket()
        self.addCleanup(self.sock.close)

    @contextlib.contextmanager
    def act_during_placement(self, act):
        """Act as a request gets its target, before the event loop turns again."""
        submit = self.shared.dispatch.submit

        async def wait_and_act(*arguments):
            send = await submit(*arguments)
            act()
            self.placed.set()
            return send

        with mock.patch.object(self.shared.dispatch, "submit", wait_and_act):
            yield

    def pass_deadline(self) -> None:
        self.clock.shift += DEADLINE

    async def ask(self, *fields: str) -> None:
        body = make_chat("tank", extra={"stream": True})
        head = [
            "POST /v1/chat/completions HTTP/1.1",
            "Host: a",
            "Authorization: Bearer pound",
            f"Content-Length: {len(body)}",
            *fields,
        ]
        loop = asyncio.get_running_loop()
        self.sock.setblocking(False)
        address = self.fleet.addresses[0]
        await loop.sock_connect(self.sock, (address.ip, address.port))
        message = "\r\n".join([*head, "", ""]).encode() + body
        await loop.sock_sendall(self.sock, message)

    async def test_close_during_placement_is_heard_before_the_request_is_sent(self):
        """Guards against requests that are sent on after their callers have left."""
        with self.act_during_placement(self.sock.close):
            await self.ask()
            await self.placed.wait()
            await wait_until(lambda: not self.fleet.nodes[0].callers.in_flight)
        self.assertEqual(self.fleet.engines[0].runs, [])

    async def test_keyed_request_goes_on_without_its_caller(self):
        """Guards against an answer that its caller comes back for and nobody made."""
        with self.act_during_placement(self.sock.close):
            await self.ask("Idempotency-Key: k")
            await wait_until(lambda: self.fleet.engines[0].runs)

    async def test_deadline_that_passes_during_placement_is_told_as_not_run(self):
        """Guards against requests that are sent after their deadlines."""
        with self.act_during_placement(self.pass_deadline):
            answer = await self.fleet.chat("tank")
        self.assertEqual(read_code(answer)[1], "not run")
        self.assertEqual(self.fleet.engines[0].runs, [])
