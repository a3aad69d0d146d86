"""The interface between the gateway and the formats of one platform.

A dialect converts the headers, stored objects and settings of one platform into the
typed values of this module and back.  It makes no decisions.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.placement.toldload import ToldLoad
from anvilshift.core.routing import ClientLimits, Configuration
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.wire.messages import HeaderFields, Headers, HttpRequest, Limits

Raw = Mapping[str, Any]
_BODY_TIMEOUT: Millis = 10 * SECOND


def make_server_limits(limits: ClientLimits) -> Limits:
    """Return the server's limits for callers from the operators' configuration."""
    return Limits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout=limits.head_timeout,
        body_timeout=_BODY_TIMEOUT,
        idle_timeout=limits.idle_timeout,
    )


@dataclass(frozen=True)
class Call:
    """The fields of a caller's request that the gateway uses.

    Parameters
    ----------
    identity
        Id of this attempt; each attempt of the caller has its own.
    credential
        The caller's API key, if it sent one.
    patience
        Milliseconds that the caller waits for the answer; None if it states no time.
    resume_after
        Id of the last event that the caller received, when it resumes a stream.
    began_as
        Id of the caller's attempt that brought the first event of that stream.
    """

    identity: str
    host: str
    credential: str | None = None
    patience: Millis | None = None
    prompt: Prompt = field(default_factory=Prompt)
    resume_after: str | None = None
    began_as: str | None = None


@dataclass(frozen=True)
class TargetFields:
    """The fields that the gateway adds to a request that it sends to a target.

    Parameters
    ----------
    expected
        Name of the target; a different target at the same address must refuse the
        request.
    organisation
        The organisation that pays; None for an anonymous request.
    remaining
        Milliseconds until the caller's deadline.
    priority
        Rank in the queue of a model engine, 0 is first; None leaves it to the engine.
    fetch_from
        Address of an engine that has a longer prefix of the prompt in its cache.
    resume_after
        Id of the last event that was received of the stream, if it is resumed.
    """

    expected: str
    organisation: str | None
    remaining: Millis
    priority: int | None = None
    fetch_from: str | None = None
    resume_after: str | None = None


@dataclass(frozen=True)
class AnswerFields:
    """The fields of a target's answer that the gateway uses.

    Parameters
    ----------
    identity
        Id of the request that it answers; None if the answer states none.
    signed
        Whether the answer has a signature of the target.
    not_run
        Whether the target states that it did not run the request.
    misdirected
        Whether a different target than the expected one has the address.
    limit
        Requests a second that the target accepts from all routers together; None
        if it announces no limit, NaN if the announced limit can't be read.
    pause
        Time for which a target that refused accepts no request, if it announces one.
    brittle
        Requests that it may refuse in a second before it crashes, if it announces
        that; NaN if the announcement can't be read.
    leaving
        Whether it announces that it is leaving.
    load
        The load that it tells; None if it tells none that can be read.
    has_bad_load
        Whether it tells a load that can't be read or can't be true.
    """

    identity: str | None
    signed: bool
    not_run: bool
    misdirected: bool
    limit: float | None = None
    pause: Millis | None = None
    brittle: float | None = None
    leaving: bool = False
    load: ToldLoad | None = None
    has_bad_load: bool = False


class Dialect(Protocol):
    """The conversions for one platform.

    Attributes
    ----------
    configuration_kind, configuration_name
        Kind and name of the stored object that holds the configuration.
    targets_kind
        Kind of the stored objects that register targets.
    drains_kind
        Kind of the stored objects whose names are those of drained failure domains.
    report_path
        Path at which a target reports its state.
    """

    configuration_kind: str
    configuration_name: str
    targets_kind: str
    drains_kind: str
    report_path: str

    def read_configuration(self, body: Raw) -> Configuration:
        """Return the configuration that a stored object holds.

        Raises
        ------
        AnvilshiftError
            Code 5003 when the object holds no valid configuration.
        """

    def read_target(self, name: str, body: Raw, now: Millis) -> TargetInfo | None:
        """Return the target that a stored object registers; None if it has none."""

    def read_call(self, request: HttpRequest) -> Call:
        """Return the fields of a caller's request."""

    def write_target_fields(
        self, request: HttpRequest, delivery: TargetFields
    ) -> HeaderFields:
        """Return the headers of the request that is sent to a target."""

    def read_answer_fields(self, status: int, headers: Headers) -> AnswerFields:
        """Return the fields of a target's answer."""

    def read_start(self, status: int, body: bytes) -> int | None:
        """Return the number of a target's start from its report; None if unknown."""
