"""gRPC client and server for the calls between routers, on top of grpclib."""

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
"""The other router's call of the platform may itself take up to two seconds."""


class PeerError(ConnectionError):
    """Another router did not answer.

    Parameters
    ----------
    sent
        Whether the call may have reached the other router.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerLink(Protocol):
    """Client for calls of other routers; each call raises `PeerError` on failure."""

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Send this router's heartbeat and return the other router's."""

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Have another router keep copies of unrecorded bills."""

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask another router to return unused tokens of a budget to the platform."""

    async def call_store(self, address: str, request: StoreRequest) -> StoreReply:
        """Have another router call the platform's object API."""

    async def permit(self, address: str, request: PermitRequest) -> PermitReply:
        """Ask the issuer for a permit to send a request to a target."""

    async def relocate(self, address: str, request: RelocateRequest) -> RelocateReply:
        """Ask for a step of the relocation of a content from its home targets."""

    def close(self) -> None:
        """Close all connections."""


class PeerHandler(Protocol):
    """Handler of the calls of other routers."""

    async def take_beat(self, beat: Heartbeat) -> Heartbeat:
        """Process another router's heartbeat and return this router's."""

    async def take_copies(self, request: KeepRequest) -> KeepReply:
        """Keep copies of another router's unrecorded bills in memory."""

    async def take_give_back(self, request: GiveBackRequest) -> GiveBackReply:
        """Return unused tokens of a budget to the platform."""

    async def take_call_store(self, request: StoreRequest) -> StoreReply:
        """Call the platform's object API for a router that can't reach it."""

    async def take_permit(self, request: PermitRequest) -> PermitReply:
        """Issue a permit to send a request to a target with a rate limit."""

    async def take_relocate(self, request: RelocateRequest) -> RelocateReply:
        """Carry out a step of the relocation of a content from its home targets."""


class GrpcPeerLink:
    """Client for calls of other routers over grpclib, with one channel per router.

    Parameters
    ----------
    timeout
        Milliseconds after which a call fails; `call_store` has its own timeout.
    """

    def __init__(self, timeout: Millis = _CALL_TIMEOUT) -> None:
        self._timeout = timeout
        self._channels: dict[str, Channel] = {}

    def _get_stub(self, address: str) -> PeersStub:
        if address not in self._channels:
            endpoint = Address.parse(address)
            self._channels[address] = Channel(endpoint.ip, endpoint.port)
        return PeersStub(self._channels[address])

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Send this router's heartbeat and return the other router's."""
        return await self._call(self._get_stub(address).Beat, beat)

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Have another router keep copies of unrecorded bills."""
        return await self._call(self._get_stub(address).Keep, request)

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask another router to return unused tokens of a budget to the platform."""
        return await self._call(self._get_stub(address).GiveBack, request)

    async def call_store(self, address: str, request: StoreRequest) -> StoreReply:
        """Have another router call the platform's object API."""
        timeout = _STORE_TIMEOUT + request.wait_ms
        return await self._call(self._get_stub(address).CallStore, request, timeout)

    async def permit(self, address: str, request: PermitRequest) -> PermitReply:
        """Ask the issuer for a permit to send a request to a target."""
        return await self._call(self._get_stub(address).TakePermit, request)

    async def relocate(self, address: str, request: RelocateRequest) -> RelocateReply:
        """Ask for a step of the relocation of a content from its home targets."""
        return await self._call(self._get_stub(address).Relocate, request)

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
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


class _PeersService(PeersBase):
    """Implementation of the generated service that delegates calls to a handler."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Beat(self, stream: Stream[Heartbeat, Heartbeat]) -> None:  # noqa: N802
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.take_beat(message))

    async def Keep(self, stream: Stream[KeepRequest, KeepReply]) -> None:  # noqa: N802
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.take_copies(message))

    async def GiveBack(  # noqa: N802
        self, stream: Stream[GiveBackRequest, GiveBackReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.take_give_back(message))

    async def CallStore(  # noqa: N802
        self, stream: Stream[StoreRequest, StoreReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.take_call_store(message))

    async def TakePermit(  # noqa: N802
        self, stream: Stream[PermitRequest, PermitReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.take_permit(message))

    async def Relocate(  # noqa: N802
        self, stream: Stream[RelocateRequest, RelocateReply]
    ) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._handler.take_relocate(message))


class PeerServer:
    """Server for the calls of other routers."""

    def __init__(self, handler: PeerHandler) -> None:
        self._server = Server([_PeersService(handler)])

    async def start(self, address: Address) -> None:
        """Start listening on an address."""
        await self._server.start(address.ip, address.port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()
