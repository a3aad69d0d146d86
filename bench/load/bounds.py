"""Upper bounds on what any schedule of a trace can achieve.

An engine that decodes in all slots generates one token per slot every
base + slope x slots milliseconds.  A token therefore takes at least
(base + slope x slots) / slots milliseconds of engine time, and a millisecond of
prefill in one slot at least base / (slots x (base + slope x slots)), for every
mix of prefill and decoding.  The bound schedules the cheapest requests first
and fills all engines from the first arrival to the last deadline.  It ignores
the arrival times and deadlines of single requests, so no schedule can exceed
it, and it may be higher than any schedule can reach.
"""

from collections.abc import Mapping

from anvilshift.core.clock import Millis
from bench.load.traces import Call, Trace


def _engine_time(trace: Trace) -> Millis:
    last = max(call.deadline for call in trace.calls)
    span = last - trace.calls[0].at
    lost = sum(10_000.0 for e in trace.events if e.kind == "down" and e.value)
    return trace.engines * span - lost


def _engine_cost(trace: Trace, call: Call) -> Millis:
    parameters = trace.parameters
    cached = len(call.prefixes) * parameters.block_tokens
    prefill = 5.0 + max(0, call.prompt - cached) * parameters.prefill
    share = parameters.base / (parameters.slots * parameters.full_batch_token_time)
    return (
        call.tokens * parameters.full_batch_token_time / parameters.slots
        + prefill * share
    )


def _fill_capacity(trace: Trace, valued_costs: list[tuple[float, float]]) -> float:
    """Return the greatest total value that fits; items may count in part."""
    left = _engine_time(trace)
    total = 0.0
    for value, cost in sorted(valued_costs, key=lambda item: -item[0] / item[1]):
        fraction = min(1.0, left / cost)
        total += value * fraction
        left -= cost * fraction
        if left <= 0:
            break
    return total


def bound_answers(trace: Trace) -> float:
    """Return an upper bound on the requests answered by their deadlines."""
    calls = [call for call in trace.calls if not call.poison]
    return _fill_capacity(trace, [(1.0, _engine_cost(trace, call)) for call in calls])


def bound_tokens(trace: Trace) -> float:
    """Return an upper bound on the tokens of answers completed in time."""
    calls = [call for call in trace.calls if not call.poison]
    return _fill_capacity(
        trace, [(float(c.tokens), _engine_cost(trace, c)) for c in calls]
    )


def share_fairly(
    asked: Mapping[str, float], weights: Mapping[str, float], total: float
) -> dict[str, float]:
    """Divide a total by weight, capping each share at the amount asked for.

    Examples
    --------
    >>> share_fairly({"a": 10.0, "b": 90.0}, {"a": 1.0, "b": 1.0}, 60.0)
    {'a': 10.0, 'b': 50.0}
    """
    shares: dict[str, float] = {}
    left = total
    unallocated = sorted(asked, key=lambda name: asked[name] / weights[name])
    while unallocated:
        name = unallocated.pop(0)
        weight = weights[name] + sum(weights[other] for other in unallocated)
        shares[name] = min(asked[name], left * weights[name] / weight)
        left -= shares[name]
    return shares
