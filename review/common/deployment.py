"""A small deployment: the store, engines, routers as processes, and what happened."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

from common.http import Caller, Fields, Message, read_body, read_head, write_head
from common.store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_HEARTBEAT_S = 1.2
_EVENTS, _FIRST_EVENT_S, _BETWEEN_EVENTS_S = 58, 0.05, 0.02
"""Events of a stream, and the time before the first one and between two."""
STREAM_FIELDS = [
    ("Anvilshift-Model", "m"),
    ("Anvilshift-Token-Usage", "826,290"),
    ("Anvilshift-Prefix-Hash", "5c1e07a2:198,91bd3f06:628"),
]
"""Header fields of a request for a stream: 198 shared and 628 other tokens in, and 58
events of 5 tokens out."""
_SETTINGS = """
nodeName = "edge-{zone}-{number}"
role = "router"
machineClass = "edge"
serves = ["edge", "registry", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "sk-central"
internalPorts = [{internal}, {internal_last}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.817
cores = 2
memoryMb = {memory}
maxFds = 6150
linkMbps = {link}
[bounds]
stableMs = 3000
drainMs = {drain}
graceS = 8
lossSlackMs = 200
configMs = 2000
downgradeMs = 250
retryRatio = 0.2
retryWindowS = 10
retryAllowance = 58
recoveryS = 12
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""


class Record:
    """What was sent, answered and run, by the time since the start of the case."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f}  {text}")

    def write(self, folder: pathlib.Path) -> None:
        """Write the lines to the case's folder."""
        (folder / "record.txt").write_text("\n".join([*self._lines, ""]))


@dataclass
class Engine:
    """A stand-in of an engine, which registers itself in the store.

    Parameters
    ----------
    work
        Works on a request; returns the body of its answer.

    Attributes
    ----------
    arrivals
        Ids of the requests that reached it, with the time since the start.
    runs, ended
        Ids of those that it began to run, and of those that it ran to their end.
    """

    name: str
    service: str
    address: tuple[str, int]
    store: Store
    record: Record
    work: Callable[[Message], Awaitable[bytes]]
    zone: str = "nitra"
    slots: int = 6
    state: str = "ready"
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    _sequence: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _born: int = field(default_factory=lambda: int(time.time() * 1_000))

    async def start(self) -> None:
        """Listen, register, and renew the entry from then on."""
        ip, port = self.address
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        self.renew()

    def renew(self) -> None:
        """Write the entry now, and again and again."""
        self._renewing = asyncio.create_task(self._renew())

    def stop_renewing(self) -> None:
        """Write the entry no more, as the store turns this engine away."""
        self._renewing.cancel()

    async def _renew(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(_HEARTBEAT_S)

    def register(self) -> None:
        """Write the entry; the store's answer is the acknowledgement."""
        self._sequence += 1
        ip, port = self.address
        entry = {
            "service": self.service,
            "address": f"{ip}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self.store.put("servers", self.name, entry)

    def drain(self) -> None:
        """Report that it is leaving; it goes on serving."""
        self.state = "draining"
        self.register()
        self.record.note(f"engine {self.name} is draining, acknowledged by the store")

    async def exit(self) -> None:
        """Exit: the entry goes, and what runs breaks off."""
        self._renewing.cancel()
        self.store.delete("servers", self.name)
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self.record.note(f"engine {self.name} has exited")

    async def crash(self) -> None:
        """End without a word; the entry goes after three heartbeats of silence."""
        self._renewing.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.note(f"engine {self.name} has crashed")
        loop = asyncio.get_running_loop()
        loop.call_later(3 * _HEARTBEAT_S, self.store.delete, "servers", self.name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                if head.get("anvilshift-token-usage"):
                    await self._stream(head, writer)
                else:
                    writer.write(await self._answer(head))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, head: Message, writer: asyncio.StreamWriter) -> None:
        """Answer with a stream of events, as a model engine does."""
        identity = head.get("anvilshift-attempt-id")
        self.arrivals.append((identity, self.record.now()))
        if head.get("anvilshift-expect-instance", self.name) != self.name:
            fields = [("Anvilshift-Attempt-Id", identity)]
            writer.write(write_head("HTTP/1.1 421 Misdirected Request", fields))
            return
        self.runs.append(identity)
        self.record.note(f"engine {self.name} runs {identity}: {head.first[1]}")
        await asyncio.sleep(_FIRST_EVENT_S)
        fields = [
            ("Anvilshift-Attempt-Id", identity),
            ("Anvilshift-Engine-Signature", f"{self.name}.{identity}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(write_head("HTTP/1.1 200 OK", fields, None))
        for number in range(1, _EVENTS + 1):
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_BETWEEN_EVENTS_S)
        writer.write(b"0\r\n\r\n")
        self.ended.append(identity)
        self.record.note(f"engine {self.name} has run {identity} to its end")

    async def _answer(self, head: Message) -> bytes:
        identity, now = head.get("anvilshift-attempt-id"), self.record.now()
        load = ("Anvilshift-Engine-Load", f"{len(self.runs) - len(self.ended)},0,6")
        if not identity:
            fields = [("Anvilshift-Instance-Id", self.name), load]
            return write_head("HTTP/1.1 200 OK", fields)
        self.arrivals.append((identity, now))
        expected = head.get("anvilshift-expect-instance", self.name)
        fields = [("Anvilshift-Attempt-Id", identity), load]
        if expected != self.name:
            return write_head("HTTP/1.1 421 Misdirected Request", fields)
        self.runs.append(identity)
        self.record.note(
            f"engine {self.name} runs {identity}: {head.first[0]} {head.first[1]}"
            f" for tenant {head.get('anvilshift-tenant', '-')}"
        )
        body = await self.work(head)
        self.ended.append(identity)
        self.record.note(f"engine {self.name} has run {identity} to its end")
        signature = f"{self.name}.{identity}.{len(body)}"
        fields.append(("Anvilshift-Engine-Signature", signature))
        return write_head("HTTP/1.1 200 OK", fields, body)


class Deployment:
    """The store and the routers of one case, with settings of a small deployment.

    Parameters
    ----------
    routers
        Number of routers, each in a zone of its own.
    link, memory, drain
        `linkMbps`, `memoryMb` and `drainMs` in their settings.
    """

    def __init__(
        self,
        routers: int = 2,
        link: float = 1500.0,
        memory: int = 370,
        drain: int = 2000,
    ) -> None:
        self.record = Record()
        self.store = Store()
        self._net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.ips = [f"{self._net}.{number + 2}" for number in range(routers)]
        self._ports = _find_ports(self._net, 9)
        self.front, self.ready, self.directory = self._ports[5:8]
        self._limits = {"link": link, "memory": memory, "drain": drain}
        self._folder = tempfile.TemporaryDirectory(prefix="anvilshift-review-")
        self.folder = pathlib.Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._engines = 0
        self._ids = 0

    def make_engine(
        self,
        service: str,
        work: Callable[[Message], Awaitable[bytes]],
        slots: int = 6,
    ) -> Engine:
        """Return an engine that isn't started."""
        self._engines += 1
        address = (f"{self._net}.{100 + self._engines}", self._ports[8])
        name = f"i-{self._engines:08x}"
        return Engine(
            name, service, address, self.store, self.record, work, slots=slots
        )

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(f"{self._net}.1", self._ports[8])

    def write_settings(self, behind: Sequence[str] = ()) -> tuple[str, int]:
        """Write the settings file of each router.

        Parameters
        ----------
        behind
            Routers that reach the store at an address of their own, which is returned.
        """
        entrance = f"{self._net}.9", self._ports[8]
        for number, ip in enumerate(self.ips):
            text = _SETTINGS.format(
                ip=ip,
                number=number + 1,
                zone=("zilina", "banska", "nitra")[number % 3],
                internal=self._ports[0],
                internal_last=self._ports[3],
                control=self._ports[4],
                front=self.front,
                ready=self.ready,
                directory=self.directory,
                seeds=", ".join(f'"{one}:{self._ports[4]}"' for one in self.ips[:3]),
                store=f"{self._net}.{9 if ip in behind else 1}:{self._ports[8]}",
                **self._limits,
            )
            (self.folder / f"{ip}.toml").write_text(text)
        return entrance

    def start_router(self, ip: str) -> subprocess.Popen[bytes]:
        """Start a router with the command of the deploy file."""
        if ip in self.processes:
            settings = self.folder / f"{ip}.toml"
            text = settings.read_text().replace("bootstrap = true", "bootstrap = false")
            settings.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "ANVILSHIFT_BOOT": str(self.folder / f"{ip}.toml"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{ip}.log").open("ab") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        self.processes[ip] = process
        self.record.note(f"router {ip} is started")
        return process

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to a router that this case has started."""
        self.record.note(f"router {ip} gets {number.name}")
        self.processes[ip].send_signal(number)

    async def start(self, settle: float = 0.0) -> None:
        """Start the store and all routers, and wait until these are ready."""
        await self.start_store()
        self.write_settings()
        for ip in self.ips:
            self.start_router(ip)
        for ip in self.ips:
            await self.wait_ready(ip)
        await asyncio.sleep(settle)

    async def is_ready(self, ip: str) -> bool:
        """Ask a router whether it is ready, as the platform does."""
        fields = [("Host", "platform"), ("Connection", "close")]
        caller = Caller((ip, self.ready))
        _, answer = await caller.ask("GET", "/v1/readyz", fields, timeout=1.0)
        caller.close()
        return answer is not None and answer.status == 200

    async def resolve(self, zone: str = "nitra") -> tuple[list[str], float]:
        """Ask the directories where to connect, as a client does.

        Returns
        -------
        tuple
            The addresses, none if no directory names any, and `ttlS`.
        """
        target = f"/v1/resolve?name=ficu95.example&region=sk-central&zone={zone}"
        fields = [("Host", "directory"), ("Connection", "close")]
        for ip in self.ips[:3]:
            caller = Caller((ip, self.directory))
            _, answer = await caller.ask("GET", target, fields, timeout=1.0)
            caller.close()
            status = answer.status if answer else None
            found = json.loads(answer.body) if answer and status == 200 else {}
            addresses = found.get("addresses") or []
            self.record.note(f"directory {ip} answers {status}: {addresses}")
            if addresses:
                return addresses, found["ttlS"]
        return [], 0.0

    async def wait_ready(self, ip: str, timeout: float = 20.0) -> None:
        """Wait until a router is ready.

        Raises
        ------
        TimeoutError
            When it isn't in time.
        """
        async with asyncio.timeout(timeout):
            while not await self.is_ready(ip):
                await asyncio.sleep(0.1)

    def name_attempt(self) -> str:
        """Return an id for one client attempt."""
        self._ids += 1
        return f"a{self._ids:015x}"

    async def ask(
        self,
        caller: Caller,
        method: str,
        target: str,
        host: str = "ficu95.example",
        key: str = "key-hule930",
        deadline: float = 10.0,
        body: bytes = b"",
        extra: Fields | None = None,
        what: str = "",
    ) -> tuple[str, str, int | None]:
        """Send a request of a client; return its id, how it ended, and the status."""
        identity = self.name_attempt()
        fields = [
            ("Host", host),
            ("Anvilshift-Attempt-Id", identity),
            ("Anvilshift-Deadline-Ms", str(int(deadline * 1_000))),
            ("Authorization", f"Bearer {key}"),
            *(extra or []),
        ]
        self.record.note(
            f"client sends {identity} to {caller.address[0]}: {method} {target}"
            f" ({len(body)} bytes) {what}"
        )
        end, answer = await caller.ask(method, target, fields, body, deadline)
        status = answer.status if answer else None
        self.record.note(f"client: {identity} is {end}, status {status} {what}")
        return identity, end, status

    async def close(self) -> None:
        """End the processes that this case has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


def _find_ports(net: str, count: int) -> list[int]:
    """Return adjacent ports that are free on the addresses of a case."""
    while True:
        first = random.randrange(12_000, 31_000)
        ports = list(range(first, first + count))
        with contextlib.ExitStack() as bound:
            try:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = bound.enter_context(socket.socket(socket.AF_INET, kind))
                        probe.bind(("", port))
            except OSError:
                continue
            return ports


def make_route(
    name: str, prefix: str, kind: str, service: str, timeout: int, **more: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "hostname": "ficu95.example",
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout,
        "latencyGoalMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "idempotent" else 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


_MODEL = {
    "slots": 64,
    "kvCapacity": 428428,
    "kvTokenBytes": 163840,
    "linkMbps": 1100000.0,
    "stride": 5,
    "modelList": [{"name": "m"}],
}


def make_stream_route(name: str, prefix: str, service: str) -> dict[str, Any]:
    """Return the route of a chat, with the figures of `manager-chat` on the sheet."""
    return make_route(
        name,
        prefix,
        "streaming",
        service,
        15000,
        latencyGoalMs=400,
        itlTargetMs=300,
        sticky=True,
    )


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    models: list[str] | None = None,
) -> dict[str, Any]:
    """Return a configuration with one tenant, plain services and model engines."""
    plain = {"healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": False}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            *({"name": name, **plain} for name in services),
            *({"name": name, **plain, "engineId": _MODEL} for name in models or []),
        ],
        "limits": limits,
        "tenants": [
            {"name": "hule930", "apiKeys": ["key-hule930"], "reserved": 2565050}
        ],
    }


def run_case(
    file: str, play: Callable[[Deployment], Coroutine[Any, Any, bool]], **options: Any
) -> None:
    """Play a case within two minutes, and end this process with its exit code.

    Parameters
    ----------
    play
        Plays the case; returns whether the rule held.
    options
        Options of the deployment.
    """
    folder = pathlib.Path(file).resolve().parent

    async def run() -> None:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        deployment, code = Deployment(**options), NOT_RUN
        try:
            async with asyncio.timeout(110):
                held = await play(deployment)
            deployment.record.note(f"the rule {'held' if held else 'was broken'}")
            code = HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            deployment.record.note(f"the case couldn't run: {error!r}")
        finally:
            await deployment.close()
            deployment.record.write(folder)
        # The streams that are still open would complain of the loop's end.
        os._exit(code)

    asyncio.run(run())
