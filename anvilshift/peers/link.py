"""Call other routers, and be called by them, over grpclib."""

import asyncio
from typing import Protocol

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from anvilshift.core.clock import SECOND, Millis
from anvilshift.peers.generated.peers_grpc import PeersBase, PeersStub
from anvilshift.peers.generated.peers_pb2 import (
    GiveBackReply,
    GiveBackRequest,
    Heartbeat,
    KeepReply,
    KeepRequest,
    PermitReply,
    PermitRequest,
    RelocateReply,
    RelocateRequest,
    StoreReply,
    StoreRequest,
)
from anvilshift.wire.messages import Address

_CALL_TIMEOUT: Millis = 1 * SECOND
_STORE_TIMEOUT: Millis = 2.5 * SECOND
"""The other router's own call of the platform may take two seconds."""


class PeerError(ConnectionError):
    """Another router did not answer.

    Parameters
    ----------
    sent
        Whether the call may have reached it.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerLink(Protocol):
    """Call other routers; every method raises `PeerError` without an answer."""

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Leave copies of bills."""

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask for unused tokens to be given back."""

    async def call_store(self, address: str, request: StoreRequest) -> StoreReply:
        """Have another router make a call of the platform."""

    async def permit(self, address: str, request: PermitRequest) -> PermitReply:
        """Ask for a permit."""

    async def relocate(self, address: str, request: RelocateRequest) -> RelocateReply:
        """Take a step to send a content elsewhere than to its homes."""

    def close(self) -> None:
        """Close every connection."""


class PeerHandler(Protocol):
    """Answer other routers."""

    async def handle_heartbeat(self, beat: Heartbeat) -> Heartbeat:
        """Take in a heartbeat and return the own."""

    async def handle_keep(self, request: KeepRequest) -> KeepReply:
        """Keep copies of another router's bills."""

    async def handle_give_back(self, request: GiveBackRequest) -> GiveBackReply:
        """Give unused tokens of a budget back to the platform."""

    async def handle_call_store(self, request: StoreRequest) -> StoreReply:
        """Make a call of the platform for another router."""

    async def handle_permit(self, request: PermitRequest) -> PermitReply:
        """Issue a permit for a target that has announced a limit."""

    async def handle_relocate(self, request: RelocateRequest) -> RelocateReply:
        """Take part in sending a content elsewhere than to its homes."""


class GrpcPeerLink:
    """Calls over grpclib, one channel a router.

    Parameters
    ----------
    timeout
        Milliseconds that a call may take.
    """

    def __init__(self, timeout: Millis = _CALL_TIMEOUT) -> None:
        self._timeout = timeout
        self._channels: dict[str, Channel] = {}

    def _stub(self, address: str) -> PeersStub:
        if address not in self._channels:
            parsed = Address.parse(address)
            self._channels[address] = Channel(parsed.ip, parsed.port)
        return PeersStub(self._channels[address])

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""
        return await self._call(self._stub(address).Beat, beat)

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Leave copies of bills."""
        return await self._call(self._stub(address).Keep, request)

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask for unused tokens to be given back."""
        return await self._call(self._stub(address).GiveBack, request)

    async def call_store(self, address: str, request: StoreRequest) -> StoreReply:
        """Have another router make a call of the platform."""
        timeout = _STORE_TIMEOUT + request.wait_ms
        return await self._call(self._stub(address).CallStore, request, timeout)

    async def permit(self, address: str, request: PermitRequest) -> PermitReply:
        """Ask for a permit."""
        return await self._call(self._stub(address).TakePermit, request)

    async def relocate(self, address: str, request: RelocateRequest) -> RelocateReply:
        """Take a step to send a content elsewhere than to its homes."""
        return await self._call(self._stub(address).Relocate, request)

    async def _call(self, method, message, timeout=None):  # type: ignore[no-untyped-def]
        try:
            async with asyncio.timeout((timeout or self._timeout) / SECOND):
                return await method(message)
        except ConnectionRefusedError as error:
            raise PeerError(str(error), sent=False) from error
        except (
            OSError,
            TimeoutError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
        ) as error:
            raise PeerError(str(error)) from error

    def close(self) -> None:
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


class _Service(PeersBase):
    """The generated service, handing each message to a handler."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Beat(self, stream: Stream[Heartbeat, Heartbeat]) -> None:  # noqa: N802
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.handle_heartbeat(message))

    async def Keep(self, stream: Stream[KeepRequest, KeepReply]) -> None:  # noqa: N802
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.handle_keep(message))

    async def GiveBack(  # noqa: N802
        self, stream: Stream[GiveBackRequest, GiveBackReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.handle_give_back(message))

    async def CallStore(  # noqa: N802
        self, stream: Stream[StoreRequest, StoreReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.handle_call_store(message))

    async def TakePermit(  # noqa: N802
        self, stream: Stream[PermitRequest, PermitReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.handle_permit(message))

    async def Relocate(  # noqa: N802
        self, stream: Stream[RelocateRequest, RelocateReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.handle_relocate(message))


class PeerServer:
    """Listen to other routers."""

    def __init__(self, handler: PeerHandler) -> None:
        self._server = Server([_Service(handler)])

    async def start(self, address: Address) -> None:
        """Listen."""
        await self._server.start(address.ip, address.port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()
