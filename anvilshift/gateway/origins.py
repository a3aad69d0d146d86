"""Tell other routers where streams began, and ask them on a resumption."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.origins import (
    ASKED,
    KEEPERS,
    MAX_LIFETIME,
    Origin,
    OriginTable,
    OriginVotes,
    choose_keepers,
)
from anvilshift.core.routechanges import RouteChanges
from anvilshift.core.routing import Rule
from anvilshift.core.targetload import TargetInfo
from anvilshift.core.versionhistory import SETTLING_TIME, VersionHistory
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.streammessages import (
    HistorySeen,
    OriginAnswer,
    OriginAsk,
    StreamBegan,
)

_ANSWER_TIMEOUT: Millis = 250.0
"""Time for the answers of other routers, which may be in another region."""


async def _is_confirmed(since: Millis) -> bool:
    return True


@dataclass(frozen=True)
class Finding:
    """What is known of a stream that a caller takes up.

    Parameters
    ----------
    origin
        Where it began; None if that isn't known for certain.
    is_told
        Whether any router was told anything of it.
    is_final
        Whether all who may know it have answered.
    """

    origin: Origin | None
    is_told: bool = False
    is_final: bool = True


@dataclass
class _Question:
    """The votes on one stream, for which one or more requests wait."""

    votes: OriginVotes
    decided: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class StreamOrigins:
    """Know where streams began, together with the other routers.

    Parameters
    ----------
    router, ip
        Name and address of this router.

    Attributes
    ----------
    began
        An instant before this router made itself known to the others.
    confirm
        Returns whether the register and the routes were read until an instant.
    """

    router: str
    ip: str
    peers: Peers
    loads: LoadMap
    clock: Clock
    journal: Journal
    table: OriginTable = field(default_factory=OriginTable)
    history: VersionHistory = field(default_factory=VersionHistory)
    routes: RouteChanges = field(default_factory=RouteChanges)
    began: Millis = field(init=False)
    confirm: Callable[[Millis], Awaitable[bool]] = _is_confirmed
    _domains: dict[str, list[str]] = field(default_factory=dict)
    _questions: dict[str, _Question] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.began = self.clock.now()

    def update_routers(self) -> None:
        """Update the routers that may keep origins: those present and not leaving."""
        domains: dict[str, list[str]] = defaultdict(list)
        for peer in self.peers.list_present():
            if not peer.beat.leaving:
                domains[peer.beat.failure_domain].append(peer.beat.router)
        self._domains = dict(domains)

    # Telling

    def record(self, key: str, origin: Origin, lasts: Millis) -> None:
        """Record where a stream began, and tell its keepers without waiting.

        They are told at once, before the caller gets the event: a router that is killed
        a moment later can't tell them any more.

        Parameters
        ----------
        lasts
            Time in which the caller can take the stream up.
        """
        self._add(key, origin, lasts)
        message = StreamBegan(key, origin.service, origin.version, lasts)
        self.peers.send_each(message, self._list_keepers(key, KEEPERS))

    def apply_told(self, message: StreamBegan) -> None:
        """Record where a stream began that another router has begun."""
        origin = Origin(message.service, message.version)
        self._add(message.stream, origin, message.lasts)

    def _add(self, key: str, origin: Origin, lasts: Millis) -> None:
        """Record an origin, whose version serves though its entry may have lapsed."""
        now = self.clock.now()
        self.table.add(key, origin, now, lasts)
        self.history.note(origin.service, origin.version, now)

    def _list_keepers(self, key: str, most: int) -> list[str]:
        """Return the addresses of the other routers that may know a stream.

        In a small fleet these are all.
        """
        names: Iterable[str] = self.peers.routers
        if not self.peers.small:
            names = choose_keepers(key, self._domains, most)
        known = [self.peers.routers.get(name) for name in names]
        return [peer.beat.ip for peer in known if peer is not None]

    # Which versions have served

    def note_target(self, info: TargetInfo) -> None:
        """Record a target before requests are sent to it.

        The other routers are told of a version that is new to this one: one that reads
        the register later would take the version of before for the only one.
        """
        now = self.clock.now()
        is_running = self.history.find_covered(now) > 0.0
        if self.history.note(info.service, info.version, now) and is_running:
            seen = ((info.service, info.version, 0.0),)
            self.peers.broadcast(HistorySeen(0.0, seen, ()))

    def note_beginning(self) -> None:
        """Record that the store holds no configuration: no stream has begun yet."""
        now = self.clock.now()
        self.history.note_beginning(now)
        self.routes.note_beginning(SETTLING_TIME, now)

    def note_list(self, confirmed: Millis) -> None:
        """Record that the register is read anew; see `VersionHistory.note_list`."""
        self.history.note_list(confirmed, self.clock.now())

    def informs(self, incarnation: str) -> bool:
        """Return whether this router tells a new one what it has seen.

        In a large fleet a few do: 2,000 messages would tell a new one the same.
        """
        if self.peers.small:
            return True
        domains = {name: list(routers) for name, routers in self._domains.items()}
        domains.setdefault(self.peers.domain, []).append(self.router)
        return self.router in choose_keepers(incarnation, domains, ASKED)

    def describe_history(self) -> HistorySeen:
        """Return what this router has seen, for one that has just started."""
        now = self.clock.now()
        covered = min(self.history.find_covered(now), self.routes.find_covered(now))
        changed = self.routes.list_changed(SETTLING_TIME, now)
        return HistorySeen(covered, self.history.list_seen(now), changed)

    def adopt_history(self, message: HistorySeen) -> None:
        """Take over what another router has seen."""
        now = self.clock.now()
        self.history.adopt(message.covered, message.seen, self.began, now)
        self.routes.adopt(message.covered, message.changed, now)

    def infer(self, rule: Rule, patience: Millis, version: int) -> Origin | None:
        """Return where a stream of a route began of which nobody was told.

        None unless the route has led to one service, and the service has had one
        version, for as long as a caller may come back.

        Parameters
        ----------
        patience
            Time that the caller still waits; what it waited before isn't known.
        version
            Version of the configuration in force.
        """
        now = self.clock.now()
        is_bounded = max(rule.timeout, patience) <= MAX_LIFETIME
        if not is_bounded or not self._is_current(version):
            return None
        settled = self.routes.has_settled(rule, SETTLING_TIME, now)
        if len(rule.services) != 1 or not settled:
            return None
        service = rule.services[0][0]
        only = self.history.find_only(service, SETTLING_TIME, now)
        present = self.loads.list_service_targets(service)
        if any(target.info.version != only for target in present):
            return None
        return None if only is None else Origin(service, only)

    def _is_current(self, version: int) -> bool:
        """Return whether the other routers have the same configuration in force.

        Routers that have just started have none yet.
        """
        others = {peer.beat.version for peer in self.peers.list_present()}
        return others <= {0, version}

    # Asking

    async def find(self, key: str) -> Finding:
        """Find out where a stream began.

        The other routers are asked if this one hasn't been told.
        """
        if self.table.is_known(key, self.clock.now()):
            return Finding(self.table.find(key, self.clock.now()), is_told=True)
        question = self._questions.get(key) or self._ask(key)
        if question is None:
            return Finding(None)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT / SECOND):
                await question.decided.wait()
        except TimeoutError:
            asked = question.votes.asked
            self.journal.write("keepers_silent", stream=key, asked=asked)
        self._questions.pop(key, None)
        votes = question.votes
        return Finding(votes.agree(), votes.is_told, votes.is_complete)

    def _ask(self, key: str) -> _Question | None:
        keepers = self._list_keepers(key, ASKED)
        if not keepers:
            return None
        question = self._questions[key] = _Question(OriginVotes(len(keepers)))
        self.peers.send_each(OriginAsk(key, self.ip), keepers)
        return question

    def answer(self, message: OriginAsk) -> None:
        """Answer another router that asks for a stream."""
        now = self.clock.now()
        origin = self.table.find(message.stream, now)
        is_known = self.table.is_known(message.stream, now)
        service, version = (origin.service, origin.version) if origin else ("", "")
        answer = OriginAnswer(message.stream, self.router, is_known, service, version)
        self.peers.send(answer, message.ip)

    def apply_answer(self, message: OriginAnswer) -> None:
        """Count the answer of another router."""
        question = self._questions.get(message.stream)
        if question is None:
            return
        origin = Origin(message.service, message.version) if message.version else None
        if question.votes.add(message.router, origin, message.known):
            question.decided.set()
