"""Send streaming requests to one or more addresses and print the results as JSON.

`bench.overhead` starts several such processes so that the load generator is
faster than the router that it measures.
"""

import asyncio
import itertools
import json
import math
import sys
import time
from dataclasses import asdict, dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.client import HttpClient
from anvilshift.wire.events import EventReader
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address
from anvilshift.wire.response import ExchangeError


@dataclass(frozen=True)
class Plan:
    """The load that one process of callers generates.

    Parameters
    ----------
    streams
        Number of concurrent requests (closed loop); 0 for an open loop.
    rate
        Requests per second of an open loop.
    seconds
        Duration in which new requests are started.
    """

    addresses: tuple[str, ...]
    token: str = "bench-token"
    model: str = "fast"
    prompt: str = "a prompt"
    max_tokens: int = 8
    streams: int = 0
    rate: float = 0.0
    seconds: float = 4.0


@dataclass
class Received:
    """Results of the callers; `first` holds times to first token in milliseconds."""

    requests: int = 0
    failed: int = 0
    tokens: int = 0
    first: list[Millis] = field(default_factory=list)
    seconds: float = 0.0


def pick_percentile(values: list[float], share: float) -> float:
    """Return the smallest value that a given share of the values do not exceed.

    Examples
    --------
    >>> pick_percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class Callers:
    """The callers of one process, which share an HTTP client."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.received = Received()
        self._http = HttpClient()
        self._addresses = itertools.cycle([Address.parse(a) for a in plan.addresses])
        body = {
            "model": plan.model,
            "messages": [{"role": "user", "content": plan.prompt}],
            "max_tokens": plan.max_tokens,
            "stream": True,
        }
        self._body = dump_json(body)
        self._headers = [JSON_TYPE, ("authorization", f"Bearer {plan.token}")]

    async def ask(self) -> None:
        """Send one request, read its whole stream and count the result."""
        began = time.monotonic()
        try:
            await self._read(began)
        except ExchangeError:
            self.received.failed += 1

    async def _read(self, began: float) -> None:
        received = self.received
        reader = EventReader()
        ended = False
        first = True
        async with self._http.exchange(
            next(self._addresses),
            "POST",
            "/v1/chat/completions",
            self._headers,
            self._body,
            30 * SECOND,
        ) as response:
            async for chunk in response.chunks():
                if first and response.status == 200:
                    received.first.append((time.monotonic() - began) * SECOND)
                    first = False
                for event in reader.feed(chunk):
                    if event.data == "[DONE]":
                        ended = True
                        continue
                    value = json.loads(event.data)
                    usage = value.get("usage")
                    if usage:
                        received.tokens += usage["completion_tokens"]
        received.requests += ended
        received.failed += not ended

    async def _repeat(self, until: float) -> None:
        while time.monotonic() < until:
            await self.ask()

    async def run(self) -> Received:
        """Generate the planned load and return the results."""
        began = time.monotonic()
        until = began + self.plan.seconds
        if self.plan.streams:
            tasks = [self._repeat(until) for _ in range(self.plan.streams)]
            await asyncio.gather(*tasks)
        else:
            await self._run_open_loop(began, until)
        self.received.seconds = time.monotonic() - began
        self._http.close()
        return self.received

    async def _run_open_loop(self, began: float, until: float) -> None:
        tasks = []
        for number in itertools.count():
            due = began + number / self.plan.rate
            if due >= until:
                break
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self.ask()))
        await asyncio.gather(*tasks)


if __name__ == "__main__":
    print(
        json.dumps(asdict(asyncio.run(Callers(Plan(**json.loads(sys.argv[1]))).run())))
    )
