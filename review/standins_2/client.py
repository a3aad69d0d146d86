"""Callers' requests, by PROTOCOL.md."""

import asyncio
import secrets
from dataclasses import dataclass

from review.standins_2.http import Message, read_message
from review.standins_2.routers import Router

HOST, KEY = "ficu95.example", "n2ctnfzs989anu6wsjnb"


@dataclass
class Attempt:
    """One attempt of a caller and its answer; status 0 for a lost connection."""

    identity: str
    router: Router
    status: int = 0
    answer: Message | None = None


def make_request(
    router: Router,
    method: str,
    path: str,
    deadline_ms: int,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
    host: str = HOST,
) -> tuple[Attempt, bytes]:
    """Return a new attempt at a machine, and the bytes of its request."""
    attempt = Attempt(secrets.token_hex(8), router)
    fields = [
        ("Host", host),
        ("Anvilshift-Attempt-Id", attempt.identity),
        ("Anvilshift-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
        *(headers or []),
        ("Content-Length", str(len(body))),
    ]
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields), "", ""]
    return attempt, "\r\n".join(lines).encode() + body


async def send(
    router: Router,
    method: str,
    path: str,
    deadline_ms: int,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
    host: str = HOST,
) -> Attempt:
    """Send one attempt on a connection of its own and read the whole answer."""
    attempt, data = make_request(router, method, path, deadline_ms, headers, body, host)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            reader, writer = await asyncio.open_connection(router.ip, router.front)
            writer.write(data)
            attempt.answer = await read_message(reader, True)
            attempt.status = attempt.answer.status
    except (OSError, EOFError, TimeoutError, ValueError):
        attempt.status = 0
    finally:
        if writer is not None:
            writer.close()
    return attempt
