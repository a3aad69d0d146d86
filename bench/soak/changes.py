"""Changes of the declared engines and of their caches during a run."""

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
_MAX_ENGINES = 6


def make_prefix(number: int) -> str:
    """Return a shared prompt prefix, padded to at least one cache block."""
    return f"prefix {number} ".ljust(_BLOCK_BYTES, "x")


def name_block(number: int) -> str:
    """Return the hash of a prefix's first block, as routers and engines compute it."""
    text = f"system:{make_prefix(number)}".encode()[:_BLOCK_BYTES]
    return hashlib.sha256(MODEL.encode() + text).hexdigest()[:16]


class ChangingSchedule(FaultSchedule):
    """Add changes of declared engines and of cache events to the faults."""

    async def store_prefix(self) -> None:
        """Send one router alone the event that an engine has cached a prefix."""
        engine = self._rng.choice(sorted(self._soak.engines))
        router = f"r{self._rng.randrange(4)}"
        number = self._rng.randrange(PREFIXES)
        events = self._soak.engines[engine].cache.setdefault(router, [])
        blocks = (name_block(number),)
        events.append(CacheEvent(engine, len(events) + 1, stored=blocks))

    async def declare_engine(self) -> None:
        """Declare one more engine; routers learn of it at different instants."""
        await self._change_engines(lambda engines: engines)

    async def replace_engine(self) -> None:
        """Replace one declared engine by a new one."""
        removed = self._rng.randrange(4)
        await self._change_engines(
            lambda engines: [e for n, e in enumerate(engines) if n != removed]
        )

    async def _change_engines(self, select: Any) -> None:
        soak = self._soak
        name = f"e{len(soak.engines)}"
        soak.engines[name] = SoakEngine(name, soak.journal, soak.network, soak.repeats)
        domain = self._rng.choice(("north", "south", "east"))
        added = {"name": name, "address": "127.0.0.1:1", "failure_domain": domain}
        try:
            stored_group = await soak.store.get("EngineGroup", "models")
            assert stored_group is not None
            engines = select(stored_group.body["engines"])
            if len(engines) < _MAX_ENGINES:
                body = {**stored_group.body, "engines": [*engines, added]}
                await soak.store.put(
                    "EngineGroup", "models", body, stored_group.version
                )
        except AnvilshiftError:
            # The operator's write failed; a later change event tries again.
            soak.journal.faults["change not stored"] += 1


GAPS_S = {"store_prefix": 1.0, "declare_engine": 15.0, "replace_engine": 20.0}
"""Mean seconds between two changes of each kind."""
FIRST_EVENT = 1 * SECOND
