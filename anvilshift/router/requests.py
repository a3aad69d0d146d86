"""Parse and validate callers' HTTP requests."""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Organisation, Route, TargetKind
from anvilshift.core.errors import (
    BAD_VALUE,
    KEY_REQUIRED,
    MALFORMED,
    OVERLOADED,
    PAST_DEADLINE,
    UNKNOWN_ROUTE,
    AnvilshiftError,
)
from anvilshift.core.identity import make_identity
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import HttpRequest

KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "anvilshift-deadline-ms"
NON_IDEMPOTENT_HEADER = "anvilshift-non-idempotent"
RESUME_HEADER = "last-event-id"
MAX_TEMPLATE_TOKENS = 64
"""Maximum tokens that a chat template adds to a request, besides those per message."""
MAX_TOKENS_PER_MESSAGE = 8
_DEFAULT_ANSWER_TOKENS = 256
_MAX_ANSWER_TOKENS = 1_000_000
_MAX_KEY_LENGTH = 200
_MAX_EVENT_ID_LENGTH = 24
_MAX_TIMEOUT: Millis = 600 * SECOND
"""Upper limit of every request's timeout; bill keys are kept for at least as long."""
_MAX_MESSAGES = 10_000
_PREFIX_BLOCK_BYTES = 1024
_MAX_PREFIXES = 32
_RNG = random.SystemRandom()


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")
    role: str
    content: str


class _Resume(BaseModel):
    model_config = ConfigDict(extra="forbid")
    received: str = ""


class _Chat(BaseModel):
    """The fields of a chat request that the router reads.

    All other fields are passed to the engine unchanged.
    """

    model_config = ConfigDict(extra="allow", strict=True)
    model: str = Field(max_length=200)
    messages: list[_Message] = Field(min_length=1, max_length=_MAX_MESSAGES)
    max_tokens: int = Field(default=_DEFAULT_ANSWER_TOKENS, ge=1, le=_MAX_ANSWER_TOKENS)
    stream: bool = False
    n: int = Field(default=1, ge=1, le=1)
    best_of: int = Field(default=1, ge=1, le=1)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=_MAX_ANSWER_TOKENS)
    anvilshift: _Resume = _Resume()


@dataclass(frozen=True)
class Job:
    """One validated request of a known organisation on a known route.

    Parameters
    ----------
    key
        The idempotency key, or a new random id if the caller sent none.
    identity
        Digest of organisation and key. It identifies the request in every
        component; two organisations never have the same one.
    content
        Digest of the work itself. It stays the same when the same work is sent
        again under another key.
    bound
        Maximum number of tokens that the request can cost.
    resume_from
        Number of characters of the answer that a resuming caller already has.
    resume_tag
        Tag of the run that produced those characters, if the caller names it.
    """

    organisation: Organisation
    route: Route
    key: str
    keyed: bool
    identity: str
    content: str
    deadline: Millis
    arrived: Millis
    max_prompt_tokens: int
    max_answer_tokens: int
    non_idempotent: bool
    stream: bool = False
    body: dict[str, Any] | None = None
    received: str = ""
    resume_from: int = 0
    resume_tag: str = ""
    prefixes: tuple[str, ...] = ()

    @property
    def bound(self) -> int:
        """Return the maximum number of tokens that the request can cost."""
        return self.max_prompt_tokens + self.max_answer_tokens

    @property
    def bill_key(self) -> str:
        """Return the key of the request's bill in the ledger.

        It includes the content, because a key that is reused with another body is
        another request. Without the content its bill would be taken for a
        duplicate of the first one, and the request would be served without being
        billed.
        """
        return digest(self.identity, self.content)


def digest(*parts: str | bytes) -> str:
    """Return a digest of parts.

    Each part is prefixed with its length, so that another split of the same text
    has another digest.
    """
    hasher = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(str(len(data)).encode() + b":" + data)
    return hasher.hexdigest()[:32]


