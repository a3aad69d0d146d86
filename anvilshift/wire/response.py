"""An answer that an HTTP client reads as it arrives, and how an exchange fails."""

from collections.abc import AsyncIterator, Callable

import h11

from anvilshift.wire.connection import Connection
from anvilshift.wire.endings import Ending, Framing, find_framing, judge_body
from anvilshift.wire.messages import Headers

DEFAULT_BODY_BYTES = 16 * 1024 * 1024


class ExchangeError(ConnectionError):
    """An exchange with a server failed.

    Parameters
    ----------
    detail
        What failed.
    sent
        Whether any byte of the request may have been sent.  Only if this is
        False is it certain that the server did not process the request.
    reused
        Whether the request was sent on a connection that earlier requests had used.
    hung
        Whether the connection was neither opened nor refused in time.
    silent
        Whether an open connection that had worked before brought no whole answer in
        time, so that those opened beside it may be silent too.
    """

    def __init__(
        self,
        detail: str,
        sent: bool,
        reused: bool = False,
        hung: bool = False,
        silent: bool = False,
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.reused = reused
        self.hung = hung
        self.silent = silent


class Response:
    """An answer whose body is read as it arrives.

    Attributes
    ----------
    framing
        What shows where its body ends.
    ending
        How the body ended; None before that.
    """

    def __init__(
        self, method: str, status: int, headers: Headers, connection: Connection
    ) -> None:
        self.status = status
        self.headers = headers
        self.framing = find_framing(method, status, headers)
        self.ending: Ending | None = None
        self._connection = connection

    @property
    def whole(self) -> bool:
        """Return whether the body was read to its end."""
        return self.ending is not None and self.ending.is_complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; data that is already buffered forms one chunk.

        Raises
        ------
        ExchangeError
            If the connection fails before the end of the body.
        """
        while not self.whole:
            try:
                event = await self._connection.receive()
            except (OSError, h11.ProtocolError, RuntimeError) as error:
                self.ending = Ending.BROKEN
                raise ExchangeError(
                    f"the connection failed during the answer: {error}",
                    True,
                    self._connection.reused,
                ) from error
            if isinstance(event, h11.EndOfMessage):
                closed = self.framing is Framing.CONNECTION
                self.ending = Ending.CLOSED if closed else Ending.FRAMED
            elif isinstance(event, h11.Data):
                yield bytes(event.data) + self._connection.take_buffered()

    async def read(
        self,
        limit: int = DEFAULT_BODY_BYTES,
        on_part: Callable[[int], None] | None = None,
    ) -> bytes:
        """Read the body to its end and return it.

        Parameters
        ----------
        on_part
            Called with the bytes read so far as each part of the body arrives; what
            it raises ends the reading.

        Raises
        ------
        ExchangeError
            If the connection fails before the end of the body, the body shows
            that a part of it is missing, or it exceeds the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if on_part is not None:
                on_part(len(body))
            if len(body) > limit:
                raise ExchangeError("the answer exceeds the size limit", True)
        assert self.ending is not None
        self.ending = judge_body(self.ending, self.headers, bytes(body))
        if not self.ending.is_complete:
            detail = f"the answer ended {self.ending.value}"
            raise ExchangeError(detail, True, self._connection.reused)
        return bytes(body)
