"""A caller that writes its requests itself, in one of the ways that HTTP allows."""

import asyncio

from tests.platform.silentfleet import EVENTS, Outcome, SilentFleetCase

KINDS = ("plain", "chunked", "slow", "expect", "close", "old", "pipelined")
"""Whole in one packet, chunks, chunks with pauses, `Expect: 100-continue`,
`Connection: close`, HTTP/1.0, and all requests at once."""
_PAUSE_S = 0.15
"""Pause of a slow caller between two parts of a request."""


class OddCaller:
    """One connection of a caller that writes its requests itself."""

    def __init__(self, case: SilentFleetCase, node, kind: str, path: str) -> None:
        self.case = case
        self.node = node
        self.kind = kind
        self.path = path
        self.rng = case.rng
        self.is_last = kind in ("close", "old")

    async def run(self, calls: int) -> None:
        """Send some calls on one connection and record what comes back."""
        settings = self.node.settings
        try:
            self.reader, self.writer = await asyncio.open_connection(
                settings.ip, self.node.server.port
            )
        except OSError:
            return
        try:
            if self.kind == "pipelined":
                await self._run_pipelined(calls)
                return
            for _ in range(calls):
                identity = self._make_identity()
                at = asyncio.get_running_loop().time()
                kind = await self._call(identity)
                self._record(identity, at, kind)
                if kind in ("closed", "cut") or self.is_last:
                    return
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        finally:
            self.writer.close()

    async def _run_pipelined(self, calls: int) -> None:
        at = asyncio.get_running_loop().time()
        identities = [self._make_identity() for _ in range(calls)]
        for identity in identities:
            self.writer.write(self._make_head(identity) + b"x")
        for identity in identities:
            kind = await self._read_answer()
            self._record(identity, at, kind)
            if kind in ("closed", "cut") or self.is_last:
                for rest in identities[identities.index(identity) + 1 :]:
                    self._record(rest, at, "behind")
                return

    def _make_identity(self) -> str:
        self.case.count += 1
        return f"play-{self.case.count}"

    def _record(self, identity: str, at: float, kind: str) -> None:
        path = f"{self.kind}:{self.path}"
        self.case.outcomes.append(Outcome(path, identity, at, kind))

    def _make_head(self, identity: str) -> bytes:
        version = "1.0" if self.kind == "old" else "1.1"
        lines = [
            f"POST /{self.path}/{identity} HTTP/{version}",
            "Host: shop.example",
            f"Anvilshift-Attempt-Id: {identity}",
            "Authorization: Bearer k1",
            f"Anvilshift-Deadline-Ms: {self.case.deadline_ms}",
        ]
        if self.path in ("chat", "review"):
            lines.append("Anvilshift-Token-Usage: 100,100")
            lines.append(f"Anvilshift-Prefix-Hash: s{self.rng.randrange(4)}:60")
        if self.kind in ("chunked", "slow"):
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append("Content-Length: 1")
        if self.kind == "expect":
            lines.append("Expect: 100-continue")
        if self.kind == "close":
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode()

    async def _call(self, identity: str) -> str:
        head = self._make_head(identity)
        try:
            if self.kind in ("chunked", "slow"):
                await self._send_chunks(head)
            elif self.kind == "expect":
                self.writer.write(head)
                interim = await self._read_head()
                if b" 100 " not in interim:
                    return "early" if interim else "closed"
                self.writer.write(b"x")
            else:
                self.writer.write(head + b"x")
        except (OSError, EOFError):
            return "closed"
        return await self._read_answer()

    async def _send_chunks(self, head: bytes) -> None:
        pause = _PAUSE_S if self.kind == "slow" else 0.0
        cut = len(head) // 2
        for piece in (
            head[:cut],
            head[cut:],
            b"1\r\nx\r\n",
            b"2\r\nyz\r\n",
            b"0\r\n\r\n",
        ):
            self.writer.write(piece)
            await self.writer.drain()
            await asyncio.sleep(pause)

    async def _read_head(self) -> bytes:
        return await self.reader.readuntil(b"\r\n\r\n")

    async def _read_answer(self) -> str:
        try:
            async with asyncio.timeout(20):
                head = (await self._read_head()).decode("latin-1").lower()
        except (OSError, EOFError):
            return "closed"
        except TimeoutError:
            return "none"
        self.is_last = self.is_last or "connection: close" in head
        status = head.split()[1]
        try:
            async with asyncio.timeout(20):
                body = await self._read_body(head)
        except (OSError, EOFError, TimeoutError):
            return "cut"
        if status != "200":
            return status
        if self.path in ("chat", "review"):
            numbers = range(1, EVENTS + 1)
            due = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in numbers)
        else:
            due = b"ok"
        return "whole" if body == due else "mixed"

    async def _read_body(self, head: str) -> bytes:
        if "content-length: " in head:
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            return await self.reader.readexactly(length)
        if "transfer-encoding: chunked" not in head:
            return await self.reader.read()
        body = b""
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            body += (await self.reader.readexactly(size + 2))[:-2]
            if not size:
                return body
