"""Divide what the whole fleet may use in a window among its routers.

Each router has a record in the platform's store and reads all of them.  It may use its
share, one part of as many as there are records, while what it knows of them is at most
`MAX_AGE` old.  So no two routers use shares that add up to more than the whole:

- A router that joins begins when its record has existed for `MAX_AGE` and a window.
  By then every other router divides by a number that counts it, or uses nothing, and
  what they used before lies outside of the window.
- A removed record is counted for as long after its removal was seen: its router learns
  of the removal within `MAX_AGE`, or uses nothing.
- A router that starts anew waits for a window, since its former process may have used
  its share just before.  If that one was still waiting, it waits as if it joined.
- A router that is cut off from the store uses nothing once its knowledge is too old.

Time is that of a clock which goes on while a host is suspended.
"""

from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

MAX_AGE: Millis = 6 * SECOND
"""How old a router's knowledge of the records may be.  It is the time for which a
router keeps its share in an outage of the store; three calls may fail within it."""


@dataclass(eq=False)
class FleetShares:
    """The routers among which something is divided, as one of them knows them.

    Parameters
    ----------
    own
        This router's name.
    window
        Duration of the windows in which use is counted.

    Examples
    --------
    >>> shares = FleetShares("r1", window=10_000.0)
    >>> shares.add("r1", now=5.0)
    >>> shares.add("r2", now=5.0)
    >>> shares.confirm(asked=16_000.0)
    >>> shares.count(now=16_004.0), shares.count(now=16_005.0)
    (None, 2)
    """

    own: str
    window: Millis
    _present: set[str] = field(default_factory=set)
    _removed: dict[str, Millis] = field(default_factory=dict)
    _begins: Millis | None = None
    _confirmed: Millis = float("-inf")

    def add(self, name: str, now: Millis, settled: bool = False) -> None:
        """Record that a router's record exists.

        Parameters
        ----------
        settled
            Whether the record says that its router has waited after it joined.
        """
        self._present.add(name)
        self._removed.pop(name, None)
        if name == self.own and self._begins is None:
            self._begins = now + self.window + (0.0 if settled else MAX_AGE)

    def remove(self, name: str, now: Millis) -> None:
        """Record that a router's record is gone."""
        if name in self._present:
            self._present.discard(name)
            self._removed[name] = now
        if name == self.own:
            self._begins = None

    def confirm(self, asked: Millis) -> None:
        """Record that all changes until some instant have been applied."""
        self._confirmed = max(self._confirmed, asked)

    @property
    def begins(self) -> Millis | None:
        """Return when this router may begin to use its share; None without a record."""
        return self._begins

    def count(self, now: Millis) -> int | None:
        """Return the number of shares; None while this router may use none."""
        if self._begins is None or now < self._begins:
            return None
        if now > self._confirmed + MAX_AGE:
            return None
        for name, removed in list(self._removed.items()):
            if now > removed + MAX_AGE + self.window:
                del self._removed[name]
        return len(self._present) + len(self._removed)
