"""The crashes that are held against one part of prompts, and when they prove it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from anvilshift.core.clock import SECOND, Millis

CRASHES_TO_REFUSE = 4
"""Ended engines after which a part is refused.  The users' limit is five; one end may
go unseen when the router that sent the request is killed."""
TRIES_TO_REFUSE = 1
"""How many of these ended during a try at least."""
MOMENTS_TO_REFUSE = 3
"""At how many moments they ended at least.  Engines that end together, as with their
failure domain, may all have had a sound part by chance."""
_MOMENT: Millis = 100.0
"""Engines that end within this time of one another may have ended together."""
_SUSPICION_LIFETIME: Millis = 600 * SECOND
_REFUSAL: Millis = 120 * SECOND
"""How long a part is refused before one more request with it is tried; each further
crash doubles it."""
_MAX_REFUSAL: Millis = 3_600 * SECOND
_REFUSAL_LIFETIME: Millis = 24 * 3_600 * SECOND
_MAX_CRASHES = 10
_MAX_COMPANIONS = 8
"""Newest crashes and companions kept of one part; a record fits into a datagram."""


@dataclass(frozen=True)
class PartKey:
    """A part of prompts as one model of one service reads it.

    Parameters
    ----------
    scope
        The service and its model, see `make_scope`.
    """

    scope: str
    part: str


def make_scope(service: str, model: str) -> str:
    """Return the scope within which a part means the same to engines."""
    return f"{service}/{model}"


@dataclass(frozen=True)
class PartCrash:
    """An engine's end while it read a part of a prompt.

    Parameters
    ----------
    start
        Identifies the start of the engine.
    tried
        Whether the request was the only one with the part that was sent then.
    """

    start: str
    at: Millis
    tried: bool = False


@dataclass
class PartRecord:
    """The crashes of one part since it was last answered.

    Attributes
    ----------
    companions
        Parts of all prompts that had the part when an engine ended; None if that isn't
        known.  If these are several, it isn't known which of them is bad.
    needed
        Crashes after which it is refused.
    """

    crashes: dict[str, PartCrash] = field(default_factory=dict)
    companions: frozenset[str] | None = None
    needed: int = CRASHES_TO_REFUSE

    @property
    def last(self) -> Millis:
        """Return the time of the last crash."""
        return max((one.at for one in self.crashes.values()), default=-1e12)

    @property
    def tries(self) -> int:
        """Return how many crashes ended a try."""
        return sum(one.tried for one in self.crashes.values())

    @property
    def is_proven(self) -> bool:
        """Return whether requests with the part are refused, at times at least."""
        return (
            len(self.crashes) >= self.needed
            and self.tries >= TRIES_TO_REFUSE
            and self._count_moments() >= MOMENTS_TO_REFUSE
        )

    def _count_moments(self) -> int:
        """Return at how many moments engines ended; tries follow one another."""
        times = sorted(one.at for one in self.crashes.values() if not one.tried)
        gaps = (later - earlier for earlier, later in pairwise(times))
        return self.tries + bool(times) + sum(gap > _MOMENT for gap in gaps)

    @property
    def refused_until(self) -> Millis:
        """Return until when requests with the part are refused, if it is proven."""
        doublings = min(len(self.crashes) - self.needed, _MAX_CRASHES)
        return self.last + min(_REFUSAL * 2**doublings, _MAX_REFUSAL)

    def find_expiry(self) -> Millis:
        """Return until when the record matters."""
        lifetime = _REFUSAL_LIFETIME if self.is_proven else _SUSPICION_LIFETIME
        return self.last + lifetime

    def add(self, crash: PartCrash) -> bool:
        """Add a crash; return whether it changes anything."""
        known = self.crashes.get(crash.start)
        if known is not None and (known.tried or not crash.tried):
            return False
        self.crashes[crash.start] = crash
        if len(self.crashes) > _MAX_CRASHES:
            del self.crashes[min(self.crashes.values(), key=lambda c: c.at).start]
        return True

    def narrow(self, companions: Iterable[str]) -> None:
        """Keep the companions that are among some other ones."""
        found = frozenset(list(companions)[:_MAX_COMPANIONS])
        self.companions = found if self.companions is None else self.companions & found
