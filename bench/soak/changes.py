"""What changes about the engines while a course is played."""

import hashlib
from typing import Any

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.work import CacheEvent
from bench.soak.faults import FaultSchedule
from bench.soak.network import SoakEngine

MODEL = "advice"
PREFIXES = 3
_BLOCK_BYTES = 1024
_MOST_ENGINES = 6


def make_prefix(number: int) -> str:
    """Return the text that many prompts begin with; it is longer than a block."""
    return f"prefix {number} ".ljust(_BLOCK_BYTES, "x")


def name_block(number: int) -> str:
    """Return the name of a prefix's block, as routers and engines derive it."""
    text = f"system:{make_prefix(number)}".encode()[:_BLOCK_BYTES]
    return hashlib.sha256(MODEL.encode() + text).hexdigest()[:16]


class ChangingSchedule(FaultSchedule):
    """Faults, and changes of what is declared and of what routers believe."""

    async def store_prefix(self) -> None:
        """Let one router alone hear that an engine holds a prefix."""
        engine = self._rng.choice(sorted(self._soak.engines))
        router = f"r{self._rng.randrange(4)}"
        number = self._rng.randrange(PREFIXES)
        events = self._soak.engines[engine].cache.setdefault(router, [])
        stored = (name_block(number),)
        events.append(CacheEvent(engine, len(events) + 1, stored=stored))

    async def declare_engine(self) -> None:
        """Declare one engine more, which routers hear of one after the other."""
        await self._change_engines(lambda engines: engines)

    async def replace_engine(self) -> None:
        """Declare another engine in place of one."""
        gone = self._rng.randrange(4)
        await self._change_engines(
            lambda engines: [e for n, e in enumerate(engines) if n != gone]
        )

    async def _change_engines(self, keep: Any) -> None:
        soak = self._soak
        name = f"e{len(soak.engines)}"
        soak.engines[name] = SoakEngine(name, soak.journal, soak.network)
        domain = self._rng.choice(("north", "south", "east"))
        added = {"name": name, "address": "127.0.0.1:1", "failure_domain": domain}
        try:
            found = await soak.store.get("EngineGroup", "models")
            assert found is not None
            engines = keep(found.body["engines"])
            if len(engines) < _MOST_ENGINES:
                body = {**found.body, "engines": [*engines, added]}
                await soak.store.put("EngineGroup", "models", body, found.version)
        except AnvilshiftError:
            # The operator's call failed; another change comes later.
            soak.journal.faults["change not stored"] += 1


GAPS_S = {"store_prefix": 1.0, "declare_engine": 15.0, "replace_engine": 20.0}
"""Mean seconds between two changes of each kind."""
FIRST = 1 * SECOND
