"""Track which prompt prefixes are in the cache of each target.

Load pattern: many requests share long prompt prefixes, a few of them very often.
If requests were sent without regard to caches, every target would compute every
prefix, and caches with room for a few prefixes would be overwritten constantly.

The index is updated by cache events and by the work sent to each target.  Events
arrive late and some are lost, so an entry may be stale, such as after a lost
eviction.  A stale entry costs one more prefill but never a wrong answer, and newer
blocks displace it.  A gap in the sequence of events doesn't clear a target's
entries, since that would remove its popular prefixes as well.
"""

import random
from collections import OrderedDict
from collections.abc import Sequence

from anvilshift.core.sampling import SampledSet
from anvilshift.core.work import CacheEvent

_FIRST_SEQUENCE = 1
"""An event with a number this low after a higher one shows that the target has
restarted with an empty cache.  Otherwise all its events would be ignored as old
until their numbers exceed the last one before the restart."""
_MAX_BLOCKS = 4_096
"""Limit of blocks tracked for one target, at about 100 bytes each: a thousand targets
take a router some hundred megabytes at most and usually far less."""


class PrefixIndex:
    """An index of the prefix blocks that are assumed to be in each target's cache.

    Examples
    --------
    >>> index = PrefixIndex()
    >>> index.apply_event(CacheEvent("e1", 1, stored=("p1", "p2")))
    >>> index.matched("e1", ("p1", "p2", "p3"))
    2
    >>> index.apply_event(CacheEvent("e1", 3, evicted=("p2",)))
    >>> index.matched("e1", ("p1", "p2"))
    1
    """

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[str, None]] = {}
        self._holders: dict[str, SampledSet] = {}
        self._sequences: dict[str, int] = {}

    def apply_event(self, event: CacheEvent) -> None:
        """Apply a cache event; ignore one that is older than the last applied."""
        last = self._sequences.get(event.target)
        if last is not None and event.sequence <= min(last, _FIRST_SEQUENCE):
            self.forget(event.target)
        elif last is not None and event.sequence <= last:
            return
        self._sequences[event.target] = event.sequence
        for block in event.evicted:
            self._drop(event.target, block)
        self.add(event.target, event.stored)

    def add(self, target: str, blocks: Sequence[str]) -> None:
        """Record blocks as cached at a target; drop its least recent over the limit."""
        held = self._held.setdefault(target, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
            self._holders.setdefault(block, SampledSet()).add(target)
        while len(held) > _MAX_BLOCKS:
            self._drop(target, next(iter(held)))

    def _drop(self, target: str, block: str) -> None:
        self._held.get(target, OrderedDict()).pop(block, None)
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.discard(target)
        if not len(holders):
            del self._holders[block]

    def forget(self, target: str) -> None:
        """Remove all entries of a target."""
        for block in list(self._held.get(target, ())):
            self._drop(target, block)
        self._held.pop(target, None)
        self._sequences.pop(target, None)

    def matched(self, target: str, prefixes: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt are in a target's cache."""
        held = self._held.get(target)
        if not held:
            return 0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in held:
                return count
        return 0

    def holders(
        self, prefixes: Sequence[str], rng: random.Random, most: int
    ) -> list[str]:
        """Return a sample of the targets with the longest cached prefix.

        Parameters
        ----------
        most
            Maximum size of the sample.
        """
        for block in reversed(prefixes):
            found = self._holders.get(block)
            if found is not None:
                return found.draw(rng, most)
        return []
