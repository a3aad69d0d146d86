"""The external dependencies of a router."""

import random
from dataclasses import dataclass

from anvilshift.core.clock import Clock
from anvilshift.engines.engine import Connector
from anvilshift.objects.store import ObjectStore
from anvilshift.peers.link import PeerLink
from anvilshift.router.telemetry import Telemetry


@dataclass(frozen=True)
class World:
    """The external dependencies of a router, replaced by fakes in seeded test runs.

    Parameters
    ----------
    rng
        Source of all random choices and random names.
    """

    clock: Clock
    store: ObjectStore
    link: PeerLink
    connector: Connector
    telemetry: Telemetry
    rng: random.Random
