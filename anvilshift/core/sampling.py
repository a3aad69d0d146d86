"""A set from which a random element is drawn in constant time."""

import random
from collections.abc import Iterator


class SampledSet:
    """Names that can be added, removed and drawn in constant time.

    Examples
    --------
    >>> names = SampledSet()
    >>> names.add("e1"); names.add("e2"); names.discard("e1")
    >>> names.draw(random.Random(0), 4), len(names), "e1" in names
    (['e2'], 1, False)
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._places

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def add(self, name: str) -> None:
        """Add a name that may be there already."""
        if name not in self._places:
            self._places[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name that may not be there."""
        place = self._places.pop(name, None)
        if place is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[place] = last
            self._places[last] = place

    def draw(self, rng: random.Random, most: int) -> list[str]:
        """Return up to so many different names; all when there are no more."""
        if len(self._names) <= most:
            return list(self._names)
        return rng.sample(self._names, most)
