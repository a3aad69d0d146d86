"""Run stand-ins for the external systems as processes."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

import fire

from anvilshift.standins.engine import EngineParameters, EngineStandin
from anvilshift.standins.platform import PlatformStandin
from anvilshift.standins.relay import Relay
from anvilshift.standins.service import ServiceStandin
from anvilshift.wire.messages import Address


class _Standin(Protocol):
    async def start(self, address: Address) -> Address:
        """Start listening and return the bound address."""

    async def close(self) -> None:
        """Stop listening and close every connection."""


class StandinCommands:
    """Run stand-ins for external systems in tests and the demo, not in production.

    Example: anvilshift standin platform --listen 127.0.0.1:7000
    """

    def platform(self, listen: str, seed: int = 0) -> None:
        """Run a stand-in for the platform's object API."""
        asyncio.run(_serve(lambda: PlatformStandin(seed), listen))

    def engine(
        self,
        listen: str,
        slots: int = EngineParameters.slots,
        prefill_ms: float = EngineParameters.prefill_ms,
        decode_ms: float = EngineParameters.decode_ms,
        report_ms: float = EngineParameters.report_ms,
        checks_fencing: bool = False,
    ) -> None:
        """Run a stand-in for a model engine."""
        parameters = EngineParameters(
            slots, prefill_ms, decode_ms, report_ms, checks_fencing
        )
        asyncio.run(_serve(lambda: EngineStandin(parameters, True), listen))

    def service(self, listen: str) -> None:
        """Run a stand-in for a plain service."""
        asyncio.run(_serve(ServiceStandin, listen))

    def relay(self, listen: str, target: str, control: str = "") -> None:
        """Run a TCP relay with faults that POST /control/faults at `control` sets.

        Example: anvilshift standin relay --listen 127.0.0.1:7001 \
--target 127.0.0.1:7000 --control 127.0.0.1:7002
        """
        control_address = Address.parse(control) if control else None
        asyncio.run(
            _serve(lambda: Relay(Address.parse(target), control_address), listen)
        )


async def _serve(factory: Callable[[], _Standin], listen: str) -> None:
    standin = factory()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    address = await standin.start(Address.parse(listen))
    print(f"listening on {address}", flush=True)
    await stop.wait()
    await standin.close()


if __name__ == "__main__":
    fire.Fire(StandinCommands, name="anvilshift standin")
