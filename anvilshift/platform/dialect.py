"""Conversion between the platform's wire format and the gateway's typed values."""

import math
import re

from pydantic import ValidationError

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import BAD_VALUE, PLATFORM_UNREADABLE, AnvilshiftError
from anvilshift.core.placement.toldload import ToldLoad
from anvilshift.core.routing import Configuration
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.border import AnswerFields, Call, Raw, TargetFields
from anvilshift.platform import names
from anvilshift.platform.records import ConfigurationRecord, ReportRecord, TargetRecord
from anvilshift.wire.messages import (
    HeaderFields,
    Headers,
    HttpRequest,
    list_connection_options,
)

_TARGET_NAME = re.compile(r"[!-~]{1,256}")
_MAX_TOKENS = 10**12
_MAX_HASH_DIGITS = 64
_MAX_MODEL_CHARACTERS = 64
_MAX_LOAD_CHARACTERS = 64


class PlatformDialect:
    """Convert the platform's headers and stored objects to the gateway's types."""

    configuration_kind = names.CONFIGURATION_KIND
    configuration_name = names.CONFIGURATION_NAME
    targets_kind = names.TARGETS_KIND
    drains_kind = names.DRAINS_KIND
    report_path = names.REPORT_PATH

    def read_configuration(self, body: Raw) -> Configuration:
        """Return the configuration that a stored object holds.

        Raises
        ------
        AnvilshiftError
            Code 5003 with the path of the first invalid field.
        """
        try:
            return ConfigurationRecord.model_validate(body).convert()
        except ValidationError as error:
            first = error.errors()[0]
            field = ".".join(str(part) for part in first["loc"])
            detail = f"{field}: {first['msg']}"
            raise AnvilshiftError(PLATFORM_UNREADABLE, detail) from error

    def read_target(self, name: str, body: Raw, now: Millis) -> TargetInfo | None:
        """Return the target that an entry registers; None if the entry is invalid.

        Its name is sent to it in a header.
        """
        if not _TARGET_NAME.fullmatch(name):
            return None
        try:
            return TargetRecord.model_validate(body).convert(name, now)
        except ValidationError:
            return None

    def read_call(self, request: HttpRequest) -> Call:
        """Return the attempt, host, credential and prompt from a caller's headers."""
        headers = request.headers
        identity = headers.get(names.ATTEMPT_ID)
        host = headers.get("host")
        if not identity or host is None:
            raise AnvilshiftError(
                BAD_VALUE, "the request has no attempt id or no Host header"
            )
        return Call(
            identity,
            host,
            _read_credential(headers.get(names.AUTHORIZATION)),
            _read_deadline(headers.get(names.DEADLINE_MS)),
            _read_prompt(headers),
            headers.get(names.LAST_EVENT_ID),
            headers.get(names.RESUMES),
        )

    def write_target_fields(
        self, request: HttpRequest, delivery: TargetFields
    ) -> HeaderFields:
        """Return the headers of a request that is forwarded to a target."""
        drop = (
            names.HOP_HEADERS
            | names.RESERVED_HEADERS
            | list_connection_options(request.headers)
        )
        drop |= {names.AUTHORIZATION, names.LAST_EVENT_ID}
        fields = [(n, v) for n, v in request.headers.pairs if n not in drop]
        fields.append((names.DEADLINE_MS, str(int(delivery.remaining))))
        fields.append((names.EXPECTED_TARGET, delivery.expected))
        optional = (
            (names.ORGANISATION, delivery.organisation),
            (names.PRIORITY, delivery.priority),
            (names.KV_FETCH, delivery.fetch_from),
            (names.LAST_EVENT_ID, delivery.resume_after),
        )
        fields += [(name, str(value)) for name, value in optional if value is not None]
        return fields

    def read_answer_fields(self, status: int, headers: Headers) -> AnswerFields:
        """Return the attempt id, signature, refusal and limits in a target's answer."""
        pairs = dict(headers.pairs)
        is_refusal = status == 503 or names.NOT_EXECUTED in pairs
        told = pairs.get(names.TARGET_LOAD)
        load = None if told is None else _read_load(told)
        return AnswerFields(
            pairs.get(names.ATTEMPT_ID),
            names.ENGINE_SIGNATURE in pairs,
            names.NOT_EXECUTED in pairs,
            status == 421,
            _read_non_negative(pairs.get(names.RATE_LIMIT)),
            _read_retry_after(pairs.get(names.RETRY_AFTER)) if is_refusal else None,
            _read_non_negative(pairs.get(names.BRITTLE)),
            pairs.get(names.LEAVING, "0").strip() != "0",
            load,
            told is not None and load is None,
        )

    def read_start(self, status: int, body: bytes) -> int | None:
        """Return the number of a target's start from its report; None if unknown."""
        if status != 200:
            return None
        try:
            return ReportRecord.model_validate_json(body).born
        except ValidationError:
            return None


def _read_credential(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(names.BEARER_PREFIX):
        return None
    return value[len(names.BEARER_PREFIX) :].strip()


def _read_deadline(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not 0 <= number < float("inf"):
        raise AnvilshiftError(BAD_VALUE, "the deadline is not a number of milliseconds")
    return number


def _read_non_negative(value: str | None) -> float | None:
    """Return a non-negative number; None for no header, NaN for an invalid value."""
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return math.nan
    return number if 0 <= number < math.inf else math.nan


def _read_load(value: str) -> ToldLoad | None:
    """Return the load that a target tells; None for an invalid value."""
    if len(value) > _MAX_LOAD_CHARACTERS:
        return None
    try:
        return ToldLoad.from_figures([float(figure) for figure in value.split(",")])
    except ValueError:
        return None


def _read_retry_after(value: str | None) -> Millis | None:
    """Return the time until a retry; None if it is missing or not in seconds."""
    seconds = _read_non_negative(value)
    return None if seconds is None or math.isnan(seconds) else seconds * SECOND


def _read_prompt(headers: Headers) -> Prompt:
    """Return the prompt's token counts and parts; empty without token counts.

    Raises
    ------
    AnvilshiftError
        Code 1009 for malformed token counts or parts.
    """
    usage, parts = headers.get(names.TOKEN_USAGE), headers.get(names.PREFIX_HASH)
    if usage is None:
        return Prompt()
    try:
        tokens, answer = (_read_tokens(number) for number in usage.split(","))
        model = (headers.get(names.MODEL) or "")[:_MAX_MODEL_CHARACTERS]
        return Prompt(_read_parts(parts or ""), max(0, tokens), max(0, answer), model)
    except ValueError as error:
        detail = "the token counts or the prompt's parts are malformed"
        raise AnvilshiftError(BAD_VALUE, detail) from error


def _read_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in text.split(",") if text else []:
        identity, _, tokens = entry.strip().partition(":")
        parts.append((identity[:_MAX_HASH_DIGITS], _read_tokens(tokens)))
    return tuple(parts)


def _read_tokens(text: str) -> int:
    """Return a count of tokens, bounded as it is used in sums and predictions.

    Raises
    ------
    ValueError
        When it is no integer, or more than any prompt has.
    """
    tokens = int(text)
    if abs(tokens) > _MAX_TOKENS:
        raise ValueError("too many tokens")
    return tokens
