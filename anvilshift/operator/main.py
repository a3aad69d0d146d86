"""The `anvilshift` command."""

import asyncio
import json
import pathlib
import sys
import uuid
from collections.abc import Coroutine
from dataclasses import asdict
from typing import Any

import fire
from absl import logging

from anvilshift.core.clock import SECOND, MonotonicClock
from anvilshift.core.errors import BAD_DECLARATION, BAD_SETTINGS, AnvilshiftError
from anvilshift.objects.store import ConflictError, HttpObjectStore
from anvilshift.operator.calling import Calls
from anvilshift.operator.checking import ERROR, cross_check
from anvilshift.operator.explaining import explain
from anvilshift.operator.platformside import (
    compare,
    forget_router,
    read_fleet,
    read_stored,
    read_usage,
    top_up,
    wait_accepted,
    write_differences,
)
from anvilshift.operator.standins import Standins
from anvilshift.router.daemon import Router
from anvilshift.settings.declarations import parse_declaration, read_documents
from anvilshift.settings.router import RouterSettings
from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.messages import Address

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


def _read_secret(given: str) -> str:
    """Return a credential given as it is, or as ``@file``.

    A command line can be read by every user of the machine; a file need not.
    """
    text = str(given)
    if not text.startswith("@"):
        return text
    try:
        return pathlib.Path(text[1:]).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise AnvilshiftError(BAD_SETTINGS, f"{text[1:]}: {error}") from error


def _open(platform: str, credential: str = "") -> HttpObjectStore:
    secret = _read_secret(credential)
    return HttpObjectStore(HttpClient(), Address.parse(platform), secret)


def _run(work: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(work)


class Commands(Calls):
    """Operate a fleet of anvilshift routers.

    Example: anvilshift apply declarations --platform 127.0.0.1:7000
    """

    def __init__(self) -> None:
        self.standin = Standins()

    def router(self, settings: str, check: bool = False) -> None:
        """Run a router, or only check its settings.

        Example: anvilshift router --settings router.yaml
        """
        read = RouterSettings.from_file(settings)
        if check:
            print(f"{settings}: well formed")
            return

        async def serve() -> int:
            return await Router(read).run()

        sys.exit(_run(serve()))

    def check(self, directory: str, output: str = "text") -> None:
        """Check declarations, each and against each other, without the platform.

        Exit code 2 says that one is wrong; warnings leave it at 0.

        Example: anvilshift check declarations
        """
        documents = read_documents(directory)
        declarations = [
            parse_declaration(body, f"{kind}/{name}")
            for (kind, name), body in documents.items()
        ]
        findings = cross_check(declarations)
        summary = {
            "declarations": len(documents),
            "findings": [vars(item) for item in findings],
        }
        _print(summary if output == "json" else summary["findings"], output)
        if output != "json":
            print(f"{len(documents)} declarations, {len(findings)} findings")
        if any(item.severity == ERROR for item in findings):
            sys.exit(EXIT_USAGE)

    def diff(
        self,
        directory: str,
        platform: str,
        credential: str = "",
        prune: bool = False,
        output: str = "text",
    ) -> None:
        """Show what `apply` would change.

        Example: anvilshift diff declarations --platform 127.0.0.1:7000
        """
        documents = read_documents(directory)
        stored = _run(read_stored(_open(platform, credential)))
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
        """Store declarations and wait until every router has them in force.

        Exit code 3 says that another operator won a race, 4 that the change is
        stored and waits for a router.

        Example: anvilshift apply declarations --platform 127.0.0.1:7000
        """
        documents = read_documents(directory)

        async def work() -> int:
            store = _open(platform, credential)
            stored = await read_stored(store)
            differences = compare(documents, stored, prune)
            newest, lost = await write_differences(store, documents, differences)
            rows = [vars(d) for d in differences]
            acceptance = await wait_accepted(
                store, MonotonicClock(), newest, timeout * SECOND
            )
            summary: dict[str, Any] = {
                "changes": rows,
                "lost_races": [vars(d) for d in lost],
                "revision": newest,
                "accepted": acceptance.accepted and not lost,
                "waiting_for": list(acceptance.waiting),
            }
            _print(summary, output)
            if lost:
                return EXIT_CONFLICT
            return 0 if acceptance.accepted else EXIT_WAITING

        sys.exit(_run(work()))

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
        stored = _run(read_stored(_open(platform, credential)))
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
        """Show which engines an organisation may use, and which policy says so.

        Example: anvilshift explain kosice --platform 127.0.0.1:7000
        """
        stored = _run(read_stored(_open(platform, credential)))
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
        """Add prepaid tokens to a budget; the same id adds them once.

        Example: anvilshift topup pounds 500000 --id invoice-17 \
--platform 127.0.0.1:7000
        """
        if not isinstance(tokens, int) or tokens <= 0:
            raise AnvilshiftError(BAD_DECLARATION, "tokens must be a number above 0")
        identity = str(id) or uuid.uuid4().hex
        total = _run(top_up(_open(platform, credential), budget, tokens, identity))
        _print({"budget": budget, "id": identity, "total": total}, output)

    def usage(self, platform: str, credential: str = "", output: str = "text") -> None:
        """Show what each budget has and has spent.

        Example: anvilshift usage --platform 127.0.0.1:7000
        """
        found = _run(read_usage(_open(platform, credential)))
        rows = [{"budget": name, **row} for name, row in found.items()]
        _print(rows, output)

    def status(
        self,
        address: str = "",
        token: str = "",
        platform: str = "",
        credential: str = "",
        output: str = "text",
    ) -> None:
        """Show one router's state, or with --platform that of the whole fleet.

        Example: anvilshift status 127.0.0.1:8091 --token @operator.token
        """
        if platform:
            _print(_run(read_fleet(_open(platform, credential))), output)
            return
        if not address:
            detail = "expected a router's operator address, or --platform"
            raise AnvilshiftError(BAD_SETTINGS, detail)
        _print(_run(_ask_router("GET", address, "/status", token)), output)

    def drain(self, address: str, token: str, output: str = "text") -> None:
        """Begin a router's planned stop, asked at its operator address.

        Example: anvilshift drain 127.0.0.1:8091 --token @operator.token
        """
        _print(_run(_ask_router("POST", address, "/drain", token)), output)

    def forget(
        self, router: str, platform: str, credential: str = "", output: str = "text"
    ) -> None:
        """Remove the record of a router that is known to have ended.

        Only for one that the others can't remove, because most of them were
        lost with it; if it still runs, it may serve under old declarations.

        Example: anvilshift forget r3 --platform 127.0.0.1:7000
        """
        found = _run(forget_router(_open(platform, credential), str(router)))
        _print({"router": str(router), "forgotten": found}, output)
        if not found:
            sys.exit(EXIT_FAILED)


async def _ask_router(method: str, address: str, path: str, token: str) -> Any:
    headers = [("authorization", f"Bearer {_read_secret(token)}")]
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
        detail = f"{address} answered {answer.status} and nothing that can be read"
    print(detail, file=sys.stderr)
    sys.exit(EXIT_FAILED)


def run() -> None:
    """Run the command line."""
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
