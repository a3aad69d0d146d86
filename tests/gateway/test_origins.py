import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.origins import ASKED
from anvilshift.gateway.origins import StreamOrigins
from anvilshift.gateway.peers import Peer, Peers
from tests.gateway.origincourse import play_course
from tests.gateway.silent import SilentJournal
from tests.gateway.test_peers import DOMAINS, make_beat

ROUTERS = 40
COURSE_SEEDS = 6


class InformantTest(unittest.TestCase):
    def make_origins(self, number: int, routers: int) -> StreamOrigins:
        """Return what one router of a fleet knows."""
        clock, journal = ManualClock(), SilentJournal()
        own = make_beat(number)
        peers = Peers(own.ip, 7000, own.failure_domain, clock, journal)
        beats = [make_beat(other) for other in range(routers) if other != number]
        peers.routers = {one.router: Peer(one, clock.now()) for one in beats}
        origins = StreamOrigins(own.router, own.ip, peers, LoadMap(), clock, journal)
        origins.update_routers()
        return origins

    def list_informants(self, routers: int, incarnation: str) -> list[int]:
        """Return the routers that tell a new one what they have seen."""
        return [
            number
            for number in range(routers)
            if self.make_origins(number, routers).informs(incarnation)
        ]

    def test_few_routers_inform_a_new_one_in_a_large_fleet(self):
        """Guards against 2,000 histories that reach a router as it starts."""
        for name in ("new.1", "new.2", "new.3"):
            informants = self.list_informants(ROUTERS, name)
            self.assertEqual(len(informants), ASKED)
            self.assertEqual({one % len(DOMAINS) for one in informants}, {0, 1, 2})

    def test_all_routers_of_a_small_fleet_inform_a_new_one(self):
        self.assertEqual(self.list_informants(3, "new.1"), [0, 1, 2])


class CourseTest(unittest.TestCase):
    """Guards against orders of losses and changes of versions nobody thought of."""

    def test_streams_go_on_at_their_version_after_losses_of_all_routers(self):
        for seed in range(COURSE_SEEDS):
            with self.subTest(seed=seed):
                outcome = play_course(seed)
                self.assertEqual(outcome.faults, [])
                self.assertGreater(outcome.taken_up, 0)
