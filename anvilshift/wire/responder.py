"""Write the answer to one request of a caller."""

from typing import Protocol

import h11

from anvilshift.wire.messages import HeaderFields, Reply

CALLER_CLOSED = "the caller closed the connection"
SERVER_CLOSED = "the router closed the connection"


class CallerDisconnectedError(ConnectionError):
    """The peer closed the connection or stopped reading before the answer ended."""


class AnswerConnection(Protocol):
    """A connection on which the answer to one request is written.

    Attributes
    ----------
    loss
        How it was lost; empty while it is there.
    """

    loss: str

    @property
    def peer_ip(self) -> str:
        """Return the address of its other end; empty if it isn't known."""

    @property
    def has_peer_left(self) -> bool:
        """Return whether its other end has closed it."""

    @property
    def closes_next(self) -> bool:
        """Return whether it closes after its next answer."""

    def stop_framing(self) -> None:
        """Let the body of the answer end with the connection."""

    def send(self, event: h11.Event, hold: bool = False) -> None:
        """Write a part of the answer, or hold it back until the next one."""

    async def drain(self) -> None:
        """Wait while the write buffer is full."""

    async def end_unframed(self) -> None:
        """Let an answer without framing end with an orderly close."""

    def abort(self) -> None:
        """Close it at once; what isn't sent yet is lost."""


class Responder:
    """Writer of the answer to one request, in one call or in several."""

    def __init__(self, connection: AnswerConnection) -> None:
        self._connection = connection
        self.started = False
        self.finished = False

    @property
    def peer_ip(self) -> str:
        """Return the address of the caller; empty if it isn't known."""
        return self._connection.peer_ip

    @property
    def loss(self) -> str:
        """Return how the connection was lost; empty while it is there."""
        return self._connection.loss

    def check_caller(self) -> None:
        """Check that the caller still waits, also if its close wasn't read yet.

        Raises
        ------
        CallerDisconnectedError
            When the caller has closed the connection.
        """
        if not self.is_caller_there():
            raise CallerDisconnectedError(self.loss or CALLER_CLOSED)

    def is_caller_there(self) -> bool:
        """Return whether the caller has not closed the connection."""
        return not self._connection.has_peer_left

    async def send(self, reply: Reply) -> None:
        """Write a complete answer."""
        length = ("content-length", str(len(reply.body)))
        await self.start(reply.status, [*reply.headers, length], hold=True)
        await self.finish(reply.body)

    async def start(
        self,
        status: int,
        headers: HeaderFields,
        hold: bool = False,
        framed: bool = True,
    ) -> None:
        """Write the head; the body is chunked if the head has no content length.

        Parameters
        ----------
        hold
            Whether to send the head together with the next part of the answer,
            in one packet.
        framed
            Whether to frame the body; otherwise it ends with the connection.
        """
        self.started = True
        if self._connection.closes_next:
            headers = [*headers, ("connection", "close")]
        if not framed:
            self._connection.stop_framing()
        head = h11.Response(status_code=status, headers=headers)
        self._connection.send(head, hold=hold)

    async def write(self, data: bytes) -> None:
        """Write a part of the body; wait while the write buffer is full."""
        if data:
            self._connection.send(h11.Data(data=data))
        await self._connection.drain()

    async def finish(self, data: bytes = b"") -> None:
        """End the body, optionally with its last part."""
        self.finished = True
        if data:
            self._connection.send(h11.Data(data=data), hold=True)
        self._connection.send(h11.EndOfMessage())
        await self._connection.drain()
        await self._connection.end_unframed()

    def abort(self) -> None:
        """Abort the connection, so that the peer detects an incomplete answer."""
        self._connection.abort()
