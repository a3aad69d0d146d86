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
RETRY_AFTER_EXHAUSTED: Millis = 30 * SECOND


def make_not_recorded_error(detail: str) -> AnvilshiftError:
    """Return the error for work that ran but whose bill could not be recorded."""
    return AnvilshiftError(NOT_RECORDED, detail, RETRY_AFTER_UNREACHABLE)


def make_budget_error(code: Code) -> AnvilshiftError:
    """Return the error for a request that its budget can't currently pay for."""
    exhausted = code is BUDGET_EXHAUSTED
    retry_after = RETRY_AFTER_EXHAUSTED if exhausted else RETRY_AFTER_UNREACHABLE
    return AnvilshiftError(code, "", retry_after)
