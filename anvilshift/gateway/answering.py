"""Send callers the answers that report errors."""

from dataclasses import replace

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError, ExecutionState, ShortRoomError
from anvilshift.gateway.journal import Journal
from anvilshift.wire.errorreplies import render_error
from anvilshift.wire.responder import CallerDisconnectedError, Responder


async def send_error(
    responder: Responder, error: AnvilshiftError, journal: Journal
) -> None:
    """Send the answer that reports an error, or cut off an answer that has begun.

    Only a request that wasn't run is told when to come back.
    """
    if responder.started:
        # The caller must see that an answer that ends early is incomplete.
        responder.abort()
        return
    reply = render_error(error)
    headers = [(n, v) for n, v in reply.headers if n != "retry-after"]
    if error.retry_after is not None and error.code.fate is ExecutionState.NOT_RUN:
        headers.append(("retry-after", f"{error.retry_after / SECOND:.3f}"))
    if isinstance(error, ShortRoomError):
        headers.append(("connection", "close"))
    try:
        await responder.send(replace(reply, headers=headers))
    except CallerDisconnectedError:
        journal.write("caller_gone", code=error.code.number)
