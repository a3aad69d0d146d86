"""Random courses of versions that change beside losses of all routers.

Callers lose their connections and take their streams up until they come to the end of
these or their patience is over.  Half of them don't name their first attempt.
"""

import asyncio
import random
from dataclasses import dataclass, field

from anvilshift.core.origins import MAX_LIFETIME, Origin, make_stream_key
from anvilshift.core.routing import RequestKind, Rule
from anvilshift.gateway.origins import Finding
from anvilshift.standins.virtual import run_virtual
from tests.gateway.originfleet import SERVICE, OriginFleet, Router

NAMES = ("r0", "r1", "r2")
RULE = Rule(
    "chat",
    "shop.example",
    "/",
    RequestKind.STREAMING,
    ((SERVICE, 1.0),),
    timeout=MAX_LIFETIME,
    objective=1_000.0,
    resumable=True,
)
_ROLLS = 5
_CALLERS = 30
_ENGINES = 2
_NAMING = 0.5
_AMID = 0.5
"""Share of changes of version amid which the routers are lost."""
_SURVIVING = 0.4
"""Share of losses that one router survives."""


@dataclass
class Stream:
    """A caller's stream.

    Attributes
    ----------
    told
        Routers that were told where it began.
    """

    name: str
    version: str
    end: float
    told: list[Router] = field(default_factory=list)


@dataclass
class Outcome:
    """What a course has shown.

    Parameters
    ----------
    faults
        Streams of two versions, and those that a router knew and that went on nowhere.
    """

    faults: list[str] = field(default_factory=list)
    taken_up: int = 0
    refused: int = 0


def play_course(seed: int) -> Outcome:
    """Play the course of a seed."""
    return run_virtual(_Course(seed).play())


class _Course:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.count = 0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def play(self) -> Outcome:
        self.fleet = fleet = OriginFleet(
            random.Random(-1 - self.rng.randrange(1_000)), RULE
        )
        self._register("v0")
        await fleet.start(*NAMES, first=True)
        callers = [asyncio.create_task(self._keep_calling()) for _ in range(_CALLERS)]
        for number in range(_ROLLS):
            await asyncio.sleep(self.rng.uniform(5.0, 250.0))
            await self._roll(f"v{number + 1}")
        await asyncio.sleep(self.rng.uniform(60.0, 200.0))
        for task in callers:
            task.cancel()
        for done in await asyncio.gather(*callers, return_exceptions=True):
            if not isinstance(done, asyncio.CancelledError):
                raise done
        fleet.kill(*list(fleet.routers))
        return self.outcome

    def _register(self, version: str) -> None:
        for number in range(_ENGINES):
            self.fleet.register(f"{version}-{number}", version)

    async def _roll(self, version: str) -> None:
        """Let engines of a new version take the place of the others."""
        old = list(self.fleet.engines)
        self._register(version)
        await asyncio.sleep(self.rng.choice((0.2, 3.0, 40.0)))
        if self.rng.random() < _AMID:
            await self._lose_routers()
        self.fleet.is_store_down = self.rng.random() < 0.3
        for name in old:
            self.fleet.remove(name)
        await asyncio.sleep(self.rng.uniform(0.0, 6.0))
        self.fleet.is_store_down = False
        await self._lose_routers()

    async def _lose_routers(self) -> None:
        names = list(NAMES)
        if self.rng.random() < _SURVIVING:
            names.remove(self.rng.choice(names))
        self.fleet.kill(*names)
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        await self.fleet.start(*names)

    async def _keep_calling(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.0, 5.0))
            stream = self._begin()
            while stream is not None:
                wait = self.rng.choice((0.1, 2.0, 30.0, 100.0))
                await asyncio.sleep(self.rng.uniform(0.0, wait))
                if self.now() >= stream.end or await self._take_up(stream):
                    break

    def _begin(self) -> Stream | None:
        """Begin a stream at any engine that is left of those that a router knows."""
        if not self.fleet.ready:
            return None
        router = self.rng.choice(self.fleet.ready)
        known = sorted(router.loads.targets.keys() & self.fleet.engines.keys())
        if not known:
            return None
        version = self.fleet.engines[self.rng.choice(known)].version
        self.count += 1
        lasts = self.rng.uniform(10.0, MAX_LIFETIME / 1_000)
        stream = Stream(f"s{self.count}", version, self.now() + lasts)
        self._record(router, stream)
        return stream

    def _record(self, router: Router, stream: Stream) -> None:
        key = make_stream_key("pounds", stream.name)
        left = (stream.end - self.now()) * 1_000
        router.origins.record(key, Origin(SERVICE, stream.version), left)
        stream.told = [router, *map(self.fleet.routers.get, router.peers.routers)]

    async def _take_up(self, stream: Stream) -> bool:
        """Take a stream up; return whether it came to its end."""
        if not self.fleet.ready:
            return False
        router = self.rng.choice(self.fleet.ready)
        is_named = self.rng.random() < _NAMING
        finding = Finding(None)
        if is_named:
            finding = await router.origins.find(make_stream_key("pounds", stream.name))
        if router not in self.fleet.ready:
            return False
        origin = finding.origin
        if origin is None and finding.is_final and not finding.is_told:
            left = (stream.end - self.now()) * 1_000
            origin = router.origins.infer(RULE, left, 1)
        self._check(stream, origin, is_named)
        present = [one.info.version for one in router.loads.targets.values()]
        if origin is None or origin.version not in present:
            self.outcome.refused += 1
            return False
        self.outcome.taken_up += 1
        self._record(router, stream)
        return self.rng.random() < 0.5

    def _check(self, stream: Stream, origin: Origin | None, is_named: bool) -> None:
        if origin is not None and origin.version != stream.version:
            self.outcome.faults.append(
                f"two versions: {stream.version} goes on at {origin.version}"
            )
        is_known = any(one in self.fleet.ready for one in stream.told)
        if origin is None and is_named and is_known:
            self.outcome.faults.append(f"known stream refused: {stream.name}")
