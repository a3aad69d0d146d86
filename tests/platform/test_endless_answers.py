"""Targets that send bytes without end."""

import asyncio
import json
import os
import pathlib
import time
from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.wire.messages import Address
from tests.platform.gatewaycase import GatewayCase, make_configuration

DEADLINE = 1_000
"""Milliseconds for which callers wait."""
_GRACE_S = 0.5
_OTHERS_S = 1.0
"""Time in which other callers of the router are answered meanwhile: their deadline."""
_SIGNED = (
    b"HTTP/1.1 200 OK\r\nAnvilshift-Engine-Signature: x.1\r\n"
    b"Anvilshift-Attempt-Id: %ID%\r\n"
)
_CHUNKED = _SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True)
class Endless:
    """Bytes that go on until the caller closes.

    Parameters
    ----------
    begin
        What comes first.
    piece
        Returns each further part, by its number.
    pause
        Seconds between two parts.
    status
        What the router's caller is to get.
    """

    begin: bytes
    piece: Callable[[int], bytes]
    pause: float
    status: int


SHAPES = {
    "a head": Endless(
        b"HTTP/1.1 200 OK\r\n", lambda n: b"X-%d: %b\r\n" % (n, b"a" * 500), 0.0, 502
    ),
    "a head, a byte at a time": Endless(
        b"HTTP/1.1 200 OK\r\n", lambda n: b"X", 0.3, 504
    ),
    "interim answers": Endless(b"", lambda n: b"HTTP/1.1 103 Hint\r\n\r\n", 0.0, 504),
    "a body in chunks": Endless(
        _CHUNKED, lambda n: b"8000\r\n%b\r\n" % (b"b" * 32_768), 0.0, 502
    ),
    "a body without framing": Endless(
        _SIGNED + b"\r\n", lambda n: b"b" * 32_768, 0.0, 502
    ),
    "a body, a byte at a time": Endless(_CHUNKED, lambda n: b"1\r\nb\r\n", 0.3, 504),
    "a chunk's extension": Endless(
        _CHUNKED, lambda n: (b"" if n else b"a;") + b"x" * 1_000, 0.0, 502
    ),
    "trailers": Endless(
        _CHUNKED + b"2\r\nok\r\n0\r\n", lambda n: b"T: x\r\n" * 100, 0.0, 502
    ),
    "bytes behind an answer": Endless(
        _SIGNED + b"Content-Length: 2\r\n\r\nok", lambda n: b"junk" * 200, 0.0, 200
    ),
}


ENDLESS_EVENT = Endless(
    _SIGNED + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    lambda n: b"8000\r\n%b\r\n" % (b"b" * 32_768),
    0.0,
    502,
)
_CALLS = 60
_LONG = 10_000
"""Milliseconds in which each of so many answers reaches its own size limit."""
_MAX_GROWTH_MB = 93.0
"""What a router of 35 MB has left of the 128 MB that a host gives it."""


def read_resident_mb() -> float:
    """Return the memory that this process holds, the targets' part of it included."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class EndlessAnswersTest(GatewayCase):
    """Guards against a router that reads on for as long as a target sends."""

    async def answer(self, reader, writer) -> None:
        """Answer requests as the shape says, until the router closes."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").lower().splitlines()
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            identity = fields.get("anvilshift-attempt-id", "").encode()
            writer.write(self.shape.begin.replace(b"%ID%", identity))
            for number in range(1_000_000):
                writer.write(self.shape.piece(number))
                await writer.drain()
                await asyncio.sleep(self.shape.pause)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed += 1

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.bad = Address("127.0.0.1", port)
        self.register("bad", "desk", self.bad)
        await self.add_target("e1", "llm")
        self.shape, self.closed = SHAPES["a head"], 0
        await self.start_node()
        # The first calls wait for tokens.
        await self.warm_up(self.node)

    async def call_others(self, waits: list[float]) -> None:
        """Call another service of the router again and again."""
        while True:
            began = time.monotonic()
            status, _, _ = await self.call("/chat/1")
            waits.append(time.monotonic() - began if status == 200 else float("inf"))
            await asyncio.sleep(0.02)

    async def test_caller_gets_an_answer_in_time_and_nobody_else_waits(self):
        await self.start()
        for name, self.shape in SHAPES.items():
            with self.subTest(name):
                waits: list[float] = []
                others = asyncio.create_task(self.call_others(waits))
                self.closed, began = 0, time.monotonic()
                status, _, body = await self.call("/order/1", deadline=DEADLINE)
                took = time.monotonic() - began
                await asyncio.sleep(0.1)
                others.cancel()
                self.assertEqual(status, self.shape.status, body[:200])
                self.assertLess(took, DEADLINE / 1_000 + _GRACE_S)
                if status != 200:
                    fate = json.loads(body)["error"]["fate"]
                    self.assertEqual(fate, "unknown")
                self.assertLess(max(waits), _OTHERS_S)
                await self.wait_for(lambda: self.closed)
        self.server.close()

    async def start_patient(self) -> None:
        """Start a router whose routes leave time to read much."""
        await self.start()
        patient = make_configuration(2, reserved=50_000_000, timeout=_LONG)
        self.store_stub.put("config", "main", patient)
        shared = self.node.shared
        await self.wait_for(lambda: shared.table.configuration.version == 2)

    async def measure_growth(self, path: str) -> float:
        """Return by how many megabytes many endless answers make the process grow."""
        before = most = read_resident_mb()
        calls = [
            asyncio.create_task(self.call(f"{path}{number}", deadline=_LONG))
            for number in range(_CALLS)
        ]
        while not all(call.done() for call in calls):
            most = max(most, read_resident_mb())
            await asyncio.sleep(0.02)
        self.assertNotIn(200, {call.result()[0] for call in calls})
        self.assertEqual(self.node.shared.buffers.held, 0)
        return most - before

    async def test_many_answers_without_end_end_no_router(self):
        """Guards against a bound for each answer that all together exceed."""
        await self.start_patient()
        self.shape = SHAPES["a body in chunks"]
        self.assertLess(await self.measure_growth("/order/"), _MAX_GROWTH_MB)
        self.server.close()

    async def test_many_streams_without_an_event_end_no_router(self):
        """Guards against the same for events, which are held until they end."""
        await self.start_patient()
        self.shape = ENDLESS_EVENT
        self.store_stub.remove("servers", "e1")
        self.register("bad-llm", "llm", self.bad, slots=_CALLS)
        targets = self.node.loads.targets
        await self.wait_for(lambda: "bad-llm" in targets and "e1" not in targets)
        self.assertLess(await self.measure_growth("/review/"), _MAX_GROWTH_MB)
        self.server.close()


if __name__ == "__main__":
    import unittest

    unittest.main()
