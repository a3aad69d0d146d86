"""Claims: how non-idempotent work runs at most once.

Before such work is sent anywhere, a claim for its organisation and key is
created in the platform, which only one router can do.  Whoever comes later
finds the claim and gets the recorded answer, or learns that the outcome isn't
known; nobody sends the work again.
"""

from dataclasses import dataclass, replace
from enum import Enum


class ClaimState(Enum):
    """How far claimed work has come."""

    OPEN = "open"
    DONE = "done"
    VOID = "void"


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
    state
        OPEN from before it is sent; DONE once its answer is recorded; VOID
        when it provably never left, so that another may claim it.
    """

    content: str
    holder: str
    token: str
    at: int
    state: ClaimState = ClaimState.OPEN
    answer: Answer | None = None

    def finish(self, answer: Answer) -> "Claim":
        """Return the claim with its answer."""
        return replace(self, state=ClaimState.DONE, answer=answer)

    def void(self) -> "Claim":
        """Return the claim of work that provably never left."""
        return replace(self, state=ClaimState.VOID)


class Verdict(Enum):
    """What a router does with a request, given the claim that it found."""

    RUN = "run"
    ANSWER = "answer"
    WAIT = "wait"
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
    if found.state is ClaimState.VOID or found.token == wish.token:
        return Verdict.RUN
    return Verdict.WAIT
