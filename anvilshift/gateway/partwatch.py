"""Find out which parts of prompts end engines, together with the other routers.

An engine is held to have ended if its host refuses connections after it broke off a
request without an answer.  What is held against parts is told to all routers at once,
again while it is new, and to each router that starts.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import QUARANTINED, AnvilshiftError
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.partblame import PartBlame, PartReport
from anvilshift.core.partrecord import PartCrash, PartKey, make_scope
from anvilshift.core.targetload import TargetInfo
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.partmessages import (
    PartRecorded,
    PartsAnswered,
    PartsTold,
    StartAlive,
)
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.reach import TargetReach
from anvilshift.gateway.routed import RoutedRequest

MAX_LISTED_PARTS = 16
"""Parts listed in one datagram."""
_MAX_TOLD = 50
"""Parts that a new router is told of: about 20 kB."""
_REPEAT_INTERVAL: Millis = 1 * SECOND
"""Interval at which one router tells all others again, in a small fleet."""
_REPEATED_ROUTERS = 100
"""Routers told a second at most; in a larger fleet the interval is longer."""
_REPEATED_FOR: Millis = 60 * SECOND
_MAX_REPEATED = 8
_INFORM_TIMEOUT: Millis = 500.0
"""How long a router that starts waits for another one that tells it what it knows."""
_ALIVE_MARGIN: Millis = 100.0
"""An answer to what was sent so long after an end became known is proof of life.
When it began proves nothing: a busy router hears late of older answers."""


def name_start(info: TargetInfo) -> str:
    """Return a name for one start of a target."""
    return f"{info.name}/{info.born}"


def find_target_name(start: str) -> str:
    """Return the name of the target of a start.

    Examples
    --------
    >>> find_target_name("i-7f3a/12")
    'i-7f3a'
    """
    return start.rpartition("/")[0]


def find_issuer_key(scope: str) -> str:
    """Return the key by which the router that grants a scope's tries is chosen."""
    return f"tries/{scope}"


def find_scope(routed: RoutedRequest) -> str:
    """Return the scope of the parts of a request's prompt."""
    return make_scope(routed.service, routed.call.prompt.model)


