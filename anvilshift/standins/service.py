"""Stand-in for a plain service that counts the requests that it runs."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from anvilshift.core.clock import SECOND
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer


@dataclass
class ServiceFaults:
    """Faults that are currently injected.

    Parameters
    ----------
    delay_ms
        Delay in milliseconds before each request runs.
    hold_ms
        Delay in milliseconds between running a request and answering it.
    lose_answers
        Run each request, then close its connection without an answer.
    """

    delay_ms: float = 0.0
    hold_ms: float = 0.0
    lose_answers: bool = False


class ServiceStandin:
    """Answer any request; count runs by method, path and body."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self.ran: Counter[str] = Counter()
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> Address:
        """Start listening and return the bound address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._server.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/control/faults":
            for key, value in parse_object(request.body).items():
                setattr(self.faults, key, value)
            await responder.send(Reply(200, [JSON_TYPE], b"{}"))
            return
        if request.path == "/audit":
            body = dump_json({"ran": dict(self.ran)})
            await responder.send(Reply(200, [JSON_TYPE], body))
            return
        await asyncio.sleep(self.faults.delay_ms / SECOND)
        executed_request = f"{request.method} {request.path} {request.body.decode()}"
        self.ran[executed_request] += 1
        await asyncio.sleep(self.faults.hold_ms / SECOND)
        if self.faults.lose_answers:
            responder.abort()
            return
        if request.path == "/echo":
            await responder.send(Reply(200, [JSON_TYPE], request.body))
            return
        total = sum(self.ran.values())
        body = dump_json({"accepted": total, "path": request.path})
        await responder.send(Reply(201, [JSON_TYPE], body))
