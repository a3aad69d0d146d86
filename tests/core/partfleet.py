"""Routers and engines in virtual time, and parts of prompts that end engines."""

import heapq
import itertools
import random
from collections import Counter

from anvilshift.core.partblame import PartBlame
from anvilshift.core.partrecord import PartCrash, PartKey
from anvilshift.core.tries import TAKEOVER_DELAY, Try, TryTable

SCOPE = "llm/m"
MAX_ENDS, STABLE = 5, 3_000.0
_BACK_AFTER = 1_500.0
_ASK_INTERVAL = 50.0
_REPEAT_INTERVAL = 1_000.0


class Fleet:
    """Routers and engines in virtual time; it counts what engines and callers saw.

    Parameters
    ----------
    bad
        Parts that end engines.
    loss
        Part of the messages that are lost.
    kills
        Engines that end for other reasons, a second.
    restarts
        Routers that start anew, a second.
    domains
        Failure domains whose engines end at once, a second.
    """

    def __init__(
        self,
        seed,
        bad,
        loss=0.0,
        kills=0.0,
        restarts=0.0,
        domains=0.0,
        routers=4,
        engines=10,
    ):
        self.rng = random.Random(seed)
        self.bad, self.loss = set(bad), loss
        self.kills, self.restarts, self.domains = kills, restarts, domains
        self.now, self.order, self.queue = 0.0, itertools.count(), []
        self.blames = [PartBlame() for _ in range(routers)]
        self.table, self.opens_at = TryTable(), 0.0
        self.engines = {f"e{n}/0": [] for n in range(engines)}
        self.ends: Counter[str] = Counter()
        self.end_times: dict[str, list[float]] = {part: [] for part in bad}
        self.arrivals: dict[str, list[float]] = {part: [] for part in bad}
        self.refused_sound = 0
        self.served_sound = 0
        self.runs = itertools.count()

    def at(self, delay, action, *values):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action, values))

    def play(self, seconds, bad_rate):
        self.arrive(bad_rate, self.draw_bad)
        self.arrive(30.0, self.draw_sound)
        self.every(self.kills, self.kill)
        self.every(self.restarts, self.restart)
        self.every(self.domains, self.end_domain)
        self.repeat()
        while self.queue and self.queue[0][0] < seconds * 1_000.0:
            self.now, _, action, values = heapq.heappop(self.queue)
            action(*values)

    def every(self, rate, action):
        if rate:

            def again():
                action()
                self.at(self.rng.expovariate(rate) * 1_000.0, again)

            self.at(self.rng.expovariate(rate) * 1_000.0, again)

    def arrive(self, rate, draw):
        self.every(rate, lambda: self.handle(self.draw_router(), draw(), 0.0, None))

    def draw_router(self):
        return self.rng.randrange(len(self.blames))

    def draw_sound(self):
        family = self.rng.choice("fgh")
        parts = [family, f"{family}{self.rng.randrange(5)}"]
        if self.rng.random() < 0.1:
            parts.append(f"rare {self.rng.randrange(200)}")
        return parts

    def draw_bad(self):
        parts = self.draw_sound()
        bad = self.rng.choice(sorted(self.bad))
        parts.insert(self.rng.randrange(len(parts) + 1), bad)
        return parts

    def is_bad(self, parts):
        return bool(self.bad & set(parts))

    def handle(self, router, parts, waited, run):
        blame = self.blames[router]
        suspects = blame.list_suspects(SCOPE, parts, self.now)
        if suspects and blame.is_refused(SCOPE, parts, self.now):
            self.refused_sound += not self.is_bad(parts)
            return
        target = min(self.engines, key=lambda e: (len(self.engines[e]), e), default="")
        if not target or waited > 2_000.0:
            return
        if not suspects:
            self.send(router, parts, self.rng.choice(list(self.engines)), None)
            return
        run = run or f"r{router}/{next(self.runs)}"
        wanted = Try(run, SCOPE, frozenset(suspects), target)
        arrives = self.rng.random() >= self.loss and self.now >= self.opens_at
        if arrives and self.table.ask(wanted, self.now):
            self.at(self.delay(), self.start_try, router, parts, wanted)
        else:
            self.at(_ASK_INTERVAL, self.handle, router, parts, waited + 60.0, run)

    def start_try(self, router, parts, granted):
        blame = self.blames[router]
        if blame.is_refused(SCOPE, parts, self.now):
            self.table.end(granted.run)
            self.refused_sound += not self.is_bad(parts)
        elif granted.target in self.engines:
            self.send(router, parts, granted.target, granted)
        else:
            self.table.end(granted.run)

    def delay(self):
        return self.rng.uniform(1.0, 5.0)

    def send(self, router, parts, target, granted):
        run = (router, parts, granted)
        self.engines[target].append(run)
        for part in self.bad & set(parts):
            self.arrivals[part].append(self.now)
        if granted is not None:
            self.renew(granted, target, run)
        self.at(self.rng.uniform(30.0, 150.0), self.begin, target, run)

    def renew(self, granted, target, run):
        if run in self.engines.get(target, []):
            self.table.renew(granted, self.now)
            self.at(150.0, self.renew, granted, target, run)

    def begin(self, target, run):
        if run not in self.engines.get(target, []):
            return
        router, parts, granted = run
        if self.is_bad(parts):
            for part in self.bad & set(parts):
                self.end_times[part].append(self.now)
            self.end(target)
            return
        self.engines[target].remove(run)
        self.served_sound += 1
        cleared = self.blames[router].record_answer(SCOPE, parts, self.now)
        if granted is not None:
            self.table.end(granted.run)
        if cleared:
            self.tell(router, lambda one: one.record_answer(SCOPE, cleared, self.now))

    def end(self, target):
        runs = self.engines.pop(target)
        slot, start = target.split("/")
        self.at(_BACK_AFTER, self.engines.setdefault, f"{slot}/{int(start) + 1}", [])
        for router, parts, granted in runs:
            self.at(self.delay(), self.note_end, router, parts, granted, target)

    def note_end(self, router, parts, granted, target):
        found = PartCrash(target, self.now, granted is not None)
        self.blames[router].record_crash(SCOPE, parts, found)
        for part in parts:
            self.send_report(router, part)
        if granted is not None:
            if self.rng.random() >= self.loss:
                self.blames[0].record_crash(SCOPE, granted.suspects, found)
            self.table.end(granted.run)

    def send_report(self, router, part):
        report = self.blames[router].describe(PartKey(SCOPE, part))
        if report is not None:
            self.tell(router, lambda one: one.merge(report))

    def tell(self, router, change):
        for number, one in enumerate(self.blames):
            if number != router and self.rng.random() >= self.loss:
                self.at(self.delay(), change, one)

    def repeat(self):
        for key in self.blames[0].list_keys(self.now, 8):
            self.send_report(0, key.part)
        self.at(_REPEAT_INTERVAL, self.repeat)

    def kill(self):
        if len(self.engines) > 2:
            self.end(self.rng.choice(list(self.engines)))

    def end_domain(self):
        domain = self.rng.randrange(3)
        for name in list(self.engines):
            if int(name[1:].partition("/")[0]) % 3 == domain:
                self.end(name)

    def restart(self):
        """Start a router anew, which another one tells all that it knows."""
        router, other = self.rng.sample(range(len(self.blames)), 2)
        self.blames[router] = PartBlame()
        for key in self.blames[other].list_keys(self.now):
            report = self.blames[other].describe(key)
            if report is not None and self.rng.random() >= self.loss:
                self.blames[router].merge(report)
        if router == 0:
            self.table, self.opens_at = TryTable(), self.now + TAKEOVER_DELAY

    def count_late(self, part):
        times = self.end_times[part]
        if len(times) < MAX_ENDS:
            return 0
        since = times[MAX_ENDS - 1] + STABLE
        return sum(at > since for at in self.arrivals[part])
