"""Messages between routers about the runs at targets."""

from dataclasses import dataclass, field

from anvilshift.core.clock import Millis

OPTIONAL = {"optional": True}
"""Metadata of a message's last fields that aren't written where they have defaults."""


@dataclass(frozen=True)
class Sent:
    """A run (one attempt at a request) was sent to a target.

    Parameters
    ----------
    disturbing
        Whether processing the prompt delays other streams at the target.
    parts
        Parts of the prompt, each with its number of tokens.
    tokens, cached
        Tokens of the prompt, and how many of them are expected to be cached there.
    most_answer
        Maximum number of tokens of the answer.
    """

    run: str
    target: str
    parts: tuple[tuple[str, int], ...]
    tokens: int
    most_answer: int
    cached: int
    disturbing: bool


@dataclass(frozen=True)
class Held:
    """A target now caches parts of a prompt that other prompts share.

    Sent to the routers that don't get a message about each run there.
    """

    target: str
    parts: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class Begun:
    """A run began to produce its answer.

    Parameters
    ----------
    told, told_age
        Figures of the load that the target told last, and their age; none if it told
        none lately.
    speeds
        How fast the target did each kind of work of the run; zero for no sample.
    outcome, took
        What the answer says of a target that has just started or come back, and the
        time from its sending; empty for others.
    """

    run: str
    target: str
    told: tuple[float, ...] = field(default=(), metadata=OPTIONAL)
    told_age: Millis = field(default=0.0, metadata=OPTIONAL)
    speeds: tuple[float, ...] = field(default=(), metadata=OPTIONAL)
    outcome: str = field(default="", metadata=OPTIONAL)
    took: Millis = field(default=0.0, metadata=OPTIONAL)


@dataclass(frozen=True)
class Ended:
    """A run ended, with any outcome; its further fields are those of `Begun`."""

    run: str
    target: str
    told: tuple[float, ...] = field(default=(), metadata=OPTIONAL)
    told_age: Millis = field(default=0.0, metadata=OPTIONAL)
    speeds: tuple[float, ...] = field(default=(), metadata=OPTIONAL)
    outcome: str = field(default="", metadata=OPTIONAL)
    took: Millis = field(default=0.0, metadata=OPTIONAL)
