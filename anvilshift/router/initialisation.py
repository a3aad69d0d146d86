"""Learn what a router must know before it serves."""

import asyncio
from collections.abc import Callable

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.former import MAX_CHANGE_LAG
from anvilshift.router.fleet import Fleet
from anvilshift.router.following import Follower
from anvilshift.router.quarantined import QuarantineRecords

_QUARANTINE_RETRY_INTERVAL: Millis = 500.0


class Initialisation:
    """The first steps of a router, up to the moment from which it may serve.

    Parameters
    ----------
    heartbeat
        Interval between two looks at the other routers' revisions.
    update_fleet_state
        Gives the dispatcher what the heartbeats have told.

    Attributes
    ----------
    done
        Whether all steps are complete.
    """

    def __init__(
        self,
        follower: Follower,
        quarantined: QuarantineRecords,
        dispatcher: Dispatcher,
        fleet: Fleet,
        clock: Clock,
        heartbeat: Millis,
        update_fleet_state: Callable[[], None],
    ) -> None:
        self.done = False
        self._follower = follower
        self._quarantined = quarantined
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._clock = clock
        self._heartbeat = heartbeat
        self._update_fleet_state = update_fleet_state

    async def run(self) -> None:
        """Read the platform's records and contact all routers once before serving.

        A router that has just started doesn't know which contents have crashed
        targets recently. If it served such a content before the other routers
        report it, the content could crash two more targets.
        """
        await self._follower.current.wait()
        await self._load_quarantine_records()
        await self._fleet.send_heartbeats()
        self._update_fleet_state()
        # A router with an older revision may still send a content to targets that
        # are no longer declared.
        wait_until = self._clock.now() + MAX_CHANGE_LAG
        while self._fleet.find_common_revision() < self._fleet.member.since:
            if self._clock.now() > wait_until:
                logging.warning(
                    "a router still has an older revision, serving nevertheless"
                )
                break
            await asyncio.sleep(self._heartbeat / SECOND)
        self.done = True

    async def _load_quarantine_records(self) -> None:
        """Load the platform's records of contents that crashed targets.

        Retries until the platform answers.
        """
        while True:
            try:
                records = await self._quarantined.read()
                break
            except AnvilshiftError as error:
                logging.warning(
                    "cannot read the quarantine records code=%d", error.code.number
                )
                await asyncio.sleep(_QUARANTINE_RETRY_INTERVAL / SECOND)
        for record in records:
            self._dispatcher.crashed(record.content, record.target, self._clock.now())
