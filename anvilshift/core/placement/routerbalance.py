"""Decide which routers the callers of a failure domain are told of.

Load pattern: most callers are in one failure domain, whose few routers fill up while
those of the other domains idle, or some routers carry less than their neighbours.
Callers choose at random among the addresses that they were told and keep them for some
seconds, and many routers answer them from the same news.

While no router is nearly full the answer is that of `choose_endpoints`.  Otherwise a
router is listed with a probability.  Two shares set it, each of which moves by a part
of what it lacks at a time:

- the share of a domain's callers that are sent to other domains, as large as it has to
  be for the near routers to fall to the target, but no larger than makes all routers
  equally full;
- the share that a router keeps of its part among the routers of its domain, below 1
  while it is fuller than these.

How full a router would be without that is estimated from what callers were told before,
as they act on it seconds later.  Each caller draws by its own address, so that its list
changes by few routers at a time.
"""

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.endpoints import MIN_LOCAL_ROUTERS, Endpoint, choose_endpoints

_NEARLY_FULL, _TARGET, _RELAXED = 0.7, 0.6, 0.5
"""How full routers are at which work begins to move, to which it is moved, and at which
it may come back."""
_UNEVEN = 1.15
"""How much fuller than its domain's mean a router is that is listed less."""
_MOVE_TIME: Millis = 2 * SECOND
"""Time in which a share moves by the larger part of what it lacks."""
_LIST_LIFE: Millis = 3 * SECOND
"""Time after which the larger part of callers act on what they are told."""
_LEAST_SHARE, _MOST_FAR = 0.05, 0.95
_LEAST_ROOM = 0.1
"""Room that every router is taken to have, so that none is left out for its use."""
_NEGLIGIBLE = 0.01
_MAX_FULL_DIVISOR = 4
"""One in this many routers is left out at most because it can hold no more: the others
would be flooded."""
MAX_LISTED = 60
"""Most addresses in an answer; callers read 64."""


@dataclass(frozen=True)
class RouterUse:
    """A router that accepts callers, and how full it is.

    Parameters
    ----------
    capacity
        What it carries, in any unit that is the same for all.
    used
        Share of its scarcest resource that is used; over 1 if work waits for it.
    is_full
        Whether it can hold no further caller.
    """

    address: str
    failure_domain: str
    capacity: float = 1.0
    used: float = 0.0
    is_full: bool = False


@dataclass
class _Share:
    """A share that moves slowly, and the share on which callers act now."""

    now: float
    in_effect: float
    engaged: bool = False

    def move(self, wanted: float, span: Millis) -> None:
        self.in_effect += (self.now - self.in_effect) * _find_part(span, _LIST_LIFE)
        self.now += (wanted - self.now) * _find_part(span, _MOVE_TIME)


def _find_part(span: Millis, time: Millis) -> float:
    return 1.0 - math.exp(-span / time)


