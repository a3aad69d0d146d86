"""Measure the overhead of a router per request and stream (`make bench`).

Engines answer immediately and the budget is practically unlimited, so that the
router is the bottleneck.  In one run the same callers send requests to the same
engines directly and through the router.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys
from collections.abc import Awaitable, Callable

from anvilshift.wire.messages import Address
from bench.callers import Plan, Received, pick_percentile
from bench.fleet import ROOT, LocalFleet, wait_until

_WORKERS = 3
_ENGINES = ("fast-1", "fast-2", "fast-3", "fast-4")
_DECODE_MS = 1
_SHORT_ANSWER = 8
_LONG_ANSWER = 400
_PACED_TOKEN_MS = 25
_PACED_STREAMS = 60
_IDLE_CONNECTIONS = 1_000
_OPEN_STREAMS = 500
_SLOW_FACTOR = 5_000.0
_TICKS_PER_SECOND = 100
_PAUSE_S = 1.0
_BUDGET_TOKENS = 2_000_000_000


async def run_callers(plan: Plan, workers: int = _WORKERS) -> Received:
    """Run a plan in several processes that divide its load; merge the results."""
    share = dataclasses.replace(
        plan, streams=plan.streams // workers, rate=plan.rate / workers
    )
    arguments = json.dumps(dataclasses.asdict(share))
    outputs = await asyncio.gather(*(_run_worker(arguments) for _ in range(workers)))
    total = Received()
    for output in outputs:
        part = Received(**json.loads(output))
        total.requests += part.requests
        total.failed += part.failed
        total.tokens += part.tokens
        total.first += part.first
        total.seconds = max(total.seconds, part.seconds)
    return total


async def _run_worker(arguments: str) -> bytes:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.callers",
        arguments,
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    output, _ = await process.communicate()
    return output


def read_memory_kb(pid: int) -> int:
    """Return the resident memory of a process in kilobytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"process {pid} has no VmRSS line in its status")


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


