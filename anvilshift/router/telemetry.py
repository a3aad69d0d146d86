"""Metrics of one router, kept by OpenTelemetry and read in Prometheus's format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from anvilshift.core.clock import Millis
from anvilshift.core.errors import Code

_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 920, 2_000, 5_000, 10_000, 30_000)
"""Bounds of the histograms; 920 ms is the users' bound for the first token."""
_GAP_BUCKETS_MS = (1, 2, 5, 10, 20, 56, 100, 200, 500, 1_000, 5_000)
"""56 ms is the users' bound between two tokens."""
_WAIT_NAMES = (
    "anvilshift_queue_wait",
    "anvilshift_first_token_wait",
    "anvilshift_whole_answer_wait",
    "anvilshift_bill_wait",
)
_GAP_NAMES = ("anvilshift_between_tokens", "anvilshift_longest_gap")


def _make_views(names: tuple[str, ...], bounds: tuple[int, ...]) -> list[View]:
    """Return what gives each histogram its bounds."""
    aggregation = ExplicitBucketHistogramAggregation(bounds)
    return [View(instrument_name=name, aggregation=aggregation) for name in names]


class Telemetry:
    """Histograms by organisation and class, and counters.

    Parameters
    ----------
    exported
        Whether `render` shows them; one instance a process may be.
    """

    def __init__(self, exported: bool = True) -> None:
        views = [*_make_views(_GAP_NAMES, _GAP_BUCKETS_MS)]
        views += _make_views(_WAIT_NAMES, _BUCKETS_MS)
        readers = [PrometheusMetricReader()] if exported else []
        provider = MeterProvider(metric_readers=readers, views=views)
        meter = provider.get_meter("anvilshift")
        make = meter.create_histogram
        self._queue, self._first, self._whole, self._bill = (
            make(name, "ms") for name in _WAIT_NAMES
        )
        self._gap, self._longest_gap = (make(name, "ms") for name in _GAP_NAMES)
        self._answers = meter.create_counter("anvilshift_answers")
        self._events = meter.create_counter("anvilshift_events")
        self._permits = meter.create_counter("anvilshift_permits")
        self._limits = meter.create_gauge("anvilshift_target_limit")

    def record_queue(self, organisation: str, kind: str, span: Millis) -> None:
        """Count the time from arrival until the work was sent."""
        self._queue.record(span, {"organisation": organisation, "class": kind})

    def record_first(self, organisation: str, kind: str, span: Millis) -> None:
        """Count the time from arrival to the first token."""
        self._first.record(span, {"organisation": organisation, "class": kind})

    def record_gaps(
        self, organisation: str, kind: str, mean: Millis, longest: Millis
    ) -> None:
        """Count an answer's mean and longest time between two tokens."""
        labels = {"organisation": organisation, "class": kind}
        self._gap.record(mean, labels)
        self._longest_gap.record(longest, labels)

    def record_whole(self, organisation: str, kind: str, span: Millis) -> None:
        """Count the time from arrival to the end of the answer."""
        self._whole.record(span, {"organisation": organisation, "class": kind})

    def record_bill(self, organisation: str, kind: str, span: Millis) -> None:
        """Count the time that an answer's end waited for its bill."""
        self._bill.record(span, {"organisation": organisation, "class": kind})

    def count_answer(self, organisation: str, kind: str, code: Code | None) -> None:
        """Count an answer by its code; None is a whole one."""
        number = code.number if code else 0
        self._answers.add(
            1, {"organisation": organisation, "class": kind, "code": number}
        )

    def count_event(self, event: str) -> None:
        """Count something that operators watch for."""
        self._events.add(1, {"event": event})

    def count_permit(self, target: str, outcome: str) -> None:
        """Count a permit that was issued, or a question that brought none."""
        self._permits.add(1, {"target": target, "outcome": outcome})

    def record_limit(self, target: str, rate: float) -> None:
        """Take in the requests a second that a target names; 0 for no limit."""
        self._limits.set(rate, {"target": target})

    def render(self) -> bytes:
        """Return every metric in Prometheus's text format."""
        return generate_latest(REGISTRY)
