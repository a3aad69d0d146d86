"""Keep the adapters of the declared targets and poll the engines for reports."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from typing import Any

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import Catalogue, Engine, TargetKind
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.failures import Failure
from anvilshift.core.work import CacheEvent, LoadReport
from anvilshift.engines.engine import Connector, ModelEngine, PlainService
from anvilshift.engines.http import TargetError
from anvilshift.wire.response import ExchangeError

REPORT_INTERVAL: Millis = 250.0
_POLLS_PER_EVENT_READ = 4
"""Number of polls per read of an engine's cache events.  Events are late and
incomplete in any case; reading load and events in every poll took two fifths of
an idle router's CPU time."""
_SILENCE_THRESHOLD: Millis = 1_500.0
"""Time without an answer after which an engine counts as silent.  Engines are polled
every 250 ms with a timeout of one second, so a working engine answers within it."""


_UNANSWERED_THRESHOLD: Millis = 600.0
"""Time without an answer after which no work is moved to an engine: two polls and the
time of an answer.  An engine that is only late at answering loses nothing by it."""


class Targets:
    """The adapters of all declared targets."""

    def __init__(self, connector: Connector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock
        self._engines: dict[str, ModelEngine] = {}
        self._removed: dict[str, ModelEngine] = {}
        self._attempts: Counter[str] = Counter()
        self._services: dict[str, PlainService] = {}
        self._declared: dict[str, Engine] = {}
        self._event_sequences: dict[str, int] = {}
        self._poll_counts: Counter[str] = Counter()
        self._answered_at: dict[str, Millis] = {}
        self._background: set[asyncio.Task[None]] = set()

    def configure(self, catalogue: Catalogue) -> None:
        """Create adapters for the targets of a new catalogue."""
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
        known = self._removed | self._engines
        removed = [n for n in known if n not in engines and self._attempts[n]]
        self._removed = {name: known[name] for name in removed}
        self._answered_at = {
            name: self._answered_at.get(name, now) for name in (*engines, *removed)
        }
        self._engines, self._services = engines, services
        self._poll_counts = Counter({n: self._poll_counts[n] for n in engines})
        self._declared = declared

    @contextlib.contextmanager
    def hold(self, name: str) -> Iterator[None]:
        """Keep polling an engine while an attempt runs there, even if it is removed.

        Guards against work that waits at a hung engine for its deadline as the engine
        is no longer declared: unanswered polls are what shows that it hangs.
        """
        self._attempts[name] += 1
        try:
            yield
        finally:
            self._attempts[name] -= 1
            if not self._attempts[name]:
                del self._attempts[name]
                if self._removed.pop(name, None) is not None:
                    del self._answered_at[name]

    def engine(self, name: str) -> ModelEngine | None:
        """Return the adapter of a model engine, or None if it isn't declared."""
        return self._engines.get(name)

    def service(self, name: str) -> PlainService | None:
        """Return the adapter of a plain service, or None if it isn't declared."""
        return self._services.get(name)

    def is_silent(self, name: str) -> bool:
        """Tell whether an engine has left its polls unanswered for too long.

        For an engine that has never answered, the time runs from its declaration:
        otherwise, one that was paused before its first answer would hold every
        request until the request's deadline.
        """
        answered_at = self._answered_at.get(name)
        return (
            answered_at is not None
            and self._clock.now() - answered_at > _SILENCE_THRESHOLD
        )

    def list_unanswering(self) -> list[str]:
        """Return the engines that left their latest polls unanswered."""
        since = self._clock.now() - _UNANSWERED_THRESHOLD
        return [name for name, at in self._answered_at.items() if at < since]

    def cancel(self, name: str, attempt: str) -> None:
        """Cancel an attempt at an engine, in the background."""
        engine = self._engines.get(name) or self._removed.get(name)
        if engine is not None:
            self._spawn(engine.cancel(attempt))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(_ignore_errors(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def poll(
        self,
        apply_load_report: Callable[[LoadReport], None],
        take_event: Callable[[CacheEvent], None],
        count_refusal: Callable[[str], None],
    ) -> None:
        """Poll every engine's load and cache events until cancelled.

        Each engine has a poll of its own, at most one at a time, so that an engine
        that hangs doesn't delay the reports of the others.
        """
        polls: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                polls = {n: task for n, task in polls.items() if not task.done()}
                for name, engine in (self._engines | self._removed).items():
                    if name not in polls:
                        work = self._poll_one(
                            name, engine, apply_load_report, take_event, count_refusal
                        )
                        polls[name] = asyncio.create_task(work)
                await asyncio.sleep(REPORT_INTERVAL / SECOND)
        finally:
            for task in polls.values():
                task.cancel()

    def _record_answer(self, name: str) -> None:
        if name in self._answered_at:
            self._answered_at[name] = self._clock.now()

    async def _poll_one(
        self,
        name: str,
        engine: ModelEngine,
        apply_load_report: Callable[[LoadReport], None],
        take_event: Callable[[CacheEvent], None],
        count_refusal: Callable[[str], None],
    ) -> None:
        try:
            report = await engine.load()
            self._record_answer(name)
            apply_load_report(replace(report, as_of=self._clock.now() - report.as_of))
            if self._poll_counts[name] % _POLLS_PER_EVENT_READ == 0:
                for event in await engine.cache_events(
                    self._event_sequences.get(name, 0)
                ):
                    self._event_sequences[name] = event.sequence
                    take_event(event)
            self._poll_counts[name] += 1
        except TargetError as error:
            logging.debug("no report engine=%s %s", name, error)
            if not isinstance(error.__cause__, ExchangeError):
                # The engine responded, though without a report.
                self._record_answer(name)
            if error.failure is Failure.NOT_SENT:
                count_refusal(name)
        except AnvilshiftError as error:
            logging.debug("no report engine=%s code=%d", name, error.code.number)


async def _ignore_errors(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except AnvilshiftError as error:
        logging.debug("cancel failed code=%d", error.code.number)
