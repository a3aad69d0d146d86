"""Measure the dispatcher's processor time per event (`python -m bench.load.cost`)."""

import itertools
import math
import random
import statistics
import time

import fire

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.work import DispatchSettings, LoadReport, Send, Target, Work

_ENGINES = (10, 100, 1_000)
_ORGANISATIONS = (10, 100, 270)
_SLOTS = 8
_QUEUED_REQUESTS = 500
_REPEATS = 5


class _DispatcherLoad:
    """A dispatcher at full load: a new request replaces each completed one."""

    def __init__(self, engines: int, organisations: int) -> None:
        self._rng = random.Random(0)
        self._names = [f"e{index}" for index in range(engines)]
        self._organisations = [f"org{index}" for index in range(organisations)]
        self._candidates = dict.fromkeys(self._names, 0)
        self._numbers = itertools.count()
        self._running: list[str] = []
        self.now = 0.0
        self.events = 0
        settings = DispatchSettings(queue_length=10 * _QUEUED_REQUESTS)
        self._dispatcher = Dispatcher(settings, random.Random(1))
        targets = [Target(name, "north", _SLOTS) for name in self._names]
        self._dispatcher.configure(targets, 0.0)
        for _ in range(engines * _SLOTS + _QUEUED_REQUESTS):
            self._arrive()

    def _record_actions(self, actions: list[object]) -> None:
        self.events += 1
        self._running += [a.identity for a in actions if isinstance(a, Send)]

    def _arrive(self) -> None:
        work = Work(
            f"r{next(self._numbers)}",
            self._rng.choice(self._organisations),
            "advice",
            self._candidates,
            400,
            self._rng.randint(50, 100),
            self.now + self._rng.uniform(50_000.0, 60_000.0),
            prefixes=(f"p{self._rng.randrange(1_000)}",),
        )
        self._record_actions(self._dispatcher.arrive(work, self.now))

    def step(self) -> None:
        """Pass one event of each kind to the dispatcher."""
        self.now += 0.1
        place = self._rng.randrange(len(self._running))
        last = self._running.pop()
        identity = last
        if place < len(self._running):
            identity, self._running[place] = self._running[place], last
        self._record_actions(self._dispatcher.first_token(identity, self.now))
        self._record_actions(self._dispatcher.done(identity, 60, self.now + 0.05))
        self._arrive()
        name = self._rng.choice(self._names)
        report = LoadReport(name, _SLOTS, 0, self.now)
        self._record_actions(self._dispatcher.load_report(report, self.now))
        self._record_actions(self._dispatcher.tick(self.now))


def measure_cost(engines: int, organisations: int, steps: int) -> float:
    """Return the median processor time per event, in microseconds."""
    load = _DispatcherLoad(engines, organisations)
    for _ in range(steps // 4):
        load.step()
    costs = []
    for _ in range(_REPEATS):
        before, began = load.events, time.process_time()
        for _ in range(steps):
            load.step()
        spent = time.process_time() - began
        costs.append(1e6 * spent / (load.events - before))
    return statistics.median(costs)


def run(steps: int = 2_000) -> None:
    """Print the cost per event and how it grows with engines and organisations."""
    costs = {
        (e, o): measure_cost(e, o, steps) for e in _ENGINES for o in _ORGANISATIONS
    }
    print("microseconds an event, median of 5 runs")
    print(f"{'engines':>8}" + "".join(f"{o:>10} orgs" for o in _ORGANISATIONS))
    for engines in _ENGINES:
        row = "".join(f"{costs[engines, o]:15.1f}" for o in _ORGANISATIONS)
        print(f"{engines:>8}{row}")
    few, many = _ORGANISATIONS[0], _ORGANISATIONS[-1]
    for engines in _ENGINES:
        slope = (costs[engines, many] - costs[engines, few]) / (many - few)
        print(f"slope in organisations at {engines} engines: {slope:.4f} each")
    tens = math.log10(_ENGINES[-1] / _ENGINES[0])
    for organisations in _ORGANISATIONS:
        least, most = (costs[e, organisations] for e in (_ENGINES[0], _ENGINES[-1]))
        slope = (most - least) / tens
        print(
            f"slope in engines at {organisations} organisations: {slope:.2f} a decade"
        )


if __name__ == "__main__":
    fire.Fire(run)
