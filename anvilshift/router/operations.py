"""The HTTP endpoints for operators: health, metrics, status and drain."""

from collections.abc import Callable
from typing import Any

from anvilshift.core.errors import FORBIDDEN, UNKNOWN_ROUTE, AnvilshiftError
from anvilshift.router.accesscontrol import check_token
from anvilshift.router.telemetry import Telemetry
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, HttpRequest, Reply
from anvilshift.wire.responder import Responder

_TEXT_TYPE = ("content-type", "text/plain; version=0.0.4")


class OperatorApi:
    """Answer requests from operators and their monitoring.

    Parameters
    ----------
    credential
        SHA-256 hash of the operators' token.  If it is empty, `/status` and `/drain`
        are refused.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        credential: str,
        ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
    ) -> None:
        self._telemetry = telemetry
        self._credential = credential
        self._ready = ready
        self._status = status
        self._drain = drain

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        await responder.send(self._answer(request))

    def _answer(self, request: HttpRequest) -> Reply:
        if request.path == "/healthz":
            return Reply(200, [_TEXT_TYPE], b"alive\n")
        if request.path == "/readyz":
            ready = self._ready()
            return Reply(
                200 if ready else 503,
                [_TEXT_TYPE],
                b"ready\n" if ready else b"not ready\n",
            )
        if request.path == "/metrics":
            return Reply(200, [_TEXT_TYPE], self._telemetry.render())
        if not check_token(request, self._credential):
            raise AnvilshiftError(FORBIDDEN)
        if request.path == "/status":
            return Reply(200, [JSON_TYPE], dump_json(self._status()))
        if request.path == "/drain" and request.method == "POST":
            self._drain()
            return Reply(202, [JSON_TYPE], dump_json({"draining": True}))
        raise AnvilshiftError(UNKNOWN_ROUTE, "unknown path")
