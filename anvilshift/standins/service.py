"""Stand in for a plain service that takes orders and keeps count of them."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from anvilshift.core.clock import SECOND
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.server import HttpServer, Responder


@dataclass
class ServiceFaults:
    """What goes wrong now.

    Parameters
    ----------
    delay_ms
        Wait before each call runs.
    hold_ms
        Wait between a call's run and its answer.
    lose_answers
        Run each call and cut the connection instead of answering.
    """

    delay_ms: float = 0.0
    hold_ms: float = 0.0
    lose_answers: bool = False


class ServiceStandin:
    """Answer any call and count how often each body has run."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self.ran: Counter[str] = Counter()
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> Address:
        """Listen, and return the address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Cut every connection."""
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
        work = f"{request.method} {request.path} {request.body.decode()}"
        self.ran[work] += 1
        await asyncio.sleep(self.faults.hold_ms / SECOND)
        if self.faults.lose_answers:
            responder.abort()
            return
        if request.path == "/echo":
            await responder.send(Reply(200, [JSON_TYPE], request.body))
            return
        number = sum(self.ran.values())
        body = dump_json({"accepted": number, "path": request.path})
        await responder.send(Reply(201, [JSON_TYPE], body))
