"""Errors of budgets and bills, each with its retry delay."""

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    NOT_RECORDED,
    AnvilshiftError,
    Code,
)

RETRY_AFTER_UNREACHABLE: Millis = 1 * SECOND
"""Retry delay for a refused caller while other routers hold the tokens: about as long
as an answer in flight there holds its reservation."""
RETRY_AFTER_ISOLATED: Millis = 2 * SECOND
"""Retry delay at a router that is cut off; callers ask other routers at once."""
RETRY_AFTER_EXHAUSTED: Millis = 30 * SECOND


def make_not_recorded_error(detail: str) -> AnvilshiftError:
    """Return the error for work that ran but whose bill could not be recorded."""
    return AnvilshiftError(NOT_RECORDED, detail, RETRY_AFTER_UNREACHABLE)


def make_isolated_error() -> AnvilshiftError:
    """Return the error for a request whose answer could not end at this router.

    The work isn't run: another router reaches the platform or one that keeps bills.
    """
    detail = "this router reaches neither the platform nor a router for copies of bills"
    return AnvilshiftError(BUDGET_UNREACHABLE, detail, RETRY_AFTER_ISOLATED)


def make_budget_error(code: Code) -> AnvilshiftError:
    """Return the error for a request that its budget can't currently pay for."""
    exhausted = code is BUDGET_EXHAUSTED
    retry_after = RETRY_AFTER_EXHAUSTED if exhausted else RETRY_AFTER_UNREACHABLE
    return AnvilshiftError(code, "", retry_after)
