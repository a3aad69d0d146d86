"""Messages between routers about where streams began.

They are soft state like the others: where one is lost, a stream isn't known.
"""

from dataclasses import dataclass

from anvilshift.core.clock import Millis


@dataclass(frozen=True)
class StreamBegan:
    """A stream brought its first event, or was taken up.

    Parameters
    ----------
    stream
        Key of the stream.
    service, version
        The service that began it, and the version of the engine's software.
    lasts
        Time in which its caller can take it up.
    """

    stream: str
    service: str
    version: str
    lasts: Millis


@dataclass(frozen=True)
class OriginAsk:
    """A router asks where a stream began that a caller takes up.

    Parameters
    ----------
    ip
        Address of the router that asks.
    """

    stream: str
    ip: str


@dataclass(frozen=True)
class OriginAnswer:
    """The answer to an `OriginAsk`.

    Parameters
    ----------
    router
        The router that answers.
    known
        Whether it was told anything of the stream.
    service, version
        Where the stream began; empty if the router doesn't know that for certain.
    """

    stream: str
    router: str
    known: bool
    service: str
    version: str


@dataclass(frozen=True)
class HistorySeen:
    """What a router has seen of versions and routes.

    It is sent to one that has just started, and to all when a version is new.

    Parameters
    ----------
    covered
        Time for which the sender has followed the register and the configuration; 0
        if this isn't all that it has seen.
    seen
        Services and versions of targets, and the time since they were last there.
    changed
        Names of routes, and the time since they began to lead to other services.
    """

    covered: Millis
    seen: tuple[tuple[str, str | None, Millis], ...]
    changed: tuple[tuple[str, Millis], ...]
