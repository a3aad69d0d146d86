"""Define the `anvilshift` command, its subcommands and its exit codes."""

import asyncio
import json
import sys
import uuid
from collections.abc import Coroutine, Iterable, Iterator
from dataclasses import asdict
from typing import Any

import fire
from absl import logging

from anvilshift.core.clock import SECOND, MonotonicClock
from anvilshift.core.errors import BAD_DECLARATION, BAD_SETTINGS, AnvilshiftError
from anvilshift.objects.store import ConflictError, HttpObjectStore
from anvilshift.operator.administration import (
    apply_differences,
    compare,
    delete_router_record,
    read_fleet,
    read_stored,
    read_usage,
    top_up,
    wait_until_in_force,
)
from anvilshift.operator.calling import CallCommand
from anvilshift.operator.checking import CheckCommand
from anvilshift.operator.explanations import explain
from anvilshift.operator.logs import (
    LogLine,
    count_unserved,
    format_cause,
    format_line,
    read_lines,
    trace_request,
)
from anvilshift.operator.secrets import read_secret
from anvilshift.operator.standins import StandinCommands
from anvilshift.settings.declarations import parse_declaration, read_documents
from anvilshift.settings.router import RouterSettings
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_WAITING = 4
_ACCEPT_TIMEOUT_S = 10.0


def _print(value: Any, output: str) -> None:
    if output == "json":
        print(json.dumps(value, indent=2))
        return
    rows = value if isinstance(value, list) else [value]
    for row in rows:
        if isinstance(row, dict):
            print("  ".join(f"{key}={item}" for key, item in row.items()))
        else:
            print(row)


def _read_log_files(files: Iterable[str]) -> Iterator[LogLine]:
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                yield from read_lines(file)
        except OSError as error:
            raise AnvilshiftError(BAD_SETTINGS, f"{name}: {error}") from error


def _open_store(platform: str, credential: str = "") -> HttpObjectStore:
    secret = read_secret(credential)
    return HttpObjectStore(HttpClient(), Address.parse(platform), secret)


