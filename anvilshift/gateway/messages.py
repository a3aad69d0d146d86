"""What routers tell one another, and its encoding in datagrams.

The messages are soft state: each may be lost.  What was lost of a run's course
is made good by the next message on it or by its longest time.
"""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from typing import Any, get_origin, get_type_hints

from anvilshift.core.clock import Millis

MAX_DATAGRAM = 1_300
"""Bytes that a datagram carries without being cut into fragments."""


@dataclass(frozen=True)
class Beat:
    """A router's heartbeat.

    Parameters
    ----------
    entrance
        Where callers connect to it.
    version
        The configuration that it has in force.
    fresh
        Whether it reached the platform's store within the last seconds.
    known
        Addresses of the routers that it knows.
    """

    router: str
    incarnation: str
    ip: str
    entrance: str
    failure_domain: str
    version: int
    serving: bool
    leaving: bool
    fresh: bool
    known: tuple[str, ...] = ()


@dataclass(frozen=True)
class Sent:
    """A run was sent to a target.

    Parameters
    ----------
    disturbing
        Whether reading its prompt makes streams beside it late.
    """

    run: str
    target: str
    parts: tuple[tuple[str, int], ...]
    tokens: int
    most_answer: int
    cached: int
    disturbing: bool


@dataclass(frozen=True)
class Held:
    """A target's memory now holds parts that other prompts share.

    Said to the routers that are not told of each run there.
    """

    target: str
    parts: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class Begun:
    """A run began to answer."""

    run: str
    target: str


@dataclass(frozen=True)
class Ended:
    """A run ended, whatever came of it."""

    run: str
    target: str


@dataclass(frozen=True)
class Leaving:
    """A target leaves or is gone: it gets no new work."""

    target: str


@dataclass(frozen=True)
class Blamed:
    """Content was running at a target that crashed."""

    content: str
    target: str


@dataclass(frozen=True)
class Ask:
    """A router lacks tokens of an organisation for a request that waits.

    Parameters
    ----------
    holder
        The incarnation that asks, and that alone may use a gift.
    number
        Names the ask among the asker's: sent again, it is answered once.
    keeping
        Whether the asker keeps such tokens itself; then it is given what lies
        ready, and nothing is drawn or asked of others for it.
    """

    holder: str
    number: int
    ip: str
    organisation: str
    tokens: int
    keeping: bool


@dataclass(frozen=True)
class Gift:
    """Tokens that one router gives to another.

    Parameters
    ----------
    number
        Names the gift among the giver's, so that it is taken once.
    """

    giver: str
    number: int
    holder: str
    organisation: str
    tokens: int


@dataclass(frozen=True)
class Lack:
    """A keeper can't give what was asked for.

    Parameters
    ----------
    number
        The ask that this answers.
    certain
        Whether the total certainly can't cover it.
    wait
        Time until the keeper may have it, as far as it knows.
    """

    holder: str
    number: int
    organisation: str
    certain: bool
    wait: Millis


@dataclass(frozen=True)
class Farewell:
    """A router that ends says what it spent in all.

    Whoever reaches the store ends its share with that, so that a planned stop
    strands nothing even while the router itself is cut from the store.
    """

    holder: str
    spent: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class Marked:
    """What a router knows of the store's history, for one that has just started.

    Without it that one could prove nothing for as long as the history lasts.

    Parameters
    ----------
    marks
        Revisions, and for how long at least the change after each has been there.
    """

    marks: tuple[tuple[int, Millis], ...]


@dataclass(frozen=True)
class Limited:
    """A target named how many requests a second it takes, or no longer does.

    Parameters
    ----------
    born
        The start of the target that is meant.
    heard_ago, ended_ago
        Time since an answer named it last, and since one came without it; -1 while
        the limit stands.
    """

    target: str
    born: int
    rate: float
    heard_ago: Millis
    ended_ago: Millis


@dataclass(frozen=True)
class Paused:
    """A target refused a request, and takes none for a while.

    Parameters
    ----------
    born
        The start of the target that is meant.
    """

    target: str
    born: int
    wait: Millis


@dataclass(frozen=True)
class PermitAsk:
    """A request could be sent to a target that has named a limit.

    Parameters
    ----------
    run
        Names the attempt: asked again, it gets the same permit.
    waited
        Time since the caller's request came.
    patience
        Time within which a permit is of use.
    """

    run: str
    target: str
    ip: str
    organisation: str
    rank: int
    waited: Millis
    patience: Millis


@dataclass(frozen=True)
class PermitAnswer:
    """What the issuer says to an ask.

    Parameters
    ----------
    wait
        Time until a permit is expected, where none was granted.
    """

    run: str
    state: str
    wait: Millis


@dataclass(frozen=True)
class PermitDropped:
    """An ask is given up."""

    run: str
    target: str


@dataclass(frozen=True)
class SentBefore:
    """Requests that this router sent to a limited target lately, with their ages.

    Said to the router that issues the permits from now on.
    """

    target: str
    born: int
    runs: tuple[tuple[str, Millis], ...]


Message = (
    Beat
    | Sent
    | Held
    | Begun
    | Ended
    | Leaving
    | Blamed
    | Ask
    | Gift
    | Lack
    | Farewell
    | Marked
    | Limited
    | Paused
    | PermitAsk
    | PermitAnswer
    | PermitDropped
    | SentBefore
)
_KINDS: dict[str, type[Message]] = {
    kind.__name__: kind
    for kind in (
        Beat,
        Sent,
        Held,
        Begun,
        Ended,
        Leaving,
        Blamed,
        Ask,
        Gift,
        Lack,
        Farewell,
        Marked,
        Limited,
        Paused,
        PermitAsk,
        PermitAnswer,
        PermitDropped,
        SentBefore,
    )
}


_TYPES: dict[type[Message], tuple[type, ...]] = {
    kind: tuple(get_origin(hint) or hint for hint in get_type_hints(kind).values())
    for kind in _KINDS.values()
}


def encode(message: Message) -> bytes:
    """Return a message as a line of JSON.

    Examples
    --------
    >>> encode(Ended("r1/7", "e1"))
    b'["Ended","r1/7","e1"]'
    """
    values = list(asdict(message).values())
    return json.dumps([type(message).__name__, *values], separators=(",", ":")).encode()


def pack(lines: Iterable[bytes]) -> list[bytes]:
    r"""Return lines as datagrams, as many in each as fit.

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


def decode(datagram: bytes) -> list[Message]:
    """Return the messages of a datagram.

    Raises
    ------
    ValueError
        When the bytes are something else.

    Examples
    --------
    >>> decode(encode(Ended("r1/7", "e1")))
    [Ended(run='r1/7', target='e1')]
    """
    return [_decode_line(json.loads(line)) for line in datagram.split(b"\n")]


def _decode_line(values: Any) -> Message:
    if not isinstance(values, list) or not values:
        raise ValueError("no message of a router")
    kind = _KINDS.get(str(values[0]))
    if kind is None or len(values) != len(fields(kind)) + 1:
        raise ValueError("no message of a router, or one of another version")
    frozen = [_freeze(value) for value in values[1:]]
    for expected, value in zip(_TYPES[kind], frozen, strict=True):
        if type(value) is not expected:
            raise ValueError(f"a {values[0]} has a field of another type")
    return kind(*frozen)


def _freeze(value: Any) -> Any:
    """Return a value with its lists as tuples."""
    return tuple(_freeze(one) for one in value) if isinstance(value, list) else value
