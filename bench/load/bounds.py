"""What an all-knowing order of a trace could reach at most.

An engine with all slots making tokens makes slots tokens in base + slope x
slots milliseconds.  So a token costs it at least (base + slope x slots) / slots
milliseconds, and a millisecond of prefill in one slot at least
base / (slots x (base + slope x slots)), whatever the mix of the two is.  The
bound takes the cheapest work first and fills all engines from the first
arrival to the last deadline; it ignores what order and deadlines forbid, so no
order can beat it, and it may lie above what is possible.
"""

from collections.abc import Mapping

from anvilshift.core.clock import Millis
from bench.load.traces import Call, Trace


def _capacity(trace: Trace) -> Millis:
    last = max(call.deadline for call in trace.calls)
    span = last - trace.calls[0].at
    lost = sum(10_000.0 for e in trace.events if e.kind == "down" and e.value)
    return trace.engines * span - lost


def _cost(trace: Trace, call: Call) -> Millis:
    figures = trace.figures
    cached = len(call.prefixes) * figures.block_tokens
    prefill = 5.0 + max(0, call.prompt - cached) * figures.prefill
    share = figures.base / (figures.slots * figures.pace)
    return call.tokens * figures.pace / figures.slots + prefill * share


def _fill(trace: Trace, values: list[tuple[float, float]]) -> float:
    """Return the most value for cost within the capacity, in parts if need be."""
    left = _capacity(trace)
    total = 0.0
    for value, cost in sorted(values, key=lambda item: -item[0] / item[1]):
        part = min(1.0, left / cost)
        total += value * part
        left -= cost * part
        if left <= 0:
            break
    return total


def bound_answers(trace: Trace) -> float:
    """Return the most requests that can be answered in time."""
    calls = [call for call in trace.calls if not call.poison]
    return _fill(trace, [(1.0, _cost(trace, call)) for call in calls])


def bound_tokens(trace: Trace) -> float:
    """Return the most tokens of whole answers in time."""
    calls = [call for call in trace.calls if not call.poison]
    return _fill(trace, [(float(c.tokens), _cost(trace, c)) for c in calls])


def share_fairly(
    asked: Mapping[str, float], weights: Mapping[str, float], total: float
) -> dict[str, float]:
    """Return shares by weight, nobody having more than it asked for.

    Examples
    --------
    >>> share_fairly({"a": 10.0, "b": 90.0}, {"a": 1.0, "b": 1.0}, 60.0)
    {'a': 10.0, 'b': 50.0}
    """
    shares: dict[str, float] = {}
    left = total
    open_ones = sorted(asked, key=lambda name: asked[name] / weights[name])
    while open_ones:
        name = open_ones.pop(0)
        weight = weights[name] + sum(weights[other] for other in open_ones)
        shares[name] = min(asked[name], left * weights[name] / weight)
        left -= shares[name]
    return shares
