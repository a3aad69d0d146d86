"""Serve the workloads of both example deployments end to end (`make demo`)."""

import asyncio
import signal
import sys
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.standins.engine import make_answer
from bench.fleet import LocalFleet, wait_until

_BURST = 40
_TOKENS = 24
_LARGE_TOP_UP = 400_000
_SMALL_TOP_UP = 2_000
_ROUTER_OPTIONS = {"keep_addresses_ms": 1500.0, "lease_ms": 3000.0}


@dataclass
class Report:
    """Answers that callers received, and results of the invariant checks."""

    answers: dict[tuple[str, str], Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    checks: dict[str, Counter[bool]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    billed: Counter[str] = field(default_factory=Counter)

    def check(self, invariant: str, held: bool) -> None:
        """Count the result of one check of an invariant."""
        self.checks[invariant][held] += 1

    @property
    def failed_checks(self) -> int:
        """Return the number of failed checks."""
        return sum(counts[False] for counts in self.checks.values())

    def show(self, usage: dict[str, dict[str, object]]) -> None:
        """Print the answers, the usage of the budgets and the invariants."""
        print("\nwhat callers received")
        for (organisation, kind), counts in sorted(self.answers.items()):
            row = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
            print(f"  {organisation:10} {kind:8} {row}")
        print("spend against budget (tokens)")
        for name, row in usage.items():
            print(
                f"  {name:10} spent {row['spent']} of {row['total']}, "
                f"in doubt {row['in_doubt']}"
            )
        print("invariants")
        for name, counts in sorted(self.checks.items()):
            verdict = "BROKEN" if counts[False] else "held"
            total = counts[True] + counts[False]
            print(f"  {name:44} {verdict}, checked {total}")


class Demo:
    """Runs the scenarios of the demo on one local fleet."""

    def __init__(self) -> None:
        self.fleet = LocalFleet(router_options=_ROUTER_OPTIONS)
        self.report = Report()

    def _client(self, organisation: str) -> Client:
        seeds = [self.fleet.addresses[name] for name in self.fleet.router_names]
        return Client(seeds, f"{organisation}-token")

    async def ask(
        self, organisation: str, model: str, prompt: str, tokens: int = _TOKENS
    ) -> str:
        """Ask a model and check that the answer is complete and the right one."""
        client = self._client(organisation)
        message = {"role": "user", "content": prompt}
        conversation = Conversation(model, [message], tokens, deadline=15_000.0)
        counts = self.report.answers[organisation, model]
        try:
            text = await client.ask(conversation)
        except CallError as error:
            counts[f"code {error.number}"] += 1
            return f"code {error.number}"
        finally:
            client.close()
        whole = text == make_answer(prompt, tokens)
        self.report.check("whole answer to the right caller", whole)
        counts["whole" if whole else "WRONG"] += 1
        return "whole"

    async def burst(self) -> None:
        """Send the opening burst of both deployments at once."""
        await asyncio.gather(
            *(
                self.ask("kosice", "tank-advisor", f"tank {i} of kosice")
                for i in range(_BURST)
            ),
            *(self.ask("counter", "quote", f"drums, quote {i}") for i in range(_BURST)),
        )

    async def order_twice(self) -> None:
        """Send one order twice with one key, through different routers."""
        clients = [self._client("warehouse") for _ in range(2)]
        orders = [
            client.call(
                "delivery",
                "/runs",
                b'{"drums": 12}',
                key="order-1",
                non_idempotent=True,
            )
            for client in clients
        ]
        answers = await asyncio.gather(*orders)
        same = answers[0].body == answers[1].body
        self.report.answers["warehouse", "delivery"]["answered"] += len(answers)
        self.report.check("a repeated key gets the same answer", same)
        for client in clients:
            client.close()
        ran = (await self.fleet.audit("stock-1"))["ran"]
        for count in ran.values():
            self.report.check("a non-idempotent order runs at most once", count == 1)

    async def run_dry(self) -> None:
        """Spend a small budget to its end."""
        for number in range(40):
            outcome = await self.ask("zilina", "tank-advisor", f"tank {number}", 100)
            if outcome == "code 2001":
                break
        self.report.check("a dry budget refuses", outcome == "code 2001")

    async def kill_in_stream(self) -> None:
        """Kill a router while long streams run through it."""
        tasks = [
            asyncio.create_task(
                self.ask("kosice", "tank-advisor", f"long stream {i}", 400)
            )
            for i in range(9)
        ]
        name = await wait_until(self._find_busy_router)
        self.fleet.processes[name].send(signal.SIGKILL)
        await self.fleet.processes[name].wait()
        await asyncio.gather(*tasks)

    async def _find_busy_router(self) -> str | None:
        """Return a running router that has requests in flight."""
        for name in self.fleet.router_names:
            if self.fleet.processes[name].exit_code is not None:
                continue
            if (await self.fleet.status(name))["in_flight"]:
                return name
        return None

    async def drain_in_stream(self) -> None:
        """Stop a router as planned while streams run through it."""
        tasks = [
            asyncio.create_task(
                self.ask("counter", "quote", f"stream in drain {i}", 400)
            )
            for i in range(8)
        ]
        name = await wait_until(self._find_busy_router)
        self.fleet.processes[name].send(signal.SIGTERM)
        await asyncio.gather(*tasks)
        code = await self.fleet.processes[name].wait()
        self.report.check("a planned stop cuts nothing off, exit 0", code == 0)

    async def audit(self) -> dict[str, dict[str, object]]:
        """Check the budgets and bills after all requests have ended."""
        usage = await self.fleet.usage()
        for row in usage.values():
            self.report.check("no budget overspent", row["spent"] <= row["total"])
            kept = row["spent"] + row["held"] + row["in_doubt"] + row["free"]
            self.report.check("every token is in one place", kept == row["total"])
        expected = self.report.answers["counter", "quote"]["whole"]
        self.report.check("answers were billed", usage["order-desk"]["spent"] > 0)
        self.report.check("every quote was answered", expected == _BURST + 8)
        return usage

    async def run(self) -> int:
        """Run every scenario; return 1 if a check failed, else 0."""
        began = time.monotonic()
        try:
            await self.fleet.start()
            summary = await self.fleet.apply()
            self.report.check("declarations accepted everywhere", summary["accepted"])
            await self.fleet.top_up("kosice", _LARGE_TOP_UP, "invoice-1")
            await self.fleet.top_up("order-desk", _LARGE_TOP_UP, "invoice-2")
            await self.fleet.top_up("zilina", _SMALL_TOP_UP, "invoice-3")
            for scenario in (
                self.burst,
                self.order_twice,
                self.run_dry,
                self.kill_in_stream,
                self.drain_in_stream,
            ):
                print(
                    f"{time.monotonic() - began:5.1f} s  {scenario.__doc__}", flush=True
                )
                await scenario()
            self.report.show(await self.audit())
        except Exception:
            print(self.fleet.read_logs())
            raise
        finally:
            self.fleet.stop()
        print(
            f"\n{time.monotonic() - began:.1f} s, "
            f"broken checks {self.report.failed_checks}"
        )
        return 1 if self.report.failed_checks else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(Demo().run()))
