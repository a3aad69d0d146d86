"""The calls by which the platform and the callers ask about this process."""

from collections.abc import Callable

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import UNKNOWN_ROUTE, AnvilshiftError
from anvilshift.gateway.node import Endpoints
from anvilshift.platform import names
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, HttpRequest, Reply
from anvilshift.wire.server import Responder

_MOST_ADDRESSES = 64
"""Addresses that callers read of one answer."""


class EndpointPort:
    """Answer whether this process is ready, and where to connect."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        list_endpoints: Callable[[str], Endpoints],
    ) -> None:
        self._is_ready = is_ready
        self._list_endpoints = list_endpoints

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a call."""
        if request.path == names.READY_PATH:
            await responder.send(Reply(200 if self._is_ready() else 503))
        elif request.path == names.RESOLVE_PATH:
            domain = request.query.get(names.ASKED_DOMAIN, "")
            await responder.send(self._resolve(domain))
        else:
            raise AnvilshiftError(UNKNOWN_ROUTE)

    def _resolve(self, domain: str) -> Reply:
        found = self._list_endpoints(domain)
        if not found.addresses:
            return Reply(503)
        body = {
            "addresses": list(found.addresses[:_MOST_ADDRESSES]),
            "ttlS": found.keep / SECOND,
        }
        return Reply(200, [JSON_TYPE], dump_json(body))
