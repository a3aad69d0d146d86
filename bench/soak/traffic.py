"""The callers of a run: their model requests and orders, and checks of outcomes."""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.clock import SECOND, Millis
from anvilshift.router.requests import digest_chat_request, digest_service_call
from anvilshift.standins.engine import POISON, make_answer
from anvilshift.wire.messages import Address
from bench.soak.changes import make_prefix
from bench.soak.course import DrawRecord, Event
from bench.soak.http import SoakHttp
from bench.soak.journal import Receipt
from bench.soak.observed import CallerRequest

if TYPE_CHECKING:
    from bench.soak.run import Soak

ASK, ORDER = "ask", "order"
ORGANISATIONS = ("kosice", "zilina", "counter")
ORDER_COST = 5
REQUEST_GAP_S = 0.25
ORDER_GAP_S = 1.5
_POISON_TOKENS = 20
_POISON_RATIO = 0.03
_DEADLINE: Millis = 8 * SECOND
_DEADLINE_MARGIN: Millis = 2 * SECOND
"""Margin for callers of a frozen router, which give up by their own timeout."""

EndRequest = Callable[[str, Millis, Millis, str], None]
"""Called with a prompt, when its caller began, its deadline, and its error's fate."""


class Traffic:
    """Generate the callers of one run and check what each receives."""

    def __init__(self, soak: "Soak") -> None:
        self._soak = soak
        self._callers: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start random requests and orders of every organisation until arrivals end."""
        for name in ORGANISATIONS:
            self.spawn(self._generate_requests(name))
            self.spawn(self._generate_orders(name))

    def _client(self, organisation: str) -> Client:
        seeds = [Address.parse(address) for address in self._soak.entries]
        http: Any = SoakHttp(
            self._soak.entries,
            self._soak.network,
            self._soak.journal,
            lambda: self._soak.accepted,
            self._soak.repeats.count_request,
            self._soak.end_exchange,
        )
        rng = random.Random(self._soak.rng.getrandbits(64))
        return Client(seeds, f"{organisation}-token", self._soak.clock, rng, http)

    async def _send_request(
        self, organisation: str, poison: bool, prefix: int = -1, name: str = ""
    ) -> None:
        """Send one model request and check that its answer is in time.

        Parameters
        ----------
        prefix
            Number of the shared prefix of the prompt; -1 for none.
        name
            Suffix that distinguishes one poison from another.
        """
        started = self._soak.clock.now()
        await self._send_checked(organisation, poison, prefix, name)
        elapsed = self._soak.clock.now() - started
        detail = f"answered after {elapsed:.0f} ms"
        in_time = elapsed <= _DEADLINE + _DEADLINE_MARGIN
        self._soak.journal.check("answered by the deadline", in_time, detail)

    async def _send_checked(
        self, organisation: str, poison: bool, prefix: int, name: str
    ) -> None:
        number = next(self._soak.numbers)
        tokens = _POISON_TOKENS if poison else self._soak.rng.randrange(5, 60)
        content = f"{POISON}{name}" if poison else f"question {number}"
        prompt = f"{organisation}|{content}"
        key = f"key-{number}"
        messages = [{"role": "user", "content": prompt}]
        if prefix >= 0:
            shared = make_prefix(prefix)
            messages.insert(0, {"role": "system", "content": shared})
            prompt = f"{shared}\n{prompt}"
        cost = len(prompt) // 4 + 1 + tokens
        body = {"model": "advice", "messages": messages, "max_tokens": tokens}
        request = CallerRequest(organisation, prompt, cost)
        identity = self._soak.register_request(key, digest_chat_request(body), request)
        conversation = Conversation("advice", messages, tokens, _DEADLINE, key)
        began = self._soak.clock.now()
        try:
            text = await self._client(organisation).ask(conversation)
        except CallError as error:
            self._soak.end_request(prompt, began, began + _DEADLINE, error.fate)
            outcome = f"model, code {error.number}, {error.fate}"
            self._soak.journal.record_receipt(Receipt(identity, organisation, outcome))
            return
        self._soak.end_request(prompt, began, began + _DEADLINE, "")
        correct = text == make_answer(prompt, tokens)
        self._soak.journal.check("whole answer to the right caller", correct, prompt)
        receipt = Receipt(identity, organisation, "model, whole")
        self._soak.journal.record_receipt(receipt)

    async def _send_orders(self, organisation: str) -> None:
        """Send one order, in 30% of cases twice with the same key."""
        number = next(self._soak.numbers)
        key = f"order-{number}"
        order = f"{organisation}|order {number}"
        content = digest_service_call("orders", "POST", "book", order.encode())
        request = CallerRequest(organisation, order, ORDER_COST)
        identity = self._soak.register_request(key, content, request)
        twice = self._soak.rng.random() < 0.3
        sends = [self._call_service(organisation, key, order) for _ in range(1 + twice)]
        outcomes = await asyncio.gather(*sends)
        runs = self._soak.journal.service_runs[order]
        for outcome in outcomes:
            if outcome == "answered":
                self._soak.journal.check("answered order ran", runs == 1, order)
            if outcome.endswith("not run"):
                detail = f"{order} ran {runs} times, {outcome}"
                self._soak.journal.check(
                    "not run means not run", runs == 0 or twice, detail
                )
            receipt = Receipt(identity, organisation, f"order, {outcome}")
            self._soak.journal.record_receipt(receipt)

    async def _call_service(self, organisation: str, key: str, order: str) -> str:
        try:
            await self._client(organisation).call(
                "orders",
                "/book",
                order.encode(),
                key=key,
                non_idempotent=True,
                deadline=_DEADLINE,
            )
        except CallError as error:
            return f"code {error.number}, {error.fate}"
        return "answered"

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background; an exception in it ends the run."""
        task = asyncio.create_task(work)
        self._callers.add(task)
        task.add_done_callback(self._finish_caller)

    def _finish_caller(self, task: "asyncio.Task[None]") -> None:
        self._callers.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._soak.fail(task.exception())

    async def _generate_requests(self, organisation: str) -> None:
        while not self._soak.arrivals_ended:
            await asyncio.sleep(self._soak.rng.expovariate(1 / REQUEST_GAP_S))
            sends_poison = organisation == ORGANISATIONS[0]
            poison = sends_poison and self._soak.rng.random() < _POISON_RATIO
            self._record(ASK, organisation, poison)

    async def _generate_orders(self, organisation: str) -> None:
        while not self._soak.arrivals_ended:
            await asyncio.sleep(self._soak.rng.expovariate(1 / ORDER_GAP_S))
            self._record(ORDER, organisation)

    def _record(self, kind: str, *arguments: Any) -> None:
        event = Event(self._soak.clock.now(), kind, list(arguments))
        self.start_caller(event, self._soak.course.record(event))

    def start_caller(self, event: Event, record: DrawRecord) -> None:
        """Start the caller of an arrival event."""
        work = self._send_request if event.kind == ASK else self._send_orders
        self.spawn(record.run(work(*event.arguments)))
