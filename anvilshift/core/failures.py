"""Why attempts end without an answer."""

from enum import Enum


class Failure(Enum):
    """Why an attempt ended without an answer."""

    NOT_SENT = "not sent"
    REJECTED = "rejected"
    BROKE_OFF = "broke off"
    MIXED_UP = "another answer"
    CRASHED = "crashed"
    TIMED_OUT = "timed out"


NOT_EXECUTED = (Failure.NOT_SENT, Failure.REJECTED)
"""Failures that prove that the target did not start the request."""
