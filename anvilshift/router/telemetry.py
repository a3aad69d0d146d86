"""Metrics of one router: OpenTelemetry instruments in Prometheus's text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from anvilshift.core.clock import Millis
from anvilshift.core.errors import Code

_WAIT_BUCKETS_MS = (
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    920,
    2_000,
    5_000,
    10_000,
    30_000,
)
"""Bucket bounds; 920 ms is the users' limit for the time to the first token."""
_GAP_BUCKETS_MS = (1, 2, 5, 10, 20, 56, 100, 200, 500, 1_000, 5_000)
"""Bucket bounds; 56 ms is the users' limit for the time between two tokens."""
_WAIT_NAMES = (
    "anvilshift_queue_wait",
    "anvilshift_first_token_wait",
    "anvilshift_whole_answer_wait",
    "anvilshift_bill_wait",
)
_GAP_NAMES = ("anvilshift_between_tokens", "anvilshift_longest_gap")


def _make_views(names: tuple[str, ...], bounds: tuple[int, ...]) -> list[View]:
    """Return the views that set the bucket bounds of histograms."""
    aggregation = ExplicitBucketHistogramAggregation(bounds)
    return [View(instrument_name=name, aggregation=aggregation) for name in names]


class Telemetry:
    """Histograms by organisation and request class, counters and a gauge.

    Parameters
    ----------
    exported
        Whether `render` includes these metrics. At most one instance per process
        may be exported.
    """

    def __init__(self, exported: bool = True) -> None:
        views = [*_make_views(_GAP_NAMES, _GAP_BUCKETS_MS)]
        views += _make_views(_WAIT_NAMES, _WAIT_BUCKETS_MS)
        readers = [PrometheusMetricReader()] if exported else []
        provider = MeterProvider(metric_readers=readers, views=views)
        meter = provider.get_meter("anvilshift")
        make_histogram = meter.create_histogram
        self._queue, self._first, self._whole, self._bill = (
            make_histogram(name, "ms") for name in _WAIT_NAMES
        )
        self._gap, self._longest_gap = (
            make_histogram(name, "ms") for name in _GAP_NAMES
        )
        self._answers = meter.create_counter("anvilshift_answers")
        self._events = meter.create_counter("anvilshift_events")
        self._permits = meter.create_counter("anvilshift_permits")
        self._limits = meter.create_gauge("anvilshift_target_limit")

    def record_queue(self, organisation: str, kind: str, span: Millis) -> None:
        """Record the time from a request's arrival until it was sent to a target."""
        self._queue.record(span, {"organisation": organisation, "class": kind})

    def record_first(self, organisation: str, kind: str, span: Millis) -> None:
        """Record the time from a request's arrival to its first token."""
        self._first.record(span, {"organisation": organisation, "class": kind})

    def record_gaps(
        self, organisation: str, kind: str, mean: Millis, longest: Millis
    ) -> None:
        """Record the mean and the longest time between two tokens of an answer."""
        labels = {"organisation": organisation, "class": kind}
        self._gap.record(mean, labels)
        self._longest_gap.record(longest, labels)

    def record_whole(self, organisation: str, kind: str, span: Millis) -> None:
        """Record the time from a request's arrival to the end of its answer."""
        self._whole.record(span, {"organisation": organisation, "class": kind})

    def record_bill(self, organisation: str, kind: str, span: Millis) -> None:
        """Record how long the end of an answer waited for its bill to be recorded."""
        self._bill.record(span, {"organisation": organisation, "class": kind})

    def count_answer(self, organisation: str, kind: str, code: Code | None) -> None:
        """Count an answer by its error code; None means that it is complete."""
        number = code.number if code else 0
        self._answers.add(
            1, {"organisation": organisation, "class": kind, "code": number}
        )

    def count_event(self, event: str) -> None:
        """Count an event that operators monitor."""
        self._events.add(1, {"event": event})

    def count_permit(self, target: str, outcome: str) -> None:
        """Count a permit that was issued, or a permit request that got none."""
        self._permits.add(1, {"target": target, "outcome": outcome})

    def record_limit(self, target: str, rate: float) -> None:
        """Set the rate limit named by a target, in requests per second; 0 for none."""
        self._limits.set(rate, {"target": target})

    def render(self) -> bytes:
        """Return all exported metrics in Prometheus's text format."""
        return generate_latest(REGISTRY)