def _read_key(request: HttpRequest) -> str | None:
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return None
    if not 1 <= len(key) <= _MAX_KEY_LENGTH:
        detail = f"{KEY_HEADER} must have 1 to {_MAX_KEY_LENGTH} characters"
        raise AnvilshiftError(BAD_VALUE, detail)
    return key


def _read_timeout(request: HttpRequest, route: Route) -> Millis:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return min(route.timeout or _MAX_TIMEOUT, _MAX_TIMEOUT)
    try:
        timeout = float(text)
    except ValueError:
        timeout = float("nan")
    if not timeout < float("inf"):
        detail = f"{DEADLINE_HEADER} must be a number of milliseconds"
        raise AnvilshiftError(BAD_VALUE, detail)
    if timeout <= 0:
        raise AnvilshiftError(PAST_DEADLINE)
    return min(timeout, route.timeout or _MAX_TIMEOUT, _MAX_TIMEOUT)


def _is_non_idempotent(request: HttpRequest, route: Route) -> bool:
    value = request.headers.get(NON_IDEMPOTENT_HEADER)
    return route.non_idempotent or (value is not None and value.lower() == "true")


def _make_job(
    request: HttpRequest,
    organisation: Organisation,
    route: Route,
    now: Millis,
    **fields: Any,
) -> Job:
    key = _read_key(request)
    non_idempotent = _is_non_idempotent(request, route)
    if non_idempotent and key is None:
        raise AnvilshiftError(KEY_REQUIRED)
    name = key or make_identity(_RNG)
    return Job(
        organisation=organisation,
        route=route,
        key=name,
        keyed=key is not None,
        identity=digest(organisation.name, name),
        deadline=now + _read_timeout(request, route),
        arrived=now,
        non_idempotent=non_idempotent,
        **fields,
    )


def find_time_left(
    job: Job, now: Millis, is_caller_there: Callable[[], bool]
) -> Millis:
    """Return the time until a job's deadline, just before its first byte is sent.

    A busy event loop runs the timer of the deadline, and reads a caller's close, after
    what was ready before them.

    Raises
    ------
    TimeoutError
        When the deadline has passed.
    AnvilshiftError
        When the caller has left and sent no key, so that nobody can ask again.
    """
    if now >= job.deadline:
        raise TimeoutError
    if not job.keyed and not is_caller_there():
        raise AnvilshiftError(OVERLOADED, "the caller has left")
    return job.deadline - now


def read_model_name(request: HttpRequest) -> str:
    """Return the name of the model in a chat request."""
    return _parse_chat(request).model


def _parse_chat(request: HttpRequest) -> _Chat:
    value = parse_object(request.body)
    try:
        return _Chat.model_validate(value)
    except ValidationError as error:
        first_error = error.errors()[0]
        field = ".".join(str(part) for part in first_error["loc"])
        raise AnvilshiftError(BAD_VALUE, f"{field}: {first_error['msg']}") from error


def digest_chat_request(body: dict[str, Any]) -> str:
    """Return the digest of a chat request's work.

    It ignores `stream`, which changes only the form of the answer.
    """
    return digest(dump_json({k: v for k, v in body.items() if k != "stream"}))


def parse_chat_request(
    request: HttpRequest,
    organisation: Organisation,
    routes: dict[str, Route],
    now: Millis,
) -> Job:
    """Parse a chat request into a job.

    Raises
    ------
    AnvilshiftError
        With the numbered code of the first error that was found.
    """
    try:
        return _parse_job(request, organisation, routes, now)
    except RecursionError as error:
        raise AnvilshiftError(
            MALFORMED, "the JSON body is nested too deeply"
        ) from error
    except UnicodeEncodeError as error:
        detail = "a string contains an unpaired surrogate"
        raise AnvilshiftError(BAD_VALUE, detail) from error


