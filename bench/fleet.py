"""Run a whole fleet as processes on loopback, for the demo, benches and tests."""

import asyncio
import hashlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

import yaml

from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
OPERATOR_TOKEN = "operator-token"
_START_TIMEOUT_S = 20.0
_LAST_LINES = 60
_POLL_S = 0.02


_PORTS = range(12_000, 32_000)
"""Below the ports that the system gives to outgoing connections: one of those may
be taken between the look here and the start of the process that shall listen."""
_RNG = random.SystemRandom()
_TAKEN: set[int] = set()


def take_free_port() -> int:
    """Return a port that nobody listens on now; never the same one twice.

    A port that was returned is free until its process listens on it, half a
    second later.  Drawn again in that time it would go to two processes of one
    fleet, the second of which would end at once: address already in use.
    """
    while True:
        port = _RNG.choice(_PORTS)
        if port in _TAKEN:
            continue
        with socket.socket() as taken:
            try:
                taken.bind(("127.0.0.1", port))
            except OSError:
                continue
            _TAKEN.add(port)
            return port


def make_address() -> Address:
    """Return a free loopback address."""
    return Address("127.0.0.1", take_free_port())


async def wait_until(condition: Callable[[], Any], timeout: float = 20.0) -> Any:
    """Wait until a condition, plain or a coroutine, is true; return its value."""
    until = time.monotonic() + timeout
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > until:
            raise TimeoutError(f"waited {timeout} s in vain for {condition}")
        await asyncio.sleep(_POLL_S)


class Process:
    """One process of the fleet, ended by its id and no other way."""

    def __init__(self, name: str, arguments: list[str], log: pathlib.Path) -> None:
        self.name = name
        self.log = log
        command = [sys.executable, "-m", "anvilshift.operator.main", *arguments]
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT, cwd=ROOT
            )

    @property
    def pid(self) -> int:
        """Return the process's id."""
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal, if it runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while it runs."""
        return self._process.poll()

    async def wait(self, timeout: float = 40.0) -> int:
        """Wait for the process to end; return its exit code."""
        await wait_until(lambda: self._process.poll() is not None, timeout)
        return int(self._process.returncode)

    def end(self) -> None:
        """End the process now."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait()


