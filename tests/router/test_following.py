import asyncio

from tests.router.nodes import Nodes, VirtualTestCase


class WatchRateTest(VirtualTestCase):
    async def test_renewals_of_others_do_not_drive_the_watch(self):
        """A fleet grows from four routers to twelve, and its platform slows
        down for everyone: each renewal of each router answers the watch of all,
        and each asks again at once, so that the calls grow with the square.
        """
        fleet = Nodes()
        self.addAsyncCleanup(fleet.close)
        names = [f"r{number}" for number in range(1, 13)]
        for name in names:
            await fleet.start(name)
            await asyncio.sleep(0.13)  # so that renewals don't fall together
        await asyncio.sleep(5)
        before = fleet.platform.calls["watch"]
        await asyncio.sleep(10)
        asked = fleet.platform.calls["watch"] - before
        # A pause of 250 ms allows four calls a second of each of the twelve.
        self.assertLessEqual(asked, 4 * 10 * 12)
        self.assertGreater(asked, 0)
