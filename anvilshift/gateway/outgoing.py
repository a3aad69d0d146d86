"""One attempt at a target: how it is planned, sent and answered, and how it fails."""

from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.choosing import Choice
from anvilshift.core.failures import Failure
from anvilshift.core.pauses import SilenceSign
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.border import AnswerFields, TargetFields
from anvilshift.wire.connection import Connection
from anvilshift.wire.messages import Headers, HttpRequest
from anvilshift.wire.response import Response


class AttemptError(Exception):
    """An attempt failed: it gave no answer, or none that is complete and valid.

    Parameters
    ----------
    failure
        Whether the target may have run the request.
    detail
        Description of the failure, for the log and the caller.
    replaced
        Whether another target answered at the address.
    answered
        Whether the target sent an answer, but an unusable one.
    reused
        Whether the request was sent on a connection that earlier requests had used.
    hung
        Whether no connection was opened or refused in time.
    silence
        How long the target has been silent as a whole; None if that isn't the reason.
    """

    def __init__(
        self,
        failure: Failure,
        detail: str,
        replaced: bool = False,
        answered: bool = False,
        reused: bool = False,
        hung: bool = False,
        silence: SilenceSign | None = None,
    ) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail
        self.replaced = replaced
        self.answered = answered
        self.reused = reused
        self.hung = hung
        self.silence = silence

    @property
    def never_ran(self) -> bool:
        """Return whether the target certainly did not run the request."""
        return self.failure in (Failure.NOT_SENT, Failure.REJECTED)


@dataclass(frozen=True)
class PlannedAttempt:
    """An attempt that may be sent.

    Parameters
    ----------
    run
        Id of the attempt, unique among all routers.
    connection
        An open connection to its target, if it was planned ahead.
    release
        Gives back what was taken for it, if it isn't sent.
    """

    choice: Choice
    run: str
    connection: Connection | None = None
    release: Callable[[], None] = lambda: None


@dataclass(frozen=True)
class Outgoing:
    """One request as it is sent to one target.

    Parameters
    ----------
    run
        Id of the attempt, unique among all routers.
    identity
        Id of the caller's attempt.
    capacity
        Tokens that fit into the target's prompt cache; 0 for a plain service.
    check
        Called just before its first byte is sent; raises if nobody waits for the
        answer any more.
    on_send
        Called with the name of the router that forwards the request, empty if none
        does, just before its first byte is sent.
    connection
        An open connection, if it was planned ahead; None if one is to be opened.
    on_doubt
        Called when nothing may come on its connection any more.
    """

    run: str
    request: HttpRequest
    identity: str
    host: str
    prompt: Prompt
    delivery: TargetFields
    choice: Choice
    capacity: int
    on_send: Callable[[str], None]
    connection: Connection | None = None
    on_doubt: Callable[[], None] = lambda: None
    check: Callable[[], None] = lambda: None


@dataclass
class Answer:
    """A target's answer whose body is still arriving."""

    status: int
    headers: Headers
    notes: AnswerFields
    response: Response