class Overhead:
    """Runs each measurement on a new fleet with one router."""

    def __init__(self) -> None:
        self.fleet = self._make_fleet()

    def _make_fleet(self) -> LocalFleet:
        options = ("--slots=100000", "--prefill_ms=0", f"--decode_ms={_DECODE_MS}")
        return LocalFleet(
            domains=("bench",),
            engine_options=options,
            examples=ROOT / "bench" / "overhead_fleet",
        )

    async def run(self) -> None:
        """Run and print every measurement, each on a newly started router."""
        await self._run_part(self.measure_idle)
        await self._run_part(self.measure_open)
        rate = await self._run_part(self.measure_saturation)
        await self._run_part(lambda: self.measure_overhead(rate / 2))
        await self._run_part(self.measure_streams)
        await self._run_part(self.measure_paced)

    async def _run_part(self, part: Callable[[], Awaitable[float]]) -> float:
        fleet = self.fleet = self._make_fleet()
        try:
            await fleet.start()
            await fleet.apply()
            await fleet.top_up("bench", _BUDGET_TOKENS, "bench")
            # Warm-up: the first request draws the grant that later requests use.
            await run_callers(Plan(self._router, streams=_WORKERS, seconds=0.5))
            return await part()
        except Exception:
            print(fleet.read_logs())
            raise
        finally:
            fleet.stop()

    @property
    def _router(self) -> tuple[str, ...]:
        return (str(self.fleet.addresses["r1"]),)

    @property
    def _engines(self) -> tuple[str, ...]:
        return tuple(str(self.fleet.addresses[name]) for name in _ENGINES)

    @property
    def _pid(self) -> int:
        return self.fleet.processes["r1"].pid

    async def measure_saturation(self) -> float:
        """Print and return the maximum requests per second of one router."""
        plan = Plan(self._router, max_tokens=_SHORT_ANSWER, streams=300)
        before = read_cpu_seconds(self._pid)
        found = await run_callers(plan)
        used = read_cpu_seconds(self._pid) - before
        rate = found.requests / found.seconds
        print(
            f"requests at saturation ({_SHORT_ANSWER} tokens each): {rate:.0f}/s, "
            f"failed {found.failed}, {used / found.seconds:.2f} of a core, "
            f"{used / found.requests * 1000:.2f} ms of processor a request",
            flush=True,
        )
        return rate

    async def measure_overhead(self, rate: float) -> float:
        """Print the time to first token, directly and through the router."""
        plan = Plan(self._engines, max_tokens=_SHORT_ANSWER, rate=rate, seconds=6.0)
        direct = await run_callers(plan)
        before = read_cpu_seconds(self._pid)
        routed = await run_callers(dataclasses.replace(plan, addresses=self._router))
        used = (read_cpu_seconds(self._pid) - before) / routed.seconds
        print(
            f"first token at half of saturation ({rate:.0f}/s, {used:.2f} of a core, "
            f"failed {direct.failed}+{routed.failed})"
        )
        for share in (0.5, 0.95, 0.99):
            direct_ms = pick_percentile(direct.first, share)
            routed_ms = pick_percentile(routed.first, share)
            print(
                f"  p{share * 100:.0f}: direct {direct_ms:.2f} ms, "
                f"routed {routed_ms:.2f} ms,"
                f" added {routed_ms - direct_ms:.2f} ms",
                flush=True,
            )
        return rate

    async def measure_streams(self) -> float:
        """Print and return the streamed tokens per second of one router on one core."""
        plan = Plan(self._router, max_tokens=_LONG_ANSWER, streams=90)
        before = read_cpu_seconds(self._pid)
        found = await run_callers(plan)
        used = read_cpu_seconds(self._pid) - before
        rate = found.tokens / found.seconds
        print(
            f"streamed tokens at saturation ({plan.streams} streams of "
            f"{_LONG_ANSWER}): {rate:.0f}/s, failed {found.failed}, "
            f"{used / found.seconds:.2f} of a core, "
            f"{found.tokens / used:.0f} a second of processor",
            flush=True,
        )
        return rate

    def _memory(self) -> int:
        return read_memory_kb(self._pid)

    async def measure_paced(self) -> float:
        """Print the processor time per token when each token arrives on its own.

        At saturation tokens arrive in batches, which hides the cost of one token.
        """
        fleet = self.fleet
        for name in _ENGINES:
            await fleet.set_faults(
                fleet.addresses[name], slow=_PACED_TOKEN_MS / _DECODE_MS
            )
        plan = Plan(self._router, max_tokens=100, streams=_PACED_STREAMS)
        before = read_cpu_seconds(self._pid)
        found = await run_callers(plan)
        used = read_cpu_seconds(self._pid) - before
        print(
            f"tokens every {_PACED_TOKEN_MS} ms ({_PACED_STREAMS} streams): "
            f"{found.tokens / found.seconds:.0f}/s, failed {found.failed}, "
            f"{used / found.seconds:.2f} of a core, "
            f"{used / found.tokens * 1e6:.0f} microseconds a token",
            flush=True,
        )
        return used / found.tokens

    async def measure_idle(self) -> float:
        """Print and return the memory per idle connection, in kilobytes."""
        print(f"memory of a router that served a little: {self._memory()} KB")
        address = Address.parse(self._router[0])
        before = self._memory()
        opened = [
            await asyncio.open_connection(address.ip, address.port)
            for _ in range(_IDLE_CONNECTIONS)
        ]
        await asyncio.sleep(_PAUSE_S)
        growth = self._memory() - before
        print(
            f"memory of an idle connection: {growth / _IDLE_CONNECTIONS:.1f} KB "
            f"({_IDLE_CONNECTIONS} opened)"
        )
        for _, writer in opened:
            writer.close()
        return growth / _IDLE_CONNECTIONS

    async def measure_open(self) -> float:
        """Print and return the memory per open stream, in kilobytes."""
        await self.fleet.set_faults(self.fleet.addresses["slow-1"], slow=_SLOW_FACTOR)
        before = self._memory()
        plan = Plan(
            self._router, model="slow", max_tokens=2, streams=_OPEN_STREAMS, seconds=0.5
        )
        running = asyncio.create_task(run_callers(plan, workers=1))
        await wait_until(self._are_all_streams_open)
        growth = self._memory() - before
        print(
            f"memory of an open stream: {growth / _OPEN_STREAMS:.1f} KB "
            f"({_OPEN_STREAMS} opened)"
        )
        found = await running
        print(f"  of these whole {found.requests}, failed {found.failed}")
        return growth / _OPEN_STREAMS

    async def _are_all_streams_open(self) -> bool:
        return bool((await self.fleet.status("r1"))["in_flight"] >= _OPEN_STREAMS)


if __name__ == "__main__":
    asyncio.run(Overhead().run())
