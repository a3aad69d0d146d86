"""Claims ensure that non-idempotent work runs at most once.

Before such work is sent to a target, a router creates a claim for its organisation
and idempotency key in the platform, where only one creation succeeds.  A later
request with the same key finds the claim and receives the recorded answer, or an
error if the outcome is unknown.  The work is never sent a second time.
"""

from dataclasses import dataclass, replace
from enum import Enum

LIFETIME_S = 24 * 3600
"""Seconds for which a key is stored.  This is much longer than a client retries (its
deadline is at most ten minutes) and than a person waits before trying again."""


class ClaimState(Enum):
    """State of claimed work; see `Claim`."""

    OPEN = "open"
    DONE = "done"
    VOID = "void"
    LOST = "lost"


@dataclass(frozen=True)
class Answer:
    """The answer that every request with the claim's key receives."""

    status: int
    content_type: str
    body: str


@dataclass(frozen=True)
class Claim:
    """The exclusive right to run one piece of work.

    Parameters
    ----------
    content
        Digest of the request.  Using the key with another body is an error.
    holder
        The router incarnation that may send the work.
    token
        Identifies the one request that may send the work.  Two requests with the
        same key can reach one router concurrently, so the holder alone doesn't
        distinguish them.
    at
        Wall-clock seconds when the claim was created.
    state
        OPEN from before the work is sent; DONE once it ran; VOID if the work was
        provably never sent, so that another request may claim the key; LOST if it
        was sent and its outcome can't be determined any more.
    answer
        The answer of DONE work, unless it is too large to be stored.
    """

    content: str
    holder: str
    token: str
    at: int
    state: ClaimState = ClaimState.OPEN
    answer: Answer | None = None

    def mark_done(self, answer: Answer | None) -> "Claim":
        """Return the claim for work that ran, with its answer if that is stored."""
        return replace(self, state=ClaimState.DONE, answer=answer)

    def void(self) -> "Claim":
        """Return the claim for work that was provably never sent."""
        return replace(self, state=ClaimState.VOID)

    def mark_lost(self) -> "Claim":
        """Return the claim for work that was sent and whose outcome is unknown."""
        return replace(self, state=ClaimState.LOST)

    def is_expired(self, now: int) -> bool:
        """Tell whether the claim's lifetime has passed, so that it may be deleted.

        Parameters
        ----------
        now
            Wall-clock seconds.

        Examples
        --------
        >>> claim = Claim("digest", "r1", "t1", at=100)
        >>> claim.is_expired(100 + LIFETIME_S), claim.is_expired(101 + LIFETIME_S)
        (False, True)
        """
        return now - self.at > LIFETIME_S


def end(found: Claim | None, ended: Claim) -> Claim | None:
    """Return the claim to write in order to end one, or None to write nothing.

    Only the request that created a claim may end it.  Otherwise a VOID written late
    or twice would release a claim that another request with the same key has created
    since at the same router, and the work would run again.  If no claim is found, or
    if both claims are VOID, the ended claim is written all the same, so that a
    conditional write of the open claim that is still in progress fails.

    Parameters
    ----------
    found
        The claim in the store, if any.
    ended
        The request's own claim in its final state.

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
    is_own = found.token == ended.token and found.state is ClaimState.OPEN
    both_void = found.state is ended.state is ClaimState.VOID
    return ended if is_own or both_void else None


class Decision(Enum):
    """How a router handles a request, given the claim that it found."""

    RUN = "run"
    ANSWER = "answer"
    WAIT = "wait"
    LOST = "lost"
    REUSED = "reused"


def decide(found: Claim | None, request: Claim) -> Decision:
    """Decide how to handle a request, given the claim found for its key.

    A found claim with the request's token is its own: the write took effect and only
    the store's answer to it was lost.

    Parameters
    ----------
    found
        The claim in the store, if any.
    request
        The claim that the request wants to create.

    Examples
    --------
    >>> mine = Claim("digest", "r1", "t1", at=0)
    >>> decide(None, mine), decide(mine, mine)
    (<Decision.RUN: 'run'>, <Decision.RUN: 'run'>)
    >>> decide(mine, Claim("digest", "r1", "t2", at=1))
    <Decision.WAIT: 'wait'>
    """
    if found is None:
        return Decision.RUN
    if found.content != request.content:
        return Decision.REUSED
    if found.state is ClaimState.DONE:
        return Decision.ANSWER
    if found.state is ClaimState.LOST:
        return Decision.LOST
    if found.state is ClaimState.VOID or found.token == request.token:
        return Decision.RUN
    return Decision.WAIT