def _parse_job(
    request: HttpRequest,
    organisation: Organisation,
    routes: dict[str, Route],
    now: Millis,
) -> Job:
    chat = _parse_chat(request)
    route = routes.get(chat.model)
    if route is None or route.kind is not TargetKind.MODEL:
        raise AnvilshiftError(UNKNOWN_ROUTE, "unknown model")
    body = parse_object(request.body)
    body.pop("anvilshift", None)
    # `max_completion_tokens` is the newer name of the same limit. Engines that read
    # it must find the number that is reserved, otherwise they could generate more.
    limit = chat.max_completion_tokens or chat.max_tokens
    body["max_tokens"] = limit
    if "max_completion_tokens" in body:
        body["max_completion_tokens"] = limit
    received = chat.anvilshift.received
    tag, offset = _read_resume(request, received)
    return _make_job(
        request,
        organisation,
        route,
        now,
        content=digest_chat_request(body),
        max_prompt_tokens=_bound_prompt(chat) + len(received.encode()),
        max_answer_tokens=limit,
        stream=chat.stream,
        body=body,
        received=received,
        resume_from=offset,
        resume_tag=tag,
        prefixes=_digest_prefixes(chat),
    )


def _bound_prompt(chat: _Chat) -> int:
    """Return an upper bound on the number of prompt tokens.

    A token covers at least one byte of text, and the chat template adds a bounded
    number of tokens for each message. Other fields of the request, such as tool
    descriptions, can become part of the prompt and are counted as well.
    """
    extras = [chat.model_extra, *(message.model_extra for message in chat.messages)]
    extra_bytes = sum(len(dump_json(extra)) for extra in extras if extra)
    texts = sum(len(m.content.encode()) + len(m.role) for m in chat.messages)
    return (
        texts
        + extra_bytes
        + MAX_TEMPLATE_TOKENS
        + MAX_TOKENS_PER_MESSAGE * len(chat.messages)
    )


def _read_resume(request: HttpRequest, received: str) -> tuple[str, int]:
    """Return the tag of the run and the character offset to resume from."""
    text = request.headers.get(RESUME_HEADER)
    if text is None:
        return "", len(received)
    tag, _, count = text.rpartition("-")
    if not (count.isascii() and count.isdecimal()) or len(text) > _MAX_EVENT_ID_LENGTH:
        raise AnvilshiftError(BAD_VALUE, f"{RESUME_HEADER} is not a valid event id")
    if received and int(count) != len(received):
        detail = f"{RESUME_HEADER} doesn't match the length of anvilshift.received"
        raise AnvilshiftError(BAD_VALUE, detail)
    return tag, int(count)


def _digest_prefixes(chat: _Chat) -> tuple[str, ...]:
    """Return cumulative digests of the prompt's leading blocks.

    They are used to place requests on engines that have the prefix cached.
    """
    text = "\n".join(f"{m.role}:{m.content}" for m in chat.messages).encode()
    hasher = hashlib.sha256(chat.model.encode())
    digests = []
    whole_blocks = min(_MAX_PREFIXES, len(text) // _PREFIX_BLOCK_BYTES)
    for index in range(whole_blocks):
        hasher.update(
            text[index * _PREFIX_BLOCK_BYTES : (index + 1) * _PREFIX_BLOCK_BYTES]
        )
        digests.append(hasher.hexdigest()[:16])
    return tuple(digests)


def digest_service_call(route: str, method: str, subpath: str, body: bytes) -> str:
    """Return the digest of the work of a call to a plain service."""
    return digest(route, method, subpath, body)


def parse_service_call(
    request: HttpRequest,
    organisation: Organisation,
    route: Route,
    subpath: str,
    now: Millis,
) -> Job:
    """Parse a call to a plain service into a job."""
    return _make_job(
        request,
        organisation,
        route,
        now,
        content=digest_service_call(route.name, request.method, subpath, request.body),
        max_prompt_tokens=route.cost,
        max_answer_tokens=0,
    )
