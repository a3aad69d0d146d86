"""Measure processor time and memory of a function in this process."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

MICROS = 1e6
"""Microseconds in a second."""
_REPEATS = 3


def time_micros(work: Callable[[], Any]) -> float:
    """Return the processor time of one call in microseconds, the best of three."""
    best = float("inf")
    for _ in range(_REPEATS):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best * MICROS


def measure_bytes(make_state: Callable[[], Any]) -> float:
    """Return the allocated memory of a newly built state, in bytes."""
    tracemalloc.start()
    state = make_state()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return float(size)
