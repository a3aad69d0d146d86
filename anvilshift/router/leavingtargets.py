"""Detect targets that are leaving from several sources, and tell the dispatcher.

The sources are the platform's list of hosts, the targets' own load reports, refused
connections and the heartbeats of other routers.
"""

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
_REFUSALS_TO_LEAVE = 2
"""Consecutive refused polls after which a target counts as leaving.  One refusal can
come from a full accept queue; two, a quarter of a second apart, mean that no process
listens on the port."""
_RESTORE_AFTER: Millis = 10 * SECOND
"""Time after which a host that is missing from the list counts as present again if its
target still answers polls.  An engine that shuts down stops answering sooner."""


class LeavingTargets:
    """Targets that this router knows to be leaving.

    Parameters
    ----------
    tell
        Called at each change with a target and whether it is leaving.
    """

    def __init__(self, tell: Callable[[str, bool], None], clock: Clock) -> None:
        self._report_change = tell
        self._clock = clock
        self._departures = Departures()
        self._hosts: dict[str, set[str]] = {}
        self._declared: frozenset[str] = frozenset()
        self._listed: set[str] = set()
        self._missing_since: dict[str, Millis] = {}
        self._refusals: Counter[str] = Counter()

    @property
    def leaving(self) -> frozenset[str]:
        """Return the targets that must not get new work."""
        return self._departures.leaving

    @property
    def told(self) -> frozenset[str]:
        """Return the leaving targets that heartbeats name to the other routers."""
        return self._departures.told

    def configure(self, catalogue: Catalogue) -> None:
        """Apply the declared targets and their hosts."""
        self._hosts = {}
        for group in catalogue.groups.values():
            for engine in group.engines:
                self._hosts.setdefault(engine.host_name, set()).add(engine.name)
        # Targets that are no longer declared are not polled, so no later report could
        # clear their marks.
        self._declared = frozenset().union(*self._hosts.values())
        kept = self._departures.restrict_targets((REFUSED, REPORT), self._declared)
        self._replace_departures(kept)
        # The dispatcher doesn't know yet that a newly declared target is leaving.
        for target in self.leaving:
            self._report_change(target, True)

    def apply_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Update the leaving targets from the platform's list of hosts.

        A host that was on the list and is missing now counts as leaving.  A host
        that has never been on the list does not.
        """
        hosts = {entry.name: entry.leaving for entry in entries}
        missing = self._listed - set(hosts)
        self._listed |= set(hosts)
        now = self._clock.now()
        self._missing_since = {
            host: self._missing_since.get(host, now) for host in missing
        }
        leaving = missing | {name for name, is_leaving in hosts.items() if is_leaving}
        targets = {t for host in leaving for t in self._hosts.get(host, ())}
        self._replace_departures(self._departures.replace_source(HOST_LIST, targets))

    def apply_load_report(self, report: LoadReport) -> None:
        """Update a target from its own report.

        A report shows that the target answers, and tells whether it is leaving.
        """
        self._refusals.pop(report.target, None)
        if report.target not in self._declared:
            return
        if not report.leaving:
            self._restore_missing_host(report.target)
        found = self._departures.mark(REFUSED, report.target, False)
        self._replace_departures(found.mark(REPORT, report.target, report.leaving))

    def _restore_missing_host(self, target: str) -> None:
        """Treat a host missing from the list as present if its target still answers.

        The list can lose an entry, or omit a host whose departure was cancelled.  If
        such a host counted as leaving for ever, each case would take one target out
        of use until every call is refused although all targets work.
        """
        now = self._clock.now()
        for host, since in self._missing_since.items():
            if now - since > _RESTORE_AFTER and target in self._hosts.get(host, ()):
                logging.warning("host not listed but engine=%s still answers", target)
                self._listed.discard(host)

    def count_refusal(self, target: str) -> None:
        """Count a refused connection of a target.

        Targets that are not declared are ignored: a poll may have been in progress
        when its declaration was removed.
        """
        if target not in self._declared:
            return
        self._refusals[target] += 1
        if self._refusals[target] >= _REFUSALS_TO_LEAVE:
            self._replace_departures(self._departures.mark(REFUSED, target, True))

    def receive_leaving(self, router: str, targets: Iterable[str]) -> None:
        """Replace the targets that another router reports as leaving."""
        self._replace_departures(
            self._departures.replace_source(f"router {router}", targets)
        )

    def drop_other_routers(self, routers: Iterable[str]) -> None:
        """Drop reports of routers that are not among the given ones."""
        sources = {f"router {name}" for name in routers}
        self._replace_departures(
            self._departures.keep({HOST_LIST, REPORT, REFUSED} | sources)
        )

    def _replace_departures(self, new: Departures) -> None:
        old, self._departures = self._departures.leaving, new
        for target in sorted(new.leaving - old):
            logging.info("target leaving engine=%s", target)
            self._report_change(target, True)
        for target in sorted(old - new.leaving):
            logging.info("target no longer leaving engine=%s", target)
            self._report_change(target, False)

    async def follow(
        self,
        store: ObjectStore,
        routers: Callable[[], set[str]],
        rng: random.Random,
    ) -> None:
        """Read the platform's list of hosts periodically, from a random offset on.

        Without the offset, routers that start together would read the list at the
        same instants.  An entry that exists only between two of these instants, just
        before an outage, would be missed by all routers, and they would send work to
        the leaving target for as long as the outage lasts.
        """
        await asyncio.sleep(rng.uniform(0.0, _HOSTS_INTERVAL) / SECOND)
        while True:
            try:
                self.apply_host_list(await store.hosts())
            except AnvilshiftError as error:
                logging.debug("host list not read code=%d", error.code.number)
            self.drop_other_routers(routers())
            await asyncio.sleep(_HOSTS_INTERVAL / SECOND)
