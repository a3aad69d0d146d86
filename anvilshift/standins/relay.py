"""Stand in for a bad network: a TCP relay with faults on each direction."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, fields

from anvilshift.core.clock import SECOND
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.server import HttpServer, Responder

_CHUNK = 64 * 1024
_DRIP_PAUSE_S = 0.01
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class RelayFaults:
    """What goes wrong now; bytes that a fault holds back are lost.

    Parameters
    ----------
    delay_ms
        Wait before each piece is passed on.
    cut_there, cut_back
        Drop what goes to the target, or what comes back, in silence.  Both
        together are a black hole.
    drip
        Bytes passed on every 10 ms; 0 passes all.
    half_open
        Accept connections and never connect to the target.
    refuse
        Reset new connections at once.
    """

    delay_ms: float = 0.0
    cut_there: bool = False
    cut_back: bool = False
    drip: int = 0
    half_open: bool = False
    refuse: bool = False


class Relay:
    """Pass connections on to one target.

    Parameters
    ----------
    target
        Where connections lead.
    control
        Address of the port that takes faults as JSON, none without it.
    """

    def __init__(self, target: Address, control: Address | None = None) -> None:
        self.faults = RelayFaults()
        self._target = target
        self._control_address = control
        self._control = HttpServer(self._handle)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> Address:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(
            self._accept, address.ip, address.port
        )
        if self._control_address is not None:
            await self._control.start(self._control_address)
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.ip, port)

    async def close(self) -> None:
        """Cut every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._control.close()

    def reset(self) -> None:
        """Reset every connection that is open now."""
        for writer in list(self._writers):
            _reset(writer)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/control/reset":
            self.reset()
        elif request.path == "/control/faults":
            known = {item.name for item in fields(RelayFaults)}
            for key, value in parse_object(request.body).items():
                if key in known:
                    setattr(self.faults, key, value)
        else:
            await responder.send(Reply(404))
            return
        await responder.send(Reply(200, [JSON_TYPE], dump_json(vars(self.faults))))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            _reset(writer)
            return
        if self.faults.half_open:
            while await reader.read(_CHUNK):
                pass
            return
        back, there = await asyncio.open_connection(self._target.ip, self._target.port)
        self._writers.add(there)
        passing = [
            asyncio.ensure_future(
                self._pass(reader, there, lambda: self.faults.cut_there)
            ),
            asyncio.ensure_future(
                self._pass(back, writer, lambda: self.faults.cut_back)
            ),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in passing:
                task.cancel()
            await asyncio.gather(*passing, return_exceptions=True)
            self._writers.discard(there)
            there.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Callable[[], bool],
    ) -> None:
        while data := await reader.read(_CHUNK):
            await asyncio.sleep(self.faults.delay_ms / SECOND)
            if cut():
                continue
            await self._write(writer, data)
        # A cut network brings no end of a connection either.
        while cut():
            await asyncio.sleep(_DRIP_PAUSE_S)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        while data:
            size = self.faults.drip or len(data)
            writer.write(data[:size])
            await writer.drain()
            data = data[size:]
            if data:
                await asyncio.sleep(_DRIP_PAUSE_S)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
