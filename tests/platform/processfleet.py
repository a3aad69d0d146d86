"""Gateways as processes of their own, which a test kills and starts again."""

import os
import pathlib
import subprocess
import sys
import tempfile

from anvilshift.platform.names import READY_PATH, SETTINGS_VARIABLE
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from bench.fleet import ROOT, wait_until
from bench.ports import take_adjacent_ports, take_free_port
from tests.platform.gatewaycase import GatewayCase

INTERNAL_PORTS = 4
"""Ports between routers that a gateway listens on, from the first one on."""
_SETTINGS = """
nodeName = "n-{ip}"
ip = "{ip}"
zone = "north"
internalPorts = [{peer_port}, {last_port}]
seeds = [{seeds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
"""


class ProcessCase(GatewayCase):
    """The store and the targets run in the test's process, the gateways don't."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory(prefix="anvilshift-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addCleanup(self.kill_all)
        self.front, self.ready = take_free_port(), take_free_port()
        self.ips = [f"127.0.0.{number}" for number in range(2, 5)]
        ports = take_adjacent_ports(INTERNAL_PORTS)
        for ip in self.ips:
            settings = _SETTINGS.format(
                ip=ip,
                peer_port=ports[0],
                last_port=ports[-1],
                seeds=", ".join(f'"{one}:{ports[0]}"' for one in self.ips),
                front=self.front,
                ready=self.ready,
                store=self.store_address,
            )
            (self.folder / f"{ip}.toml").write_text(settings)

    async def start_all(self) -> None:
        """Start all gateways, and wait until each is ready."""
        for ip in self.ips:
            self._start(ip)
        for ip in self.ips:
            await wait_until(lambda ip=ip: self._is_ready(ip))

    def _start(self, ip: str) -> None:
        environment = {**os.environ, SETTINGS_VARIABLE: f"{self.folder}/{ip}.toml"}
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "anvilshift.platform.main"],
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
            )

    async def _is_ready(self, ip: str) -> bool:
        address = Address(ip, self.ready)
        try:
            answer = await self.client.call(address, "GET", READY_PATH, timeout=500.0)
        except ExchangeError:
            return False
        return answer.status == 200

    def kill_all(self) -> None:
        """Kill the gateways that this test has started, all at once."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def read_logs(self) -> str:
        """Return what the gateways have logged."""
        return "".join((self.folder / f"{ip}.log").read_text() for ip in self.ips)
