"""Claims: how non-idempotent work runs at most once.

Before such work is sent anywhere, a claim for its organisation and key is
created in the platform, which only one router can do.  Whoever comes later
finds the claim and gets the recorded answer, or learns that the outcome isn't
known; nobody sends the work again.
"""

from dataclasses import dataclass, replace
from enum import Enum

LIFETIME_S = 24 * 3600
"""Seconds for which a key is remembered: far longer than a client retries (its
deadline is ten minutes at most) and than a person waits before asking again."""


class ClaimState(Enum):
    """How far claimed work has come."""

    OPEN = "open"
    DONE = "done"
    VOID = "void"
    LOST = "lost"


@dataclass(frozen=True)
class Answer:
    """The answer that callers of a key receive."""

    status: int
    content_type: str
    body: str


@dataclass(frozen=True)
class Claim:
    """The right to run one piece of work.

    Parameters
    ----------
    content
        Digest of the request; the key with another body is an error.
    holder
        The router incarnation that may send it.
    token
        Names the one request that may; two requests with one key can reach the
        same router at once, so the holder alone doesn't tell them apart.
    at
        Wall-clock seconds when it was made.
    state
        OPEN from before it is sent; DONE once it ran; VOID when it provably
        never left, so that another may claim it; LOST when it was sent and its
        outcome will never be known.
    answer
        The answer of DONE work, unless it is too large to be kept.
    """

    content: str
    holder: str
    token: str
    at: int
    state: ClaimState = ClaimState.OPEN
    answer: Answer | None = None

    def finish(self, answer: Answer | None) -> "Claim":
        """Return the claim of work that ran, with its answer if it is kept."""
        return replace(self, state=ClaimState.DONE, answer=answer)

    def void(self) -> "Claim":
        """Return the claim of work that provably never left."""
        return replace(self, state=ClaimState.VOID)

    def lose(self) -> "Claim":
        """Return the claim of work that was sent and whose outcome is unknown."""
        return replace(self, state=ClaimState.LOST)

    def is_expired(self, now: int) -> bool:
        """Tell whether the key may be forgotten, given wall-clock seconds.

        Examples
        --------
        >>> claim = Claim("digest", "r1", "t1", at=100)
        >>> claim.is_expired(100 + LIFETIME_S), claim.is_expired(101 + LIFETIME_S)
        (False, True)
        """
        return now - self.at > LIFETIME_S


def end(found: Claim | None, ended: Claim) -> Claim | None:
    """Return what to write so that a claim stands ended; None leaves it.

    Only the request that made a claim ends it.  A void that was written late
    or twice would otherwise free a claim that another request with the same
    key has taken since at the same router, and the work would run again.  A
    claim that isn't there is made, and another's void is written anew, so that
    a write of the claim that is still under way fails.

    Examples
    --------
    >>> mine = Claim("digest", "r1", "t1", at=0)
    >>> end(mine, mine.void()).state
    <ClaimState.VOID: 'void'>
    >>> end(Claim("digest", "r1", "t2", at=0), mine.void()) is None
    True
    """
    if found is None:
        return ended
    own = found.token == ended.token and found.state is ClaimState.OPEN
    both_void = found.state is ended.state is ClaimState.VOID
    return ended if own or both_void else None


class Verdict(Enum):
    """What a router does with a request, given the claim that it found."""

    RUN = "run"
    ANSWER = "answer"
    WAIT = "wait"
    LOST = "lost"
    REUSED = "reused"


def judge(found: Claim | None, wish: Claim) -> Verdict:
    """Tell what to do with a request.

    A claim with the same token is the request's own, whose answer was lost.

    Examples
    --------
    >>> mine = Claim("digest", "r1", "t1", at=0)
    >>> judge(None, mine), judge(mine, mine)
    (<Verdict.RUN: 'run'>, <Verdict.RUN: 'run'>)
    >>> judge(mine, Claim("digest", "r1", "t2", at=1))
    <Verdict.WAIT: 'wait'>
    """
    if found is None:
        return Verdict.RUN
    if found.content != wish.content:
        return Verdict.REUSED
    if found.state is ClaimState.DONE:
        return Verdict.ANSWER
    if found.state is ClaimState.LOST:
        return Verdict.LOST
    if found.state is ClaimState.VOID or found.token == wish.token:
        return Verdict.RUN
    return Verdict.WAIT
