"""Write runs to callers: server-sent events, or one JSON object."""

import asyncio
import contextlib
import json
from typing import Any

from anvilshift.core.claims import Answer
from anvilshift.core.errors import NOT_RECORDED, AnvilshiftError
from anvilshift.router.requests import Job
from anvilshift.router.runs import Run
from anvilshift.wire.events import Event
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import EVENT_STREAM_TYPE, JSON_TYPE, Fields, Reply
from anvilshift.wire.server import Responder, render_error

REQUEST_HEADER = "anvilshift-request"


def _head(job: Job) -> Fields:
    return [(REQUEST_HEADER, job.key)]


def _usage(run: Run) -> dict[str, int]:
    usage = run.usage
    prompt, answer = (usage.prompt, usage.answer) if usage else (0, 0)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "total_tokens": prompt + answer,
    }


def make_completion(run: Run) -> dict[str, Any]:
    """Return a whole answer as a chat completion."""
    message = {"role": "assistant", "content": run.text.whole()}
    choice = {"index": 0, "message": message, "finish_reason": run.finish}
    return {
        "id": run.job.key,
        "object": "chat.completion",
        "model": run.job.route.name,
        "choices": [choice],
        "usage": _usage(run),
    }


class _ChunkEncoder:
    """Encode the pieces of one answer; what they share is encoded once."""

    def __init__(self, job: Job) -> None:
        shared = {
            "id": job.key,
            "object": "chat.completion.chunk",
            "model": job.route.name,
        }
        self._head = f"{json.dumps(shared)[:-1]}, "

    def encode(self, text: str, identity: str) -> bytes:
        """Return a piece as an event with an id to resume from."""
        choice = f'{{"index": 0, "delta": {{"content": {json.dumps(text)}}}'
        data = f'{self._head}"choices": [{choice}, "finish_reason": null}}]}}'
        return Event(data, identity).encode()


def _encode_last(run: Run) -> bytes:
    choice = {"index": 0, "delta": {}, "finish_reason": run.finish}
    chunk = {
        "id": run.job.key,
        "object": "chat.completion.chunk",
        "model": run.job.route.name,
        "choices": [choice],
        "usage": _usage(run),
    }
    return Event(json.dumps(chunk)).encode() + Event("[DONE]").encode()


async def write_stream(
    run: Run,
    job: Job,
    responder: Responder,
    recorded: asyncio.Future[Answer] | None = None,
) -> None:
    """Write a run as events whose ids name it and count the characters so far.

    The head is sent with the first text, so that a refusal still has its own
    status; an error after that is an event, and the stream ends without its
    end mark.

    Parameters
    ----------
    recorded
        The outcome of claimed work; the end mark waits until it is recorded.
    """
    offset = job.resume_from
    encoder = _ChunkEncoder(job)
    try:
        async with contextlib.aclosing(run.read(offset)) as texts:
            async for text in texts:
                if not responder.started:
                    await responder.start(
                        200, [EVENT_STREAM_TYPE, *_head(job)], hold=True
                    )
                offset += len(text)
                chunk = encoder.encode(text, f"{run.tag}-{offset}")
                await responder.write(chunk)
        if recorded is not None:
            await recorded
    except AnvilshiftError as failure:
        error = await _find_error(failure, recorded)
        if not responder.started:
            raise error from failure
        await responder.write(Event(render_error(error).body.decode()).encode())
        await responder.finish()
        return
    if not responder.started:
        await responder.start(200, [EVENT_STREAM_TYPE, *_head(job)], hold=True)
    await responder.finish(_encode_last(run))


async def _find_error(
    failure: AnvilshiftError, recorded: asyncio.Future[Answer] | None
) -> AnvilshiftError:
    """Return what the caller hears; of claimed work, what its claim says."""
    if recorded is None:
        return failure
    try:
        await recorded
    except AnvilshiftError as error:
        return error
    return failure


async def read_whole(run: Run) -> Answer:
    """Wait for a run and return its whole answer."""
    async with contextlib.aclosing(run.read(len(run.text))) as texts:
        async for _ in texts:
            pass
    body = dump_json(make_completion(run)).decode()
    return Answer(200, JSON_TYPE[1], body)


async def write_answer(answer: Answer, job: Job, responder: Responder) -> None:
    """Write a whole answer in the form that the caller asked for."""
    headers = [("content-type", answer.content_type), *_head(job)]
    if not job.stream:
        await responder.send(Reply(answer.status, headers, answer.body.encode()))
        return
    completion = json.loads(answer.body)
    text = completion["choices"][0]["message"]["content"]
    if not text.startswith(job.received):
        detail = "the recorded answer doesn't begin with what was received"
        raise AnvilshiftError(NOT_RECORDED, detail)
    await responder.start(200, [EVENT_STREAM_TYPE, *_head(job)], hold=True)
    rest = text[job.resume_from :]
    await responder.write(_ChunkEncoder(job).encode(rest, str(len(text))))
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    last = {"choices": [choice], "usage": completion["usage"]}
    await responder.write(Event(json.dumps(last)).encode())
    await responder.write(Event("[DONE]").encode())
    await responder.finish()
