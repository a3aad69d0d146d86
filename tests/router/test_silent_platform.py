"""A router's open connections to the platform fall silent while new ones work."""

import asyncio
import itertools
import random
import unittest

from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.objects.store import update
from anvilshift.router.following import Follower
from anvilshift.router.relayed import RelayedStore
from anvilshift.standins.platform import PlatformStandin
from anvilshift.standins.virtual import VirtualClock, run_virtual
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from tests.platform.memorynetwork import MemoryNetwork

IN_FORCE_WITHIN = 4.0
"""Seconds within which a change is in force everywhere."""
_RENEWAL_S = 1.25
"""Seconds between two renewals of a lease of the default length."""
_POLICY = {
    "kind": "Policy",
    "name": "p1",
    "organisations": {"match_labels": {"tier": "gold"}},
    "engines": {},
    "priority": 10,
}


class SilentPlatformTest(unittest.TestCase):
    """Guards against a catalogue that is as old as the watch that hangs."""

    async def play(self, idle: int, earlier: int = 0, gap: float = 0.0) -> float:
        """Return the seconds from a silence until a change beside it is known.

        Parameters
        ----------
        earlier, gap
            Silences before it, and the seconds between two of them.
        """
        platform, loop = PlatformStandin(), asyncio.get_running_loop()
        network = MemoryNetwork(platform._server)
        address = Address("10.0.0.1", 1)
        direct = HttpObjectStore(HttpClient(network=network), address)
        store = RelayedStore(direct, None, VirtualClock(), list)
        follower = Follower(
            store, lambda catalogue: None, lambda *record: None, random.Random(1)
        )
        tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self.renew(store)),
        ]
        await follower.current.wait()
        await asyncio.gather(*(direct.hosts() for _ in range(idle)))
        await asyncio.sleep(3.1)
        for _ in range(earlier):
            network.silence()
            await asyncio.sleep(gap)
        began = loop.time()
        network.silence()
        operator = HttpObjectStore(HttpClient(network=network), address)
        stored = await operator.put("Policy", "p1", _POLICY, 0)
        while follower.seen < stored.version and loop.time() < began + 40.0:
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        store.close()
        return loop.time() - began

    async def renew(self, store: RelayedStore) -> None:
        """Renew a lease as a router does, by a write that its own watch shows."""
        for beat in itertools.count():
            try:
                await update(store, "Router", "r1", lambda _, b=beat: {"beat": b})
            except AnvilshiftError:
                await asyncio.sleep(0.1)
            else:
                await asyncio.sleep(_RENEWAL_S)

    def test_change_is_known_in_time_beside_a_silence(self):
        late = {
            idle: round(took, 2)
            for idle in (0, 1, 3, 8)
            if (took := run_virtual(self.play(idle))) > IN_FORCE_WITHIN
        }
        self.assertEqual(late, {}, "seconds by idle connections")

    def test_change_is_known_in_time_beside_several_silences(self):
        """Guards against a watch that hangs alone, as all other calls go on newer
        connections.
        """
        late = {
            (earlier, gap): round(took, 2)
            for earlier in (1, 2, 5)
            for gap in (1.1, 2.3, 2.7, 3.1, 3.9)
            if (took := run_virtual(self.play(3, earlier, gap))) > IN_FORCE_WITHIN
        }
        self.assertEqual(late, {}, "seconds by earlier silences and their gap")


if __name__ == "__main__":
    unittest.main()
