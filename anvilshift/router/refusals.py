"""The errors of the money, each with when to come back."""

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    NOT_RECORDED,
    AnvilshiftError,
    Code,
)

RETRY_AFTER_UNREACHABLE: Millis = 1 * SECOND
"""When a refused caller may come back while tokens are in other routers: about
as long as an answer in flight there holds its reservation."""
RETRY_AFTER_EXHAUSTED: Millis = 30 * SECOND


def make_unrecorded(detail: str) -> AnvilshiftError:
    """Return the error of work that ran and whose bill isn't recorded."""
    return AnvilshiftError(NOT_RECORDED, detail, RETRY_AFTER_UNREACHABLE)


def make_refusal(code: Code) -> AnvilshiftError:
    """Return the error of a request that its budget can't pay now."""
    spent = code is BUDGET_EXHAUSTED
    retry = RETRY_AFTER_EXHAUSTED if spent else RETRY_AFTER_UNREACHABLE
    return AnvilshiftError(code, "", retry)
