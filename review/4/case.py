"""A router is stopped as planned while requests wait there for its full link."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common.deployment import (
    STREAM_FIELDS,
    TROUBLE,
    Deployment,
    make_configuration,
    make_route,
    make_stream_route,
    run_case,
)
from common.http import Caller, Message, write_head

_LINK_MBPS = 12.0
_UPLOADS, _UPLOAD_BYTES = 3, 4 * 1024 * 1024
_CHATS = 12
_STEP_S = 0.05
_READ_S = 0.2
"""Time from the sending of the chats to the SIGTERM."""


async def _work(request: Message) -> bytes:
    await asyncio.sleep(0.045)
    return b"done"


async def _upload(deployment: Deployment, ip: str) -> None:
    """Send a long body, at this client's part of the router's link."""
    identity = deployment.name_attempt()
    fields = [
        ("Host", "ficu95.example"),
        ("Anvilshift-Attempt-Id", identity),
        ("Anvilshift-Deadline-Ms", "30000"),
        ("Authorization", "Bearer key-hule930"),
    ]
    head = write_head("POST /files/2f HTTP/1.1", fields, b"x" * _UPLOAD_BYTES)
    deployment.record.note(f"client begins to send {identity}: {_UPLOAD_BYTES} bytes")
    reader, writer = await asyncio.open_connection(ip, deployment.front)
    step = int(_LINK_MBPS * 125_000 / _UPLOADS * _STEP_S)
    for begin in range(0, len(head), step):
        writer.write(head[begin : begin + step])
        await writer.drain()
        await asyncio.sleep(_STEP_S)
    deployment.record.note(f"client has sent {identity}")
    answer = await reader.readline()
    deployment.record.note(f"client: {identity} is answered {answer!r}")
    writer.close()


async def play(deployment: Deployment) -> bool:
    """Stop a router; return whether each chat that it has read was answered."""
    engine = deployment.make_engine("pound-advisor", _work, slots=64)
    files = deployment.make_engine("file-desk", _work)
    for one in (engine, files):
        await one.start()
    routes = [
        make_stream_route("r-chat", "/chat/", "pound-advisor"),
        make_route("r-files", "/files/", "non_idempotent", "file-desk", 30000),
    ]
    configuration = make_configuration(7, routes, ["file-desk"], ["pound-advisor"])
    deployment.store.put("config", "main", configuration)
    await deployment.start(settle=4.5)
    ip = deployment.ips[0]
    callers = [Caller((ip, deployment.front)) for _ in range(_CHATS)]
    firsts = [
        deployment.ask(caller, "POST", "/chat/2f", body=b"first", extra=STREAM_FIELDS)
        for caller in callers
    ]
    for _, _, status in await asyncio.gather(*firsts):
        assert status == 200, "a first chat was not served"
    uploads = [asyncio.create_task(_upload(deployment, ip)) for _ in range(_UPLOADS)]
    while not files.arrivals and not all(one.done() for one in uploads):
        await asyncio.sleep(0.01)
    chats = []
    for caller in callers:
        ask = deployment.ask(
            caller,
            "POST",
            "/chat/2f",
            body=b"question",
            deadline=15.0,
            extra=STREAM_FIELDS,
        )
        chats.append(asyncio.create_task(ask))
    await asyncio.sleep(_READ_S)
    if TROUBLE:
        deployment.signal(ip, signal.SIGTERM)
    results = await asyncio.gather(*chats)
    lost = [one for one, end, _ in results if end == "closed"]
    ran = [one for one in lost if one in engine.runs]
    deployment.record.note(f"ended without an answer: {lost}; of these ran: {ran}")
    return not lost


if __name__ == "__main__":
    run_case(__file__, play, link=_LINK_MBPS)
