"""What the log says of requests that end without a whole answer."""

import asyncio
import socket
from unittest import mock

from tests.platform.gatewaycase import GatewayCase
from tests.platform.rawtarget import RESET_ON_CLOSE, End, RawAnswer, RawTarget

REQUEST = (
    b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\n"
    b"Anvilshift-Attempt-Id: a\r\nAnvilshift-Deadline-Ms: 5000\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class RequestEndTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        half = RawAnswer([b"half"], end=End.WAIT, content_type="text/plain")
        self.target = RawTarget("d1", half)
        self.targets["d1"] = self.target
        self.register("d1", "desk", await self.target.start())
        await self.start_node()

    async def open_request(self) -> asyncio.StreamWriter:
        """Send a request whose answer doesn't come, and wait until it runs."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        await self.wait_for(lambda: self.target.requests)
        return writer

    async def find_end(self) -> tuple[str, str, bool]:
        await self.wait_for(lambda: "request" in self.journal.list_events())
        fields = dict(self.journal.lines)["request"]
        return fields["outcome"], fields["why"], fields["cut"]

    async def test_caller_that_closes_is_told_as_gone(self):
        """Guards against a caller that left and a fault that look alike."""
        writer = await self.open_request()
        writer.close()
        why = "the caller closed the connection"
        self.assertEqual(await self.find_end(), ("caller gone", why, False))

    async def test_caller_that_resets_is_told_as_gone(self):
        """Guards against a lost host that looks like a caller that closed."""
        writer = await self.open_request()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        outcome, why, _ = await self.find_end()
        self.assertEqual(outcome, "caller gone")
        self.assertIn("Connection reset by peer", why)

    async def test_request_that_its_router_ends_is_told_as_such(self):
        """Guards against an ended process that looks like a caller that left."""
        await self.open_request()
        await self.node.close()
        why = "the router closed the connection"
        self.assertEqual(await self.find_end(), ("process ended", why, False))

    async def test_unexpected_exception_is_told_as_such(self):
        """Guards against a fault of the router that looks like a caller that left."""
        fault = RuntimeError("unforeseen")
        with (
            mock.patch.object(
                self.node.shared.retries, "add_request", side_effect=fault
            ),
            self.assertLogs(level="ERROR"),
        ):
            status, _, _ = await self.call("/order/1")
        self.assertEqual(status, 500)
        why = "RuntimeError('unforeseen')"
        self.assertEqual(await self.find_end(), ("handler failed", why, False))


class PlannedStopTest(GatewayCase):
    async def test_request_of_which_a_part_was_read_is_answered(self):
        """Guards against a stop that ends between the parts of a request."""
        await self.add_target("d1", "desk")
        await self.start_node()
        stop = asyncio.create_task(self.node.stop())
        await asyncio.sleep(1.0)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)
        writer.write(REQUEST[:40])
        await self.wait_for(lambda: self.node.server.stopping)
        await asyncio.sleep(0.2)
        self.assertFalse(stop.done())
        writer.write(REQUEST[40:])
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n"))
        await stop
