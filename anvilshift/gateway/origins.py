"""Tell other routers where streams began, and ask them on a resumption."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.loadmap import LONGEST_RUN, LoadMap
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
from anvilshift.core.versionhistory import VersionHistory
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
    _domains: dict[str, list[str]] = field(default_factory=dict)
    _questions: dict[str, _Question] = field(default_factory=dict)

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
        self.table.add(key, origin, self.clock.now(), lasts)
        message = StreamBegan(key, origin.service, origin.version, lasts)
        self.peers.send_each(message, self._list_keepers(key, KEEPERS))

    def apply_told(self, message: StreamBegan) -> None:
        """Record where a stream began that another router has begun."""
        origin = Origin(message.service, message.version)
        self.table.add(message.stream, origin, self.clock.now(), message.lasts)

    def _list_keepers(self, key: str, most: int) -> list[str]:
        """Return the addresses of the other routers that may know a stream.

        In a small fleet these are all.
        """
        names: Iterable[str] = self.peers.routers
        if not self.peers.small:
            names = choose_keepers(key, self._domains, most)
        known = [self.peers.routers.get(name) for name in names]
        return [peer.beat.ip for peer in known if peer is not None]

    # What a router that starts takes over

    def describe_history(self) -> HistorySeen:
        """Return what this router has seen, for one that has just started."""
        now = self.clock.now()
        covered = min(self.history.find_covered(now), self.routes.find_covered(now))
        changed = self.routes.list_changed(MAX_LIFETIME, now)
        return HistorySeen(covered, self.history.list_gone(now), changed)

    def adopt_history(self, seen: HistorySeen) -> None:
        """Take over what a router has seen that has run for longer than this one."""
        now = self.clock.now()
        self.history.adopt(seen.covered, seen.gone, now)
        self.routes.adopt(seen.covered, seen.changed, now)

    # Asking

    def infer(self, rule: Rule) -> Origin | None:
        """Return where a stream of a route began of which nobody was told.

        None unless the route has led to one service, and the service has had one
        version, for as long as streams last.
        """
        now, window = self.clock.now(), max(rule.timeout, LONGEST_RUN)
        if len(rule.services) != 1 or not self.routes.has_settled(rule, window, now):
            return None
        service = rule.services[0][0]
        version = self.history.find_only(service, window, now)
        present = self.loads.list_service_targets(service)
        if any(target.info.version != version for target in present):
            return None
        return None if version is None else Origin(service, version)

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
