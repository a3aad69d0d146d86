"""gRPC client and server for the calls between routers, on top of grpclib."""

import asyncio
import math
import time
from dataclasses import dataclass
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

_LONGEST_CALL: Millis = 6 * SECOND
"""A relayed watch with its timeout; no call takes longer."""
_NEW_CHANNEL: Millis = 3 * SECOND
"""Age at which a channel that has never answered is replaced too."""


def _read_clock() -> Millis:
    return time.monotonic() * SECOND


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

    async def handle_heartbeat(self, beat: Heartbeat) -> Heartbeat:
        """Process another router's heartbeat and return this router's."""

    async def handle_keep(self, request: KeepRequest) -> KeepReply:
        """Keep copies of another router's unrecorded bills in memory."""

    async def handle_give_back(self, request: GiveBackRequest) -> GiveBackReply:
        """Return unused tokens of a budget to the platform."""

    async def handle_call_store(self, request: StoreRequest) -> StoreReply:
        """Call the platform's object API for a router that can't reach it."""

    async def handle_permit(self, request: PermitRequest) -> PermitReply:
        """Issue a permit to send a request to a target with a rate limit."""

    async def handle_relocate(self, request: RelocateRequest) -> RelocateReply:
        """Carry out a step of the relocation of a content from its home targets."""


@dataclass(eq=False)
class _Line:
    """The channel to one router, when it was made, and when it last answered."""

    channel: Channel
    made: Millis
    answered: Millis = -math.inf

    def may_be_silent(self, began: Millis) -> bool:
        """Tell whether a call that began then and got no answer shows a silence.

        A new channel without an answer shows that the router stands still.
        """
        is_new = self.answered < self.made and began - self.made < _NEW_CHANNEL
        return self.answered < began and not is_new


class GrpcPeerLink:
    """Client for calls of other routers over grpclib, with one channel per router.

    A channel that brings no answer in time is replaced for the calls that follow, as it
    may be silent for good; what runs on it goes on.

    Parameters
    ----------
    timeout
        Milliseconds after which a call fails; `call_store` has its own timeout.
    """

    def __init__(self, timeout: Millis = _CALL_TIMEOUT) -> None:
        self._timeout = timeout
        self._lines: dict[str, _Line] = {}
        self._replaced: set[Channel] = set()

    def _get_line(self, address: str) -> _Line:
        if address not in self._lines:
            endpoint = Address.parse(address)
            channel = Channel(endpoint.ip, endpoint.port)
            self._lines[address] = _Line(channel, _read_clock())
        return self._lines[address]

    def _replace(self, address: str, line: _Line) -> None:
        """Use a new channel from now on, and close this one when its calls are over."""
        if self._lines.get(address) is not line:
            return
        del self._lines[address]
        self._replaced.add(line.channel)
        loop = asyncio.get_running_loop()
        loop.call_later(_LONGEST_CALL / SECOND, self._close, line.channel)

    def _close(self, channel: Channel) -> None:
        self._replaced.discard(channel)
        channel.close()

    async def beat(self, address: str, beat: Heartbeat) -> Heartbeat:
        """Send this router's heartbeat and return the other router's."""
        return await self._call(address, "Beat", beat)

    async def keep(self, address: str, request: KeepRequest) -> KeepReply:
        """Have another router keep copies of unrecorded bills."""
        return await self._call(address, "Keep", request)

    async def give_back(self, address: str, request: GiveBackRequest) -> GiveBackReply:
        """Ask another router to return unused tokens of a budget to the platform."""
        return await self._call(address, "GiveBack", request)

    async def call_store(self, address: str, request: StoreRequest) -> StoreReply:
        """Have another router call the platform's object API."""
        timeout = _STORE_TIMEOUT + request.wait_ms
        return await self._call(address, "CallStore", request, timeout)

    async def permit(self, address: str, request: PermitRequest) -> PermitReply:
        """Ask the issuer for a permit to send a request to a target."""
        return await self._call(address, "TakePermit", request)

    async def relocate(self, address: str, request: RelocateRequest) -> RelocateReply:
        """Ask for a step of the relocation of a content from its home targets."""
        return await self._call(address, "Relocate", request)

    async def _call(self, address, name, message, timeout=None):  # type: ignore[no-untyped-def]
        line, began = self._get_line(address), _read_clock()
        try:
            async with asyncio.timeout((timeout or self._timeout) / SECOND):
                answer = await getattr(PeersStub(line.channel), name)(message)
        except ConnectionRefusedError as error:
            raise PeerError(str(error), sent=False) from error
        except (
            OSError,
            TimeoutError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
        ) as error:
            if isinstance(error, TimeoutError) and line.may_be_silent(began):
                self._replace(address, line)
            raise PeerError(str(error)) from error
        line.answered = _read_clock()
        return answer

    def close(self) -> None:
        """Close all connections."""
        for line in self._lines.values():
            line.channel.close()
        for channel in self._replaced:
            channel.close()
        self._lines.clear()
        self._replaced.clear()


class _PeersService(PeersBase):
    """Implementation of the generated service that delegates calls to a handler."""

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
    """Server for the calls of other routers."""

    def __init__(self, handler: PeerHandler) -> None:
        self._server = Server([_PeersService(handler)])

    async def start(self, address: Address) -> None:
        """Start listening on an address."""
        await self._server.start(address.ip, address.port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()
