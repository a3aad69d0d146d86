"""Requests whose callers have left, or whose deadlines have passed, reach no target."""

import asyncio
import contextlib
import socket
from unittest import mock

from anvilshift.core.clock import MonotonicClock
from anvilshift.gateway.permitsession import PermitSession
from tests.platform.gatewaycase import GatewayCase

DEADLINE = 2_000.0
REQUEST = (
    b"POST /%s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\n"
    b"Anvilshift-Attempt-Id: left\r\nAnvilshift-Deadline-Ms: 2000\r\n"
    b"Anvilshift-Token-Usage: 100,30\r\nAnvilshift-Prefix-Hash: a:60,b:40\r\n"
    b"Content-Length: 0\r\n\r\n"
)
WAITS = ("tokens", "permit", "link", "connection")


class ShiftedClock(MonotonicClock):
    """A clock that a test moves on."""

    shift = 0.0

    def now(self) -> float:
        return super().now() + self.shift


class CallerLeavesTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.chat = await self.add_target("e1", "llm")
        self.desk = await self.add_target("d1", "desk")
        await self.start_node()
        await self.warm_up(self.node)
        self.clock = self.node.shared.clock = ShiftedClock()
        self.sock = socket.socket()
        self.addCleanup(self.sock.close)

    async def ask(self, path: bytes) -> None:
        """Send a request on a connection that the test can close within a turn."""
        loop = asyncio.get_running_loop()
        self.sock.setblocking(False)
        await loop.sock_connect(self.sock, (self.address.ip, self.address.port))
        await loop.sock_sendall(self.sock, REQUEST % path)

    @contextlib.contextmanager
    def act_during(self, wait: str, act):
        """Act as a wait of a request ends, before the event loop turns again."""
        node = self.node
        owner, name = {
            "tokens": (node.reservations, "reserve"),
            "permit": (PermitSession, "request_permit"),
            "link": (node.link_throttle, "wait"),
            "connection": (node.reach, "connect"),
        }[wait]
        original = getattr(owner, name)

        async def wait_and_act(*arguments, **rest):
            result = await original(*arguments, **rest)
            act()
            return result

        with mock.patch.object(owner, name, wait_and_act):
            yield

    def reopen(self) -> None:
        self.sock.close()
        self.sock = socket.socket()
        self.journal.lines.clear()

    def pass_deadline(self) -> None:
        self.clock.shift += DEADLINE

    def count_runs(self) -> int:
        runs = [*self.chat.requests, *self.desk.requests]
        return sum(
            dict(one.headers.pairs)["anvilshift-attempt-id"] == "left" for one in runs
        )

    async def find_end(self) -> str:
        await self.wait_for(
            lambda: any(f.get("id") == "left" for f in self.list_ends())
        )
        return next(f["outcome"] for f in self.list_ends() if f["id"] == "left")

    def list_ends(self):
        return [fields for event, fields in self.journal.lines if event == "request"]

    async def read_status(self) -> bytes:
        loop = asyncio.get_running_loop()
        return (await loop.sock_recv(self.sock, 4096)).split(b" ")[1]

    def list_waits(self, path: bytes) -> tuple[str, ...]:
        return WAITS if path.startswith(b"chat") else WAITS[1:]

    async def test_close_during_a_wait_is_heard_before_the_request_is_sent(self):
        """Guards against requests that are sent on after their callers have left.

        The end of a wait and the caller's close are ready in the same turn of a busy
        event loop, and the end of the wait is handled first.
        """
        for path in (b"chat/1", b"order/1", b"read/1"):
            for wait in self.list_waits(path):
                with self.subTest(path=path, wait=wait):
                    self.reopen()
                    with self.act_during(wait, self.sock.close):
                        await self.ask(path)
                        self.assertEqual(await self.find_end(), "caller gone")
                    self.assertEqual(self.count_runs(), 0)

    async def test_deadline_that_passes_during_a_wait_is_told_as_not_run(self):
        """Guards against requests that are sent after their deadlines.

        The timer of a deadline is late where an event loop is busy.
        """
        for path in (b"chat/2", b"order/2", b"read/2"):
            for wait in self.list_waits(path):
                with self.subTest(path=path, wait=wait):
                    self.reopen()
                    with self.act_during(wait, self.pass_deadline):
                        await self.ask(path)
                        self.assertEqual(await self.read_status(), b"503")
                    self.assertEqual(self.count_runs(), 0)

    async def test_request_and_close_that_are_read_together_run_nowhere(self):
        """Guards against a request that is read late, when its caller has left."""
        await self.call("/order/warm")
        loop = asyncio.get_running_loop()
        self.sock.setblocking(False)
        await loop.sock_connect(self.sock, (self.address.ip, self.address.port))
        self.sock.send(REQUEST % b"order/3")
        self.sock.close()
        self.assertEqual(await self.find_end(), "caller gone")
        self.assertEqual(self.count_runs(), 0)
