"""Courses: recorded sequences of the external events of a run.

Each fault or arrival is stored with its time and its random numbers, so that the
same course can be replayed against any version of the package.  A course is recorded
from a seeded run, or generated from a seed of its own, and stored as JSON.
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

_DRAW_RECORD: contextvars.ContextVar["DrawRecord | None"] = contextvars.ContextVar(
    "draw_record", default=None
)


class DrawRecord:
    """Record the random numbers of one event and replay them in order.

    Parameters
    ----------
    draws
        Recorded numbers, which are returned first.
    rng
        Generator of further numbers; None to use the generator of the caller.
    """

    def __init__(
        self, draws: Sequence[Any] = (), rng: random.Random | None = None
    ) -> None:
        self.drawn: list[Any] = []
        self._recorded = deque(draws)
        self._rng = rng

    def draw(self, default_rng: random.Random, name: str, *args: Any) -> Any:
        """Return the next recorded number, or draw a new one by the named method."""
        if self._recorded:
            value = self._recorded.popleft()
        else:
            value = getattr(self._rng or default_rng, name)(*args)
        self.drawn.append(value)
        return value

    async def run(self, work: Awaitable[Any]) -> None:
        """Run an awaitable; it and the tasks it starts draw from this record."""
        _DRAW_RECORD.set(self)
        await work


class ReplayableRandom:
    """A random generator that uses the draw record of the current event, if any."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Return a method of `random.Random` that goes through the draw record."""

        def draw(*args: Any) -> Any:
            record = _DRAW_RECORD.get()
            if record is None:
                return getattr(self._rng, name)(*args)
            return record.draw(self._rng, name, *args)

        return draw


@dataclass
class Event:
    """One arrival or fault, with its time, arguments and random numbers."""

    at: Millis
    kind: str
    arguments: list[Any] = field(default_factory=list)
    draws: list[Any] = field(default_factory=list)


@dataclass
class Course:
    """The events of a run in order of time.

    Parameters
    ----------
    seed
        Seed of the random numbers that are not recorded with the events.
    source
        Description of how the course was made.
    """

    seed: int
    seconds: float
    source: str = ""
    events: list[Event] = field(default_factory=list)

    def record(self, event: Event) -> DrawRecord:
        """Append an event as it starts; return the record that it draws from."""
        self.events.append(event)
        record = DrawRecord()
        event.draws = record.drawn
        return record

    async def play(
        self,
        now: Callable[[], Millis],
        start: Callable[[Event, DrawRecord], None],
    ) -> None:
        """Start each event at its time."""
        for number, event in enumerate(self.events):
            await asyncio.sleep(max(0.0, event.at - now()) / SECOND)
            rng = random.Random(f"{self.seed}/{number}/{event.kind}")
            start(event, DrawRecord(event.draws, rng))

    def save(self, path: pathlib.Path) -> None:
        """Write the course as JSON lines: a header, then one event a line."""
        path.parent.mkdir(parents=True, exist_ok=True)
        rows = [json.dumps(asdict(event)) for event in self.events]
        header = {"seed": self.seed, "seconds": self.seconds, "source": self.source}
        path.write_text("\n".join([json.dumps(header), *rows]) + "\n")

    @classmethod
    def load(cls, path: pathlib.Path) -> "Course":
        """Read a course that `save` wrote."""
        header, *rows = path.read_text().splitlines()
        events = [Event(**json.loads(row)) for row in rows]
        return cls(**json.loads(header), events=events)
