"""Engines that fall silent for a moment and go on, and a check of what callers get."""

import asyncio
import json
import random
from collections.abc import Collection
from typing import TYPE_CHECKING

from anvilshift.client.failures import NOT_RUN, UNKNOWN, read_error
from anvilshift.core.clock import SECOND, Millis
from anvilshift.router.requests import DEADLINE_HEADER
from anvilshift.standins.engine import read_prompt
from anvilshift.wire.messages import HttpRequest
from bench.soak.faults import FaultSchedule
from bench.soak.http import SoakResponder

if TYPE_CHECKING:
    from bench.soak.run import Soak

_MODEL_PATH = "/v1/chat/completions"
_GAP_S = 1.5
_SILENCE_S = (0.5, 2.0)
_ALL_RATIO, _CHANGE_RATIO, _END_RATIO = 0.3, 0.3, 0.3
"""Fractions of the silences that take all engines, fall beside a changed policy, or
begin as an answer lacks only its end."""
OTHER_FAULTS_GAP_S = 8.0
"""Mean seconds between other faults, so that some routers are free of them."""
_SAMPLE_S = 0.1
_RECOVERY: Millis = 5 * SECOND
"""Time after a fault in which its router still counts as touched: one lease."""
_DEADLINE_MARGIN: Millis = 100.0
_POINT_FAULTS = ("lose_answers", "replace_engine")
_ALL_ROUTERS = "all routers"


class SilentEngines:
    """Make engines fall silent at random times, alone, together or beside a change.

    Its random numbers are its own, so that other seeded choices stay as they are.
    """

    def __init__(self, soak: "Soak", schedule: FaultSchedule, seed: int) -> None:
        self._soak = soak
        self._schedule = schedule
        self._rng = random.Random(f"{seed}/silences")

    async def run(self) -> None:
        """Start silences until cancelled; a new one may prolong the one before."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / _GAP_S))
            self._soak.journal.faults["silence"] += 1
            names = sorted(self._soak.engines)
            if self._rng.random() >= _ALL_RATIO:
                names = self._rng.sample(names, self._rng.randint(1, len(names) // 2))
            span = self._rng.uniform(*_SILENCE_S) * SECOND
            at_end = self._rng.random() < _END_RATIO
            for name in names:
                pauses = self._soak.engines[name].pauses
                (pauses.begin_at_end if at_end else pauses.begin)(span)
            if self._rng.random() < _CHANGE_RATIO:
                self._soak.traffic.spawn(self._schedule.change_declarations())


class AnswerWatch:
    """Check that a request whose engines were only silent is answered or refused.

    Other faults are sampled: those that touch a router, a lease before the request
    or later, and those of an engine since the request began.
    """

    def __init__(self, soak: "Soak", schedule: FaultSchedule) -> None:
        self._soak = soak
        self._schedule = schedule
        self._touched_at: dict[str, Millis] = {}
        self._point_faults = 0

    async def run(self) -> None:
        """Sample the other faults until cancelled."""
        while True:
            self._sample()
            await asyncio.sleep(_SAMPLE_S)

    def _sample(self) -> None:
        soak, faults = self._soak, self._soak.store.faults
        touched = self._schedule.affected | faults.cut
        count = sum(soak.journal.faults[kind] for kind in _POINT_FAULTS)
        changed = count > self._point_faults
        self._point_faults = count
        if changed or faults.outage or faults.lose_answers or soak.network.slow:
            touched.add(_ALL_ROUTERS)
        touched.update(*soak.network.cuts)
        for engine in soak.engines.values():
            if engine.fail_streams or not engine.is_serving:
                touched.add(engine.name)
        self._touched_at |= dict.fromkeys(touched, soak.clock.now())

    def end_exchange(
        self, router: str, request: HttpRequest, responder: SoakResponder, began: Millis
    ) -> None:
        """Check what a caller received when its exchange with a router ends."""
        if request.path != _MODEL_PATH:
            return
        prompt, now = read_prompt(json.loads(request.body)), self._soak.clock.now()
        work = self._soak.journal.work.get((router, prompt))
        if work is None or work.until < began:
            return
        self._sample()
        if self._is_touched({router}, work.engines, began):
            return
        deadline = began + float(request.headers.get(DEADLINE_HEADER) or 0.0)
        is_late = now >= deadline - _DEADLINE_MARGIN
        works = work.until >= now - _DEADLINE_MARGIN
        if works if is_late else responder.is_open:
            # The deadline passed while an engine worked, or the caller left.
            return
        detail = f"{prompt[-40:]!r} at {router}, {sorted(work.engines)}, "
        detail += f"{now - began:.0f} ms, {responder.status}: {responder.body[-150:]!r}"
        answered = _is_answered(responder)
        self._soak.journal.check("a silent engine loses no answer", answered, detail)

    def _is_touched(
        self, routers: Collection[str], engines: Collection[str], began: Millis
    ) -> bool:
        """Tell whether another fault touched what a request passed through."""
        since = dict.fromkeys((*routers, _ALL_ROUTERS), began - _RECOVERY)
        since |= dict.fromkeys(engines, began)
        return any(self._touched_at.get(n, -_RECOVERY) >= t for n, t in since.items())

    def end_request(self, prompt: str, began: Millis, until: Millis, fate: str) -> None:
        """Check what a caller received in the end, from whichever router.

        Parameters
        ----------
        until
            Its deadline.
        fate
            What its last error says of the work; empty for a whole answer.
        """
        journal, now = self._soak.journal, self._soak.clock.now()
        works = {
            router: work
            for (router, text), work in journal.work.items()
            if text == prompt and work.until >= began
        }
        if not works or now >= until - _DEADLINE_MARGIN:
            return
        self._sample()
        engines = {name for work in works.values() for name in work.engines}
        if self._is_touched(works, engines, began):
            return
        detail = f"{prompt[-40:]!r} at {sorted(works)}, {sorted(engines)}, "
        detail += f"{now - began:.0f} ms, {fate}"
        kept = fate in ("", NOT_RUN)
        journal.check("a caller at silent engines loses nothing", kept, detail)


def _is_answered(responder: SoakResponder) -> bool:
    """Tell whether a caller got a whole answer, or a refusal with *not run*."""
    if responder.status == 200:
        return responder.finished and b"[DONE]" in responder.body
    return read_error(responder.body, responder.status, UNKNOWN).fate == NOT_RUN