def _run_coroutine(coroutine: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(coroutine)


class Commands(CallCommand, CheckCommand):
    """Operate a fleet of anvilshift routers.

    Example: anvilshift apply declarations --platform 127.0.0.1:7000
    """

    def __init__(self) -> None:
        self.standin = StandinCommands()

    def router(self, settings: str, check: bool = False) -> None:
        """Run a router, or with --check only validate its settings.

        Example: anvilshift router --settings router.yaml
        """
        # The other commands start in half the time without it.
        from anvilshift.router.daemon import Router

        router_settings = RouterSettings.from_file(settings)
        if check:
            print(f"{settings}: well formed")
            return

        async def serve() -> int:
            return await Router(router_settings).run()

        sys.exit(_run_coroutine(serve()))

    def trace(self, identity: str, *files: str) -> None:
        """Print the log lines about one request from all routers, in order of time.

        Example: anvilshift trace 113a563bb0e7db39 r1.log r2.log
        """
        lines = _read_log_files(files)
        for line in trace_request(lines, str(identity)):
            print(format_line(line))

    def unserved(self, *files: str) -> None:
        """Count the requests that weren't answered, by cause, time and organisation.

        Example: anvilshift unserved r1.log r2.log
        """
        for cause in count_unserved(_read_log_files(files)):
            print(format_cause(cause))

    def diff(
        self,
        directory: str,
        platform: str,
        credential: str = "",
        prune: bool = False,
        output: str = "text",
    ) -> None:
        """Show the changes that `apply` would make.

        Example: anvilshift diff declarations --platform 127.0.0.1:7000
        """
        documents = read_documents(directory)
        stored = _run_coroutine(read_stored(_open_store(platform, credential)))
        _print([vars(d) for d in compare(documents, stored, prune)], output)

    def apply(
        self,
        directory: str,
        platform: str,
        credential: str = "",
        prune: bool = False,
        timeout: float = _ACCEPT_TIMEOUT_S,
        output: str = "text",
    ) -> None:
        """Store declarations and wait until they are in force on every router.

        Exit code 3 means that another operator changed a declaration
        concurrently, 4 that the changes are stored but a router has not put
        them in force before the timeout.

        Example: anvilshift apply declarations --platform 127.0.0.1:7000
        """
        documents = read_documents(directory)

        async def apply_documents() -> int:
            store = _open_store(platform, credential)
            stored = await read_stored(store)
            differences = compare(documents, stored, prune)
            revision, conflicting = await apply_differences(
                store, documents, differences
            )
            rows = [vars(d) for d in differences]
            acceptance = await wait_until_in_force(
                store, MonotonicClock(), revision, timeout * SECOND
            )
            summary: dict[str, Any] = {
                "changes": rows,
                "lost_races": [vars(d) for d in conflicting],
                "revision": revision,
                "accepted": acceptance.accepted and not conflicting,
                "waiting_for": list(acceptance.waiting),
            }
            _print(summary, output)
            if conflicting:
                return EXIT_CONFLICT
            return 0 if acceptance.accepted else EXIT_WAITING

        sys.exit(_run_coroutine(apply_documents()))

    def get(
        self,
        platform: str,
        kind: str = "",
        name: str = "",
        credential: str = "",
        output: str = "text",
    ) -> None:
        """Show stored declarations.

        Example: anvilshift get --kind Budget --platform 127.0.0.1:7000
        """
        stored = _run_coroutine(read_stored(_open_store(platform, credential)))
        rows = [
            item.body
            for key, item in sorted(stored.items())
            if kind in ("", key[0]) and name in ("", key[1])
        ]
        _print(rows, output)

    def explain(
        self,
        organisation: str,
        platform: str,
        engine: str = "",
        credential: str = "",
        output: str = "text",
    ) -> None:
        """Show which engines an organisation may use and which policy decides it.

        Example: anvilshift explain kosice --platform 127.0.0.1:7000
        """
        stored = _run_coroutine(read_stored(_open_store(platform, credential)))
        declarations = [
            parse_declaration(item.body, f"{item.kind}/{item.name}")
            for item in stored.values()
        ]
        rows = explain(declarations, str(organisation), str(engine))
        if output == "json":
            _print([asdict(row) for row in rows], output)
            return
        for row in rows:
            verdict = f"priority {row.priority}" if row.allowed else "not allowed"
            print(f"{row.engine} ({row.group}): {verdict}: {row.why}")
            for item in row.policies:
                print(f"    {item.policy} priority {item.priority}: {item.outcome}")

    def topup(
        self,
        budget: str,
        tokens: int,
        platform: str,
        id: str = "",
        credential: str = "",
        output: str = "text",
    ) -> None:
        """Add prepaid tokens to a budget; repeating it with the same id adds none.

        Example: anvilshift topup pounds 500000 --id invoice-17 \
--platform 127.0.0.1:7000
        """
        if not isinstance(tokens, int) or tokens <= 0:
            raise AnvilshiftError(
                BAD_DECLARATION, "tokens must be an integer greater than 0"
            )
        top_up_id = str(id) or uuid.uuid4().hex
        total = _run_coroutine(
            top_up(_open_store(platform, credential), budget, tokens, top_up_id)
        )
        _print({"budget": budget, "id": top_up_id, "total": total}, output)

    def usage(self, platform: str, credential: str = "", output: str = "text") -> None:
        """Show the total, spent, held and free tokens of each budget.

        Example: anvilshift usage --platform 127.0.0.1:7000
        """
        usage_by_budget = _run_coroutine(read_usage(_open_store(platform, credential)))
        rows = [{"budget": name, **row} for name, row in usage_by_budget.items()]
        _print(rows, output)

    def status(
        self,
        address: str = "",
        token: str = "",
        platform: str = "",
        credential: str = "",
        output: str = "text",
    ) -> None:
        """Show the state of one router, or with --platform of the whole fleet.

        Example: anvilshift status 127.0.0.1:8091 --token @operator.token
        """
        if platform:
            _print(
                _run_coroutine(read_fleet(_open_store(platform, credential))), output
            )
            return
        if not address:
            detail = "expected a router's operator address, or --platform"
            raise AnvilshiftError(BAD_SETTINGS, detail)
        _print(_run_coroutine(_call_router("GET", address, "/status", token)), output)

    def drain(self, address: str, token: str, output: str = "text") -> None:
        """Ask a router at its operator address to begin a planned stop.

        Example: anvilshift drain 127.0.0.1:8091 --token @operator.token
        """
        _print(_run_coroutine(_call_router("POST", address, "/drain", token)), output)

    def forget(
        self, router: str, platform: str, credential: str = "", output: str = "text"
    ) -> None:
        """Remove the record of a router that is known to have terminated.

        Use it only if the other routers can't remove the record because most
        of them were lost at the same time. If the router is still running, it
        may go on serving with outdated declarations.

        Example: anvilshift forget r3 --platform 127.0.0.1:7000
        """
        removed = _run_coroutine(
            delete_router_record(_open_store(platform, credential), str(router))
        )
        _print({"router": str(router), "forgotten": removed}, output)
        if not removed:
            sys.exit(EXIT_FAILED)


async def _call_router(method: str, address: str, path: str, token: str) -> Any:
    headers = [("authorization", f"Bearer {read_secret(token)}")]
    answer = await HttpClient().call(
        Address.parse(address), method, path, headers, timeout=5 * SECOND
    )
    try:
        value = json.loads(answer.body)
        if answer.status < 300:
            return value
        error = value["error"]
        detail = f"{error['code']} {error['name']}: {error['message']}"
    except (ValueError, KeyError, TypeError):
        detail = f"{address} answered {answer.status} with a body that can't be parsed"
    print(detail, file=sys.stderr)
    sys.exit(EXIT_FAILED)


def run() -> None:
    """Run the command line and exit with its exit code."""
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    try:
        fire.Fire(Commands, name="anvilshift")
    except ConflictError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_CONFLICT)
    except AnvilshiftError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE if error.code.number in (6001, 6002) else EXIT_FAILED)
    except ExchangeError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except ValueError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    run()
