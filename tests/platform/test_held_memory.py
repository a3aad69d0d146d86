"""A gateway whose host has little memory, with callers that are slow."""

import asyncio
import dataclasses
import socket

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.admission.heldbytes import Use
from anvilshift.core.clock import SECOND
from anvilshift.gateway.heldmemory import HeldMemory
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.platform.rawtarget import End, Frame, RawAnswer, RawTarget, make_events

MEMORY_MB = 136
BODY = 500_000
"""Bytes of a long body; some twenty have room in so little memory."""
CALLERS = 60
SMALL_BUFFER = 64 * 1024
LONG_MS = 10_000
STREAM_MS = 60_000
"""Deadline of the stream: its end is the matter, not how fast the test reads it."""
CUT_OFF_S = 1.0
"""Time after which a target cuts off an answer that stays unread."""
EVENTS = 24_000
"""Events of a stream, of about 24 MB: more than the system buffers on its way."""


class ImpatientWriter:
    """Writes an answer, and gives up once it stays unread for a time."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def __getattr__(self, name: str):
        return getattr(self._writer, name)

    async def drain(self) -> None:
        try:
            await asyncio.wait_for(self._writer.drain(), timeout=CUT_OFF_S)
        except TimeoutError:
            self._writer.transport.abort()
            raise ConnectionError("the answer stays unread") from None


class ImpatientTarget(RawTarget):
    """A target that cuts off what isn't read within a time."""

    async def _answer(self, reader, writer) -> bool:
        return await super()._answer(reader, ImpatientWriter(writer))


class HeldMemoryCase(GatewayCase):
    memory: float | None = MEMORY_MB
    timeout: int = LONG_MS

    async def start(self) -> None:
        await self.start_node()
        patient = make_configuration(2, reserved=50_000_000, timeout=self.timeout)
        self.store_stub.put("config", "main", patient)
        shared = self.node.shared
        await self.wait_for(lambda: shared.table.configuration.version == 2)

    def make_node(self, *arguments, **rest):
        node = super().make_node(*arguments, **rest)
        limits = HostLimits(memory=self.memory)
        node.settings = dataclasses.replace(node.settings, limits=limits)
        node.held = HeldMemory(limits, node.shared)
        node.held.attach(node.server, node.client)
        return node


class LongBodyTest(HeldMemoryCase):
    async def call_all(self) -> list[tuple[int, str | None]]:
        """Return status and time to come back of many calls with long bodies."""
        desk = await self.add_target("d1", "desk", slots=CALLERS)
        await self.start()
        desk.delay = 1.0
        body = b"x" * BODY
        calls = [
            self.call(f"/read/{n}", body, deadline=LONG_MS) for n in range(CALLERS)
        ]
        answers = await asyncio.gather(*calls)
        self.ran = len(desk.runs)
        return [(status, fields.get("retry-after")) for status, fields, _ in answers]

    async def test_bodies_beyond_the_memory_are_refused_and_not_run(self):
        """Guards against a router that ends for memory under long bodies."""
        answers = await self.call_all()
        served = [one for one in answers if one[0] == 200]
        refused = [one for one in answers if one[0] == 503]
        self.assertEqual(len(served) + len(refused), CALLERS)
        self.assertEqual(len(served), self.ran)
        self.assertTrue(all(0 < int(after) <= 15 for _, after in refused))
        self.assertGreater(len(served), 10)
        self.assertGreater(len(refused), 10)
        self.assertEqual(self.node.held.refused, len(refused))
        self.assertIn("bodies_refused", self.journal.list_events())
        self.assertEqual(self.node.held.room.held.total, 0)
        self.assertEqual(self.node.list_gauges()["anvilshift_held_percent"], 0)


class UnknownMemoryTest(LongBodyTest):
    memory = None

    async def test_bodies_beyond_the_memory_are_refused_and_not_run(self):
        """Guards against a bound where the settings name no memory."""
        answers = await self.call_all()
        self.assertNotIn(503, {status for status, _ in answers})
        self.assertNotIn("anvilshift_held_percent", self.node.list_gauges())


class SlowReaderTest(HeldMemoryCase):
    memory = 552
    timeout = STREAM_MS

    async def read_late(self) -> bytes:
        """Return a stream whose caller reads nothing until a target would cut it."""
        padding = b": %b\n" % (b"x" * 980)
        pieces = [padding + make_events(n, n) for n in range(EVENTS)]
        target = ImpatientTarget("e1", RawAnswer(pieces, Frame.CHUNKS, End.KEEP))
        self.targets["e1"] = target
        self.register("e1", "llm", await target.start())
        await self.start()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self.address.ip, self.address.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.transport.abort)
        fields = {
            "Host": "shop.example",
            "Content-Length": "0",
            "Connection": "close",
            "Authorization": "Bearer k1",
            "Anvilshift-Attempt-Id": "late",
            "Anvilshift-Token-Usage": "100,30",
            "Anvilshift-Prefix-Hash": "a:60,b:40",
            "Anvilshift-Deadline-Ms": str(STREAM_MS),
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST /review/1 HTTP/1.1\r\n{head}\r\n".encode())
        await asyncio.sleep(4 * CUT_OFF_S)
        async with asyncio.timeout(STREAM_MS / SECOND):
            return await reader.read()

    async def test_stream_of_a_slow_caller_stays_whole(self):
        """Guards against a target that cuts off what its caller has not read yet."""
        answer = await self.read_late()
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer[-200:])
        self.assertIn(b"id: %d\n" % (EVENTS - 1), answer)
        held = self.node.held.room.held
        self.assertEqual((held.total, held.get(Use.AHEAD)), (0, 0))


if __name__ == "__main__":
    import unittest

    unittest.main()
