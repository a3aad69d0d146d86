"""What a router needs of the outside."""

import random
from dataclasses import dataclass

from anvilshift.core.clock import Clock
from anvilshift.engines.engine import Connector
from anvilshift.objects.store import ObjectStore
from anvilshift.peers.link import PeerLink
from anvilshift.router.telemetry import Telemetry


@dataclass(frozen=True)
class World:
    """What a router needs of the outside.

    Parameters
    ----------
    rng
        Source of every random choice and name.
    """

    clock: Clock
    store: ObjectStore
    link: PeerLink
    connector: Connector
    telemetry: Telemetry
    rng: random.Random
