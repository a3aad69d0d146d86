"""Number of watch calls that routers make to the platform."""

import asyncio

from tests.router.nodes import InProcessFleet, VirtualTestCase


class WatchRateTest(VirtualTestCase):
    async def test_renewals_of_others_do_not_drive_the_watch(self):
        """Renewals of router records must not make the watch calls grow too fast.

        Each renewal answers the watch of every router.  If all of them called again
        at once, the number of calls would grow with the square of the number of
        routers, which slowed the platform down for a fleet of twelve.
        """
        fleet = InProcessFleet()
        self.addAsyncCleanup(fleet.close)
        names = [f"r{number}" for number in range(1, 13)]
        for name in names:
            await fleet.start(name)
            await asyncio.sleep(0.13)  # keeps the renewals apart
        await asyncio.sleep(5)
        before = fleet.platform.calls["watch"]
        await asyncio.sleep(10)
        calls = fleet.platform.calls["watch"] - before
        # A pause of 250 ms allows four calls per second for each of twelve routers.
        self.assertLessEqual(calls, 4 * 10 * 12)
        self.assertGreater(calls, 0)