@dataclass
class RouterBalance:
    """Which routers the callers of each failure domain are told of.

    Examples
    --------
    >>> near = [RouterUse(f"n{n}", "north", used=1.0) for n in range(4)]
    >>> far = [RouterUse(f"s{n}", "south", used=0.1) for n in range(4)]
    >>> balance = RouterBalance()
    >>> balance.list_addresses("north", "caller")
    ()
    >>> balance.update(near + far, 0.0)
    >>> balance.list_addresses("north", "caller")
    ('n0', 'n1', 'n2', 'n3')
    >>> balance.update(near + far, 2_000.0)
    >>> 0.2 < balance.find_far_share("north") < 0.4
    True
    """

    _routers: tuple[RouterUse, ...] = ()
    _updated: Millis | None = None
    _far: dict[str, _Share] = field(default_factory=dict)
    _kept: dict[str, _Share] = field(default_factory=dict)

    def update(self, routers: Iterable[RouterUse], now: Millis) -> None:
        """Take note of the routers that accept callers, and move the shares."""
        span = 0.0 if self._updated is None else now - self._updated
        self._updated = now
        self._routers = tuple(routers)
        domains = {one.failure_domain for one in self._routers}
        known = {one.address for one in self._routers}
        self._far = {name: self._far.get(name, _Share(0.0, 0.0)) for name in domains}
        self._kept = {name: self._kept.get(name, _Share(1.0, 1.0)) for name in known}
        for domain in domains:
            near = [one for one in self._routers if one.failure_domain == domain]
            self._move_far(domain, near, span)
            mean = _find_mean_use(near)
            for one in near:
                self._move_kept(one, mean, span)

    def _move_far(self, domain: str, near: Sequence[RouterUse], span: Millis) -> None:
        """Move the share of a domain's callers that are sent to other domains."""
        share, used = self._far[domain], _find_mean_use(near)
        demand = used / (1.0 - share.in_effect)
        if used > _NEARLY_FULL:
            share.engaged = True
        elif demand < _RELAXED and share.now < _NEGLIGIBLE:
            share.engaged, share.now = False, 0.0
        wanted = 0.0
        if share.engaged and len(near) < len(self._routers):
            level = max(_TARGET, _find_mean_use(self._routers))
            wanted = min(_MOST_FAR, max(0.0, 1.0 - level / max(demand, level)))
        share.move(wanted, span)

    def _move_kept(self, one: RouterUse, mean: float, span: Millis) -> None:
        """Move the share that a router keeps of its part among its neighbours."""
        share = self._kept[one.address]
        if one.used > max(_NEARLY_FULL, mean * _UNEVEN):
            share.engaged = True
        elif one.used < _RELAXED and share.now > 1.0 - _NEGLIGIBLE:
            share.engaged, share.now = False, 1.0
        wanted = 1.0
        if share.engaged:
            level = max(_TARGET, mean)
            wanted = level * share.in_effect / max(one.used, _NEGLIGIBLE)
        share.move(min(1.0, max(_LEAST_SHARE, wanted)), span)

    def find_far_share(self, domain: str) -> float:
        """Return the share of a domain's callers that are sent to other domains."""
        share = self._far.get(domain)
        return share.now if share is not None else 0.0

    def find_kept_share(self, address: str) -> float:
        """Return the share that a router keeps of its part among its neighbours."""
        share = self._kept.get(address)
        return share.now if share is not None else 1.0

    def is_usual(self, domain: str) -> bool:
        """Return whether a domain's callers are told what they are usually told."""
        is_kept = all(not share.engaged for share in self._kept.values())
        return is_kept and not self.find_far_share(domain) and not self._list_full()

    def list_addresses(self, domain: str, asker: str) -> tuple[str, ...]:
        """Return the routers that a caller is told of.

        Parameters
        ----------
        domain
            Failure domain of the caller; empty if unknown.
        asker
            Identifies the caller; it gets about the same answer each time.
        """
        usual = choose_endpoints(
            [Endpoint(one.address, one.failure_domain) for one in self._routers], domain
        )
        weights = self._weigh(domain, frozenset(usual))
        if not weights or min(weights.values()) == max(weights.values()):
            return tuple(weights) if weights else usual
        most = max(weights.values())
        scale = min(1.0, MAX_LISTED * most / sum(weights.values())) / most
        draws = {
            address: _draw(asker, address) / (weight * scale)
            for address, weight in weights.items()
            if weight
        }
        listed = sorted(draws, key=lambda address: draws[address])
        count = sum(draw < 1.0 for draw in draws.values())
        return tuple(listed[: max(count, MIN_LOCAL_ROUTERS)][:MAX_LISTED])

    def _weigh(self, domain: str, usual: frozenset[str]) -> dict[str, float]:
        """Return the part of a domain's callers that each router is to get."""
        full = self._list_full()
        open_routers = [one for one in self._routers if one.address not in full]
        near = [one for one in open_routers if one.address in usual]
        far = [one for one in open_routers if one.address not in usual]
        far_share = self.find_far_share(domain) if far and near else float(not near)
        weights = {one.address: self.find_kept_share(one.address) for one in near}
        weights = _scale(weights, 1.0 - far_share)
        if far_share:
            rooms = {
                one.address: self.find_kept_share(one.address)
                * one.capacity
                * max(_LEAST_ROOM, 1.0 - one.used)
                for one in far
            }
            weights |= _scale(rooms, far_share)
        return weights

    def _list_full(self) -> frozenset[str]:
        """Return the routers that can hold no more, unless these are too many."""
        full = [one.address for one in self._routers if one.is_full]
        is_rare = len(full) * _MAX_FULL_DIVISOR <= len(self._routers)
        return frozenset(full) if is_rare else frozenset()


def _find_mean_use(routers: Sequence[RouterUse]) -> float:
    """Return how full routers are as a whole."""
    capacity = sum(one.capacity for one in routers)
    if not capacity:
        return 0.0
    return sum(one.capacity * one.used for one in routers) / capacity


def _scale(weights: dict[str, float], total: float) -> dict[str, float]:
    """Return weights that add up to a total."""
    present = sum(weights.values())
    return {name: one * total / present for name, one in weights.items() if present}


def _draw(asker: str, address: str) -> float:
    """Return a number in (0, 1] that is the same for a caller and a router."""
    digest = hashlib.blake2b(f"{asker}\n{address}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / 2**64
