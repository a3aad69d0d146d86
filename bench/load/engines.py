"""A small model of an engine that batches continuously.

A stream waits for a slot by priority, spends its prefill there (less for what
the prefix cache holds) and then makes tokens; a token takes longer the more
streams make tokens at once.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Failure
from bench.load.timeline import Timeline

_RESTART: Millis = 5 * SECOND


@dataclass(frozen=True)
class Figures:
    """How fast an engine is.

    Parameters
    ----------
    base, slope
        A token takes base + slope x streams milliseconds.
    prefill
        Milliseconds for a prompt token that isn't cached.
    blocks, block_tokens
        Prefix blocks that the cache holds, and prompt tokens of a block.
    """

    slots: int = 8
    base: Millis = 8.0
    slope: Millis = 1.0
    prefill: Millis = 0.2
    blocks: int = 48
    block_tokens: int = 256

    @property
    def pace(self) -> Millis:
        """Return the time of a token when every slot makes tokens."""
        return self.base + self.slope * self.slots


@dataclass(eq=False)
class Stream:
    """One attempt at an engine."""

    identity: str
    prompt: int
    tokens: int
    prefixes: tuple[str, ...]
    on_first: Callable[[], None]
    on_done: Callable[[], None]
    on_failed: Callable[[Failure], None]
    poison: bool = False
    made: float = 0.0
    state: str = "waiting"
    start: float = 0.0


@dataclass
class Faults:
    """What is wrong with an engine now."""

    slow: float = 1.0
    failing: bool = False
    down: bool = False


@dataclass
class CacheChange:
    """A cache event before it is sent."""

    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class EngineModel:
    """An engine in virtual time."""

    def __init__(self, timeline: Timeline, name: str, figures: Figures) -> None:
        self.name = name
        self.figures = figures
        self.faults = Faults()
        self.crashes = 0
        self.on_cache: Callable[[CacheChange], None] = lambda change: None
        self._timeline = timeline
        self._waiting: list[tuple[int, int, Stream]] = []
        self._numbers = itertools.count()
        self._sequence = 0
        self._held: OrderedDict[str, None] = OrderedDict()
        self._streams: dict[Stream, None] = {}
        self._decoding: list[tuple[float, int, Stream]] = []
        self._count = 0
        self._made = 0.0
        self._at: Millis = 0.0
        self._version = 0

    @property
    def running(self) -> int:
        """Return how many streams hold a slot."""
        return len(self._streams)

    @property
    def waiting(self) -> int:
        """Return how many streams wait for a slot."""
        return sum(stream.state == "waiting" for _, _, stream in self._waiting)

    def submit(self, stream: Stream, priority: int) -> None:
        """Take in a stream."""
        if self.faults.down or self.faults.failing:
            stream.state = "ended"
            down = self.faults.down
            stream.on_failed(Failure.NOT_SENT if down else Failure.CRASHED)
            return
        heapq.heappush(self._waiting, (-priority, next(self._numbers), stream))
        self._admit()

    def cancel(self, stream: Stream) -> None:
        """Stop a stream: nobody reads it."""
        self._advance()
        if stream.state == "decoding":
            self._count -= 1
            stream.made = min(stream.tokens, self._made - stream.start)
        stream.state = "ended"
        self._streams.pop(stream, None)
        self._admit()
        self._schedule()

    def crash(self) -> None:
        """Lose every stream and the cache."""
        self.crashes += 1
        lost = [*self._streams, *(item[2] for item in self._waiting)]
        self._advance()
        for stream in lost:
            if stream.state == "decoding":
                stream.made = min(stream.tokens, self._made - stream.start)
        self._streams.clear()
        self._waiting.clear()
        self._decoding.clear()
        self._held.clear()
        self._count = 0
        self._version += 1
        for stream in lost:
            if stream.state != "ended":
                stream.state = "ended"
                stream.on_failed(Failure.BROKE_OFF)

    def _restart(self) -> None:
        self.faults.down = True
        self.crash()

        def come_back() -> None:
            self.faults.down = False

        self._timeline.at(self._timeline.now + _RESTART, come_back)

    def set_slow(self, factor: float) -> None:
        """Make every step slower."""
        self._advance()
        self.faults.slow = factor
        self._schedule()

    def _admit(self) -> None:
        while self._waiting and self.running < self.figures.slots:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.state != "waiting":
                continue
            self._streams[stream] = None
            stream.state = "prefill"
            span = self._prefill(stream) * self.faults.slow
            at = self._timeline.now + span
            self._timeline.at(at, lambda s=stream: self._begin(s))

    def _prefill(self, stream: Stream) -> Millis:
        held = 0
        for block in stream.prefixes:
            if block not in self._held:
                break
            held += 1
        self._store(stream.prefixes)
        left = max(0, stream.prompt - held * self.figures.block_tokens)
        return 5.0 + left * self.figures.prefill

    def _store(self, blocks: tuple[str, ...]) -> None:
        stored = tuple(block for block in blocks if block not in self._held)
        evicted = []
        for block in blocks:
            self._held[block] = None
            self._held.move_to_end(block)
        while len(self._held) > self.figures.blocks:
            evicted.append(self._held.popitem(last=False)[0])
        if stored or evicted:
            self._sequence += 1
            self.on_cache(CacheChange(self._sequence, stored, tuple(evicted)))

    def _begin(self, stream: Stream) -> None:
        if stream.state != "prefill":
            return
        if stream.poison:
            self._restart()
            return
        self._advance()
        stream.state = "decoding"
        stream.start = self._made
        self._count += 1
        number = next(self._numbers)
        heapq.heappush(self._decoding, (self._made + stream.tokens, number, stream))
        stream.on_first()
        self._schedule()

    def _span(self) -> Millis:
        figures = self.figures
        return (figures.base + figures.slope * self._count) * self.faults.slow

    def _advance(self) -> None:
        now = self._timeline.now
        if self._count:
            self._made += (now - self._at) / self._span()
        self._at = now

    def _schedule(self) -> None:
        self._version += 1
        while self._decoding and self._decoding[0][2].state != "decoding":
            heapq.heappop(self._decoding)
        if not self._decoding:
            return
        left = max(0.0, self._decoding[0][0] - self._made)
        due = self._timeline.now + left * self._span()
        version = self._version
        self._timeline.at(due, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._version or not self._decoding:
            return
        self._advance()
        _, _, stream = heapq.heappop(self._decoding)
        stream.state = "ended"
        stream.made = stream.tokens
        self._count -= 1
        self._streams.pop(stream, None)
        self._admit()
        self._schedule()
        stream.on_done()


@dataclass
class Cluster:
    """The engines of one run."""

    engines: dict[str, EngineModel] = field(default_factory=dict)

    @classmethod
    def from_figures(
        cls, timeline: Timeline, count: int, figures: Figures
    ) -> "Cluster":
        """Make equal engines."""
        names = [f"e{index}" for index in range(count)]
        return cls({n: EngineModel(timeline, n, figures) for n in names})
