"""Send answers to callers, as server-sent events or as one JSON object."""

import asyncio
import contextlib
import json
from typing import Any

from anvilshift.core.claims import Answer
from anvilshift.core.errors import NOT_RECORDED, AnvilshiftError
from anvilshift.router.requests import Job
from anvilshift.router.runs import Run
from anvilshift.wire.errorreplies import render_error
from anvilshift.wire.events import Event
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import EVENT_STREAM_TYPE, JSON_TYPE, HeaderFields, Reply
from anvilshift.wire.responder import Responder

REQUEST_ID_HEADER = "anvilshift-request"


def _make_headers(job: Job) -> HeaderFields:
    return [(REQUEST_ID_HEADER, job.key)]


def _make_usage(run: Run) -> dict[str, int]:
    usage = run.usage
    prompt, answer = (usage.prompt, usage.answer) if usage else (0, 0)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "total_tokens": prompt + answer,
    }


def make_completion(run: Run) -> dict[str, Any]:
    """Return a complete answer as a chat completion object."""
    message = {"role": "assistant", "content": run.text.whole()}
    choice = {"index": 0, "message": message, "finish_reason": run.finish}
    return {
        "id": run.job.key,
        "object": "chat.completion",
        "model": run.job.route.name,
        "choices": [choice],
        "usage": _make_usage(run),
    }


class _ChunkEncoder:
    """Encode the chunks of one answer.

    The fields that all chunks share are encoded only once.
    """

    def __init__(self, job: Job) -> None:
        shared = {
            "id": job.key,
            "object": "chat.completion.chunk",
            "model": job.route.name,
        }
        self._prefix = f"{json.dumps(shared)[:-1]}, "

    def encode(self, text: str, identity: str) -> bytes:
        """Return a chunk as an event whose id allows the caller to resume."""
        choice = f'{{"index": 0, "delta": {{"content": {json.dumps(text)}}}'
        data = f'{self._prefix}"choices": [{choice}, "finish_reason": null}}]}}'
        return Event(data, identity).encode()


def _encode_final_events(run: Run) -> bytes:
    choice = {"index": 0, "delta": {}, "finish_reason": run.finish}
    chunk = {
        "id": run.job.key,
        "object": "chat.completion.chunk",
        "model": run.job.route.name,
        "choices": [choice],
        "usage": _make_usage(run),
    }
    return Event(json.dumps(chunk)).encode() + Event("[DONE]").encode()


async def send_stream(
    run: Run,
    job: Job,
    responder: Responder,
    recorded: asyncio.Future[Answer] | None = None,
) -> None:
    """Stream a run as events; each id holds the run's tag and the character offset.

    The response headers are sent together with the first text, so that a request
    that is refused before gets an HTTP status of its own. A later error is sent as
    an event, and the stream then ends without its `[DONE]` event.

    Parameters
    ----------
    recorded
        The outcome of claimed work. The `[DONE]` event is sent only after the
        outcome has been recorded.
    """
    offset = job.resume_from
    encoder = _ChunkEncoder(job)
    try:
        async with contextlib.aclosing(run.read(offset)) as texts:
            async for text in texts:
                if not responder.started:
                    await responder.start(
                        200, [EVENT_STREAM_TYPE, *_make_headers(job)], hold=True
                    )
                offset += len(text)
                chunk = encoder.encode(text, f"{run.tag}-{offset}")
                await responder.write(chunk)
        if recorded is not None:
            await recorded
    except AnvilshiftError as failure:
        error = await _select_error(failure, recorded)
        if not responder.started:
            raise error from failure
        await responder.write(Event(render_error(error).body.decode()).encode())
        await responder.finish()
        return
    if not responder.started:
        await responder.start(200, [EVENT_STREAM_TYPE, *_make_headers(job)], hold=True)
    await responder.finish(_encode_final_events(run))


async def _select_error(
    failure: AnvilshiftError, recorded: asyncio.Future[Answer] | None
) -> AnvilshiftError:
    """Return the error to send to the caller.

    For claimed work this is the error that its claim ends with, if any.
    """
    if recorded is None:
        return failure
    try:
        await recorded
    except AnvilshiftError as error:
        return error
    return failure


async def read_whole(run: Run) -> Answer:
    """Wait until a run ends and return its complete answer."""
    async with contextlib.aclosing(run.read(len(run.text))) as texts:
        async for _ in texts:
            pass
    body = dump_json(make_completion(run)).decode()
    return Answer(200, JSON_TYPE[1], body)


async def send_answer(answer: Answer, job: Job, responder: Responder) -> None:
    """Send a complete answer, as a stream or an object as the caller requested.

    Raises
    ------
    AnvilshiftError
        If the recorded answer doesn't start with the text that a resuming caller
        has received.
    """
    headers = [("content-type", answer.content_type), *_make_headers(job)]
    if not job.stream:
        await responder.send(Reply(answer.status, headers, answer.body.encode()))
        return
    completion = json.loads(answer.body)
    text = completion["choices"][0]["message"]["content"]
    if not text.startswith(job.received):
        detail = "the recorded answer doesn't start with anvilshift.received"
        raise AnvilshiftError(NOT_RECORDED, detail)
    await responder.start(200, [EVENT_STREAM_TYPE, *_make_headers(job)], hold=True)
    remaining = text[job.resume_from :]
    await responder.write(_ChunkEncoder(job).encode(remaining, str(len(text))))
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    last = {"choices": [choice], "usage": completion["usage"]}
    await responder.write(Event(json.dumps(last)).encode())
    await responder.write(Event("[DONE]").encode())
    await responder.finish()
