"""Encode the messages between routers in datagrams."""

import json
import zlib
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from typing import Any, get_args, get_origin, get_type_hints

from anvilshift.gateway.messages import Message

MAX_DATAGRAM = 1_300
"""Maximum bytes of a datagram, so that it isn't split into IP fragments."""

_COMPRESSED = b"\x01"
"""First byte of a compressed datagram; no message begins so."""
_LEVEL = 1
"""Level of compression: messages share names and keys, which the fastest one finds."""
_MAX_PACKED = 4_000
"""Bytes of messages that are compressed together: they mostly fit into a datagram."""
_MAX_UNPACKED = 65_536


@dataclass(frozen=True, slots=True)
class _Form:
    """How messages of one type are written.

    Parameters
    ----------
    names, types
        Their fields, in order.
    defaults
        Defaults of the last fields, which are left out where they have them.
    """

    kind: type[Message]
    names: tuple[str, ...]
    types: tuple[type, ...]
    defaults: tuple[Any, ...]

    @classmethod
    def from_kind(cls, kind: type[Message]) -> "_Form":
        """Return how messages of a type are written."""
        hints, known = get_type_hints(kind), fields(kind)
        return cls(
            kind,
            tuple(one.name for one in known),
            tuple(get_origin(hints[one.name]) or hints[one.name] for one in known),
            tuple(one.default for one in known if one.metadata.get("optional")),
        )


_FORMS: dict[type[Message], _Form] = {
    kind: _Form.from_kind(kind) for kind in get_args(Message)
}
_FORMS_BY_NAME: dict[str, _Form] = {kind.__name__: one for kind, one in _FORMS.items()}
_ENCODER = json.JSONEncoder(separators=(",", ":"), default=asdict)
"""Encoder of messages; the values inside them may be data classes."""
_DECODER = json.JSONDecoder()


def encode(message: Message) -> bytes:
    """Return a message as a line of JSON.

    Examples
    --------
    >>> from anvilshift.gateway.messages import Ended
    >>> encode(Ended("r1/7", "e1"))
    b'["Ended","r1/7","e1"]'
    """
    kind = type(message)
    form = _FORMS[kind]
    values: list[Any] = [getattr(message, name) for name in form.names]
    for default in reversed(form.defaults):
        if values[-1] != default:
            break
        values.pop()
    return _ENCODER.encode([kind.__name__, *values]).encode()


def pack(lines: Iterable[bytes]) -> list[bytes]:
    r"""Combine encoded messages into datagrams, as many in each as fit.

    Examples
    --------
    >>> pack([b"a", b"b"])
    [b'a\nb']
    """
    datagrams: list[bytes] = []
    for line in lines:
        if datagrams and len(datagrams[-1]) + len(line) < MAX_DATAGRAM:
            datagrams[-1] += b"\n" + line
        else:
            datagrams.append(line)
    return datagrams


def compress(lines: Iterable[bytes]) -> list[bytes]:
    r"""Combine encoded messages into compressed datagrams.

    Examples
    --------
    >>> [packed] = compress([b'["Ended","r1/7","e1"]'] * 50)
    >>> len(packed) < 60, len(decode(packed))
    (True, 50)
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for line in lines:
        if groups[-1] and size + len(line) > _MAX_PACKED:
            groups.append([])
            size = 0
        groups[-1].append(line)
        size += len(line)
    return [datagram for group in groups if group for datagram in _compress(group)]


def _compress(lines: list[bytes]) -> list[bytes]:
    content = b"\n".join(lines)
    packed = _COMPRESSED + zlib.compress(content, _LEVEL)
    if len(packed) <= MAX_DATAGRAM:
        return [packed if len(packed) < len(content) else content]
    if len(lines) == 1:
        return lines
    half = len(lines) // 2
    return _compress(lines[:half]) + _compress(lines[half:])


def _decompress(datagram: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(datagram[len(_COMPRESSED) :], _MAX_UNPACKED)
    except zlib.error as error:
        raise ValueError(f"not a compressed datagram: {error}") from error
    if not unpacker.eof:
        raise ValueError("a compressed datagram is cut off or too long")
    return content


def decode(datagram: bytes) -> list[Message]:
    """Return the messages of a datagram.

    Raises
    ------
    ValueError
        When the bytes are not messages of this version.

    Examples
    --------
    >>> from anvilshift.gateway.messages import Ended
    >>> decode(encode(Ended("r1/7", "e1")))  # doctest: +ELLIPSIS
    [Ended(run='r1/7', target='e1', ..., outcome='', took=0.0)]
    """
    if datagram.startswith(_COMPRESSED):
        datagram = _decompress(datagram)
    return [_decode_line(line) for line in datagram.decode().split("\n")]


def _decode_line(line: str) -> Message:
    values, end = _DECODER.raw_decode(line)
    if end != len(line) or not isinstance(values, list) or not values:
        raise ValueError("not a router message: expected a non-empty list")
    name, *rest = values
    form = _FORMS_BY_NAME.get(name) if isinstance(name, str) else None
    if form is None or not 0 <= len(form.names) - len(rest) <= len(form.defaults):
        raise ValueError(
            "not a message of this router version: unknown type or field count"
        )
    frozen: list[Any] = [_freeze(one) if type(one) is list else one for one in rest]
    if tuple(map(type, frozen)) != form.types[: len(frozen)]:
        raise ValueError(f"a {name} message has a field of the wrong type")
    return form.kind(*frozen)


def _freeze(values: list[Any]) -> tuple[Any, ...]:
    """Return a list as a tuple, and so the lists in it."""
    return tuple([_freeze(one) if type(one) is list else one for one in values])
