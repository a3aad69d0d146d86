"""The platform's headers and stored objects as the gateway's typed values."""

import math

from pydantic import ValidationError

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import BAD_VALUE, PLATFORM_UNREADABLE, AnvilshiftError
from anvilshift.core.loadmap import Prompt, TargetInfo
from anvilshift.core.routing import Configuration
from anvilshift.gateway.border import Call, Delivery, Notes, Raw
from anvilshift.platform import names
from anvilshift.platform.records import ConfigurationRecord, TargetRecord
from anvilshift.wire.messages import Fields, Headers, HttpRequest, list_hop_headers

_HEX_DIGITS = 64


class PlatformDialect:
    """Translate the platform's wire format."""

    configuration_kind = names.CONFIGURATION_KIND
    configuration_name = names.CONFIGURATION_NAME
    targets_kind = names.TARGETS_KIND

    def read_configuration(self, body: Raw) -> Configuration:
        """Return the configuration that a stored object holds."""
        try:
            return ConfigurationRecord.model_validate(body).convert()
        except ValidationError as error:
            fault = error.errors()[0]
            where = ".".join(str(part) for part in fault["loc"])
            detail = f"{where}: {fault['msg']}"
            raise AnvilshiftError(PLATFORM_UNREADABLE, detail) from error

    def read_target(self, name: str, body: Raw, now: Millis) -> TargetInfo | None:
        """Return the target that an entry registers; None if it names none."""
        try:
            return TargetRecord.model_validate(body).convert(name, now)
        except ValidationError:
            return None

    def read_call(self, request: HttpRequest) -> Call:
        """Return what a caller's headers say."""
        headers = request.headers
        identity = headers.get(names.ATTEMPT)
        host = headers.get("host")
        if not identity or host is None:
            raise AnvilshiftError(BAD_VALUE, "the request has no id or no host")
        return Call(
            identity,
            host,
            _read_credential(headers.get(names.AUTHORIZATION)),
            _read_number(headers.get(names.DEADLINE)),
            _read_prompt(headers),
            headers.get(names.RESUME),
        )

    def write_delivery(self, request: HttpRequest, delivery: Delivery) -> Fields:
        """Return the headers with which a request goes to a target."""
        drop = names.ONE_CONNECTION | names.OWN | list_hop_headers(request.headers)
        drop |= {names.AUTHORIZATION, names.RESUME}
        fields = [(n, v) for n, v in request.headers.pairs if n not in drop]
        fields.append((names.DEADLINE, str(int(delivery.remaining))))
        fields.append((names.EXPECTED, delivery.expected))
        optional = (
            (names.ORGANISATION, delivery.organisation),
            (names.PRIORITY, delivery.priority),
            (names.FETCH, delivery.fetch_from),
            (names.RESUME, delivery.resume_after),
        )
        fields += [(name, str(value)) for name, value in optional if value is not None]
        return fields

    def read_notes(self, status: int, headers: Headers) -> Notes:
        """Return what a target's answer says of itself."""
        found = dict(headers.pairs)
        return Notes(
            found.get(names.ATTEMPT),
            names.SIGNATURE in found,
            names.NOT_RUN in found,
            status == 421,
            _read_figure(found.get(names.LIMIT)),
            _read_pause(found.get(names.RETRY_AFTER)),
        )


def _read_credential(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(names.SCHEME):
        return None
    return value[len(names.SCHEME) :].strip()


def _read_number(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not 0 <= number < float("inf"):
        raise AnvilshiftError(BAD_VALUE, "the deadline is no number of milliseconds")
    return number


def _read_figure(value: str | None) -> float | None:
    """Return a target's figure; None where there is none, NaN for what is none."""
    if value is None:
        return None
    try:
        figure = float(value)
    except ValueError:
        return math.nan
    return figure if 0 <= figure < math.inf else math.nan


def _read_pause(value: str | None) -> Millis | None:
    """Return the time that a refusal names; None for none, or what is no time."""
    seconds = _read_figure(value)
    return None if seconds is None or math.isnan(seconds) else seconds * SECOND


def _read_prompt(headers: Headers) -> Prompt:
    """Return the prompt's sizes and parts; an ill-formed list is no prompt."""
    usage, parts = headers.get(names.TOKENS), headers.get(names.PARTS)
    if usage is None:
        return Prompt()
    try:
        tokens, answer = (int(number) for number in usage.split(","))
        return Prompt(_read_parts(parts or ""), max(0, tokens), max(0, answer))
    except ValueError as error:
        detail = "the token counts or the prompt's parts can't be read"
        raise AnvilshiftError(BAD_VALUE, detail) from error


def _read_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in text.split(",") if text else []:
        identity, _, tokens = entry.strip().partition(":")
        parts.append((identity[:_HEX_DIGITS], int(tokens)))
    return tuple(parts)
