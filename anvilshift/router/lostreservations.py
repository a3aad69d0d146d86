"""Bill the recorded fixed costs of lost routers that had no witness.

Nobody can be asked what such a router completed.  Its recorded reservations are billed
once everyone who knows more has had the time to say so.
"""

import asyncio

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.router.ledgerclient import LedgerClient

BILLING_DELAY: Millis = 30 * SECOND
"""Time from finding a holder sealed to billing its recorded reservations, longer than
most deadlines.  By then a router that was paused has submitted its own bills, and a
caller that got no answer has sent its request again."""


class LostReservations:
    """Reservations of sealed holders that this router will bill.

    Every router that finds them does so; the first to write the bills ends the
    reservations, and the others then have nothing to write.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}

    def bill_later(self, client: LedgerClient, holder: str, due: Millis) -> None:
        """Bill the reservations of a sealed holder at an instant, or now if it passed.

        May be called again at any time; it must be when the platform failed as the
        bills were due.
        """
        key = (client.name, holder)
        if key in self._tasks:
            return
        billing = self._bill(client, holder, max(0.0, due - self._clock.now()))
        self._tasks[key] = asyncio.get_running_loop().create_task(billing)
        self._tasks[key].add_done_callback(lambda _: self._tasks.pop(key, None))

    async def _bill(self, client: LedgerClient, holder: str, wait: Millis) -> None:
        await asyncio.sleep(wait / SECOND)
        try:
            await client.sealing.bill_reservations(holder)
        except AnvilshiftError as error:
            logging.warning(
                "reservations not billed holder=%s code=%d", holder, error.code.number
            )
            return
        logging.info("reservations billed holder=%s", holder)

    def close(self) -> None:
        """Bill nothing any more."""
        for task in self._tasks.values():
            task.cancel()
