"""A network that cuts one router off from some targets."""

import asyncio
from enum import Enum
from typing import Protocol

from anvilshift.wire.messages import Address

_BUFFER_BYTES = 64 * 1024


class SourcedNetwork(Protocol):
    """Opens the connections of one router from an address of its own.

    Attributes
    ----------
    source
        Address of the router.
    """

    source: str

    async def open(self, protocol: asyncio.BaseProtocol, address: Address) -> None:
        """Connect a protocol to an address."""


class Cut(Enum):
    """What a cut does to connections.

    RESET resets the open ones and refuses new ones; HANG loses all bytes, and new ones
    never open; KEEP_OPEN leaves the open ones alone and refuses new ones.
    """

    RESET = "reset"
    HANG = "hang"
    KEEP_OPEN = "keep open"


class _Link(asyncio.Transport):
    """A transport whose bytes can be lost in both directions."""

    def __init__(self, shim: "_Shim", inner: asyncio.Transport) -> None:
        super().__init__()
        self._shim = shim
        self._inner = inner
        self.lost = False

    def write(self, data) -> None:
        if not self.lost:
            self._inner.write(data)

    def get_extra_info(self, name, default=None):
        return self._inner.get_extra_info(name, default)

    def lose_all(self) -> None:
        self.lost = True
        self._inner.pause_reading()

    def pause_reading(self) -> None:
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        if not self.lost:
            self._inner.resume_reading()

    def set_protocol(self, protocol) -> None:
        self._shim.protocol = protocol

    def is_closing(self) -> bool:
        return self._inner.is_closing()

    def close(self) -> None:
        self._inner.close()

    def abort(self) -> None:
        self._inner.abort()


class _Shim(asyncio.BufferedProtocol):
    """Hands a protocol its transport wrapped in a `_Link`."""

    def __init__(self, protocol) -> None:
        self.protocol = protocol
        self.link: _Link | None = None

    def connection_made(self, transport) -> None:
        self.link = _Link(self, transport)
        self.protocol.connection_made(self.link)

    def connection_lost(self, exc) -> None:
        self.protocol.connection_lost(exc)

    def get_buffer(self, sizehint):
        if isinstance(self.protocol, asyncio.BufferedProtocol):
            return self.protocol.get_buffer(sizehint)
        self._buffer = bytearray(_BUFFER_BYTES)
        return self._buffer

    def buffer_updated(self, nbytes) -> None:
        if isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.buffer_updated(nbytes)
        else:
            self.protocol.data_received(bytes(self._buffer[:nbytes]))

    def pause_writing(self) -> None:
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        self.protocol.resume_writing()

    def eof_received(self):
        return self.protocol.eof_received()


class CutNetwork:
    """Opens TCP connections, except to the addresses that are cut off.

    Attributes
    ----------
    source
        Address of the router whose connections it opens.
    opened
        Addresses to which a connection was opened or tried, in order.
    """

    def __init__(self) -> None:
        self._cuts: dict[Address, Cut] = {}
        self._links: dict[Address, list[_Shim]] = {}
        self.opened: list[Address] = []
        self.source = "127.0.0.1"

    def cut(self, addresses, how: Cut) -> None:
        """Cut the router off from some addresses."""
        for address in addresses:
            self._cuts[address] = how
            for shim in self._links.get(address, []):
                if how is Cut.RESET:
                    shim.link.abort()
                elif how is Cut.HANG:
                    shim.link.lose_all()

    def heal(self) -> None:
        """End all cuts; bytes that were lost stay lost."""
        self._cuts.clear()

    async def open(self, protocol, address: Address) -> None:
        """Connect a protocol to an address, unless it is cut off."""
        self.opened.append(address)
        how = self._cuts.get(address)
        if how is Cut.HANG:
            await asyncio.Event().wait()
        if how is not None:
            raise ConnectionRefusedError(f"{address} is cut off")
        shim = _Shim(protocol)
        loop = asyncio.get_running_loop()
        source = (self.source, 0)
        await loop.create_connection(
            lambda: shim, address.ip, address.port, local_addr=source
        )
        self._links.setdefault(address, []).append(shim)
