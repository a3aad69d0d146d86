"""Whom a request that lacks tokens asks next, and when it stops hoping.

Load pattern: a burst of prompts reaches a router that keeps no tokens of their
organisation, while one of the two keepers has just been killed, or all that may be
spent now is.  Asked in turn and at once, the keepers cost a round trip each; a
request that waited out a fixed time would be refused late, or served late.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis

ANSWER_WITHIN: Millis = 60.0
"""Time for an answer of a keeper, which takes 4 ms and at times a write of the store;
then the datagram counts as lost."""
_COPIES = 2
"""Copies of an ask that one keeper is sent before the next one is asked."""
_WRITES = 2
"""Ends of writes after which a request was surely counted into one."""


@dataclass(frozen=True)
class Answer:
    """What a keeper said to an ask that it can't meet.

    Parameters
    ----------
    certain
        Whether the total certainly can't cover the request.
    wait
        Time until the keeper may have the tokens.
    """

    certain: bool
    wait: Millis


@dataclass
class TokenHunt:
    """One request's way through the keepers of its organisation's tokens.

    Parameters
    ----------
    keepers
        Whom to ask, first one first.
    draws, records
        Draws and records of this router that had ended when the request began to
        wait.

    Examples
    --------
    >>> hunt = TokenHunt(("r1", "r2"))
    >>> hunt.find_next(0.0), hunt.find_next(10.0), hunt.find_next(60.0)
    ('r1', None, 'r1')
    >>> hunt.note(Answer(certain=False, wait=400.0))
    >>> hunt.find_next(65.0)
    'r2'
    """

    keepers: Sequence[str]
    draws: int = 0
    records: int = 0
    answers: list[Answer] = field(default_factory=list)
    _turn: int = 0
    _copies: int = 0
    _due: Millis = 0.0

    def find_next(self, now: Millis) -> str | None:
        """Return the keeper that is to be asked now, if any."""
        if now < self._due or self._turn >= len(self.keepers):
            return None
        if self._copies == _COPIES:
            self._move_on()
            return self.find_next(now)
        self._copies += 1
        self._due = now + ANSWER_WITHIN
        return self.keepers[self._turn]

    def note(self, answer: Answer) -> None:
        """Take in that the keeper which was asked last lacks the tokens."""
        self.answers.append(answer)
        self.skip()

    def skip(self) -> None:
        """Take in that the keeper which is to be asked is not there."""
        self._move_on()
        self._due = 0.0

    def _move_on(self) -> None:
        self._turn += 1
        self._copies = 0

    def is_over(self, now: Millis) -> bool:
        """Tell whether nobody is left to be asked or waited for."""
        if self._turn < len(self.keepers) - 1:
            return False
        last = self._turn == len(self.keepers) - 1
        return not last or (self._copies == _COPIES and now >= self._due)

    def is_unanswered(self, now: Millis) -> bool:
        """Tell whether all were asked and none of them has answered."""
        return self.is_over(now) and not self.answers

    def has_drawn(self, draws: int) -> bool:
        """Tell whether a draw that counted this request in has ended.

        One that was under way as it began to wait may not have.
        """
        return draws >= self.draws + _WRITES

    def is_recorded(self, records: int) -> bool:
        """Tell whether a record that counted this request in has ended."""
        return records >= self.records + _WRITES

    def is_certain(self) -> bool:
        """Tell whether every keeper said that the total can't cover the request."""
        sure = [answer.certain for answer in self.answers]
        return len(sure) >= len(self.keepers) > 0 and all(sure)

    def find_wait(self) -> Millis | None:
        """Return when a keeper may first have the tokens; None if none said so."""
        return min((answer.wait for answer in self.answers), default=None)
