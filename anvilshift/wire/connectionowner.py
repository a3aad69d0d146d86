"""What an accepted connection needs of the server that accepted it."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.messages import HttpRequest, Limits
from anvilshift.wire.responder import Responder
from anvilshift.wire.traffic import TrafficCounter

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class CallerAdmission(Protocol):
    """Decides which connections a server takes, and which it keeps."""

    def takes_connection(self) -> bool:
        """Return whether to take a connection that was just opened."""

    def keeps_connection(self) -> bool:
        """Return whether a connection stays open after the answer that begins now."""


class ConnectionOwner(Protocol):
    """What a connection needs of the server that accepted it.

    Attributes
    ----------
    admission
        Decides which connections are taken and kept; None to take and keep all.
    traffic
        Counts what callers send and are sent.
    room
        Memory for what callers send slowly or read slowly; None if it isn't bounded.
    """

    handler: Handler
    limits: Limits
    connections: set[Any]
    stopping: bool
    closed: bool
    is_draining: bool
    admission: CallerAdmission | None
    traffic: TrafficCounter
    room: HeldRoom | None
