"""Remember refusals for want of tokens, and when their callers may return.

Load pattern: a burst reaches an organisation that has no tokens for the moment.  If
each of its requests looked for tokens, they would cost writes and waits without
result; if a refusal were given to all of them whatever its cause, requests would be
refused that tokens come for.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_REMEMBER: Millis = 500.0
"""How long a refusal applies to other requests of the organisation that are as large.
Otherwise each request of a burst would cost writes and wait without result."""
RETRY_DELAY: Millis = 4 * SECOND
"""Default retry delay for callers.  A store becomes reachable again, or a total is
topped up, within seconds; a caller that retries sooner is refused again."""
_MAX_RETRY_DELAY: Millis = 30 * SECOND
"""Longest retry delay.  Where an organisation has had no tokens for some seconds, none
are expected for as long again; a caller with less time need not come back."""


@dataclass(frozen=True)
class Refusal:
    """A refusal for want of tokens.

    Parameters
    ----------
    tokens
        What the request needed.
    certain
        Whether the total certainly can't cover it.
    wait
        Time until there may be tokens.
    at
        When the request was refused.
    """

    tokens: int
    certain: bool
    wait: Millis
    at: Millis

    def applies(self, tokens: int, until: Millis, now: Millis) -> bool:
        """Tell whether a request that may wait until an instant is refused as well.

        The refused request may have had less time.

        Examples
        --------
        >>> refusal = Refusal(tokens=60, certain=False, wait=200.0, at=0.0)
        >>> refusal.applies(60, until=150.0, now=10.0)
        True
        >>> refusal.applies(60, until=250.0, now=10.0)
        False
        >>> refusal.applies(50, until=150.0, now=10.0)
        False
        """
        recent = now < self.at + _REMEMBER
        return recent and tokens >= self.tokens and until <= self.at + self.wait


class RefusalMemory:
    """The latest refusal of each organisation, and since when it has had no tokens.

    Examples
    --------
    >>> memory = RefusalMemory()
    >>> memory.note_dry_spell("pounds", now=0.0)
    4000.0
    >>> memory.note_dry_spell("pounds", now=9_000.0)
    9000.0
    >>> memory.note_served("pounds")
    >>> memory.note_dry_spell("pounds", now=9_500.0)
    4000.0
    """

    def __init__(self) -> None:
        self._refusals: dict[str, Refusal] = {}
        self._dry_since: dict[str, Millis] = {}

    def clear(self) -> None:
        """Forget everything, because totals may have grown."""
        self._refusals.clear()
        self._dry_since.clear()

    def remember(self, name: str, refusal: Refusal) -> None:
        """Remember a refusal of an organisation's request."""
        self._refusals[name] = refusal

    def find(
        self, name: str, tokens: int, until: Millis, now: Millis
    ) -> Refusal | None:
        """Return the refusal that applies to a request as well, if any."""
        known = self._refusals.get(name)
        if known is None or not known.applies(tokens, until, now):
            return None
        return known

    def note_served(self, name: str) -> None:
        """Record that a request of an organisation got its tokens."""
        self._dry_since.pop(name, None)

    def note_dry_spell(self, name: str, now: Millis) -> Millis:
        """Record that nothing tells when there will be tokens; return a retry delay."""
        dry = now - self._dry_since.setdefault(name, now)
        return min(max(dry, RETRY_DELAY), _MAX_RETRY_DELAY)
