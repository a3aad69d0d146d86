"""Measure the processor time and the memory of a piece of work in this process."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

MICROS = 1e6
"""Microseconds in a second."""
_REPEATS = 3


def time_micros(work: Callable[[], Any]) -> float:
    """Return the processor time of one call in microseconds."""
    best = float("inf")
    for _ in range(_REPEATS):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best * MICROS


def weigh_bytes(make: Callable[[], Any]) -> float:
    """Return the memory that a state holds, in bytes."""
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)
