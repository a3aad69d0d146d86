"""Turn callers' HTTP requests into checked requests of the project's own."""

import hashlib
import random
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Organisation, Route, TargetKind
from anvilshift.core.errors import (
    BAD_VALUE,
    KEY_REQUIRED,
    MALFORMED,
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
TEMPLATE_TOKENS = 64
"""Most tokens that a model's template adds to the messages of a request."""
TOKENS_PER_MESSAGE = 8
_DEFAULT_ANSWER_TOKENS = 256
_MAX_ANSWER_TOKENS = 1_000_000
_MAX_KEY = 200
_MAX_EVENT_ID = 24
_MAX_TIMEOUT: Millis = 600 * SECOND
"""A request ends by then whatever it asks for; a bill's key is known as long."""
_MAX_MESSAGES = 10_000
_PREFIX_BYTES = 1024
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
    """The part of a chat request that the router reads; the rest passes."""

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
    """One request, checked, of a known organisation on a known route.

    Parameters
    ----------
    key
        The idempotency key, or a fresh id where the caller gave none.
    identity
        Digest of organisation and key: it names the request everywhere and
        can't be another organisation's.
    content
        Digest of what is to run, equal when it is sent again under a new key.
    bound
        Most tokens that the request can cost.
    resume_from
        Characters of the answer that the caller has, when it resumes.
    resume_tag
        The run that gave them, when the caller names it.
    """

    organisation: Organisation
    route: Route
    key: str
    keyed: bool
    identity: str
    content: str
    deadline: Millis
    arrived: Millis
    prompt_bound: int
    answer_bound: int
    non_idempotent: bool
    stream: bool = False
    body: dict[str, Any] | None = None
    received: str = ""
    resume_from: int = 0
    resume_tag: str = ""
    prefixes: tuple[str, ...] = ()

    @property
    def bound(self) -> int:
        """Return the most tokens that the request can cost."""
        return self.prompt_bound + self.answer_bound

    @property
    def bill_key(self) -> str:
        """Return what names the request in the ledger.

        It holds the content: a key that is sent again with another body is
        another request, which would otherwise be served and never billed,
        because its bill would count as the first one's, sent again.
        """
        return digest(self.identity, self.content)


def digest(*parts: str | bytes) -> str:
    """Return a digest of parts that no other split of the same text can have."""
    hasher = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(str(len(data)).encode() + b":" + data)
    return hasher.hexdigest()[:32]


def _read_key(request: HttpRequest) -> str | None:
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return None
    if not 1 <= len(key) <= _MAX_KEY:
        detail = f"{KEY_HEADER} must have 1 to {_MAX_KEY} characters"
        raise AnvilshiftError(BAD_VALUE, detail)
    return key


def _read_timeout(request: HttpRequest, route: Route) -> Millis:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return min(route.timeout or _MAX_TIMEOUT, _MAX_TIMEOUT)
    try:
        span = float(text)
    except ValueError:
        span = float("nan")
    if not span < float("inf"):
        detail = f"{DEADLINE_HEADER} must be a number of milliseconds"
        raise AnvilshiftError(BAD_VALUE, detail)
    if span <= 0:
        raise AnvilshiftError(PAST_DEADLINE)
    return min(span, route.timeout or _MAX_TIMEOUT, _MAX_TIMEOUT)


def _read_mark(request: HttpRequest, route: Route) -> bool:
    mark = request.headers.get(NON_IDEMPOTENT_HEADER)
    return route.non_idempotent or (mark is not None and mark.lower() == "true")


def _make_job(
    request: HttpRequest,
    organisation: Organisation,
    route: Route,
    now: Millis,
    **rest: Any,
) -> Job:
    key = _read_key(request)
    non_idempotent = _read_mark(request, route)
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
        **rest,
    )


def read_model_name(request: HttpRequest) -> str:
    """Return the model that a chat request names."""
    return _parse_chat(request).model


def _parse_chat(request: HttpRequest) -> _Chat:
    value = parse_object(request.body)
    try:
        return _Chat.model_validate(value)
    except ValidationError as error:
        fault = error.errors()[0]
        where = ".".join(str(part) for part in fault["loc"])
        raise AnvilshiftError(BAD_VALUE, f"{where}: {fault['msg']}") from error


