"""Numbered result codes and the errors that carry them.

Each code states whether the request's work ran (`ExecutionState`), so that a caller
can tell whether a retry is safe.  docs/ERRORS.md contains the table of codes; a test
compares it with this module.
"""

from dataclasses import dataclass
from enum import Enum

from anvilshift.core.clock import Millis


class ExecutionState(Enum):
    """Whether the request's work ran at a target."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Code:
    """A numbered result code.

    Parameters
    ----------
    number
        Stable number, shown to callers and in logs.
    name
        Short name in lower case.
    status
        HTTP status that carries the code to callers.
    fate
        Whether the request's work ran.
    meaning
        One-line description for the table.
    retry_after
        Default milliseconds until a retry makes sense, used where the code that
        raises the error has no better estimate; None if no retry can help.
    """

    number: int
    name: str
    status: int
    fate: ExecutionState
    meaning: str
    retry_after: Millis | None = None


CODES: dict[int, Code] = {}


_SHORT_RETRY: Millis = 200.0
"""Retry delay if another router can serve the request at once."""
_RECOVERY_RETRY: Millis = 1_000.0
"""Retry delay if a restart, a refill of tokens or a failover is needed; each takes
about a second."""


def _define(
    number: int,
    name: str,
    status: int,
    fate: ExecutionState,
    meaning: str,
    retry_after: Millis | None = None,
) -> Code:
    code = Code(number, name, status, fate, meaning, retry_after)
    if number in CODES:
        raise ValueError(f"code {number} is defined twice")
    CODES[number] = code
    return code


_NOT_RUN, _RAN, _UNKNOWN = (
    ExecutionState.NOT_RUN,
    ExecutionState.RAN,
    ExecutionState.UNKNOWN,
)

MALFORMED = _define(1001, "malformed", 400, _NOT_RUN, "The request can't be read.")
TOO_LARGE = _define(1002, "too large", 413, _NOT_RUN, "Head or body is over the limit.")
TOO_SLOW = _define(
    1003, "too slow", 408, _NOT_RUN, "The request took too long to arrive."
)
UNAUTHENTICATED = _define(
    1004, "unauthenticated", 401, _NOT_RUN, "No valid credential."
)
UNKNOWN_ROUTE = _define(
    1005,
    "unknown route",
    404,
    _NOT_RUN,
    "No such model, route or path for this organisation.",
)
KEY_REQUIRED = _define(
    1006, "key required", 400, _NOT_RUN, "Non-idempotent work needs an idempotency key."
)
KEY_REUSED = _define(
    1007,
    "key reused",
    422,
    _NOT_RUN,
    "The idempotency key came with another body before.",
)
PAST_DEADLINE = _define(
    1008,
    "past deadline",
    504,
    _NOT_RUN,
    "The deadline had passed before the work was sent.",
    _RECOVERY_RETRY,
)
BAD_VALUE = _define(
    1009,
    "bad value",
    400,
    _NOT_RUN,
    "A field has the wrong type or is out of range.",
)

BUDGET_EXHAUSTED = _define(
    2001,
    "budget exhausted",
    402,
    _NOT_RUN,
    "The prepaid budget has too few tokens left.",
    30 * _RECOVERY_RETRY,
)
BUDGET_UNREACHABLE = _define(
    2002,
    "budget unreachable",
    503,
    _NOT_RUN,
    "Tokens may be left but can't be drawn now.",
    _RECOVERY_RETRY,
)
BUDGET_FROZEN = _define(
    2003,
    "budget frozen",
    503,
    _NOT_RUN,
    "A money invariant broke; this router stopped spending the budget.",
    30 * _RECOVERY_RETRY,
)

OVERLOADED = _define(
    3001,
    "overloaded",
    503,
    _NOT_RUN,
    "The work can't be answered before its deadline.",
    _RECOVERY_RETRY,
)
NO_ENGINE = _define(
    3002,
    "no engine",
    503,
    _NOT_RUN,
    "No engine that this organisation may use is available.",
    _RECOVERY_RETRY,
)
QUARANTINED = _define(
    3003,
    "quarantined",
    422,
    _UNKNOWN,
    "The same work has crashed targets before and isn't sent again.",
)
DRAINING = _define(
    3004,
    "draining",
    503,
    _NOT_RUN,
    "This router is leaving; use another address.",
    _SHORT_RETRY,
)
NOT_READY = _define(
    3005,
    "not ready",
    503,
    _NOT_RUN,
    "This router has no current configuration or lease.",
    _SHORT_RETRY,
)
STREAM_NOT_RESUMABLE = _define(
    3006,
    "stream not resumable",
    503,
    _NOT_RUN,
    "No engine is known that the stream may go on at; send the request anew.",
    _SHORT_RETRY,
)

ENGINE_FAILED = _define(
    4001,
    "engine failed",
    502,
    _UNKNOWN,
    "The target failed after the work was sent.",
    _RECOVERY_RETRY,
)
ANSWER_LATE = _define(
    4002,
    "answer late",
    504,
    _UNKNOWN,
    "The deadline passed while the work ran.",
    _RECOVERY_RETRY,
)
OUTCOME_UNKNOWN = _define(
    4003,
    "outcome unknown",
    409,
    _UNKNOWN,
    "The work was sent before; its outcome isn't known and it isn't run again.",
)
STILL_RUNNING = _define(
    4004,
    "still running",
    409,
    _RAN,
    "The work with this key is running elsewhere.",
    _RECOVERY_RETRY,
)
NOT_RECORDED = _define(
    4005,
    "not recorded",
    503,
    _RAN,
    "The work ran but its bill or outcome can't be recorded now.",
    _RECOVERY_RETRY,
)
ENGINE_REJECTED = _define(
    4006,
    "engine rejected",
    502,
    _NOT_RUN,
    "The target refused the work before running it.",
)

PLATFORM_DOWN = _define(
    5001,
    "platform down",
    503,
    _NOT_RUN,
    "The platform's object API doesn't answer.",
    2 * _RECOVERY_RETRY,
)
CONFLICT = _define(
    5002, "conflict", 409, _NOT_RUN, "The object changed since it was read."
)
PLATFORM_UNREADABLE = _define(
    5003,
    "platform garbage",
    503,
    _NOT_RUN,
    "The platform answered something that can't be read.",
    2 * _RECOVERY_RETRY,
)
FORBIDDEN = _define(
    5004, "forbidden", 403, _NOT_RUN, "The credential doesn't allow this."
)

BAD_SETTINGS = _define(6001, "bad settings", 400, _NOT_RUN, "A settings file is wrong.")
BAD_DECLARATION = _define(
    6002, "bad declaration", 400, _NOT_RUN, "A declaration is wrong."
)
BROKEN_INVARIANT = _define(
    9001,
    "broken invariant",
    500,
    _UNKNOWN,
    "The program found its own state impossible.",
)


class AnvilshiftError(Exception):
    """Base class of all errors that the project reports, with a numbered code.

    Parameters
    ----------
    code
        The numbered code.
    detail
        Human-readable description; never contains a prompt or a credential.
    retry_after
        Milliseconds until a retry makes sense; the code's default if None.

    Examples
    --------
    >>> error = AnvilshiftError(OVERLOADED, "queue is full", retry_after=1500.0)
    >>> str(error)
    '3001 overloaded: queue is full'
    >>> error.code.fate.value
    'not run'
    """

    def __init__(
        self, code: Code, detail: str = "", retry_after: Millis | None = None
    ) -> None:
        self.code = code
        self.detail = detail or code.meaning
        self.retry_after = code.retry_after if retry_after is None else retry_after
        super().__init__(f"{code.number} {code.name}: {self.detail}")


class ShortRoomError(AnvilshiftError):
    """A request is refused for want of room on its way; another router may have some.

    Its connection is closed with the answer, so that its caller can choose anew.
    """


class InvariantError(AnvilshiftError):
    """An internal invariant doesn't hold, which shows a fault of the program."""

    def __init__(self, detail: str) -> None:
        super().__init__(BROKEN_INVARIANT, detail)


def check_invariant(held: bool, detail: str) -> None:
    """Raise `InvariantError` if an invariant doesn't hold.

    Parameters
    ----------
    held
        Whether the invariant holds.
    detail
        Description of the violated invariant.
    """
    if not held:
        raise InvariantError(detail)
