"""Messages between routers about parts of prompts that may end engines.

They are soft state like the others, and each is sent again while it matters.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class PartRecorded:
    """What the sender holds against a part of prompts.

    Parameters
    ----------
    scope, part
        The part, and the service and model that read it.
    crashes
        Starts of engines that ended on it, each with the milliseconds since and whether
        that was a try.
    companions
        Parts of all prompts that had the part when an engine ended.
    """

    scope: str
    part: str
    crashes: tuple[tuple[str, float, bool], ...]
    companions: tuple[str, ...]


@dataclass(frozen=True)
class PartsAnswered:
    """An engine has begun an answer to a prompt with these parts."""

    scope: str
    parts: tuple[str, ...]


@dataclass(frozen=True)
class StartAlive:
    """An engine that was held to have ended has begun an answer since."""

    start: str


@dataclass(frozen=True)
class PartsTold:
    """The sender has told a new router all that it knows of parts."""

    router: str


@dataclass(frozen=True)
class TryAsk:
    """A router asks for a try, or renews one.

    Parameters
    ----------
    run
        Identifies the try.
    suspects
        The suspect parts of the request.
    is_running
        Whether the request has been sent.
    """

    run: str
    ip: str
    scope: str
    suspects: tuple[str, ...]
    target: str
    is_running: bool


@dataclass(frozen=True)
class TryAnswer:
    """The answer to a `TryAsk`."""

    run: str
    granted: bool


@dataclass(frozen=True)
class TryEnded:
    """A try has ended.

    Parameters
    ----------
    crashed
        The start of the engine that ended, empty if none did.  It is told here as well
        as in `PartRecorded`, so that no other try is granted by a router that doesn't
        know it.
    """

    run: str
    scope: str
    suspects: tuple[str, ...]
    crashed: str
