"""A set with random sampling in constant time."""

import random
from collections.abc import Iterator


class SampledSet:
    """A set of names that are added, removed and sampled in constant time.

    A list holds the names for sampling, a dictionary the index of each in the list.

    Examples
    --------
    >>> names = SampledSet()
    >>> names.add("e1"); names.add("e2"); names.discard("e1")
    >>> names.draw(random.Random(0), 4), len(names), "e1" in names
    (['e2'], 1, False)
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._indices: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._indices

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def add(self, name: str) -> None:
        """Add a name; do nothing if the set contains it."""
        if name not in self._indices:
            self._indices[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if the set contains it, by moving the last one to its index."""
        index = self._indices.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._indices[last] = index

    def draw(self, rng: random.Random, most: int) -> list[str]:
        """Return a random sample of distinct names, or all if there are few.

        Parameters
        ----------
        most
            Maximum size of the sample.
        """
        if len(self._names) <= most:
            return list(self._names)
        return rng.sample(self._names, most)
