"""Where streams began, so that they go on only where they fit.

Load pattern: engines of two versions of their software serve side by side, and streams
break off while the fleet changes from one to the other.  What two versions write
doesn't fit together, the engines don't check it, and the caller brings only the id of
the attempt that began the stream, to any router.

The router that begins a stream tells its origin to a few others, its keepers, which
every router finds by hashing the stream's key.  A stream whose origin isn't known goes
on nowhere.
"""

import hashlib
import itertools
import math
from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.homes import rank_targets

KEEPERS = 3
"""Routers that are told of a stream in a large fleet, in different failure domains."""
ASKED = 5
"""Routers that are asked for a stream: the keepers of before one or two changes of the
fleet as well."""
MAX_LIFETIME: Millis = 120 * SECOND
"""Longest time for which an origin is kept, whatever its caller's deadline."""
MAX_ORIGINS = 20_000
"""Origins that a router keeps: 1,000 streams a second whose callers wait for 20 s."""
_KEY_BYTES = 12
_ENOUGH = 2
"""Routers that name the same origin, after which no further answer is awaited."""


@dataclass(frozen=True)
class Origin:
    """The service and the version of the software that began a stream."""

    service: str
    version: str


def make_stream_key(organisation: str, identity: str) -> str:
    """Return the key of a stream, which no other organisation can name.

    Parameters
    ----------
    identity
        Id of the caller's attempt that brought the first event; of any length.

    Examples
    --------
    >>> make_stream_key("pounds", "a1") == make_stream_key("dollars", "a1")
    False
    """
    text = f"{len(organisation)}:{organisation}{identity}"
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=_KEY_BYTES).hexdigest()


def choose_keepers(
    key: str, routers: Mapping[str, Collection[str]], most: int
) -> list[str]:
    """Return the routers that keep a stream's origin, the first choice first.

    Parameters
    ----------
    routers
        Names of the routers of each failure domain.
    most
        Number of keepers; each is in a further failure domain while there is one.

    Examples
    --------
    >>> routers = {"north": ["r1", "r2"], "south": ["r3"]}
    >>> keepers = choose_keepers("k1", routers, most=2)
    >>> "r3" in keepers, len(choose_keepers("k1", routers, most=5))
    (True, 3)
    """
    domains = rank_targets(key, routers, most)
    in_each = math.ceil(most / max(1, len(domains)))
    ranked = [rank_targets(key, routers[one], in_each) for one in domains]
    rounds = itertools.chain.from_iterable(itertools.zip_longest(*ranked))
    return [name for name in rounds if name is not None][:most]


@dataclass(frozen=True)
class _Record:
    """An origin and until when it is kept; None if two different ones were told."""

    origin: Origin | None
    until: Millis


@dataclass
class OriginTable:
    """The origins that one router knows, by stream key.

    Examples
    --------
    >>> table = OriginTable()
    >>> table.add("k1", Origin("advice", "v1"), now=0.0, lasts=15_000.0)
    >>> table.find("k1", now=1.0), table.find("k2", now=1.0)
    (Origin(service='advice', version='v1'), None)
    >>> table.add("k1", Origin("advice", "v2"), now=2.0, lasts=15_000.0)
    >>> table.find("k1", now=3.0), table.is_known("k1", now=3.0)
    (None, True)
    """

    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._records)

    def add(self, key: str, origin: Origin, now: Millis, lasts: Millis) -> None:
        """Record an origin; a key that was used for two different ones names none.

        Parameters
        ----------
        lasts
            Time in which the caller can take the stream up.
        """
        known = self._get(key, now)
        until = now + min(lasts, MAX_LIFETIME)
        if known is not None:
            until = max(until, known.until)
        is_same = known is None or known.origin == origin
        self._records[key] = _Record(origin if is_same else None, until)
        self._records.move_to_end(key)
        self._expire(now)

    def find(self, key: str, now: Millis) -> Origin | None:
        """Return the origin of a stream; None if it is not known for certain."""
        known = self._get(key, now)
        return known.origin if known is not None else None

    def is_known(self, key: str, now: Millis) -> bool:
        """Return whether anything was told of a stream."""
        return self._get(key, now) is not None

    def _get(self, key: str, now: Millis) -> _Record | None:
        known = self._records.get(key)
        return known if known and now <= known.until else None

    def _expire(self, now: Millis) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if now <= oldest.until and len(self._records) <= MAX_ORIGINS:
                return
            self._records.popitem(last=False)


@dataclass
class OriginVotes:
    """The answers of the routers that were asked for a stream.

    Parameters
    ----------
    asked
        Number of routers that were asked.

    Examples
    --------
    >>> votes = OriginVotes(asked=3)
    >>> v1 = Origin("advice", "v1")
    >>> votes.add("r1", None, is_known=False), votes.add("r2", v1, is_known=True)
    (False, False)
    >>> votes.add("r3", v1, is_known=True), votes.agree()
    (True, Origin(service='advice', version='v1'))
    """

    asked: int
    _answers: dict[str, tuple[Origin | None, bool]] = field(default_factory=dict)

    def add(self, router: str, origin: Origin | None, is_known: bool) -> bool:
        """Add an answer; return whether no further one is needed.

        Parameters
        ----------
        origin
            Where the stream began; None if the router doesn't know that for certain.
        is_known
            Whether the router was told anything of the stream.
        """
        self._answers[router] = origin, is_known
        confirmed = [one for one, _ in self._answers.values() if one is not None]
        return len(confirmed) >= _ENOUGH or self.is_complete

    @property
    def is_complete(self) -> bool:
        """Return whether all routers that were asked have answered."""
        return len(self._answers) >= self.asked

    @property
    def is_told(self) -> bool:
        """Return whether any router was told of the stream."""
        return any(is_known for _, is_known in self._answers.values())

    def agree(self) -> Origin | None:
        """Return the origin that all who were told name; None if there is none."""
        told = {one for one, is_known in self._answers.values() if is_known}
        return told.pop() if len(told) == 1 else None
