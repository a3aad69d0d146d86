"""The course of a run: what happens from outside, kept apart from the product.

Faults and arrivals have their instants and their own random numbers, so that a
course meets any version of the product unchanged.  It is recorded from a seeded run,
or drawn from a seed of its own, and kept as JSON.
"""

import asyncio
import contextvars
import json
import pathlib
import random
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Millis

_TAPE: contextvars.ContextVar["Tape | None"] = contextvars.ContextVar(
    "tape", default=None
)


class Tape:
    """The random numbers of one event: recorded, then given again in order.

    Parameters
    ----------
    draws
        What was drawn before; it is given first.
    rng
        Draws what is asked for beyond that; None for whose numbers are asked for.
    """

    def __init__(
        self, draws: Sequence[Any] = (), rng: random.Random | None = None
    ) -> None:
        self.drawn: list[Any] = []
        self._left = deque(draws)
        self._rng = rng

    def draw(self, asked: random.Random, name: str, *rest: Any) -> Any:
        """Return the next number."""
        if self._left:
            value = self._left.popleft()
        else:
            value = getattr(self._rng or asked, name)(*rest)
        self.drawn.append(value)
        return value

    async def run(self, work: Awaitable[Any]) -> None:
        """Let work, and what it starts, draw from this tape."""
        _TAPE.set(self)
        await work


class TapedRandom:
    """Random numbers, by the tape of the event that asks if it has one."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Return a method of `random.Random`."""

        def draw(*rest: Any) -> Any:
            tape = _TAPE.get()
            if tape is None:
                return getattr(self._rng, name)(*rest)
            return tape.draw(self._rng, name, *rest)

        return draw


@dataclass
class Event:
    """One arrival or fault."""

    at: Millis
    kind: str
    arguments: list[Any] = field(default_factory=list)
    draws: list[Any] = field(default_factory=list)


@dataclass
class Course:
    """The events of a run in their order.

    Parameters
    ----------
    seed
        Names the random numbers that the events don't bring along.
    source
        Where the course comes from.
    """

    seed: int
    seconds: float
    source: str = ""
    events: list[Event] = field(default_factory=list)

    def note(self, event: Event) -> Tape:
        """Record an event as it begins; return the tape that it draws from."""
        self.events.append(event)
        tape = Tape()
        event.draws = tape.drawn
        return tape

    async def play(
        self,
        now: Callable[[], Millis],
        start: Callable[[Event, Tape], None],
    ) -> None:
        """Start each event at its instant."""
        for number, event in enumerate(self.events):
            await asyncio.sleep(max(0.0, event.at - now()) / SECOND)
            rng = random.Random(f"{self.seed}/{number}/{event.kind}")
            start(event, Tape(event.draws, rng))

    def save(self, path: pathlib.Path) -> None:
        """Write the course as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        rows = [json.dumps(asdict(event)) for event in self.events]
        head = {"seed": self.seed, "seconds": self.seconds, "source": self.source}
        path.write_text("\n".join([json.dumps(head), *rows]) + "\n")

    @classmethod
    def load(cls, path: pathlib.Path) -> "Course":
        """Read a course."""
        head, *rows = path.read_text().splitlines()
        events = [Event(**json.loads(row)) for row in rows]
        return cls(**json.loads(head), events=events)
