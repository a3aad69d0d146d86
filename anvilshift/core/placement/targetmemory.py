"""Decide which targets have memory for a prompt, by what all routers send them.

Load pattern: many routers get large prompts at the same time and hear of each other's
requests some tenths of a second late.  A target that holds more tokens than it has
memory for ends, with all of its requests.

A target holds the whole prompt and the longest answer of each request that it runs or
queues; parts in its cache aren't subtracted, since they may be evicted.  To what a
router knows of it, it adds what the others may have sent within a message's way: as
much as it has sent itself in that time to the service, with the prompt in question,
for each other router, in equal parts to all targets, and one standard deviation of it.
So much room is left as margin.

A router that has sent nothing in that time leaves half of a target's memory at most,
and no more than its prompt does: it could send nothing to few targets of many routers
otherwise.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.targetload import Prompt, TargetLoad

MESSAGE_WAY: Millis = 250.0
"""Longest usual time until a router hears what another one has sent."""

_FIRST_MARGIN = 0.5
"""Part of a target's memory that is left free at most by a router's first prompt within
a message's way."""

_SPREAD = 1.0
"""Standard deviations by which more may be sent to one target than to the others."""


def count_tokens(prompt: Prompt) -> int:
    """Return the tokens of memory that a prompt and its longest answer need."""
    return prompt.tokens + prompt.most_answer


@dataclass(eq=False)
class SentLately:
    """What this router has sent to each service within a message's way.

    Examples
    --------
    >>> lately = SentLately()
    >>> lately.add("advice", 600, now=0.0)
    >>> lately.add("advice", 400, now=200.0)
    >>> lately.count("advice", now=240.0), lately.count("advice", now=260.0)
    (1000, 400)
    """

    _sent: dict[str, deque[tuple[Millis, int]]] = field(default_factory=dict)
    _sums: dict[str, int] = field(default_factory=dict)

    def add(self, service: str, tokens: int, now: Millis) -> None:
        """Record a prompt that was sent."""
        self._sent.setdefault(service, deque()).append((now, tokens))
        self._sums[service] = self._sums.get(service, 0) + tokens
        self.count(service, now)

    def count(self, service: str, now: Millis) -> int:
        """Return the tokens that were sent to a service within a message's way."""
        sent = self._sent.get(service)
        while sent and now - sent[0][0] > MESSAGE_WAY:
            self._sums[service] -= sent.popleft()[1]
        return self._sums.get(service, 0)


@dataclass(frozen=True)
class RouterCounts:
    """How many other routers there are, and how many of them are heard.

    Parameters
    ----------
    domain
        Failure domain of this router.
    others
        Number of the other routers.
    near
        Those of them in its failure domain, which tell it of all that they send; None
        if all routers do.

    Examples
    --------
    >>> RouterCounts("north", others=39, near=9).heard_far
    0.25
    """

    domain: str = ""
    others: int = 0
    near: int | None = None

    @property
    def heard_far(self) -> float:
        """Return the share of routers heard of targets in other failure domains."""
        near = self.others if self.near is None else self.near
        return (near + 1) / (self.others + 1)


@dataclass(frozen=True)
class MemoryNeed:
    """What a prompt needs of a target's memory, beside what others may have sent.

    Parameters
    ----------
    tokens
        Tokens of the prompt and its longest answer.
    room
        Most tokens that a target may hold before it gets the prompt.
    """

    tokens: int
    room: float
    routers: RouterCounts = field(default_factory=RouterCounts)

    @classmethod
    def estimate(
        cls,
        prompt: Prompt,
        capacity: int,
        sent: int,
        targets: int,
        routers: RouterCounts,
    ) -> "MemoryNeed":
        """Return the need of a prompt.

        Parameters
        ----------
        capacity
            Tokens that a target has memory for.
        sent
            Tokens that this router has sent to the service lately.
        targets
            Number of targets among which others choose as well.

        Examples
        --------
        >>> prompt = Prompt(tokens=900, most_answer=100)
        >>> routers = RouterCounts("north", others=4)
        >>> need = MemoryNeed.estimate(prompt, 9_000, 500, targets=2, routers=routers)
        >>> round(need.room)
        3268
        """
        need = count_tokens(prompt)
        margin = routers.others * (sent + need) / max(1, targets)
        margin += _SPREAD * math.sqrt(margin * need)
        if not sent:
            margin = min(margin, capacity * _FIRST_MARGIN, max(0.0, capacity - need))
        return cls(need, capacity - need - margin, routers)

    def fits(self, target: TargetLoad, now: Millis) -> bool:
        """Return whether a target has memory for the prompt."""
        is_near = target.info.failure_domain == self.routers.domain
        heard = 1.0 if is_near else self.routers.heard_far
        return count_held(target, now, heard, self.tokens) <= self.room


def count_held(
    target: TargetLoad, now: Millis, heard: float = 1.0, usual: int = 0
) -> float:
    """Return the tokens of the requests at a target.

    Those that this router hasn't heard of are as many as the target has told lately.
    Since then the routers that aren't heard are taken to send as those that are, and
    one request more where some are, as few are known.  All are taken to be as large as
    the known.

    Parameters
    ----------
    heard
        Share of the routers that tell this one of what they send to the target.
    usual
        Tokens of a request.
    """
    known, count, report = target.held_tokens, len(target.runs), target.report
    told = report.count_unheard(now) if report else None
    news, unheard = (known, 0) if told is None else (target.news_tokens, told)
    mean = known / count if count else usual
    one_more = usual if heard < 1.0 and (known or unheard) else 0.0
    return known + unheard * mean + news * (1.0 / heard - 1.0) + one_more
