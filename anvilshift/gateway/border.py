"""What the gateway needs of a deployment's own dialect, as typed values.

A dialect turns headers, stored objects and settings of one platform into these
values and back.  It decides nothing.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from anvilshift.core.clock import Millis
from anvilshift.core.loadmap import Prompt, TargetInfo
from anvilshift.core.routing import Configuration
from anvilshift.wire.messages import Fields, Headers, HttpRequest

Raw = Mapping[str, Any]


@dataclass(frozen=True)
class Call:
    """What a caller's headers say.

    Parameters
    ----------
    identity
        Names this attempt of the caller; each attempt has its own.
    credential
        The caller's key, if it sent one.
    patience
        Milliseconds that the caller waits; None where it doesn't say.
    resume_after
        Id of the last event that the caller has, when it resumes a stream.
    """

    identity: str
    host: str
    credential: str | None = None
    patience: Millis | None = None
    prompt: Prompt = field(default_factory=Prompt)
    resume_after: str | None = None


@dataclass(frozen=True)
class Delivery:
    """What a target is told beside the caller's own request.

    Parameters
    ----------
    expected
        The target that is meant; another one at its address must refuse.
    organisation
        Who pays; None for an anonymous request.
    remaining
        Milliseconds until the caller's deadline.
    priority
        Rank at a model engine, 0 is first; None leaves it to the engine.
    fetch_from
        Address of an engine whose memory holds more of the prompt.
    resume_after
        Id of the last event that was received.
    """

    expected: str
    organisation: str | None
    remaining: Millis
    priority: int | None = None
    fetch_from: str | None = None
    resume_after: str | None = None


@dataclass(frozen=True)
class Notes:
    """What a target's answer says beside its status and body.

    Parameters
    ----------
    identity
        The request that it answers.
    signed
        Whether the target vouches for the answer.
    not_run
        Whether the target states that it did not run the request.
    misdirected
        Whether another target than the expected one has the address.
    limit
        Requests a second that the target takes from all routers together; None
        where it names none, NaN where what it names can't be read.
    pause
        Time for which a target that refused takes no request, if it says so.
    """

    identity: str | None
    signed: bool
    not_run: bool
    misdirected: bool
    limit: float | None = None
    pause: Millis | None = None


class Dialect(Protocol):
    """A deployment's names for what the gateway deals with."""

    configuration_kind: str
    configuration_name: str
    targets_kind: str

    def read_configuration(self, body: Raw) -> Configuration:
        """Return the configuration that a stored object holds.

        Raises
        ------
        AnvilshiftError
            Code 5003 when the object is something else.
        """

    def read_target(self, name: str, body: Raw, now: Millis) -> TargetInfo | None:
        """Return the target that an entry registers; None if it names none."""

    def read_call(self, request: HttpRequest) -> Call:
        """Return what a caller's headers say."""

    def write_delivery(self, request: HttpRequest, delivery: Delivery) -> Fields:
        """Return the headers with which a request goes to a target."""

    def read_notes(self, status: int, headers: Headers) -> Notes:
        """Return what a target's answer says of itself."""
