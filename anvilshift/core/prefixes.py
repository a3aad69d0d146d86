"""Believe which prompt prefixes a target holds in its cache.

Load pattern: many requests share long prompt prefixes, a few of them very hot.
Without this, every target computes every prefix, and caches that hold a few
prefixes each are overwritten all the time.

What is believed comes from cache events and from the work that was sent there.
Events are late and some are lost, so a belief may be wrong: an eviction went
unheard.  A wrong belief costs the time of one prefill and never an answer, and
it ends when newer blocks crowd it out.  Were all that is believed of a target
dropped at a gap, its hot prefixes would be forgotten with the rest.
"""

import random
from collections import OrderedDict
from collections.abc import Sequence

from anvilshift.core.sampling import SampledSet
from anvilshift.core.work import CacheEvent

_FIRST_SEQUENCE = 1
"""A number so low after a higher one: the target has restarted, its cache is
empty, and it would count for long below what was seen before."""
_MOST_BLOCKS = 4_096
"""Blocks believed at one target: about 100 bytes each, so that a thousand
targets cost a router some hundred megabytes at most and usually far less."""


class PrefixBelief:
    """Which prefix blocks each target is believed to hold.

    Examples
    --------
    >>> belief = PrefixBelief()
    >>> belief.take(CacheEvent("e1", 1, stored=("p1", "p2")))
    >>> belief.matched("e1", ("p1", "p2", "p3"))
    2
    >>> belief.take(CacheEvent("e1", 3, evicted=("p2",)))
    >>> belief.matched("e1", ("p1", "p2"))
    1
    """

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[str, None]] = {}
        self._holders: dict[str, SampledSet] = {}
        self._sequences: dict[str, int] = {}

    def take(self, event: CacheEvent) -> None:
        """Take in a cache event."""
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
        """Believe that a target holds blocks."""
        held = self._held.setdefault(target, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
            self._holders.setdefault(block, SampledSet()).add(target)
        while len(held) > _MOST_BLOCKS:
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
        """Believe nothing of a target any more."""
        for block in list(self._held.get(target, ())):
            self._drop(target, block)
        self._held.pop(target, None)
        self._sequences.pop(target, None)

    def matched(self, target: str, prefixes: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt a target holds."""
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
        """Return some of the targets that hold the longest known prefix."""
        for block in reversed(prefixes):
            found = self._holders.get(block)
            if found is not None:
                return found.draw(rng, most)
        return []
