"""What is kept of a test on real processes that failed."""

import json
import os
import pathlib
import time
import unittest
from collections.abc import Iterable

FOLDER = pathlib.Path("out/failed")


def has_failed(case: unittest.TestCase) -> bool:
    """Tell whether a test has failed, in its tear-down."""
    # The outcome's own mark is set anew before this is called.
    result = case._outcome.result
    return any(test is case for test, _ in [*result.errors, *result.failures])


def keep_evidence(
    case: unittest.TestCase, logs: str, outcomes: Iterable[object] = ()
) -> None:
    """Write logs, what callers received and the machine's load to a file."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    name = f"{case.id().rsplit('.', 1)[-1]}-{time.time_ns()}.json"
    evidence = {
        "test": case.id(),
        "load": os.getloadavg(),
        "cores": os.cpu_count(),
        "outcomes": [vars(outcome) for outcome in outcomes],
        "logs": logs.splitlines(),
    }
    (FOLDER / name).write_text(json.dumps(evidence, indent=1))
    print(f"evidence kept in {FOLDER / name}")