def digest_chat(body: dict[str, Any]) -> str:
    """Return the digest of what a chat request asks to run."""
    return digest(dump_json({k: v for k, v in body.items() if k != "stream"}))


def read_chat(
    request: HttpRequest,
    organisation: Organisation,
    routes: dict[str, Route],
    now: Millis,
) -> Job:
    """Return the job that a chat request states.

    Raises
    ------
    AnvilshiftError
        A numbered code that says what is wrong.
    """
    try:
        return _read_checked(request, organisation, routes, now)
    except RecursionError as error:
        raise AnvilshiftError(MALFORMED, "the body is nested too deeply") from error
    except UnicodeEncodeError as error:
        detail = "a text holds half a surrogate pair"
        raise AnvilshiftError(BAD_VALUE, detail) from error


def _read_checked(
    request: HttpRequest,
    organisation: Organisation,
    routes: dict[str, Route],
    now: Millis,
) -> Job:
    chat = _parse_chat(request)
    route = routes.get(chat.model)
    if route is None or route.kind is not TargetKind.MODEL:
        raise AnvilshiftError(UNKNOWN_ROUTE, "no such model")
    body = parse_object(request.body)
    body.pop("anvilshift", None)
    # The newer name of the same limit: an engine that reads it must find the
    # number that was reserved, or it would make more.
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
        content=digest_chat(body),
        prompt_bound=_bound_prompt(chat) + len(received.encode()),
        answer_bound=limit,
        stream=chat.stream,
        body=body,
        received=received,
        resume_from=offset,
        resume_tag=tag,
        prefixes=_cut_prefixes(chat),
    )


def _bound_prompt(chat: _Chat) -> int:
    """Return a bound on the prompt's tokens.

    A token covers at least one byte of text, and the template adds a bounded
    number for each message, so the prompt can't have more.  What else the
    request holds, such as descriptions of tools, can become part of it too.
    """
    extras = [chat.model_extra, *(message.model_extra for message in chat.messages)]
    rest = sum(len(dump_json(extra)) for extra in extras if extra)
    texts = sum(len(m.content.encode()) + len(m.role) for m in chat.messages)
    return texts + rest + TEMPLATE_TOKENS + TOKENS_PER_MESSAGE * len(chat.messages)


def _read_resume(request: HttpRequest, received: str) -> tuple[str, int]:
    """Return the run and the count of characters that a caller goes on from."""
    text = request.headers.get(RESUME_HEADER)
    if text is None:
        return "", len(received)
    tag, _, count = text.rpartition("-")
    if not (count.isascii() and count.isdecimal()) or len(text) > _MAX_EVENT_ID:
        raise AnvilshiftError(BAD_VALUE, f"{RESUME_HEADER} is no id of an event")
    if received and int(count) != len(received):
        detail = f"{RESUME_HEADER} and anvilshift.received differ in length"
        raise AnvilshiftError(BAD_VALUE, detail)
    return tag, int(count)


def _cut_prefixes(chat: _Chat) -> tuple[str, ...]:
    """Return digests of the prompt's leading blocks, for cache placement."""
    text = "\n".join(f"{m.role}:{m.content}" for m in chat.messages).encode()
    hasher = hashlib.sha256(chat.model.encode())
    found = []
    whole_blocks = min(_MAX_PREFIXES, len(text) // _PREFIX_BYTES)
    for index in range(whole_blocks):
        hasher.update(text[index * _PREFIX_BYTES : (index + 1) * _PREFIX_BYTES])
        found.append(hasher.hexdigest()[:16])
    return tuple(found)


def digest_call(route: str, method: str, rest: str, body: bytes) -> str:
    """Return the digest of what a call of a plain service asks to run."""
    return digest(route, method, rest, body)


def read_service_call(
    request: HttpRequest,
    organisation: Organisation,
    route: Route,
    rest: str,
    now: Millis,
) -> Job:
    """Return the job that a call of a plain service states."""
    return _make_job(
        request,
        organisation,
        route,
        now,
        content=digest_call(route.name, request.method, rest, request.body),
        prompt_bound=route.cost,
        answer_bound=0,
    )
