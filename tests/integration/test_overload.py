"""Load on real processes, judged by what callers receive."""

import asyncio
import json
import time
import unittest
from collections import Counter
from dataclasses import dataclass, replace

from anvilshift.standins.engine import make_answer
from anvilshift.wire.client import HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE
from anvilshift.wire.response import ExchangeError
from bench.fleet import LocalFleet, wait_until
from tests.integration.evidence import has_failed, keep_evidence

ENOUGH = 5_000_000
DECODE_MS = 4
TOKENS = 25
"""An answer takes about 100 ms alone, so 24 slots give some 240 a second."""


@dataclass(frozen=True)
class Outcome:
    """What one caller received, and after how many seconds."""

    status: int
    whole: bool
    took: float
    retry_after: str | None = None
    prompt: str = ""
    router: str = ""
    began: float = 0.0
    detail: str = ""


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LocalFleet(engine_options=(f"--decode_ms={DECODE_MS}",))
        self.addCleanup(self.fleet.stop)
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        self.turn = 0
        self.outcomes: list[Outcome] = []
        await self.fleet.start()
        await self.fleet.apply()
        for budget in ("kosice", "zilina", "order-desk"):
            await self.fleet.top_up(budget, ENOUGH, f"{budget}-1")
        await asyncio.gather(
            *(self.ask(name, "quote", "warm", 1, 5.0) for name in ("counter",) * 12)
        )

    async def asyncTearDown(self):
        if has_failed(self):
            keep_evidence(self, self.fleet.read_logs(), self.outcomes)

    async def ask(
        self, organisation: str, model: str, prompt: str, tokens: int, deadline: float
    ) -> Outcome:
        self.turn += 1
        names = self.fleet.router_names
        router = names[self.turn % len(names)]
        began = time.monotonic()
        outcome = await self._ask(router, organisation, model, prompt, tokens, deadline)
        self.outcomes.append(
            replace(outcome, prompt=prompt, router=router, began=began)
        )
        return outcome

    async def _ask(
        self,
        router: str,
        organisation: str,
        model: str,
        prompt: str,
        tokens: int,
        deadline: float,
    ) -> Outcome:
        address = self.fleet.addresses[router]
        headers = [
            JSON_TYPE,
            ("authorization", f"Bearer {organisation}-token"),
            ("anvilshift-deadline-ms", str(deadline * 1000)),
        ]
        message = {"role": "user", "content": prompt}
        body = {"model": model, "messages": [message], "max_tokens": tokens}
        began = time.monotonic()
        try:
            answer = await self.http.call(
                address,
                "POST",
                "/v1/chat/completions",
                headers,
                dump_json(body),
                timeout=(deadline + 5) * 1000,
            )
        except ExchangeError:
            return Outcome(0, False, time.monotonic() - began)
        took = time.monotonic() - began
        if answer.status != 200:
            retry_after = answer.headers.get("retry-after")
            detail = answer.body.decode(errors="replace")
            return Outcome(answer.status, False, took, retry_after, detail=detail)
        text = json.loads(answer.body)["choices"][0]["message"]["content"]
        return Outcome(200, text == make_answer(prompt, tokens), took)

    async def test_burst_at_opening_is_answered_in_time(self):
        """Every pound opens at once and asks within the same instant.

        The burst is worth under a second of the engines' time, so everyone
        must have a whole answer well before the deadline.
        """
        asks = [
            self.ask("kosice", "tank-advisor", f"tank {i}", TOKENS, 8.0)
            for i in range(150)
        ]
        outcomes = await asyncio.gather(*asks)
        self.assertEqual(sum(outcome.whole for outcome in outcomes), 150)
        self.assertLess(max(outcome.took for outcome in outcomes), 8.0)

    async def test_hot_caller_leaves_others_their_share(self):
        """One franchisee's script sends hundreds of requests at once.

        Clerks of another organisation ask at their usual pace meanwhile; none
        of them may be refused or late because of the script.
        """
        flood = [
            asyncio.create_task(
                self.ask("zilina", "tank-advisor", f"flood {i}", TOKENS, 6.0)
            )
            for i in range(500)
        ]
        clerks = []
        for i in range(20):
            clerks.append(await self.ask("counter", "quote", f"clerk {i}", TOKENS, 3.0))
        await asyncio.gather(*flood)
        self.assertEqual(sum(outcome.whole for outcome in clerks), 20)

    async def test_slow_target_loses_its_share(self):
        """One engine becomes twenty times slower without failing anything.

        Callers whose work lands there are late, so new work must soon go
        elsewhere.
        """
        address = self.fleet.addresses["advisor-1"]
        await self.fleet.set_faults(address, slow=20.0)
        for i in range(40):
            await asyncio.gather(
                *(
                    self.ask("counter", "quote", f"warm {i} {j}", 5, 10.0)
                    for j in range(6)
                )
            )
        before = await self.count_runs()
        outcomes = await asyncio.gather(
            *(self.ask("counter", "quote", f"after {i}", 5, 10.0) for i in range(60))
        )
        gained = await self.count_runs() - before
        self.assertTrue(all(outcome.whole for outcome in outcomes))
        self.assertLess(gained["advisor-1"], 0.2 * sum(gained.values()))

    async def count_runs(self) -> Counter[str]:
        names = ("advisor-1", "advisor-2", "advisor-3")
        return Counter(
            {name: len((await self.fleet.audit(name))["runs"]) for name in names}
        )

    async def test_short_work_is_served_among_long(self):
        """A few callers ask for very long answers just before the desk opens.

        Short questions that come meanwhile must not wait for them.
        """
        long_ones = [
            asyncio.create_task(
                self.ask("kosice", "tank-advisor", f"report {i}", 600, 15.0)
            )
            for i in range(20)
        ]
        await wait_until(lambda: self.are_running(10))
        short = await asyncio.gather(
            *(self.ask("counter", "quote", f"short {i}", 5, 4.0) for i in range(40))
        )
        self.assertEqual(sum(outcome.whole for outcome in short), 40)
        done = await asyncio.gather(*long_ones)
        self.assertEqual(sum(outcome.whole for outcome in done), 20)

    async def are_running(self, number: int) -> bool:
        statuses = [await self.fleet.status(n) for n in self.fleet.router_names]
        return sum(status["in_flight"] for status in statuses) >= number

    async def test_overload_answers_what_it_can_and_refuses_the_rest_at_once(self):
        """Three times more work arrives than the engines can do in its time.

        What is accepted comes whole and in time; the rest is refused at once
        and told when to come back, instead of everyone being late.
        """
        work = []
        for i in range(900):
            prompt = f"overload {i}"
            work.append(
                asyncio.create_task(self.ask("counter", "quote", prompt, TOKENS, 1.2))
            )
            if i % 30 == 29:
                await asyncio.sleep(0.04)
        outcomes = await asyncio.gather(*work)
        whole = [o for o in outcomes if o.whole]
        refused = [o for o in outcomes if not o.whole]
        self.assertGreater(len(whole), 150)
        self.assertTrue(all(outcome.took < 1.5 for outcome in whole))
        told = [o for o in refused if o.retry_after is not None]
        self.assertGreaterEqual(len(told), 0.9 * len(refused))


if __name__ == "__main__":
    unittest.main()
