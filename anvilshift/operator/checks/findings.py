"""What a check found, and the exit code that follows from it."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

EXIT_WARNINGS, EXIT_ERRORS = 1, 2


class Severity(Enum):
    """Whether the fleet refuses what was found, or it is probably a mistake."""

    ERROR = "error"
    WARNING = "warning"


class Kind(Enum):
    """Kind of a finding; scripts may rely on these texts."""

    INVALID = "invalid"
    OUTDATED = "outdated"
    REFERENCE = "reference"
    NEVER_MATCHES = "never-matches"
    UNUSED = "unused"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True)
class Finding:
    """One thing that was found.

    Parameters
    ----------
    subject
        What it concerns, such as a route by its host and prefix.
    code
        Number of an error, as in docs/ERRORS.md; None for a warning.
    """

    severity: Severity
    kind: Kind
    file: str
    line: int
    subject: str
    message: str
    code: int | None = None

    def __str__(self) -> str:
        head = f"{self.file}:{self.line}: {self.severity.value} {self.kind.value}"
        code = f" ({self.code})" if self.code else ""
        return f"{head}: {self.subject}: {self.message}{code}"

    def describe(self) -> dict[str, str | int | None]:
        """Return it with texts in place of enums, as for JSON."""
        return {
            **vars(self),
            "severity": self.severity.value,
            "kind": self.kind.value,
        }


def find_exit_code(findings: Iterable[Finding]) -> int:
    """Return 2 if the fleet refuses something, 1 for warnings only, else 0."""
    severities = {one.severity for one in findings}
    if Severity.ERROR in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if severities else 0
