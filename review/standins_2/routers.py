"""Routers as processes, started with the command of the deploy file."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

from review.standins_2.http import read_message
from review.standins_2.record import Record

ROOT = pathlib.Path(__file__).parents[2]
GRACE_S = 8.0
_SETTINGS = """
nodeName = "edge-{zone}-{number}"
role = "router"
machineClass = "edge"
serves = ["edge","registry","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "sk-central"
internalPorts = [{first}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",
  "stream","tenants","platform"]
[zones]
zilina = "sk-central"
banska = "sk-central"
nitra = "sk-central"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.817
cores = 2
memoryMb = 205
maxFds = 6150
linkMbps = 1500.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
downgradeMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryAllowance = 58
recoveryS = 12
maxDeliveryMs = 120
reuseWindowS = 10
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
_ZONES = ("zilina", "banska", "nitra", "zilina")
_PORTS = 24


def find_ports(ips: list[str]) -> int:
    """Return the first of some adjacent ports that are free at all addresses."""
    for first in range(21000 + os.getpid() % 500 * 20, 60000, _PORTS):
        if all(_is_free(ip, first + n) for ip in ips for n in range(_PORTS)):
            return first
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((ip, port))
            except OSError:
                return False
    return True


class Router:
    """One router's process, which the platform starts again when it ends."""

    def __init__(self, ip: str, front: int, ready: int, settings: pathlib.Path) -> None:
        self.ip, self.front, self._ready = ip, front, ready
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start its process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["ANVILSHIFT_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.settings.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
            )

    def send_signal(self, number: int) -> None:
        """Send its process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_ended(self, seconds: float) -> bool:
        """Wait until its process has ended; return whether it has."""
        assert self.process is not None
        for _ in range(int(seconds * 20)):
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.05)
        return False

    async def restart_planned(self) -> None:
        """Stop it as planned, with SIGKILL after the grace period; start it again."""
        self.send_signal(signal.SIGTERM)
        if not await self.wait_ended(GRACE_S):
            self.send_signal(signal.SIGKILL)
            await self.wait_ended(5.0)
        self.start()

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self._ready)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader, True)
                writer.close()
                return answer.status == 200
        except (OSError, EOFError, TimeoutError, ValueError):
            return False

    async def wait_ready(self, seconds: float = 15.0) -> bool:
        """Wait until it is ready; return whether it is."""
        for _ in range(int(seconds * 10)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def make_routers(folder: pathlib.Path, store: str, count: int) -> list[Router]:
    """Return routers whose settings files lie in a folder."""
    ips = [f"127.0.0.{11 + n}" for n in range(count)]
    first = find_ports(ips)
    last = first + 15
    front, ready, control, directory = (last + 1 + n for n in range(4))
    routers = []
    for number, ip in enumerate(ips):
        settings = folder / f"router-{number + 1}.toml"
        text = _SETTINGS.format(
            zone=_ZONES[number % len(_ZONES)],
            number=number + 1,
            ip=ip,
            first=first,
            last=last,
            seeds=", ".join(f'"{one}:{control}"' for one in ips[:3]),
            bootstrap="true",
            front=front,
            ready=ready,
            control=control,
            directory=directory,
            store=store,
        )
        settings.write_text(text)
        routers.append(Router(ip, front, ready, settings))
    return routers


def end_all(routers: list[Router], record: Record) -> None:
    """Kill the processes that are left."""
    for router in routers:
        if router.process is not None and router.process.poll() is None:
            router.process.kill()
            router.process.wait()
    record.write("all processes have ended")
