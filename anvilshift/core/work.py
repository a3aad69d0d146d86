"""Data types of the dispatcher: its input events and the actions that it returns."""

from collections.abc import Mapping
from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.errors import Code


@dataclass(frozen=True)
class Target:
    """An engine or plain service, as far as the dispatcher needs to know it.

    Parameters
    ----------
    slots
        Number of requests that it runs concurrently, as declared.
    serves
        Names of what it serves, or empty if unknown.  Targets without a common
        name never replace one another.
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
        Priority of this work at each candidate target, by target name, as the
        policies set it.
    prompt_tokens, answer_tokens
        Upper bounds; the caller sets the bound of the answer.
    deadline
        Time after which the answer is useless to the caller.
    prefixes
        Digests of the prompt's leading blocks, shortest prefix first.
    content
        Digest of the request's content; the same when a caller sends the request
        again under another id.
    idempotent
        Whether the request may be sent again when it may have run already.
    route
        The route that was called; the route and the organisation determine the
        candidates.
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


@dataclass(frozen=True)
class LoadReport:
    """A target's report of its load at a time in the past.

    Parameters
    ----------
    as_of
        Time that the figures describe.
    leaving
        Whether the target accepts no new work because it is shutting down.
    limit
        Requests per second that it accepts from all routers together; None for no
        limit.
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
    """A report that a target stored or evicted prefix blocks.

    Parameters
    ----------
    sequence
        Sequence number at the target; a gap means that events were lost.
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
    """Reject the work: answer the caller with an error now.

    Parameters
    ----------
    retry_after
        Milliseconds after which the caller should try again.
    """

    identity: str
    code: Code
    detail: str = ""
    retry_after: Millis | None = None


@dataclass(frozen=True)
class Cancel:
    """Cancel an attempt that has not begun to answer; another `Send` follows."""

    identity: str
    target: str
    attempt: int


@dataclass(frozen=True)
class CrashAnnouncement:
    """Tell the other routers that a target crashed while it ran this content.

    Parameters
    ----------
    times
        Crashes of the target that are attributed to the content; 0 if it was only
        running there.
    """

    content: str
    target: str
    times: int = 1


@dataclass(frozen=True)
class Ask:
    """Ask all other routers whether a content may be sent to a non-home target.

    Parameters
    ----------
    ticket
        Identifies this question among those that this router asks.
    """

    content: str
    target: str
    ticket: str


Action = Send | Refuse | Cancel | CrashAnnouncement | Ask
Actions = list[Action]


@dataclass(frozen=True)
class DispatchSettings:
    """Settings of the dispatcher; the policy modules define their own constants.

    Parameters
    ----------
    failure_domain
        Failure domain in which this router runs.
    queue_length
        Maximum number of waiting requests.
    attempts
        Maximum number of times that one request is sent.
    routers
        Number of routers that share the targets, as far as this one knows.
    asks
        Whether this router has a way to ask the other routers; see `Ask`.
    """

    failure_domain: str = ""
    queue_length: int = 1_000
    attempts: int = 3
    routers: int = 1
    asks: bool = False