@dataclass(eq=False)
class PartWatch:
    """What this router knows of parts of prompts that may end engines.

    Parameters
    ----------
    router
        This router's name.
    forgive
        Called with the name of a target whose end a part explains.
    on_crash, on_proven_cleared
        Called after each crash that this router has seen, and with a part that was
        proven to end engines and has been answered.

    Attributes
    ----------
    is_informed
        Whether this router knows what the others know.
    """

    router: str
    limits: RateLimits
    loads: LoadMap
    peers: Peers
    reach: TargetReach
    clock: Clock
    journal: Journal
    forgive: Callable[[str], None]
    on_crash: Callable[[], None] = lambda: None
    on_proven_cleared: Callable[[PartKey], None] = lambda key: None
    blame: PartBlame = field(default_factory=PartBlame)
    is_informed: bool = False
    _ends: dict[str, asyncio.Task[bool]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[str]] = field(default_factory=set)
    _proven: set[PartKey] = field(default_factory=set)
    _forgiven: set[str] = field(default_factory=set)
    _known_since: dict[str, Millis] = field(default_factory=dict)
    _repeated_at: Millis = 0.0

    def __post_init__(self) -> None:
        self._started_at = self.clock.now()
        self.is_informed = not self.peers.addresses

    # Requests

    def list_suspects(self, routed: RoutedRequest) -> list[str]:
        """Return the parts of a request's prompt that may end an engine."""
        if routed.model is None:
            return []
        parts = routed.call.prompt.shared_parts
        return self.blame.list_suspects(find_scope(routed), parts, self.clock.now())

    def check(self, routed: RoutedRequest) -> None:
        """Refuse a request whose prompt has a part that ends engines.

        Raises
        ------
        AnvilshiftError
            Code 3003.
        """
        if routed.model is None:
            return
        scope, parts = find_scope(routed), routed.call.prompt.shared_parts
        refused = self.blame.list_refused(scope, parts, self.clock.now())
        if refused:
            identity = routed.call.identity
            self.journal.write("part_refused", id=identity, scope=scope, parts=refused)
            detail = "not run: a part of its prompt ends the engines that answer it"
            raise AnvilshiftError(QUARANTINED, detail)

    # Crashes and answers at this router

    async def record_failure(
        self, routed: RoutedRequest, info: TargetInfo, is_try: bool
    ) -> str:
        """Find out whether a target ended on a request that had no answer yet.

        Returns
        -------
        str
            The start of the target that has ended, empty if none has.
        """
        parts = routed.call.prompt.shared_parts
        if routed.model is None or not parts or info.leaving:
            return ""
        work = self._record_failure(find_scope(routed), parts, info, is_try)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # The caller may leave meanwhile; the next request must know all the same.
        return await asyncio.shield(task)

    async def _record_failure(
        self, scope: str, parts: list[str], info: TargetInfo, is_try: bool
    ) -> str:
        start = name_start(info)
        if not await self._find_end(info, start):
            return ""
        self._mark_ended([start])
        crash = PartCrash(start, self.clock.now(), is_try)
        self.blame.record_crash(scope, parts, crash)
        self.journal.write(
            "part_crash", target=info.name, scope=scope, parts=parts, tried=is_try
        )
        self._tell(PartKey(scope, part) for part in parts)
        self._note_proven()
        self.on_crash()
        return start

    async def _find_end(self, info: TargetInfo, start: str) -> bool:
        """Return whether a target has ended; concurrent checks of it are one."""
        task = self._ends.get(start)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.reach.has_ended(info))
            self._ends[start] = task
            task.add_done_callback(lambda done: self._ends.pop(start, None))
        return await asyncio.shield(task)

    def _mark_ended(self, starts: Iterable[str]) -> None:
        """Record that targets have ended, so that families get other homes."""
        for start in starts:
            name = find_target_name(start)
            target = self.loads.targets.get(name)
            if target is not None and name_start(target.info) == start:
                self.loads.mark_ended(name, self.clock.now())

    def record_tried_end(self, scope: str, suspects: Iterable[str], start: str) -> None:
        """Record that a try of another router ended a target."""
        crash = PartCrash(start, self.clock.now(), tried=True)
        self.blame.record_crash(scope, suspects, crash)
        self._note_proven()

    def record_answer(self, routed: RoutedRequest) -> None:
        """Clear the parts of a prompt to which an engine has begun an answer."""
        if routed.model is None:
            return
        self._clear(find_scope(routed), routed.call.prompt.shared_parts)

    def _clear(self, scope: str, parts: Iterable[str]) -> None:
        cleared = self.blame.record_answer(scope, parts, self.clock.now())
        if cleared:
            self.journal.write("parts_cleared", scope=scope, parts=cleared)
            self._note_cleared(scope, cleared)
            # In a large fleet many routers clear a part that all use; one tells all.
            issuer = self.limits.find_ip(self.find_issuer(scope))
            ips = [issuer] if issuer and not self.peers.small else self._list_ips()
            for first in range(0, len(cleared), MAX_LISTED_PARTS):
                some = cleared[first : first + MAX_LISTED_PARTS]
                self.peers.send_each(PartsAnswered(scope, tuple(some)), ips)

    def _note_cleared(self, scope: str, parts: Iterable[str]) -> None:
        """Record that parts that may have been proven are no longer."""
        for key in {PartKey(scope, part) for part in parts} & self._proven:
            self._proven.discard(key)
            self.on_proven_cleared(key)

    def _note_proven(self) -> None:
        """Log each part that is proven now, and forgive what it explains."""
        self._note_starts()
        for key in self.blame.list_keys(self.clock.now()):
            starts = self.blame.list_proven_starts(key)
            for start in set(starts) - self._forgiven:
                self._forgiven.add(start)
                self.forgive(find_target_name(start))
            if starts and key not in self._proven:
                self._proven.add(key)
                self.journal.write(
                    "part_proven", scope=key.scope, part=key.part, starts=starts
                )

    def _note_starts(self) -> None:
        """Record since when each end has been known here, whenever it was."""
        starts, now = self.blame.list_starts(), self.clock.now()
        self._known_since = {s: self._known_since.get(s, now) for s in starts}

    # The other routers

    def find_issuer(self, scope: str) -> str:
        """Return the router that grants the tries of a scope."""
        return self.limits.find_issuer(find_issuer_key(scope))

    def _list_ips(self) -> list[str]:
        """Return the addresses of all routers that aren't lost yet.

        A router that stood still has heard of none lately, and must tell all the same.
        """
        return [peer.beat.ip for peer in self.peers.routers.values()]

    def _tell(self, keys: Iterable[PartKey]) -> None:
        """Tell the other routers what is held against parts.

        In a large fleet only of suspect ones: it says little of a part that is answered
        all the time.
        """
        now, ips = self.clock.now(), self._list_ips()
        for key in keys:
            if self.peers.small or self.blame.list_suspects(key.scope, [key.part], now):
                self._send_record(key, ips)

    def _send_record(self, key: PartKey, ips: Iterable[str]) -> None:
        report, now = self.blame.describe(key), self.clock.now()
        if report is None:
            return
        crashes = tuple((one.start, now - one.at, one.tried) for one in report.crashes)
        companions = tuple(sorted(report.companions))
        message = PartRecorded(key.scope, key.part, crashes, companions)
        self.peers.send_each(message, ips)

    def apply_record(self, message: PartRecorded) -> None:
        """Add what another router holds against a part."""
        key, now = PartKey(message.scope, message.part), self.clock.now()
        crashes = tuple(
            PartCrash(start, now - age, tried) for start, age, tried in message.crashes
        )
        report = PartReport(key, crashes, frozenset(message.companions))
        if self.blame.merge(report):
            self._note_proven()
            self._mark_ended(one.start for one in crashes)

    def apply_answer(self, message: PartsAnswered) -> None:
        """Clear parts that were answered through another router."""
        if self.blame.list_suspects(message.scope, message.parts, self.clock.now()):
            self.journal.write(
                "parts_cleared", scope=message.scope, parts=message.parts, told=True
            )
        now = self.clock.now()
        cleared = self.blame.record_answer(message.scope, message.parts, now)
        self._note_cleared(message.scope, cleared)
        if cleared and not self.peers.small:
            is_issuer = self.find_issuer(message.scope) == self.router
            if is_issuer:
                self.peers.send_each(message, self._list_ips())

    def tell_new_router(self, ip: str) -> None:
        """Tell a router that has started what is known of parts."""
        if not self.is_informed:
            return
        for key in self.blame.list_keys(self.clock.now(), _MAX_TOLD):
            self._send_record(key, [ip])
        self.peers.send(PartsTold(self.router), ip)

    def adopt(self, report: PartReport) -> None:
        """Add what is stored of a part."""
        if self.blame.merge(report):
            self._note_proven()

    def note_informed(self) -> None:
        """Record that another router, or the store, has told all that it knows."""
        if not self.is_informed:
            self.journal.write("parts_known", starts=len(self.blame.list_starts()))
        self.is_informed = True

    def apply_alive(self, message: StartAlive) -> None:
        """Forget the end of a target that lives."""
        self.blame.retract(message.start)

    # Periodic work

    def run_checks(self, now: Millis) -> None:
        """Forget what is outdated, and tell the other routers again what isn't."""
        if not self.is_informed and now - self._started_at > _INFORM_TIMEOUT:
            self.journal.write("parts_unknown", waited=round(now - self._started_at))
            self.is_informed = True
        keys = self.blame.list_keys(now)
        if not keys:
            return
        self._retract_alive()
        self._proven &= set(keys)
        self._forgiven &= set(self.blame.list_starts())
        interval = _REPEAT_INTERVAL * max(
            1.0, len(self.peers.routers) / _REPEATED_ROUTERS
        )
        if now - self._repeated_at < interval:
            return
        self._repeated_at = now
        newest = max(self.blame.list_starts().values(), default=now)
        if now - newest > _REPEATED_FOR:
            return
        for key in keys[:_MAX_REPEATED]:
            if self.find_issuer(key.scope) == self.router:
                self._send_record(key, self._list_ips())

    def _retract_alive(self) -> None:
        """Forget the ends of targets that have begun an answer since."""
        self._note_starts()
        for start, known_since in self._known_since.items():
            target = self.loads.targets.get(find_target_name(start))
            if target is None or name_start(target.info) != start:
                continue
            # Without a number of its start it may have started anew under its name.
            if target.info.born and target.lived_at > known_since + _ALIVE_MARGIN:
                self.journal.write("end_retracted", start=start)
                self.blame.retract(start)
                self.peers.send_each(StartAlive(start), self._list_ips())
