"""Choose errors that state correctly whether the work of a request ran."""

from anvilshift.core.errors import (
    ANSWER_LATE,
    ENGINE_FAILED,
    NOT_RECORDED,
    PAST_DEADLINE,
    AnvilshiftError,
    ExecutionState,
)


class Progress:
    """Whether the work of one request was sent and has run, over all its attempts.

    Examples
    --------
    >>> from anvilshift.core.errors import NO_ENGINE
    >>> progress = Progress()
    >>> progress.correct_error(AnvilshiftError(NO_ENGINE)).code.fate.value
    'not run'
    >>> progress.sent = True
    >>> progress.correct_error(AnvilshiftError(NO_ENGINE)).code.fate.value
    'unknown'
    """

    def __init__(self) -> None:
        self.sent = False
        self.ran = False

    def correct_error(self, error: AnvilshiftError) -> AnvilshiftError:
        """Return the error, or one whose fate is true for all attempts.

        If the second attempt is refused because there is no engine, too few tokens
        or too little time, the refusal says *not run*, although the first attempt
        may have run.
        """
        if self.ran and error.code.fate is not ExecutionState.RAN:
            return AnvilshiftError(NOT_RECORDED, error.detail, error.retry_after)
        if self.sent and error.code.fate is ExecutionState.NOT_RUN:
            return AnvilshiftError(ENGINE_FAILED, error.detail, error.retry_after)
        return error

    def make_deadline_error(self) -> AnvilshiftError:
        """Return the error for work whose deadline has passed."""
        code = ANSWER_LATE if self.sent else PAST_DEADLINE
        return self.correct_error(AnvilshiftError(code))
