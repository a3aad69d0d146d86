"""A simulation model of an engine with continuous batching.

A stream waits for a slot in order of priority, occupies it for its prefill
(shortened by the blocks in the prefix cache) and then for decoding.  The time of
a token grows with the number of streams that decode at once.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.failures import Failure
from bench.load.timeline import Timeline

_RESTART_TIME: Millis = 5 * SECOND


@dataclass(frozen=True)
class EngineParameters:
    """Speed and size of an engine.

    Parameters
    ----------
    base, slope
        A token takes base + slope x decoding streams milliseconds.
    prefill
        Milliseconds of prefill for each prompt token that isn't cached.
    blocks, block_tokens
        Capacity of the prefix cache in blocks, and prompt tokens per block.
    """

    slots: int = 8
    base: Millis = 8.0
    slope: Millis = 1.0
    prefill: Millis = 0.2
    blocks: int = 48
    block_tokens: int = 256

    @property
    def full_batch_token_time(self) -> Millis:
        """Return the time of a token while every slot is decoding."""
        return self.base + self.slope * self.slots


@dataclass(eq=False)
class Stream:
    """One attempt of a request on an engine."""

    identity: str
    prompt: int
    tokens: int
    prefixes: tuple[str, ...]
    on_first_token: Callable[[], None]
    on_done: Callable[[], None]
    on_failed: Callable[[Failure], None]
    poison: bool = False
    tokens_generated: float = 0.0
    state: str = "waiting"
    start: float = 0.0


@dataclass
class Faults:
    """The faults that an engine has at present."""

    slow: float = 1.0
    failing: bool = False
    down: bool = False


@dataclass
class CacheChange:
    """A change of the prefix cache, from which a run makes a cache event."""

    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class EngineModel:
    """An engine simulated in virtual time."""

    def __init__(
        self, timeline: Timeline, name: str, parameters: EngineParameters
    ) -> None:
        self.name = name
        self.parameters = parameters
        self.faults = Faults()
        self.crashes = 0
        self.on_cache: Callable[[CacheChange], None] = lambda change: None
        self._timeline = timeline
        self._waiting: list[tuple[int, int, Stream]] = []
        self._tie_breakers = itertools.count()
        self._sequence = 0
        self._cached_blocks: OrderedDict[str, None] = OrderedDict()
        self._streams: dict[Stream, None] = {}
        self._decoding: list[tuple[float, int, Stream]] = []
        self._decoding_count = 0
        self._token_clock = 0.0
        self._clock_updated_at: Millis = 0.0
        self._schedule_version = 0

    @property
    def running(self) -> int:
        """Return the number of streams that occupy a slot."""
        return len(self._streams)

    @property
    def waiting(self) -> int:
        """Return the number of streams that wait for a slot."""
        return sum(stream.state == "waiting" for _, _, stream in self._waiting)

    def submit(self, stream: Stream, priority: int) -> None:
        """Queue a stream, or fail it at once if the engine is down or failing."""
        if self.faults.down or self.faults.failing:
            stream.state = "ended"
            down = self.faults.down
            stream.on_failed(Failure.NOT_SENT if down else Failure.CRASHED)
            return
        heapq.heappush(self._waiting, (-priority, next(self._tie_breakers), stream))
        self._admit()

    def cancel(self, stream: Stream) -> None:
        """Stop a stream whose result is no longer needed."""
        self._advance_token_clock()
        if stream.state == "decoding":
            self._decoding_count -= 1
            stream.tokens_generated = min(
                stream.tokens, self._token_clock - stream.start
            )
        stream.state = "ended"
        self._streams.pop(stream, None)
        self._admit()
        self._schedule()

    def crash(self) -> None:
        """Fail every stream and clear the prefix cache."""
        self.crashes += 1
        lost = [*self._streams, *(item[2] for item in self._waiting)]
        self._advance_token_clock()
        for stream in lost:
            if stream.state == "decoding":
                stream.tokens_generated = min(
                    stream.tokens, self._token_clock - stream.start
                )
        self._streams.clear()
        self._waiting.clear()
        self._decoding.clear()
        self._cached_blocks.clear()
        self._decoding_count = 0
        self._schedule_version += 1
        for stream in lost:
            if stream.state != "ended":
                stream.state = "ended"
                stream.on_failed(Failure.BROKE_OFF)

    def _restart(self) -> None:
        self.faults.down = True
        self.crash()

        def finish_restart() -> None:
            self.faults.down = False

        self._timeline.at(self._timeline.now + _RESTART_TIME, finish_restart)

    def set_slow(self, factor: float) -> None:
        """Multiply the time of prefill and of tokens by a factor from now on."""
        self._advance_token_clock()
        self.faults.slow = factor
        self._schedule()

    def _admit(self) -> None:
        while self._waiting and self.running < self.parameters.slots:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.state != "waiting":
                continue
            self._streams[stream] = None
            stream.state = "prefill"
            span = self._prefill(stream) * self.faults.slow
            at = self._timeline.now + span
            self._timeline.at(at, lambda s=stream: self._start_decoding(s))

    def _prefill(self, stream: Stream) -> Millis:
        held = 0
        for block in stream.prefixes:
            if block not in self._cached_blocks:
                break
            held += 1
        self._store(stream.prefixes)
        left = max(0, stream.prompt - held * self.parameters.block_tokens)
        return 5.0 + left * self.parameters.prefill

    def _store(self, blocks: tuple[str, ...]) -> None:
        stored = tuple(block for block in blocks if block not in self._cached_blocks)
        evicted = []
        for block in blocks:
            self._cached_blocks[block] = None
            self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) > self.parameters.blocks:
            evicted.append(self._cached_blocks.popitem(last=False)[0])
        if stored or evicted:
            self._sequence += 1
            self.on_cache(CacheChange(self._sequence, stored, tuple(evicted)))

    def _start_decoding(self, stream: Stream) -> None:
        if stream.state != "prefill":
            return
        if stream.poison:
            self._restart()
            return
        self._advance_token_clock()
        stream.state = "decoding"
        stream.start = self._token_clock
        self._decoding_count += 1
        number = next(self._tie_breakers)
        heapq.heappush(
            self._decoding, (self._token_clock + stream.tokens, number, stream)
        )
        stream.on_first_token()
        self._schedule()

    def _token_time(self) -> Millis:
        parameters = self.parameters
        return (
            parameters.base + parameters.slope * self._decoding_count
        ) * self.faults.slow

    def _advance_token_clock(self) -> None:
        now = self._timeline.now
        if self._decoding_count:
            self._token_clock += (now - self._clock_updated_at) / self._token_time()
        self._clock_updated_at = now

    def _schedule(self) -> None:
        self._schedule_version += 1
        while self._decoding and self._decoding[0][2].state != "decoding":
            heapq.heappop(self._decoding)
        if not self._decoding:
            return
        left = max(0.0, self._decoding[0][0] - self._token_clock)
        due = self._timeline.now + left * self._token_time()
        version = self._schedule_version
        self._timeline.at(due, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._schedule_version or not self._decoding:
            return
        self._advance_token_clock()
        _, _, stream = heapq.heappop(self._decoding)
        stream.state = "ended"
        stream.tokens_generated = stream.tokens
        self._decoding_count -= 1
        self._streams.pop(stream, None)
        self._admit()
        self._schedule()
        stream.on_done()


@dataclass
class Cluster:
    """The engines of one simulation run."""

    engines: dict[str, EngineModel] = field(default_factory=dict)

    @classmethod
    def from_parameters(
        cls, timeline: Timeline, count: int, parameters: EngineParameters
    ) -> "Cluster":
        """Create engines with equal parameters, named e0, e1, …."""
        names = [f"e{index}" for index in range(count)]
        return cls({n: EngineModel(timeline, n, parameters) for n in names})
