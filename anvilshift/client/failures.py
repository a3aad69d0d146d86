"""Errors of calls that received no complete answer."""

import json

from anvilshift.core.clock import Millis

NOT_RUN = "not run"
UNKNOWN = "unknown"
DRAINING_CODES = (3004, 3005)
"""Codes of a router that accepts no new work; the client uses another address."""
ROUTER_SPECIFIC_CODES = (2002,)
"""Codes of a router that can't serve the call now although another router may: during
a platform outage, a router that drew no tokens beforehand refuses calls that others
still answer."""
_FINAL_CODE_RANGE = range(1000, 2002)
_OTHER_FINAL_CODES = (3003, 4003)
"""Codes that a retry of the same call would receive again."""


class CallError(Exception):
    """A call that received no complete answer.

    Parameters
    ----------
    number
        Result code; 0 if no router answered with one.
    fate
        Whether the work ran: ``not run``, ``ran`` or ``unknown``.
    retry_after
        Milliseconds after which the call may be retried; None if not stated.
    """

    def __init__(
        self, number: int, fate: str, message: str, retry_after: Millis | None = None
    ) -> None:
        super().__init__(f"{number}: {message} ({fate})")
        self.number = number
        self.detail = message
        self.fate = fate
        self.retry_after = retry_after


class Outcome:
    """Combined outcome of several attempts with the same key.

    The fate in a router's answer concerns only the attempt that it answers.  If an
    earlier attempt received no answer, its work may have run.  Reporting *not run*
    would lead the caller to send it again under a new key, so that it runs twice.
    """

    def __init__(self) -> None:
        self._may_have_run = False

    def record_failure(self, error: CallError) -> CallError:
        """Record the failure of an attempt and return the error to raise."""
        if error.fate != NOT_RUN:
            self._may_have_run = True
        elif self._may_have_run:
            return CallError(error.number, UNKNOWN, error.detail, error.retry_after)
        return error


def read_error(answer_body: bytes, status: int, fate: str) -> CallError:
    """Return the error that a router's answer reports.

    Parameters
    ----------
    fate
        Fate of the work to assume if the answer doesn't state one.
    """
    try:
        error = json.loads(answer_body)["error"]
        delay = error.get("retry_after_ms")
        return CallError(
            int(error["code"]),
            str(error["fate"]),
            str(error["message"]),
            float(delay) if delay is not None else None,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return CallError(0, fate, f"status {status}")


def is_retryable(error: CallError) -> bool:
    """Return whether a retry of the same call can succeed."""
    return (
        error.number not in _FINAL_CODE_RANGE and error.number not in _OTHER_FINAL_CODES
    )
