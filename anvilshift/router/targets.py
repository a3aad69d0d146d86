"""The adapters of the targets in force, and polls of what they report."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import Catalogue, Engine, TargetKind
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.work import CacheEvent, Failure, LoadReport
from anvilshift.engines.engine import Connector, ModelEngine, PlainService
from anvilshift.engines.http import TargetError
from anvilshift.wire.client import ExchangeError

REPORT_INTERVAL: Millis = 250.0
_EVENTS_EVERY = 4
"""Rounds between two reads of an engine's cache events.  These come late and
with gaps anyway; asking for load and events in every round took two fifths of
a quiet router's processor."""
_SILENCE: Millis = 1_500.0
"""An engine is asked every 250 ms and given a second: one that works has
answered within this span."""


class Targets:
    """Every declared target with its adapter."""

    def __init__(self, connector: Connector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock
        self._engines: dict[str, ModelEngine] = {}
        self._services: dict[str, PlainService] = {}
        self._declared: dict[str, Engine] = {}
        self._sequences: dict[str, int] = {}
        self._rounds: Counter[str] = Counter()
        self._answered: dict[str, Millis] = {}
        self._background: set[asyncio.Task[None]] = set()

    def configure(self, catalogue: Catalogue) -> None:
        """Make adapters for what is declared now."""
        engines: dict[str, ModelEngine] = {}
        services: dict[str, PlainService] = {}
        declared: dict[str, Engine] = {}
        for group in catalogue.groups.values():
            for engine in group.engines:
                declared[engine.name] = engine
                if group.kind is TargetKind.MODEL:
                    engines[engine.name] = self._connector.engine(engine)
                else:
                    services[engine.name] = self._connector.service(engine)
        now = self._clock.now()
        self._answered = {name: self._answered.get(name, now) for name in engines}
        self._engines, self._services = engines, services
        self._rounds = Counter({n: self._rounds[n] for n in engines})
        self._declared = declared

    def engine(self, name: str) -> ModelEngine | None:
        """Return the adapter of a model engine."""
        return self._engines.get(name)

    def service(self, name: str) -> PlainService | None:
        """Return the adapter of a plain service."""
        return self._services.get(name)

    def is_silent(self, name: str) -> bool:
        """Tell whether an engine has not answered its polls since some time.

        One that never answered counts from when it was declared: paused before its
        first answer, it would otherwise keep every request until its deadline.
        """
        answered = self._answered.get(name)
        return answered is not None and self._clock.now() - answered > _SILENCE

    def cancel(self, name: str, attempt: str) -> None:
        """Tell an engine in the background that nobody waits for an attempt."""
        engine = self._engines.get(name)
        if engine is not None:
            self._spawn(engine.cancel(attempt))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(_ignore_errors(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def poll(
        self,
        take_report: Callable[[LoadReport], None],
        take_event: Callable[[CacheEvent], None],
        take_refusal: Callable[[str], None],
    ) -> None:
        """Read every engine's reports again and again.

        One poll an engine is under way: an engine that hangs must not make the
        reports of all the others late.
        """
        polls: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                polls = {n: task for n, task in polls.items() if not task.done()}
                for name, engine in self._engines.items():
                    if name not in polls:
                        work = self._poll_one(
                            name, engine, take_report, take_event, take_refusal
                        )
                        polls[name] = asyncio.create_task(work)
                await asyncio.sleep(REPORT_INTERVAL / SECOND)
        finally:
            for task in polls.values():
                task.cancel()

    def _note_answer(self, name: str) -> None:
        if name in self._answered:
            self._answered[name] = self._clock.now()

    async def _poll_one(
        self,
        name: str,
        engine: ModelEngine,
        take_report: Callable[[LoadReport], None],
        take_event: Callable[[CacheEvent], None],
        take_refusal: Callable[[str], None],
    ) -> None:
        try:
            report = await engine.load()
            self._note_answer(name)
            take_report(replace(report, as_of=self._clock.now() - report.as_of))
            if self._rounds[name] % _EVENTS_EVERY == 0:
                for event in await engine.cache_events(self._sequences.get(name, 0)):
                    self._sequences[name] = event.sequence
                    take_event(event)
            self._rounds[name] += 1
        except TargetError as error:
            logging.debug("no report engine=%s %s", name, error)
            if not isinstance(error.__cause__, ExchangeError):
                # It answered, only not with a report.
                self._note_answer(name)
            if error.failure is Failure.NOT_SENT:
                take_refusal(name)
        except AnvilshiftError as error:
            logging.debug("no report engine=%s code=%d", name, error.code.number)


async def _ignore_errors(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except AnvilshiftError as error:
        logging.debug("cancel failed code=%d", error.code.number)
