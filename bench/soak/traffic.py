"""The callers of a run: who asks and orders, and what each must get."""

import asyncio
import random
from typing import TYPE_CHECKING, Any

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.clock import SECOND, Millis
from anvilshift.router.requests import digest_call, digest_chat
from anvilshift.standins.engine import POISON, make_answer
from anvilshift.wire.messages import Address
from bench.soak.changes import make_prefix
from bench.soak.course import Event, Tape
from bench.soak.http import SoakHttp
from bench.soak.journal import Receipt
from bench.soak.observed import Asked

if TYPE_CHECKING:
    from bench.soak.run import Soak

ASK, ORDER = "ask", "order"
ORGANISATIONS = ("kosice", "zilina", "counter")
ORDER_COST = 5
REQUEST_GAP_S = 0.25
ORDER_GAP_S = 1.5
_POISON_TOKENS = 20
POISON_SHARE = 0.03
_DEADLINE: Millis = 8 * SECOND
_LATE_LIMIT: Millis = 2 * SECOND
"""A frozen router tells nobody anything; its callers give up by themselves."""


class Traffic:
    """The callers of one run."""

    def __init__(self, soak: "Soak") -> None:
        self._soak = soak
        self._callers: set[asyncio.Task[None]] = set()

    def begin(self) -> None:
        """Let every organisation ask and order until the run is quiet."""
        for name in ORGANISATIONS:
            self.spawn(self._keep_asking(name))
            self.spawn(self._keep_ordering(name))

    def _client(self, organisation: str) -> Client:
        seeds = [Address.parse(address) for address in self._soak.entries]
        http: Any = SoakHttp(
            self._soak.entries,
            self._soak.network,
            self._soak.journal,
            lambda: self._soak.accepted,
        )
        rng = random.Random(self._soak.rng.getrandbits(64))
        return Client(seeds, f"{organisation}-token", self._soak.clock, rng, http)

    async def _ask(
        self, organisation: str, poison: bool, prefix: int = -1, name: str = ""
    ) -> None:
        """Be one caller of a model.

        Parameters
        ----------
        prefix
            Number of the prefix that the prompt begins with; -1 for none.
        name
            Tells one poison from another.
        """
        began = self._soak.clock.now()
        await self._ask_once(organisation, poison, prefix, name)
        took = self._soak.clock.now() - began
        detail = f"answered after {took:.0f} ms"
        in_time = took <= _DEADLINE + _LATE_LIMIT
        self._soak.journal.check("answered by the deadline", in_time, detail)

    async def _ask_once(
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
        asked = Asked(organisation, prompt, cost)
        identity = self._soak.ask(key, digest_chat(body), asked)
        conversation = Conversation("advice", messages, tokens, _DEADLINE, key)
        try:
            text = await self._client(organisation).ask(conversation)
        except CallError as error:
            outcome = f"model, code {error.number}, {error.fate}"
            self._soak.journal.received(Receipt(identity, organisation, outcome))
            return
        right = text == make_answer(prompt, tokens)
        self._soak.journal.check("whole answer to the right caller", right, prompt)
        receipt = Receipt(identity, organisation, "model, whole")
        self._soak.journal.received(receipt)

    async def _order(self, organisation: str) -> None:
        """Be one caller who orders, now and then twice with one key."""
        number = next(self._soak.numbers)
        key = f"order-{number}"
        order = f"{organisation}|order {number}"
        content = digest_call("orders", "POST", "book", order.encode())
        asked = Asked(organisation, order, ORDER_COST)
        identity = self._soak.ask(key, content, asked)
        twice = self._soak.rng.random() < 0.3
        sends = [self._send_order(organisation, key, order) for _ in range(1 + twice)]
        outcomes = await asyncio.gather(*sends)
        runs = self._soak.journal.service_runs[order]
        for outcome in outcomes:
            if outcome == "answered":
                self._soak.journal.check("answered order ran", runs == 1, order)
            if outcome.endswith("not run"):
                told = f"{order} ran {runs} times, {outcome}"
                self._soak.journal.check(
                    "not run means not run", runs == 0 or twice, told
                )
            receipt = Receipt(identity, organisation, f"order, {outcome}")
            self._soak.journal.received(receipt)

    async def _send_order(self, organisation: str, key: str, order: str) -> str:
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
        """Do something in the background; what it raises ends the run."""
        task = asyncio.create_task(work)
        self._callers.add(task)
        task.add_done_callback(self._finish_caller)

    def _finish_caller(self, task: "asyncio.Task[None]") -> None:
        self._callers.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._soak.fail(task.exception())

    async def _keep_asking(self, organisation: str) -> None:
        while not self._soak.quiet:
            await asyncio.sleep(self._soak.rng.expovariate(1 / REQUEST_GAP_S))
            poisonous = organisation == ORGANISATIONS[0]
            poison = poisonous and self._soak.rng.random() < POISON_SHARE
            self._note(ASK, organisation, poison)

    async def _keep_ordering(self, organisation: str) -> None:
        while not self._soak.quiet:
            await asyncio.sleep(self._soak.rng.expovariate(1 / ORDER_GAP_S))
            self._note(ORDER, organisation)

    def _note(self, kind: str, *arguments: Any) -> None:
        event = Event(self._soak.clock.now(), kind, list(arguments))
        self.arrive(event, self._soak.course.note(event))

    def arrive(self, event: Event, tape: Tape) -> None:
        """Let one caller begin."""
        work = self._ask if event.kind == ASK else self._order
        self.spawn(tape.run(work(*event.arguments)))
