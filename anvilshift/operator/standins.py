"""Run stand-ins of the outside systems as processes."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

from anvilshift.standins.engine import EngineFigures, EngineStandin
from anvilshift.standins.platform import PlatformStandin
from anvilshift.standins.relay import Relay
from anvilshift.standins.service import ServiceStandin
from anvilshift.wire.messages import Address


class _Standin(Protocol):
    async def start(self, address: Address) -> Address:
        """Listen, and return the address."""

    async def close(self) -> None:
        """Cut every connection."""


class Standins:
    """Stand-ins for tests and the demo; none is for production.

    Example: anvilshift standin platform --listen 127.0.0.1:7000
    """

    def platform(self, listen: str, seed: int = 0) -> None:
        """Run a stand-in of the platform's object API."""
        asyncio.run(_serve(lambda: PlatformStandin(seed), listen))

    def engine(
        self,
        listen: str,
        slots: int = EngineFigures.slots,
        prefill_ms: float = EngineFigures.prefill_ms,
        decode_ms: float = EngineFigures.decode_ms,
        report_ms: float = EngineFigures.report_ms,
        checks_fencing: bool = False,
    ) -> None:
        """Run a stand-in of a model engine."""
        figures = EngineFigures(slots, prefill_ms, decode_ms, report_ms, checks_fencing)
        asyncio.run(_serve(lambda: EngineStandin(figures, True), listen))

    def service(self, listen: str) -> None:
        """Run a stand-in of a plain service."""
        asyncio.run(_serve(ServiceStandin, listen))

    def relay(self, listen: str, target: str, control: str = "") -> None:
        """Run a TCP relay with faults, set by POST /control/faults at `control`.

        Example: anvilshift standin relay --listen 127.0.0.1:7001 \
--target 127.0.0.1:7000 --control 127.0.0.1:7002
        """
        port = Address.parse(control) if control else None
        asyncio.run(_serve(lambda: Relay(Address.parse(target), port), listen))


async def _serve(make: Callable[[], _Standin], listen: str) -> None:
    standin = make()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    address = await standin.start(Address.parse(listen))
    print(f"listening on {address}", flush=True)
    await stop.wait()
    await standin.close()
