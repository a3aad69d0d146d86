"""How often a long-running process looks for garbage in reference cycles."""

import gc

_THRESHOLDS = (20_000, 20, 20)
"""Thresholds of the three generations: new objects before a young collection, and
collections of one generation before the next older one is collected. A request
creates about a hundred objects in reference cycles with its task, so that a router at
100 requests per second runs a full collection every few minutes."""


def configure_collection() -> None:
    """Prevent long pauses of the event loop due to garbage collection.

    A full collection traverses every object while all streams wait. With the
    interpreter's own thresholds this happens several times a minute under load.
    Objects that exist at the start (modules, models, instruments) live until the
    process exits, so they are excluded from collection. They aren't collected before:
    that takes longer than the rest of a start after its imports, and finds next to
    nothing.
    """
    gc.freeze()
    gc.set_threshold(*_THRESHOLDS)
