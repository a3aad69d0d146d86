"""The events that the dispatcher takes and the actions that it returns."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from anvilshift.core.clock import Millis
from anvilshift.core.errors import Code


@dataclass(frozen=True)
class Target:
    """An engine or plain service as the dispatcher sees it.

    Parameters
    ----------
    slots
        Requests that it runs at once, as declared.
    serves
        Names of what it serves; targets that have none in common never stand in
        for one another.  Empty if that is not known.
    """

    name: str
    failure_domain: str
    slots: int = 8
    serves: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Work:
    """A request that waits for a target.

    Parameters
    ----------
    candidates
        By target name, the priority that the policies give this work there.
    prompt_tokens, answer_tokens
        Upper bounds; the answer's bound is what the caller asked for.
    deadline
        Instant after which the answer is of no use.
    prefixes
        Digests of the prompt's leading blocks, shortest prefix first.
    content
        Digest of what is to run, equal for a request that is sent again under
        another id.
    idempotent
        Whether it may be sent again after it may have run.
    route
        The route that was called; with the organisation it fixes the candidates.
    """

    identity: str
    organisation: str
    request_class: str
    candidates: Mapping[str, int]
    prompt_tokens: int
    answer_tokens: int
    deadline: Millis
    weight: float = 1.0
    prefixes: tuple[str, ...] = ()
    content: str = ""
    idempotent: bool = True
    route: str = ""


class Failure(Enum):
    """How an attempt ended without an answer."""

    NOT_SENT = "not sent"
    REJECTED = "rejected"
    BROKE_OFF = "broke off"
    MIXED_UP = "another answer"
    CRASHED = "crashed"
    TIMED_OUT = "timed out"


NEVER_RAN = (Failure.NOT_SENT, Failure.REJECTED)
"""Ends of an attempt after which its target provably did nothing."""


@dataclass(frozen=True)
class LoadReport:
    """What a target says of its load, as of an instant in the past.

    Parameters
    ----------
    leaving
        Whether it says that it takes no new work.
    limit
        Requests a second that it takes from all routers together; None for any.
    """

    target: str
    running: int
    waiting: int
    as_of: Millis
    cached_tokens: int = 0
    tokens_per_second: float = 0.0
    leaving: bool = False
    limit: float | None = None


@dataclass(frozen=True)
class CacheEvent:
    """A target stored or evicted prefix blocks.

    Parameters
    ----------
    sequence
        Number of the event at its target; a gap means that events are lost.
    """

    target: str
    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


@dataclass(frozen=True)
class Send:
    """Send the work to a target now."""

    identity: str
    target: str
    attempt: int
    priority: int = 0


@dataclass(frozen=True)
class Refuse:
    """Answer the caller at once: the work is given up."""

    identity: str
    code: Code
    detail: str = ""
    retry_after: Millis | None = None


@dataclass(frozen=True)
class Cancel:
    """Stop an attempt that has not begun to answer; another `Send` follows."""

    identity: str
    target: str
    attempt: int


@dataclass(frozen=True)
class Announce:
    """Tell the other routers that a target crashed while it ran this content.

    Parameters
    ----------
    times
        Crashes there that the content is blamed for; 0 if it merely ran there.
    """

    content: str
    target: str
    times: int = 1


@dataclass(frozen=True)
class Ask:
    """Ask all other routers whether a content may go to a target that is no home.

    Parameters
    ----------
    ticket
        Names the question among those of this router.
    """

    content: str
    target: str
    ticket: str


Action = Send | Refuse | Cancel | Announce | Ask
Actions = list[Action]


@dataclass(frozen=True)
class DispatchSettings:
    """The dispatcher's figures; each policy module explains its own.

    Parameters
    ----------
    failure_domain
        Where this router runs.
    queue_length
        Most requests that wait at once.
    attempts
        Most times that one request is sent.
    routers
        Routers that share the targets, as far as this one knows.
    asks
        Whether the other routers can be asked.
    """

    failure_domain: str = ""
    queue_length: int = 1_000
    attempts: int = 3
    routers: int = 1
    asks: bool = False
