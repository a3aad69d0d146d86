"""Metrics of a simulation run, as the callers experienced it."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from anvilshift.core.clock import SECOND, Millis
from bench.load.bounds import bound_answers, bound_tokens, share_fairly
from bench.load.runs import Outcome, Result
from bench.load.traces import URGENT

_RECOVERED_SHARE = 0.95
_BUCKET_WIDTH: Millis = 0.5 * SECOND
_DETECTION_TIME: Millis = 3 * SECOND

Metrics = dict[str, float]


def percentile(values: Iterable[float], part: float) -> float:
    """Return a percentile, 0 when there are no values.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def share(outcomes: Iterable[Outcome]) -> float:
    """Return the share of requests answered completely and in time."""
    found = list(outcomes)
    answered = sum(outcome.answered is not None for outcome in found)
    return answered / len(found) if found else 1.0


def jain(values: list[float]) -> float:
    """Return Jain's index of fairness.

    Examples
    --------
    >>> jain([1.0, 1.0]), jain([1.0, 0.0])
    (1.0, 0.5)
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def _measure_fairness(result: Result) -> float:
    """Return Jain's index of each organisation's tokens over its fair share.

    Requests with priority are left out because they are served first.  The fair
    shares divide the tokens of all completed answers by weight, each capped at
    the tokens that the organisation asked for.
    """
    asked: Counter[str] = Counter()
    got: Counter[str] = Counter()
    weights: dict[str, float] = {}
    for outcome in result.outcomes:
        call = outcome.call
        if call.priority:
            continue
        asked[call.organisation] += call.tokens
        weights[call.organisation] = call.weight
        if outcome.answered is not None:
            got[call.organisation] += call.tokens
    fair = share_fairly(asked, weights, float(got.total()))
    return jain([min(2.0, got[n] / fair[n]) for n in fair if fair[n]])


def _measure_recovery(result: Result) -> float:
    """Return the seconds from a disturbance until 95 % are answered in time again."""
    if result.trace.disturbance is None:
        return 0.0
    _, end = result.trace.disturbance
    buckets: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in result.outcomes:
        if not outcome.call.poison:
            buckets[int(outcome.call.at // _BUCKET_WIDTH)].append(outcome)
    bad = [index for index, found in buckets.items() if share(found) < _RECOVERED_SHARE]
    last = max(((index + 1) * _BUCKET_WIDTH for index in bad), default=end)
    return max(0.0, last - end) / SECOND


def _measure_sent_to_faulty(result: Result) -> float:
    """Return the share of attempts sent to faulty targets 3 s after the fault."""
    events = result.trace.events
    faults = {e.target: e.at for e in events if e.kind in ("slow", "failing")}
    if not faults:
        return 0.0
    begin = max(faults.values()) + _DETECTION_TIME
    sent = [target for at, target in result.sent if at >= begin]
    return sum(target in faults for target in sent) / max(1, len(sent))


def _measure_refusal_delay(result: Result) -> float:
    """Return how long requests stayed unrefused once unable to finish (p99, in ms).

    A request can't finish in time when even an idle engine would miss its
    deadline.
    """
    parameters = result.trace.parameters
    delays = []
    for outcome in result.outcomes:
        if outcome.refused is None:
            continue
        call = outcome.call
        fastest = call.tokens * (parameters.base + parameters.slope)
        delays.append(max(0.0, outcome.refused - (call.deadline - fastest)))
    return percentile(delays, 0.99)


def measure(result: Result) -> Metrics:
    """Return the metrics of one run by name."""
    outcomes = result.outcomes
    whole = [outcome for outcome in outcomes if outcome.answered is not None]
    refused = [outcome for outcome in outcomes if outcome.refused is not None]
    good = sum(outcome.call.tokens for outcome in whole)
    wasted = sum(outcome.tokens_generated for outcome in outcomes)
    firsts = [outcome.first - outcome.call.at for outcome in whole]
    by_name: dict[str, list[Outcome]] = defaultdict(list)
    by_class: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if not outcome.call.poison:
            by_name[outcome.call.organisation].append(outcome)
            by_class[outcome.call.request_class].append(outcome)
    urgent = [o for o in outcomes if o.call.organisation in URGENT]
    figures = {
        "in time": share(outcomes),
        "urgent in time": share(urgent),
        "worst organisation": min(share(found) for found in by_name.values()),
        "others in time": share(o for o in outcomes if o.call.organisation != "org7"),
        "refused": len(refused) / len(outcomes),
        "late": 1 - (len(whole) + len(refused)) / len(outcomes),
        "wasted tokens": wasted / max(1.0, good + wasted),
        "of bound, answers": len(whole) / bound_answers(result.trace),
        "of bound, tokens": good / bound_tokens(result.trace),
        "first p50 ms": percentile(firsts, 0.5),
        "first p95 ms": percentile(firsts, 0.95),
        "first p99 ms": percentile(firsts, 0.99),
        "refusal p50 ms": percentile((o.refused - o.call.at for o in refused), 0.5),
        "hopeless p99 ms": _measure_refusal_delay(result),
        "jain": _measure_fairness(result),
        "recovery s": _measure_recovery(result),
        "to faulty after 3 s": _measure_sent_to_faulty(result),
        "engine queue p99": percentile((s[2] for s in result.samples), 0.99),
        "crashes": float(result.crashes),
        "bare refusals": float(sum(not o.retry_after for o in refused)),
    }
    for name, found in sorted(by_class.items()):
        figures[f"class {name}"] = share(found)
    for name, found in sorted(by_name.items()):
        figures[f"organisation {name}"] = share(found)
    return figures
