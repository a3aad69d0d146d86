"""Readiness checks of the platform and address lookups of the callers."""

from collections.abc import Callable

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import UNKNOWN_ROUTE, AnvilshiftError
from anvilshift.gateway.directory import Endpoints
from anvilshift.platform import names
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, HttpRequest, Reply
from anvilshift.wire.responder import Responder

_MAX_ADDRESSES = 64
"""Most addresses that callers read from one answer."""


_METRICS_PATH = "/metrics"
_METRICS_TYPE = ("content-type", "text/plain; version=0.0.4")


class DiscoveryHandler:
    """Serve readiness checks, address lookups and metrics.

    Parameters
    ----------
    is_ready
        Whether this process accepts requests.
    list_endpoints
        Addresses that serve a failure domain, and how long callers may cache them.
    list_gauges
        Present values by metric, for monitoring.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        list_endpoints: Callable[[str], Endpoints],
        list_gauges: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self._is_ready = is_ready
        self._list_endpoints = list_endpoints
        self._list_gauges = list_gauges

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a readiness check or an address lookup; refuse any other path."""
        if request.path == names.READY_PATH:
            await responder.send(Reply(200 if self._is_ready() else 503))
        elif request.path == names.RESOLVE_PATH:
            domain = request.query.get(names.DOMAIN_PARAMETER, "")
            await responder.send(self._resolve(domain))
        elif request.path == _METRICS_PATH:
            await responder.send(self._write_metrics())
        else:
            raise AnvilshiftError(UNKNOWN_ROUTE)

    def _write_metrics(self) -> Reply:
        """Return the gauges in Prometheus's text format."""
        lines, described = [], set()
        for name, value in self._list_gauges().items():
            metric = name.partition("{")[0]
            if metric not in described:
                described.add(metric)
                lines.append(f"# TYPE {metric} gauge\n")
            lines.append(f"{name} {value:.0f}\n")
        return Reply(200, [_METRICS_TYPE], "".join(lines).encode())

    def _resolve(self, domain: str) -> Reply:
        endpoints = self._list_endpoints(domain)
        if not endpoints.addresses:
            return Reply(503)
        body = {
            "addresses": list(endpoints.addresses[:_MAX_ADDRESSES]),
            "ttlS": endpoints.keep / SECOND,
        }
        return Reply(200, [JSON_TYPE], dump_json(body))