class LocalFleet:
    """Stand-ins and routers on free loopback ports.

    Parameters
    ----------
    domains
        Failure domain of each router; one router each.
    engine_options
        Further flags for every engine stand-in.
    router_options
        Further settings for every router.
    examples
        Directory of the declarations; each engine gets a free address.
    """

    def __init__(
        self,
        domains: tuple[str, ...] = ("poprad", "zvolen", "martin"),
        engine_options: tuple[str, ...] = (),
        router_options: dict[str, Any] | None = None,
        examples: pathlib.Path = EXAMPLES,
    ) -> None:
        self._examples = examples
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="anvilshift-"))
        self.http = HttpClient()
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, Address] = {}
        self.operators: dict[str, Address] = {}
        self.platform = make_address()
        self.router_platform: dict[str, Address] = {}
        self.controls: dict[str, Address] = {}
        self.relayed: set[str] = set()
        self._domains = domains
        self._engine_options = engine_options
        self._router_options = router_options or {}

    @property
    def router_names(self) -> list[str]:
        """Return the routers' names."""
        return [f"r{index + 1}" for index in range(len(self._domains))]

    async def start(self) -> None:
        """Start everything, apply the examples and wait until all is ready."""
        self.start_process(
            "platform", ["standin", "platform", "--listen", str(self.platform)]
        )
        self._start_targets()
        await self._wait_listening(self.platform)
        for control in self.controls.values():
            await self._wait_listening(control)
        for index in range(len(self._domains)):
            self.start_router(index)
        await asyncio.gather(*(self.wait_ready(n) for n in self.router_names))

    def _start_targets(self) -> None:
        for path in sorted(self._examples.rglob("*.yaml")):
            documents = list(yaml.safe_load_all(path.read_text()))
            for document in documents:
                if document["kind"] == "EngineGroup":
                    for engine in document["engines"]:
                        self._start_target(engine, document["target"])
            copy = self.declarations / path.relative_to(self._examples)
            copy.parent.mkdir(parents=True, exist_ok=True)
            copy.write_text(yaml.safe_dump_all(documents))

    @property
    def declarations(self) -> pathlib.Path:
        """Return the directory of the declarations with this fleet's addresses."""
        return self.directory / "declarations"

    def _start_target(self, engine: dict[str, Any], target: str) -> None:
        name, address = engine["name"], make_address()
        engine["address"] = str(address)
        self.addresses[name] = address
        if name in self.relayed:
            engine["address"] = str(self.start_relay(f"net-{name}", address))
        self.start_target(engine["name"], "engine" if target == "model" else "service")

    def start_target(self, name: str, kind: str) -> None:
        """Start a target's process at its declared address."""
        arguments = ["standin", kind, "--listen", str(self.addresses[name])]
        if kind == "engine":
            arguments += self._engine_options
        self.start_process(name, arguments)

    def start_process(self, name: str, arguments: list[str]) -> Process:
        """Start a process of the fleet under a name."""
        log = self.directory / f"{name}.log"
        self.processes[name] = Process(name, arguments, log)
        return self.processes[name]

    def start_router(self, index: int) -> str:
        """Start a router; its addresses stay the same when it starts again."""
        name = self.router_names[index]
        if name not in self.addresses:
            self.addresses[name] = make_address()
            self.addresses[f"{name}-peer"] = make_address()
            self.operators[name] = make_address()
        settings = {
            "name": name,
            "host": f"host-{name}",
            "failure_domain": self._domains[index],
            "listen": str(self.addresses[name]),
            "peer_listen": str(self.addresses[f"{name}-peer"]),
            "operator_listen": str(self.operators[name]),
            "platform": {"address": str(self.router_platform.get(name, self.platform))},
            "operator_credential": hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            **self._router_options,
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.start_process(name, ["router", "--settings", str(path)])
        return name

    async def _wait_listening(self, address: Address) -> None:
        async def answers() -> bool:
            try:
                await self.http.call(address, "GET", "/v1/hosts", timeout=500.0)
                return True
            except ExchangeError:
                return False

        await wait_until(answers, _START_TIMEOUT_S)

    def start_relay(self, name: str, target: Address) -> Address:
        """Start a faulty network before an address; return where it listens.

        Its faults are set with `set_faults` at ``controls[name]``.  Targets
        named in `relayed` get one each, named ``net-`` and the target's name.
        """
        listen, control = make_address(), make_address()
        self.controls[name] = control
        self.start_process(
            name,
            [
                "standin",
                "relay",
                f"--listen={listen}",
                f"--target={target}",
                f"--control={control}",
            ],
        )
        return listen

    async def wait_ready(self, name: str) -> None:
        """Wait until a router is ready to serve.

        Raises
        ------
        TimeoutError
            With the last lines of its log, which say what it waits for.
        """
        try:
            await wait_until(lambda: self._is_ready(name), _START_TIMEOUT_S)
        except TimeoutError as error:
            process = self.processes[name]
            lines = process.log.read_text().splitlines()[-_LAST_LINES:]
            state = f"{name} isn't ready, exit code {process.exit_code}"
            raise TimeoutError("\n".join([state, *lines])) from error

    async def _is_ready(self, name: str) -> bool:
        try:
            answer = await self.http.call(
                self.operators[name], "GET", "/readyz", timeout=500.0
            )
            return answer.status == 200
        except ExchangeError:
            return False

    async def run_operator(self, *arguments: str) -> tuple[int, str]:
        """Run an operator verb; return its exit code and what it printed."""
        command = [sys.executable, "-m", "anvilshift.operator.main", *arguments]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, cwd=ROOT
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def apply(self, directory: pathlib.Path | None = None) -> dict[str, Any]:
        """Apply declarations with the operator command; return what it said."""
        _, output = await self.run_operator(
            "apply",
            str(directory or self.declarations),
            f"--platform={self.platform}",
            "--output=json",
        )
        summary: dict[str, Any] = json.loads(output)
        return summary

    async def top_up(self, budget: str, tokens: int, identity: str) -> None:
        """Top a budget up with the operator command."""
        code, output = await self.run_operator(
            "topup",
            budget,
            str(tokens),
            f"--id={identity}",
            f"--platform={self.platform}",
        )
        if code:
            raise RuntimeError(output)

    async def usage(self) -> dict[str, Any]:
        """Return each budget's figures from the operator command."""
        _, output = await self.run_operator(
            "usage", f"--platform={self.platform}", "--output=json"
        )
        return {row["budget"]: row for row in json.loads(output)}

    async def set_faults(self, address: Address, **faults: Any) -> None:
        """Switch a stand-in's faults."""
        body = dump_json(faults)
        await self.http.call(address, "POST", "/control/faults", [JSON_TYPE], body)

    async def audit(self, name: str) -> dict[str, Any]:
        """Return what a target says that it ran."""
        answer = await self.http.call(self.addresses[name], "GET", "/audit")
        value: dict[str, Any] = json.loads(answer.body)
        return value

    async def status(self, name: str) -> dict[str, Any]:
        """Return a router's own account of its state."""
        headers = [("authorization", f"Bearer {OPERATOR_TOKEN}")]
        answer = await self.http.call(self.operators[name], "GET", "/status", headers)
        value: dict[str, Any] = json.loads(answer.body)
        return value

    def stop(self) -> None:
        """End every process that this fleet started."""
        for process in self.processes.values():
            process.end()
        self.http.close()

    def read_logs(self) -> str:
        """Return the last lines of every log, for a failure's report."""
        parts = []
        for name, process in self.processes.items():
            lines = process.log.read_text(errors="replace").splitlines()[-_LAST_LINES:]
            parts.append(f"--- {name}\n" + "\n".join(lines))
        return "\n".join(parts)
