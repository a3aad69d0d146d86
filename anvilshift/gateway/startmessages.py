"""Messages between routers about targets that start or come back."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StartShareAsk:
    """The sender asks for a share of a starting target, for one run.

    Parameters
    ----------
    ip
        Address to which the answer is sent.
    """

    run: str
    target: str
    ip: str


@dataclass(frozen=True)
class StartShareAnswer:
    """The answer to such an ask; a share that is not used is given back."""

    run: str
    target: str
    ip: str
    granted: bool


@dataclass(frozen=True)
class StartShareEnded:
    """The run of a lent share has ended, or was never sent."""

    run: str
    target: str


@dataclass(frozen=True)
class TargetReturned:
    """The ejection of a target has ended at the sender.

    Parameters
    ----------
    born
        The target's start.
    in_use
        Whether it has answered all the while, so that it is nothing new.
    """

    target: str
    born: int
    in_use: bool
