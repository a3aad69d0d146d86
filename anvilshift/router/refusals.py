"""Errors of budgets and bills, each with its retry delay."""

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    NOT_RECORDED,
    AnvilshiftError,
    Code,
)

RETRY_AFTER_UNREACHABLE: Millis = 1 * SECOND
"""Retry delay for a refused caller while other routers hold the tokens: about as long
as an answer in flight there holds its reservation."""
RETRY_AFTER_DOUBT: Millis = 5 * SECOND
"""Retry delay while tokens of a lost router are in doubt: about the time that its
witness needs to hand in what it has and free the rest."""
RETRY_AFTER_EXHAUSTED: Millis = 30 * SECOND


def make_not_recorded_error(detail: str) -> AnvilshiftError:
    """Return the error for work that ran but whose bill could not be recorded."""
    return AnvilshiftError(NOT_RECORDED, detail, RETRY_AFTER_UNREACHABLE)


def make_budget_error(code: Code, in_doubt: bool = False) -> AnvilshiftError:
    """Return the error for a request that its budget can't currently pay for.

    Parameters
    ----------
    in_doubt
        Whether only tokens in doubt could pay for it.
    """
    retry_after = RETRY_AFTER_DOUBT if in_doubt else RETRY_AFTER_UNREACHABLE
    if code is BUDGET_EXHAUSTED:
        retry_after = RETRY_AFTER_EXHAUSTED
    return AnvilshiftError(code, "", retry_after)
