"""Targets that stop in the middle of the head of an answer, and close."""

import asyncio
import socket

from anvilshift.core.ejection import Health
from anvilshift.wire.response import ExchangeError
from tests.platform.cutnetwork import Cut
from tests.platform.gatewaycase import make_configuration
from tests.platform.rawtarget import (
    REPORT,
    RESET_ON_CLOSE,
    RawAnswer,
    RawTarget,
    make_events,
)
from tests.platform.test_cut_routers import CutCase

STEP = 9
"""Bytes between two places at which a head is cut."""
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


class CutTarget(RawTarget):
    """A target whose answers end after some bytes.

    Attributes
    ----------
    length
        Bytes after which an answer ends; None for whole ones.
    interim
        An interim answer before each head.
    has_length
        Whether the head says how long the body is.
    resets
        Whether it resets the connection.
    """

    def __init__(self, name: str, is_stream: bool) -> None:
        super().__init__(name, RawAnswer([]))
        self.body = make_events(1, 3) if is_stream else b"answer"
        self.kind = "text/event-stream" if is_stream else "text/plain"
        self.length: int | None = None
        self.interim = b""
        self.has_length = True
        self.resets = False

    def make_answer(self, identity: str) -> bytes:
        fields = [
            "HTTP/1.1 200 Fine",
            f"Anvilshift-Attempt-Id: {identity}",
            f"Anvilshift-Engine-Signature: {self.name}.1",
            f"Content-Type: {self.kind}",
        ]
        if self.has_length:
            fields.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*fields, "", ""]).encode() + self.body

    def count_head_bytes(self) -> int:
        """Return the bytes of a short head, whatever the attempt's id."""
        return len(self.make_answer("id")) - len(self.body)

    async def _answer(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").splitlines()
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        if head[0].startswith("GET /v1/report "):
            writer.write(REPORT)
            return True
        self.requests.append(fields)
        answer = self.make_answer(fields["anvilshift-attempt-id"])
        writer.write(self.interim + answer[: self.length])
        await writer.drain()
        if self.length is None and self.has_length:
            return True
        await asyncio.sleep(0.01)
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        writer.close()
        return False


class CutHeadCase(CutCase):
    """A target of each kind, whose answers are cut, and routers that reach them."""

    is_used_before = False
    paths = (("/order/1", "d1"), ("/read/1", "d1"), ("/chat/1", "e1"))

    async def start_all(self, routers: int) -> None:
        for name, service in (("d1", "desk"), ("e1", "llm")):
            target = CutTarget(name, is_stream=service == "llm")
            self.targets[name] = target
            self.register(name, service, await target.start())
        await self.start_fleet(routers)
        changed = {**make_configuration(version=2), "tenants": []}
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: all(map(self.is_changed, self.nodes)))

    async def check(self, **ways: object) -> None:
        """Check that no cut head becomes a success, wherever it is cut."""
        for path, name in self.paths:
            target = self.targets[name]
            vars(target).update(ways)
            for resets in (False, True):
                for length in range(0, target.count_head_bytes(), STEP):
                    with self.subTest(path, resets=resets, length=length):
                        target.resets = resets
                        await self.check_cut(path, target, length, ways)

    async def check_cut(self, path: str, target: CutTarget, length: int, ways) -> None:
        target.length, target.interim, target.has_length = None, b"", True
        for node in self.nodes:
            for known in node.loads.targets.values():
                known.health = Health()
        if self.is_used_before:
            status, _, body = await self.call_at(self.nodes[0], path)
            self.assertEqual((status, body), (200, target.body))
        connections = target.connections
        target.length = length
        vars(target).update(ways)
        before = len(target.requests)
        try:
            status, _, _ = await self.call_at(self.nodes[0], path)
        except ExchangeError:
            status = 0
        self.assertNotEqual(status // 100, 2)
        self.assertGreater(len(target.requests), before)
        if self.is_used_before:
            self.assertEqual(target.connections, connections)


class CutHeadTest(CutHeadCase):
    """Guards against an empty or short success in place of an answer that is cut."""

    async def test_head_of_an_answer(self):
        await self.start_all(1)
        await self.check()

    async def test_head_after_an_interim_answer(self):
        await self.start_all(1)
        await self.check(interim=INTERIM)

    async def test_head_of_an_answer_without_a_length(self):
        await self.start_all(1)
        await self.check(has_length=False)

    async def test_head_that_comes_through_another_router(self):
        await self.start_all(2)
        self.networks[0].cut(self.list_addresses(("d1", "e1")), Cut.RESET)
        await self.check()
        vias = [f["via"] for event, f in self.journal.lines if event == "request"]
        self.assertTrue(any(vias))

    async def test_interim_answer_that_is_cut(self):
        """Guards against an interim answer that is taken for the last one."""
        await self.start_all(1)
        for length in range(0, len(INTERIM) + 1, 5):
            target = self.targets["d1"]
            with self.subTest(length):
                await self.check_cut(
                    "/order/1", target, 0, {"interim": INTERIM[:length]}
                )


class UsedConnectionTest(CutHeadCase):
    """Guards against the same on a connection that has brought a whole answer."""

    is_used_before = True
    paths = (("/order/1", "d1"),)

    async def test_head_of_an_answer(self):
        await self.start_all(1)
        await self.check()

    async def test_head_after_an_interim_answer(self):
        await self.start_all(1)
        await self.check(interim=INTERIM)


if __name__ == "__main__":
    import unittest

    unittest.main()
