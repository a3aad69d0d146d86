"""Stand-in for an unreliable network: a TCP relay with faults in each direction."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, fields

from anvilshift.core.clock import SECOND
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

_CHUNK_BYTES = 64 * 1024
_DRIP_INTERVAL_S = 0.01
_ZERO_LINGER = struct.pack("ii", 1, 0)


@dataclass
class RelayFaults:
    """Faults that are currently injected; data that a fault drops is lost for good.

    Parameters
    ----------
    delay_ms
        Delay in milliseconds before each chunk is forwarded.
    cut_there, cut_back
        Silently drop data sent to the target, or data received from it.  Both
        together form a black hole.
    drip
        Number of bytes forwarded every 10 ms; 0 for no limit.
    half_open
        Accept connections but never connect to the target.
    refuse
        Reset each new connection as soon as it is accepted.
    """

    delay_ms: float = 0.0
    cut_there: bool = False
    cut_back: bool = False
    drip: int = 0
    half_open: bool = False
    refuse: bool = False


class Relay:
    """Forward TCP connections to one target.

    Parameters
    ----------
    target
        Address to which connections are forwarded.
    control
        Address at which an HTTP server accepts faults as JSON; None for no
        such server.

    Attributes
    ----------
    accepted
        Number of connections accepted so far.
    """

    def __init__(self, target: Address, control: Address | None = None) -> None:
        self.faults = RelayFaults()
        self._target = target
        self._control_address = control
        self._control = HttpServer(self._handle)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self._silenced = 0

    async def start(self, address: Address) -> Address:
        """Start listening and return the bound address."""
        self._server = await asyncio.start_server(
            self._accept, address.ip, address.port
        )
        if self._control_address is not None:
            await self._control.start(self._control_address)
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.ip, port)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._control.close()

    def reset(self) -> None:
        """Reset every open connection, to callers as well as to the target."""
        for writer in list(self._writers):
            _reset(writer)

    def silence(self) -> None:
        """Pass nothing more on the connections that are open, and never close them."""
        self._silenced = self.accepted

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/control/reset":
            self.reset()
        elif request.path == "/control/silence":
            self.silence()
        elif request.path == "/control/faults":
            field_names = {item.name for item in fields(RelayFaults)}
            for key, value in parse_object(request.body).items():
                if key in field_names:
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
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        number = self.accepted
        if self.faults.refuse:
            _reset(writer)
            return
        if self.faults.half_open:
            while await reader.read(_CHUNK_BYTES):
                pass
            return
        target_reader, target_writer = await asyncio.open_connection(
            self._target.ip, self._target.port
        )
        self._writers.add(target_writer)
        forwarding = [
            asyncio.ensure_future(
                self._forward(
                    reader,
                    target_writer,
                    lambda: self.faults.cut_there or number <= self._silenced,
                )
            ),
            asyncio.ensure_future(
                self._forward(
                    target_reader,
                    writer,
                    lambda: self.faults.cut_back or number <= self._silenced,
                )
            ),
        ]
        try:
            await asyncio.wait(forwarding, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in forwarding:
                task.cancel()
            await asyncio.gather(*forwarding, return_exceptions=True)
            self._writers.discard(target_writer)
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut: Callable[[], bool],
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            await asyncio.sleep(self.faults.delay_ms / SECOND)
            if is_cut():
                continue
            await self._write(writer, data)
        # A partitioned network does not deliver the end of a connection either.
        while is_cut():
            await asyncio.sleep(_DRIP_INTERVAL_S)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        while data:
            size = self.faults.drip or len(data)
            writer.write(data[:size])
            await writer.drain()
            data = data[size:]
            if data:
                await asyncio.sleep(_DRIP_INTERVAL_S)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    writer.transport.abort()
