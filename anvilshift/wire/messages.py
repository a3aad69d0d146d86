"""HTTP messages, limits and socket settings shared by the server and the client."""

import asyncio
import ipaddress
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cached_property
from urllib.parse import parse_qsl, urlsplit

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import MALFORMED, AnvilshiftError
from anvilshift.wire.peertimeouts import UNREAD_TIMEOUT


def set_reset_on_close(transport: asyncio.BaseTransport, enabled: bool) -> None:
    """Set whether the system resets a connection, however its process closes it.

    It then also discards what the peer hasn't been sent yet.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        option = struct.pack("ii", int(enabled), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


def is_ipv4(text: str) -> bool:
    """Return whether a text is an IPv4 address in dotted decimals.

    Examples
    --------
    >>> is_ipv4("127.0.0.1"), is_ipv4("localhost"), is_ipv4("127.0.0.999")
    (True, False, False)
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


@dataclass(frozen=True)
class Address:
    """An IP address and a port.

    Examples
    --------
    >>> Address.parse("127.0.0.1:8080")
    Address(ip='127.0.0.1', port=8080)
    >>> str(Address.parse("[::1]:8080"))
    '[::1]:8080'
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address of the form ``ip:port``; IPv6 addresses are in brackets."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdigit():
            raise ValueError(f"{text!r} is not an address of the form ip:port")
        return cls(ip.strip("[]"), int(port))

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


class Headers:
    """Header fields with case-insensitive names.

    Examples
    --------
    >>> headers = Headers([("Retry-After", "2")])
    >>> headers.get("retry-after")
    '2'
    >>> headers.get("absent") is None
    True
    """

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self.pairs = [(name.lower(), value) for name, value in pairs]

    @classmethod
    def from_raw(cls, raw: Iterable[tuple[bytes, bytes]]) -> "Headers":
        """Decode header fields from the byte pairs that h11 returns."""
        return cls((n.decode("latin-1"), v.decode("latin-1")) for n, v in raw)

    def get(self, name: str) -> str | None:
        """Return the value of a field that may occur once, or None if absent.

        A repeated field is rejected: two servers could each act on a different
        one of its values, which is a fault or an attack.
        """
        wanted = name.lower()
        found = [value for key, value in self.pairs if key == wanted]
        if len(found) > 1:
            raise AnvilshiftError(MALFORMED, f"header {name} appears more than once")
        return found[0] if found else None


def list_connection_options(headers: Headers) -> set[str]:
    """Return the lower-case names of the fields listed in the Connection header.

    These apply to a single connection, and a proxy must not forward them.

    References
    ----------
    RFC 9110, section 7.6.1.

    Examples
    --------
    >>> sorted(list_connection_options(Headers([("Connection", "close, X-Hop")])))
    ['close', 'x-hop']
    """
    return {
        option.strip().lower()
        for name, value in headers.pairs
        if name == "connection"
        for option in value.split(",")
    }


@dataclass(frozen=True)
class HttpRequest:
    """A request that a server has received completely.

    Parameters
    ----------
    unread
        How long its last bytes had waited when they were read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    unread: Millis = 0.0

    @cached_property
    def path(self) -> str:
        """Return the path of the request target, without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters; of a repeated one, the last value."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass(frozen=True)
class HttpResponse:
    """An answer that a client has received completely."""

    status: int
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class Limits:
    """Limits on the size and duration of the requests on a connection.

    Parameters
    ----------
    head_bytes, body_bytes
        Maximum size of a request's head and of its body.
    head_timeout, body_timeout
        Milliseconds within which the complete head, and then the complete body,
        must arrive.
    idle_timeout
        Milliseconds that a connection may be idle between requests.
    write_timeout
        Milliseconds for which the peer may read nothing while the write buffer is
        full.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout: Millis = 10 * SECOND
    body_timeout: Millis = 30 * SECOND
    idle_timeout: Millis = 75 * SECOND
    write_timeout: Millis = UNREAD_TIMEOUT


DEFAULT_LIMITS = Limits()
JSON_TYPE = ("content-type", "application/json")
EVENT_STREAM_TYPE = ("content-type", "text/event-stream")
HeaderFields = list[tuple[str, str]]


@dataclass(frozen=True)
class Reply:
    """A complete answer, sent with a content length."""

    status: int = 200
    headers: HeaderFields = field(default_factory=list)
    body: bytes = b""
