"""Connections to the platform that fall silent for good while new ones work."""

import asyncio
import random
from typing import TYPE_CHECKING

from anvilshift.core.clock import SECOND, Millis
from bench.soak.faults import FaultSchedule

if TYPE_CHECKING:
    from bench.soak.run import Soak

SILENT_PLATFORM = "silent_platform"
"""Name of the fault among those that were started."""
_GAP_S = 12.0
_SERIES_RATIO, _SERIES_GAP_S = 0.3, 1.2
"""Fraction of the silences that a second one follows, and the time between them."""
_CHANGE_DELAY_S = 0.05
_IN_FORCE: Millis = 4 * SECOND
"""Time within which a change is in force everywhere."""
_CALM: Millis = 5 * SECOND
"""Time after other faults in which their consequences may delay a change."""
_SAMPLE_S = 0.1


class SilentPlatform:
    """Silence the routers' open connections to the platform beside a changed policy.

    A change that no other fault touches has to be in force in time.  Its random numbers
    are its own, so that other seeded choices stay as they are.
    """

    def __init__(self, soak: "Soak", schedule: FaultSchedule, seed: int) -> None:
        self._soak = soak
        self._schedule = schedule
        self._rng = random.Random(f"{seed}/silent platform")
        self._silenced: Millis = 0.0
        self._disturbed: Millis = 0.0

    async def run(self) -> None:
        """Start silences until cancelled."""
        sampling = asyncio.ensure_future(self._sample())
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / _GAP_S))
                self._silence()
                await asyncio.sleep(_CHANGE_DELAY_S)
                self._soak.traffic.spawn(self._change())
                if self._rng.random() < _SERIES_RATIO:
                    await asyncio.sleep(_SERIES_GAP_S)
                    self._silence()
        finally:
            sampling.cancel()

    def _silence(self) -> None:
        self._soak.journal.faults[SILENT_PLATFORM] += 1
        self._silenced = self._soak.clock.now()
        self._soak.store.silence()

    async def _change(self) -> None:
        """Change a policy, and check at which routers it is in force in time."""
        soak, began = self._soak, self._soak.clock.now()
        routers = list(soak.entries.values())
        soak.traffic.spawn(self._schedule.change_declarations())
        await asyncio.sleep(_SAMPLE_S)
        wanted = soak.store.revision
        while soak.clock.now() < self._silenced + _IN_FORCE:
            await asyncio.sleep(_SAMPLE_S)
        if self._disturbed > began - _CALM or routers != list(soak.entries.values()):
            return
        held = [one.node.access_control.catalogue.revision for one in routers]
        detail = f"revision {wanted} of the platform, {held} at the routers"
        soak.journal.check("a silence holds up no change", min(held) >= wanted, detail)

    async def _sample(self) -> None:
        """Note when other faults act."""
        soak = self._soak
        while True:
            faults = soak.store.faults
            acts = faults.outage or faults.cut or faults.lose_answers
            if self._schedule.affected or acts or soak.network.slow:
                self._disturbed = soak.clock.now()
            if soak.network.cuts:
                self._disturbed = soak.clock.now()
            await asyncio.sleep(_SAMPLE_S)
