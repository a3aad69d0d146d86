"""Which allocator a request that lacks tokens asks next, and when it stops waiting.

Load pattern: a burst of prompts reaches a router that keeps no tokens of their
organisation, while one of the two allocators has just been killed, or all tokens that
may be spent now are spent.  Asking the allocators one after another without delay costs
one round trip each.  With a fixed waiting time instead, a request would be refused or
served late.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis

ANSWER_TIMEOUT: Millis = 60.0
"""Time limit for an allocator's answer, after which the datagram counts as lost.  An
answer takes 4 ms, plus at times a write to the store."""
_MAX_TRIES = 2
"""Number of times that an allocator is asked before the next allocator is asked."""
_SUFFICIENT_WRITES = 2
"""Number of completed writes after which at least one was prepared with the request
included.  The first may have been in progress when the request began to wait."""


@dataclass(frozen=True)
class Answer:
    """An allocator's answer when it can't provide the tokens.

    Parameters
    ----------
    certain
        Whether the total certainly can't cover the request.
    wait
        Time until the allocator may have the tokens.
    """

    certain: bool
    wait: Millis


@dataclass
class TokenSearch:
    """One request's search for tokens among the allocators of its organisation.

    Parameters
    ----------
    allocators
        The allocators to ask, in this order.
    draws, records
        Numbers of draws from the store and of use records that this router had
        completed when the request began to wait.
    answers
        The answers received so far from allocators that lack the tokens.
    number
        Number of its asks, which no other search of this router has.
    organisation
        The organisation whose tokens are sought.
    deputies
        Routers to ask after the allocators if none of these has answered.
    asked
        The numbers of tokens that were asked for.
    is_granted
        Whether they have come.  If another request has taken them, a further search
        has to ask anew: this one's ask would get the same answer again.

    Examples
    --------
    >>> search = TokenSearch(("r1", "r2"))
    >>> search.find_next(0.0), search.find_next(10.0), search.find_next(60.0)
    ('r1', None, 'r1')
    >>> search.note(Answer(certain=False, wait=400.0))
    >>> search.find_next(65.0)
    'r2'
    >>> search = TokenSearch(("r1",), deputies=("r2",))
    >>> [search.find_next(now) for now in (0.0, 60.0, 120.0)]
    ['r1', 'r1', 'r2']
    """

    allocators: Sequence[str]
    draws: int = 0
    records: int = 0
    answers: list[Answer] = field(default_factory=list)
    number: int = 0
    organisation: str = ""
    deputies: Sequence[str] = ()
    asked: set[int] = field(default_factory=set)
    is_granted: bool = False
    _index: int = 0
    _tries: int = 0
    _next_due: Millis = 0.0

    def find_next(self, now: Millis) -> str | None:
        """Return the allocator to ask now, if any, and count it as asked."""
        routers = self._list_routers()
        if now < self._next_due or self._index >= len(routers):
            return None
        if self._tries == _MAX_TRIES:
            self._advance()
            return self.find_next(now)
        self._tries += 1
        self._next_due = now + ANSWER_TIMEOUT
        return routers[self._index]

    def _list_routers(self) -> Sequence[str]:
        """Return the routers to ask: the deputies too while nobody has answered."""
        if self.answers:
            return self.allocators
        return (*self.allocators, *self.deputies)

    def note(self, answer: Answer) -> None:
        """Record that the allocator asked last lacks the tokens; go on to the next."""
        self.answers.append(answer)
        self.skip()

    def skip(self) -> None:
        """Go on to the next allocator, since the current one is unreachable."""
        self._advance()
        self._next_due = 0.0

    def _advance(self) -> None:
        self._index += 1
        self._tries = 0

    def is_over(self, now: Millis) -> bool:
        """Tell whether every router has answered, timed out or been skipped."""
        last = len(self._list_routers()) - 1
        if self._index < last:
            return False
        is_last = self._index == last
        return not is_last or (self._tries == _MAX_TRIES and now >= self._next_due)

    def is_unanswered(self, now: Millis) -> bool:
        """Tell whether the search is over without an answer from any router."""
        return self.is_over(now) and not self.answers

    def has_drawn(self, draws: int) -> bool:
        """Tell whether a draw that included this request has ended.

        A draw that was in progress when the request began to wait may not include it.
        """
        return draws >= self.draws + _SUFFICIENT_WRITES

    def is_recorded(self, records: int) -> bool:
        """Tell whether a write of a use record that included this request has ended."""
        return records >= self.records + _SUFFICIENT_WRITES

    def is_certain(self) -> bool:
        """Tell whether every allocator said that the total can't cover the request."""
        certain = [answer.certain for answer in self.answers]
        return len(certain) >= len(self.allocators) > 0 and all(certain)

    def find_wait(self) -> Millis | None:
        """Return the shortest wait that an allocator stated; None without an answer."""
        return min((answer.wait for answer in self.answers), default=None)


@dataclass
class TokenSearches:
    """The searches of one router that are under way, by the number of their ask.

    Examples
    --------
    >>> searches = TokenSearches()
    >>> search = TokenSearch(("r1",), organisation="pounds", asked={60})
    >>> searches.begin(search)
    >>> searches.note_gift("pounds", 60), search.is_granted
    (None, True)
    >>> searches.end(search), searches.find(search.number)
    (None, None)
    """

    _by_number: dict[int, TokenSearch] = field(default_factory=dict)
    _last: int = 0

    def begin(self, search: TokenSearch) -> None:
        """Add a search, and give it a number."""
        self._last += 1
        search.number = self._last
        self._by_number[search.number] = search

    def end(self, search: TokenSearch) -> None:
        """Remove a search."""
        del self._by_number[search.number]

    def find(self, number: int) -> TokenSearch | None:
        """Return a search; None if it has ended."""
        return self._by_number.get(number)

    def note_gift(self, organisation: str, tokens: int) -> None:
        """Note one search that asked for what has come.

        Any of those that asked for as much will do, as any request may take it.
        """
        for search in self._by_number.values():
            is_sought = search.organisation == organisation and tokens in search.asked
            if is_sought and not search.is_granted:
                search.is_granted = True
                return
