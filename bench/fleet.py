"""Run a fleet of processes on the loopback interface for demo, benches and tests."""

import asyncio
import hashlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

import yaml

from anvilshift.wire.client import HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address
from anvilshift.wire.response import ExchangeError
from bench.ports import take_free_port

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
OPERATOR_TOKEN = "operator-token"
_COMMAND = "anvilshift.operator.main"
_STANDINS = "anvilshift.operator.standins"
"""A stand-in that loads no router starts with an eighth of the processor time."""
_START_TIMEOUT_S = 20.0
_LOG_TAIL_LINES = 60
_POLL_INTERVAL_S = 0.02


def make_address() -> Address:
    """Return a loopback address with a free port."""
    return Address("127.0.0.1", take_free_port())


async def wait_until(condition: Callable[[], Any], timeout: float = 20.0) -> Any:
    """Poll a function or coroutine function until its value is true; return it."""
    until = time.monotonic() + timeout
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > until:
            raise TimeoutError(f"waited {timeout} s, condition not met: {condition}")
        await asyncio.sleep(_POLL_INTERVAL_S)


class Process:
    """One process of the fleet; signals go to its process id only."""

    def __init__(
        self, name: str, module: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.log = log
        self.command = [sys.executable, "-m", module, *arguments]
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                self.command, stdout=output, stderr=subprocess.STDOUT, cwd=ROOT
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process is running."""
        return self._process.poll()

    async def wait(self, timeout: float = 40.0) -> int:
        """Wait for the process to exit; return its exit code."""
        await wait_until(lambda: self._process.poll() is not None, timeout)
        return int(self._process.returncode)

    def end(self) -> None:
        """Kill the process, also when it is paused, and wait for its exit."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait()


class LocalFleet:
    """Stand-ins and routers as processes on free loopback ports.

    Parameters
    ----------
    domains
        Failure domains of the routers; the fleet has one router per entry.
    engine_options
        Additional command-line flags for every engine stand-in.
    router_options
        Additional settings for every router.
    examples
        Directory of the declarations, which are copied with free addresses.
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
        """Return the names of the routers: r1, r2, …."""
        return [f"r{index + 1}" for index in range(len(self._domains))]

    async def start(self) -> None:
        """Start all processes and wait until every router is ready."""
        self.start_process(
            "platform", _STANDINS, ["platform", "--listen", str(self.platform)]
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
        """Return the directory of declarations with the addresses of this fleet."""
        return self.directory / "declarations"

    def _start_target(self, engine: dict[str, Any], target: str) -> None:
        name, address = engine["name"], make_address()
        engine["address"] = str(address)
        self.addresses[name] = address
        if name in self.relayed:
            engine["address"] = str(self.start_relay(f"net-{name}", address))
        self.start_target(engine["name"], "engine" if target == "model" else "service")

    def start_target(self, name: str, kind: str) -> None:
        """Start the stand-in process of a target at its address."""
        arguments = [kind, "--listen", str(self.addresses[name])]
        if kind == "engine":
            arguments += self._engine_options
        self.start_process(name, _STANDINS, arguments)

    def start_process(self, name: str, module: str, arguments: list[str]) -> Process:
        """Start a process and register it under a name."""
        log = self.directory / f"{name}.log"
        self.processes[name] = Process(name, module, arguments, log)
        return self.processes[name]

    def start_router(self, index: int) -> str:
        """Start or restart a router; a restart reuses its addresses."""
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
        self.start_process(name, _COMMAND, ["router", "--settings", str(path)])
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
        """Start a relay that injects network faults; return its listening address.

        `set_faults` at ``controls[name]`` sets the faults.  Each target listed in
        `relayed` gets a relay of its own, named ``net-`` plus the target's name.
        """
        listen, control = make_address(), make_address()
        self.controls[name] = control
        self.start_process(
            name,
            _STANDINS,
            [
                "relay",
                f"--listen={listen}",
                f"--target={target}",
                f"--control={control}",
            ],
        )
        return listen

    async def wait_ready(self, name: str) -> None:
        """Wait until the readiness probe of a router succeeds.

        Raises
        ------
        TimeoutError
            If it is not ready in time, with the last lines of its log.
        """
        try:
            await wait_until(lambda: self._is_ready(name), _START_TIMEOUT_S)
        except TimeoutError as error:
            process = self.processes[name]
            lines = process.log.read_text().splitlines()[-_LOG_TAIL_LINES:]
            state = f"{name} is not ready, exit code {process.exit_code}"
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
        """Run an operator command; return its exit code and output."""
        command = [sys.executable, "-m", _COMMAND, *arguments]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, cwd=ROOT
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def apply(self, directory: pathlib.Path | None = None) -> dict[str, Any]:
        """Apply declarations with the operator command; return its summary."""
        _, output = await self.run_operator(
            "apply",
            str(directory or self.declarations),
            f"--platform={self.platform}",
            "--output=json",
        )
        summary: dict[str, Any] = json.loads(output)
        return summary

    async def top_up(self, budget: str, tokens: int, identity: str) -> None:
        """Add tokens to a budget with the operator command."""
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
        """Return the usage of each budget as the operator command prints it."""
        _, output = await self.run_operator(
            "usage", f"--platform={self.platform}", "--output=json"
        )
        return {row["budget"]: row for row in json.loads(output)}

    async def set_faults(self, address: Address, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        body = dump_json(faults)
        await self.http.call(address, "POST", "/control/faults", [JSON_TYPE], body)

    async def audit(self, name: str) -> dict[str, Any]:
        """Return the audit record of the requests that a target executed."""
        answer = await self.http.call(self.addresses[name], "GET", "/audit")
        value: dict[str, Any] = json.loads(answer.body)
        return value

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status that a router reports to operators."""
        headers = [("authorization", f"Bearer {OPERATOR_TOKEN}")]
        answer = await self.http.call(self.operators[name], "GET", "/status", headers)
        value: dict[str, Any] = json.loads(answer.body)
        return value

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for process in self.processes.values():
            process.end()
        self.http.close()

    def read_logs(self) -> str:
        """Return the last lines of every log, to explain a failure."""
        parts = []
        for name, process in self.processes.items():
            lines = process.log.read_text(errors="replace").splitlines()[
                -_LOG_TAIL_LINES:
            ]
            parts.append(f"--- {name}\n" + "\n".join(lines))
        return "\n".join(parts)
