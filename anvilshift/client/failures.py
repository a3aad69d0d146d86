"""What the callers' library tells of calls that got no whole answer."""

import json

from anvilshift.core.clock import Millis

NOT_RUN = "not run"
UNKNOWN = "unknown"
LEAVING_CODES = (3004, 3005)
"""Codes of a router that takes no new work; another address serves."""
ELSEWHERE_CODES = (2002,)
"""Codes of a router that can't serve the call now, where another may at once: one that
drew no tokens before the platform went out refuses what others still answer."""
_FINAL_CODES = range(1000, 2002)
_FINAL_OTHERS = (3003, 4003)
"""Codes that the same call would get again."""


class CallError(Exception):
    """A call that got no whole answer.

    Parameters
    ----------
    number
        Result code; 0 when no router was reached.
    fate
        What became of the work: ``not run``, ``ran`` or ``unknown``.
    retry_after
        Milliseconds until another try makes sense, if one does.
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
    """What the caller of several sendings of one key may be told.

    A router speaks for the sending that it answers.  Once an earlier one got
    no answer, it may have run, and *not run* would invite the caller to place
    the order again under a new key.
    """

    def __init__(self) -> None:
        self._unsure = False

    def note(self, error: CallError) -> CallError:
        """Take in how a sending failed; return the error to raise."""
        if error.fate != NOT_RUN:
            self._unsure = True
        elif self._unsure:
            return CallError(error.number, UNKNOWN, error.detail, error.retry_after)
        return error


def read_error(answer_body: bytes, status: int, fate: str) -> CallError:
    """Return the error that a router's answer tells.

    Parameters
    ----------
    fate
        What to assume of the work where the answer doesn't say.
    """
    try:
        error = json.loads(answer_body)["error"]
        span = error.get("retry_after_ms")
        return CallError(
            int(error["code"]),
            str(error["fate"]),
            str(error["message"]),
            float(span) if span is not None else None,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return CallError(0, fate, f"status {status}")


def is_worth_retry(error: CallError) -> bool:
    """Tell whether the same call can still succeed."""
    return error.number not in _FINAL_CODES and error.number not in _FINAL_OTHERS
