"""Messages between routers.

The messages are soft state, and any of them may be lost.  A lost message about a run
is compensated by the next message about it or by the run's maximum duration.
"""

from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.gateway.coldmessages import TargetCold
from anvilshift.gateway.drainmessages import DrainsTold
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.partmessages import (
    PartRecorded,
    PartsAnswered,
    PartsTold,
    StartAlive,
    TryAnswer,
    TryAsk,
    TryEnded,
)
from anvilshift.gateway.runmessages import Begun, Ended, Held, Sent
from anvilshift.gateway.startmessages import (
    StartShareAnswer,
    StartShareAsk,
    StartShareEnded,
    TargetReturned,
)
from anvilshift.gateway.streammessages import (
    HistorySeen,
    OriginAnswer,
    OriginAsk,
    StreamBegan,
)


@dataclass(frozen=True)
class Beat:
    """A router's heartbeat.

    Parameters
    ----------
    entrance
        Address at which callers connect to the router.
    version
        Version of the configuration in force at the router.
    serving, leaving
        Whether the router accepts requests, and whether it is stopping as planned.
    fresh
        Whether it reached the platform's store within the last seconds.
    known
        Addresses of the other routers known to it.
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
class Leaving:
    """A target is leaving or gone and gets no new work.

    Parameters
    ----------
    revision
        Revision of the store at which its entry said so, or was found to be wrong; a
        later entry may say that it is ready.  0 if the target itself said so.
    """

    target: str
    revision: int = field(default=0, metadata={"optional": True})


@dataclass(frozen=True)
class Registered:
    """A target that was said to leave, or to be gone, is ready by a later entry.

    Parameters
    ----------
    revision
        Revision of that entry.
    born
        Identifies the start of the target, so that another one isn't taken for it.
    """

    target: str
    revision: int
    born: int


@dataclass(frozen=True)
class Failed:
    """An attempt at a target failed.

    Parameters
    ----------
    router, domain
        The router that sent the attempt, and its failure domain.
    born
        Identifies the start of the target, so that a restarted one isn't affected.
    content
        Identifies the request.
    answered
        Whether the target sent an answer, but an error or an unusable one.
    """

    router: str
    domain: str
    target: str
    born: int
    content: str
    answered: bool


@dataclass(frozen=True)
class Blamed:
    """A target crashed while it processed this content."""

    content: str
    target: str


@dataclass(frozen=True)
class Ask:
    """A router needs tokens of an organisation for a waiting request.

    Parameters
    ----------
    holder
        The asking incarnation; only this incarnation may use the gift.
    number
        Identifies the ask among those of the holder, so that copies are answered
        once.
    keeping
        Whether the asking router is itself an allocator of these tokens.  Then it gets
        only tokens that are ready: none are drawn or asked of others for it.
    """

    holder: str
    number: int
    ip: str
    organisation: str
    tokens: int
    keeping: bool


@dataclass(frozen=True)
class Gift:
    """A transfer of tokens from one router to another.

    Parameters
    ----------
    number
        Identifies the gift among those of the giver, so that it is counted once.
    holder
        The incarnation that receives the tokens.
    """

    giver: str
    number: int
    holder: str
    organisation: str
    tokens: int


@dataclass(frozen=True)
class Lack:
    """An allocator can't provide the tokens of an ask.

    Parameters
    ----------
    number
        Number of the ask that this answers.
    certain
        Whether the organisation's total is known to be too small.
    wait
        Estimated time until the allocator may have the tokens.
    """

    holder: str
    number: int
    organisation: str
    certain: bool
    wait: Millis


@dataclass(frozen=True)
class Settled:
    """How many tokens the sender's ended requests used, for the receiver to count.

    Parameters
    ----------
    receiver
        The incarnation that counts them; any other ignores them.
    tokens
        By organisation, the sum of all that the sender has handed to the receiver.
    """

    holder: str
    receiver: str
    tokens: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class Farewell:
    """A stopping router reports its total spending.

    Any router that reaches the store uses it to end the share.  So a planned stop
    makes no tokens unavailable, even if the stopping router can't reach the store.
    """

    holder: str
    spent: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class Marked:
    """A router's marks in the store's history, for a router that has just started.

    Without them that router could prove no bound on the age of a record until it has
    followed the history for the history's whole length.

    Parameters
    ----------
    marks
        Revisions, each with a lower bound on the age of the change after it.
    """

    marks: tuple[tuple[int, Millis], ...]


@dataclass(frozen=True)
class Limited:
    """A target announced a limit in requests per second, or no longer announces it.

    Parameters
    ----------
    born
        Identifies the start of the target, so that a restarted one isn't affected.
    heard_ago, ended_ago
        Time since the last answer with the limit, and since an answer without it;
        the latter is -1 while the limit applies.
    """

    target: str
    born: int
    rate: float
    heard_ago: Millis
    ended_ago: Millis


@dataclass(frozen=True)
class Paused:
    """A target refused a request and accepts none for some time.

    Parameters
    ----------
    born
        Identifies the start of the target, so that a restarted one isn't affected.
    """

    target: str
    born: int
    wait: Millis


@dataclass(frozen=True)
class PermitAsk:
    """A router asks for a permit to send a request to a target with a limit.

    Parameters
    ----------
    run
        Identifies the attempt; a repeated ask gets the same permit.
    waited
        Time since the caller's request arrived.
    patience
        Time within which a permit can still be used.
    cold_left
        Time for which the target is cold, as far as the router knows.
    """

    run: str
    target: str
    ip: str
    organisation: str
    rank: int
    waited: Millis
    patience: Millis
    cold_left: Millis = 0.0


@dataclass(frozen=True)
class PermitAnswer:
    """The issuer's answer to a `PermitAsk`.

    Parameters
    ----------
    wait
        Expected time until a permit is available, if none was granted.
    """

    run: str
    state: str
    wait: Millis


@dataclass(frozen=True)
class PermitDropped:
    """A `PermitAsk` is withdrawn."""

    run: str
    target: str


@dataclass(frozen=True)
class SentBefore:
    """Requests that the sender recently sent to a limited target, with their ages.

    Sent to the router that issues the permits from now on.
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
    | Registered
    | Failed
    | Blamed
    | Ask
    | Gift
    | Lack
    | Settled
    | Farewell
    | Marked
    | Limited
    | Paused
    | PermitAsk
    | PermitAnswer
    | PermitDropped
    | SentBefore
    | TargetCold
    | StreamBegan
    | OriginAsk
    | OriginAnswer
    | HistorySeen
    | PartRecorded
    | PartsAnswered
    | PartsTold
    | StartAlive
    | TryAsk
    | TryAnswer
    | TryEnded
    | DrainsTold
    | RouterLoad
    | StartShareAsk
    | StartShareAnswer
    | StartShareEnded
    | TargetReturned
)
