"""Engines that fall silent, round one dispatcher, in virtual time."""

import random
from dataclasses import dataclass, field

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.work import (
    Cancel,
    CrashAnnouncement,
    DispatchSettings,
    LoadReport,
    Refuse,
    Target,
    Work,
)
from anvilshift.router.silence import WATCH
from anvilshift.router.targets import REPORT_INTERVAL

STEP = 25.0
"""Milliseconds of one step; silences and run times are multiples of it."""
UNANSWERED, SILENT = 600.0, 1_500.0
"""Milliseconds without a poll's answer: no work is moved there, work may leave."""
FOREVER = 1e9
_TOKEN_TIME = STEP
_RATE_MS = 100.0
"""Mean time between two requests."""


@dataclass
class Asked:
    """One request, as its caller sees it."""

    name: str
    tokens: int
    prefill: float
    asked_at: float
    deadline: float
    received: int = 0
    fate: str = ""
    sent: list[tuple[str, float, float]] = field(default_factory=list)
    """Engine and time of each attempt, and when it would have been complete."""


@dataclass
class Attempt:
    """One attempt at an engine."""

    asked: Asked
    engine: str
    base: int
    check: float
    heard: float
    done: float = 0.0
    begun: bool = False
    was_silent: bool = False


class SilentFleet:
    """A router's dispatcher, its watch of silent engines, and the engines.

    Parameters
    ----------
    silences
        For each engine its silences, each as a beginning and an end.
    """

    def __init__(self, seed, silences, routers=1):
        self.now, self.rng = 0.0, random.Random(seed)
        self.silences = {name: _merge(times) for name, times in silences.items()}
        self.answered = dict.fromkeys(silences, 0.0)
        self.asked: list[Asked] = []
        self.running: dict[str, Attempt] = {}
        self.by_name: dict[str, Asked] = {}
        settings = DispatchSettings(routers=routers)
        self.dispatcher = Dispatcher(settings, random.Random(seed))
        self.dispatcher.list_silent = lambda: self.list_unanswered(UNANSWERED)
        targets = [Target(name, "north", 8) for name in silences]
        self.take(self.dispatcher.configure(targets, 0.0))

    def list_unanswered(self, span):
        return [n for n, at in self.answered.items() if self.now - at > span]

    def is_silent(self, engine, at):
        return any(start <= at < end for start, end in self.silences[engine])

    def find_end(self, engine, left):
        """Return when work that is sent now would be complete at an engine."""
        at = self.now
        while left > 0:
            left -= 0 if self.is_silent(engine, at) else STEP
            at += STEP
            if at > self.now + 60_000.0:
                return FOREVER
        return at

    def play(self, span):
        """Play requests at random times, then wait until all have ended."""
        due = 0.0
        while self.now < span or self.by_name:
            while due <= self.now < span:
                self.ask()
                due += self.rng.expovariate(1 / _RATE_MS)
            self.step()

    def ask(self, deadline=None):
        rng, name = self.rng, f"r{len(self.asked)}"
        patience = deadline or rng.uniform(2_000.0, 8_000.0)
        prefill, tokens = STEP * rng.randint(2, 16), rng.randint(5, 60)
        asked = Asked(name, tokens, prefill, self.now, self.now + patience)
        self.asked.append(asked)
        self.by_name[name] = asked
        work = Work(
            name,
            "pounds",
            "advice",
            dict.fromkeys(self.silences, 0),
            100,
            tokens,
            deadline=asked.deadline,
            content=name,
        )
        self.take(self.dispatcher.add_request(work, self.now))
        return asked

    def take(self, actions):
        for action in actions:
            if isinstance(action, CrashAnnouncement):
                continue
            asked = self.by_name.get(action.identity)
            if asked is None:
                continue
            if isinstance(action, Cancel):
                del self.running[asked.name]
            elif isinstance(action, Refuse):
                self.end(asked, "refused")
            else:
                self.send(asked, action.target)

    def send(self, asked, engine):
        base = asked.received
        self.running[asked.name] = Attempt(
            asked, engine, base, self.now + WATCH, self.now
        )
        need = asked.prefill + (asked.tokens - base) * _TOKEN_TIME
        asked.sent.append((engine, self.now, self.find_end(engine, need)))

    def end(self, asked, fate):
        asked.fate = fate
        self.running.pop(asked.name, None)
        del self.by_name[asked.name]

    def step(self):
        self.now += STEP
        self.take(self.dispatcher.tick(self.now))
        for engine in self.silences:
            if not self.is_silent(engine, self.now - STEP):
                self.poll(engine)
        for attempt in list(self.running.values()):
            if not self.is_silent(attempt.engine, self.now - STEP):
                self.advance(attempt)
            if self.now >= attempt.check and self.is_running(attempt):
                self.check(attempt)
        for asked in list(self.by_name.values()):
            if self.now >= asked.deadline:
                self.end(asked, "late")
                self.take(self.dispatcher.cancel(asked.name, self.now))

    def is_running(self, attempt):
        return self.running.get(attempt.asked.name) is attempt

    def poll(self, engine):
        if self.now - self.answered[engine] >= REPORT_INTERVAL:
            self.answered[engine] = self.now
            running = sum(one.engine == engine for one in self.running.values())
            report = LoadReport(engine, running, 0, self.now)
            self.take(self.dispatcher.load_report(report, self.now))

    def advance(self, attempt):
        asked = attempt.asked
        if not self.is_running(attempt):
            return
        attempt.done += STEP
        if attempt.done <= asked.prefill:
            return
        asked.received += 1
        attempt.heard = self.now
        if not attempt.begun:
            attempt.begun = True
            self.take(self.dispatcher.first_token(asked.name, self.now))
        if asked.received == asked.tokens and self.is_running(attempt):
            self.end(asked, "whole")
            self.take(self.dispatcher.done(asked.name, asked.tokens, self.now))

    def check(self, attempt):
        """Look whether an attempt's engine is silent, as a router's watch does."""
        attempt.check += WATCH
        is_quiet = self.now - attempt.heard >= WATCH
        is_silent = is_quiet and attempt.engine in self.list_unanswered(SILENT)
        if is_silent and attempt.was_silent:
            silent = self.list_unanswered(UNANSWERED)
            name, received = attempt.asked.name, attempt.asked.received
            self.take(self.dispatcher.leave(name, silent, self.now, received))
        attempt.was_silent = is_silent

    def list_lost(self):
        """Return the requests lost although an engine would have completed them.

        Not those moved to an engine that fell silent too late to be known then.
        """
        return [
            one
            for one in self.asked
            if one.fate != "whole"
            and any(end <= one.deadline - STEP for _, _, end in one.sent)
            and not any(self.has_fallen(*sent[:2], one) for sent in one.sent[1:])
        ]

    def has_fallen(self, engine, since, asked):
        """Tell whether an engine fell silent between a move and a deadline."""
        known = since - UNANSWERED - REPORT_INTERVAL
        times = self.silences[engine]
        return any(known < start < asked.deadline for start, _ in times)


def _merge(times):
    merged: list[tuple[float, float]] = []
    for start, end in sorted(times):
        if merged and start <= merged[-1][1]:
            start, end = merged[-1][0], max(end, merged.pop()[1])
        merged.append((start, end))
    return merged
