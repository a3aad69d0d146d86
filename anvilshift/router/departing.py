"""Gather every sign that a target is leaving, and tell the dispatcher."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.declarations import Catalogue
from anvilshift.core.departures import HOST_LIST, REFUSED, REPORT, Departures
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.work import LoadReport
from anvilshift.objects.store import HostEntry, ObjectStore

_HOSTS_INTERVAL: Millis = 500.0
_REFUSALS = 2
"""One refused connection can be a full accept queue; two polls in a row, a
quarter of a second apart, mean that nobody listens."""
_ANSWERS_ON: Millis = 10 * SECOND
"""Longer than an engine that shuts down goes on answering its polls."""


class Departing:
    """The targets that are leaving, as this router knows.

    Parameters
    ----------
    tell
        Called with a target and whether it is leaving, at each change.
    """

    def __init__(self, tell: Callable[[str, bool], None], clock: Clock) -> None:
        self._tell = tell
        self._clock = clock
        self._departures = Departures()
        self._hosts: dict[str, set[str]] = {}
        self._declared: frozenset[str] = frozenset()
        self._listed: set[str] = set()
        self._vanished: dict[str, Millis] = {}
        self._refusals: Counter[str] = Counter()

    @property
    def leaving(self) -> frozenset[str]:
        """Return the targets that get no new work."""
        return self._departures.leaving

    @property
    def told(self) -> frozenset[str]:
        """Return the targets that the other routers are told of."""
        return self._departures.told

    def configure(self, catalogue: Catalogue) -> None:
        """Take in the hosts of the declared targets."""
        self._hosts = {}
        for group in catalogue.groups.values():
            for engine in group.engines:
                self._hosts.setdefault(engine.host_name, set()).add(engine.name)
        # What is not declared is not polled, so nothing would take such a sign back.
        self._declared = frozenset().union(*self._hosts.values())
        kept = self._departures.keep_targets((REFUSED, REPORT), self._declared)
        self._change(kept)
        # A target that was declared anew is unknown to the dispatcher's list.
        for target in self.leaving:
            self._tell(target, True)

    def take_hosts(self, entries: Iterable[HostEntry]) -> None:
        """Take in the platform's list.

        A host that was on the list and is no more has gone; one that never
        was on it says nothing.
        """
        hosts = {entry.name: entry.leaving for entry in entries}
        gone = self._listed - set(hosts)
        self._listed |= set(hosts)
        now = self._clock.now()
        self._vanished = {host: self._vanished.get(host, now) for host in gone}
        leaving = gone | {name for name, leaves in hosts.items() if leaves}
        targets = {t for host in leaving for t in self._hosts.get(host, ())}
        self._change(self._departures.take(HOST_LIST, targets))

    def take_report(self, report: LoadReport) -> None:
        """Take in a target's own report: it answers, and may say that it leaves."""
        self._refusals.pop(report.target, None)
        if report.target not in self._declared:
            return
        if not report.leaving:
            self._check_vanished(report.target)
        found = self._departures.mark(REFUSED, report.target, False)
        self._change(found.mark(REPORT, report.target, report.leaving))

    def _check_vanished(self, target: str) -> None:
        """Take a host for present that is off the list while its target answers on.

        An entry can be lost, or be left out after a departure that was called off.
        Were it taken for gone for good, each such case would cost a target until
        none is left, and every call would be refused though all of them work.
        """
        now = self._clock.now()
        for host, since in self._vanished.items():
            if now - since > _ANSWERS_ON and target in self._hosts.get(host, ()):
                logging.warning("host off the list, engine=%s answers on", target)
                self._listed.discard(host)

    def take_refusal(self, target: str) -> None:
        """Take in that a target refused a connection.

        A poll that was under way when its target went off the declarations says
        nothing any more.
        """
        if target not in self._declared:
            return
        self._refusals[target] += 1
        if self._refusals[target] >= _REFUSALS:
            self._change(self._departures.mark(REFUSED, target, True))

    def hear(self, router: str, targets: Iterable[str]) -> None:
        """Take in what another router says."""
        self._change(self._departures.take(f"router {router}", targets))

    def keep_routers(self, routers: Iterable[str]) -> None:
        """Forget what lost routers said."""
        sources = {f"router {name}" for name in routers}
        self._change(self._departures.keep({HOST_LIST, REPORT, REFUSED} | sources))

    def _change(self, new: Departures) -> None:
        old, self._departures = self._departures.leaving, new
        for target in sorted(new.leaving - old):
            logging.info("target leaving engine=%s", target)
            self._tell(target, True)
        for target in sorted(old - new.leaving):
            logging.info("target back engine=%s", target)
            self._tell(target, False)

    async def follow(
        self,
        store: ObjectStore,
        routers: Callable[[], set[str]],
        rng: random.Random,
    ) -> None:
        """Read the platform's list again and again.

        Routers that started together would all read it at the same instants: an
        entry that stands between two of these, just before an outage, would be
        seen by none and the leaving target be sent to for as long as it lasts.
        """
        await asyncio.sleep(rng.uniform(0.0, _HOSTS_INTERVAL) / SECOND)
        while True:
            try:
                self.take_hosts(await store.hosts())
            except AnvilshiftError as error:
                logging.debug("no host list code=%d", error.code.number)
            self.keep_routers(routers())
            await asyncio.sleep(_HOSTS_INTERVAL / SECOND)
