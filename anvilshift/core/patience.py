"""How long a target is waited for, who goes first there, and when to return.

Load pattern: engines hang, fall silent in the midst of a stream, or lose an answer
that they made, while callers have seconds left.  Without bounds the caller waits to
its deadline for an answer that never comes, although another target could serve it.
Silence alone ends no answer: the bounds hold only where the request may go on
elsewhere.
"""

import random

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.routing import RequestKind, Rule

_TRY_PART = 0.4
"""Part of the time left that one try of an idempotent request may take: a target
that hangs must leave time for another."""
_LEAST_TRY: Millis = 300.0
"""About twice the slowest answer in a hundred of the users' plain services."""
_FIRST_FACTOR = 2.0
_FIRST_SLACK: Millis = 600.0
"""A first token that takes over twice the predicted time and this is not coming:
of those that came, 99 in 100 took at most 480 ms longer than predicted."""
_SILENCE_FACTOR = 4.0
"""Pauses of a stream, in its pause objective, after which its engine has gone
silent: 99 in 100 pauses are under two, and callers leave after eight."""
_SILENCE: Millis = 1_200.0
"""The same where a route has no pause objective."""
SHORT_RANK, LONG_RANK, LATE_RANK = 1, 3, 7
"""Ranks at an engine; 0 is first and 9 is last."""
_LONG_READING: Millis = 60.0
"""A prompt that takes longer to be read is admitted after shorter ones: four short
ones in front of it delay it less than it would delay each of them."""
_LEAST_RETURN: Millis = 150.0
_RETURN_PART = 0.3
"""Callers obey up to a third of the time that they have left."""
_SPREAD = 0.2
"""Callers that were refused together return apart by this part either way."""


def bound_try(rule: Rule, wait: Millis, left: Millis) -> Millis:
    """Return how long a target may take to begin its answer.

    Parameters
    ----------
    wait
        Predicted time to the first byte.
    left
        Time until the request's end.

    Examples
    --------
    >>> streaming = Rule("a", "h", "/", RequestKind.STREAMING, (), 15e3, 400.0)
    >>> bound_try(streaming, wait=100.0, left=15_000.0)
    800.0
    """
    if rule.kind is RequestKind.STREAMING:
        return wait * _FIRST_FACTOR + _FIRST_SLACK
    return max(_LEAST_TRY, left * _TRY_PART)


def bound_silence(rule: Rule) -> Millis:
    """Return the pause after which a stream's engine counts as silent."""
    pause = rule.pause_objective
    return pause * _SILENCE_FACTOR if pause else _SILENCE


def rank(rule: Rule, elapsed: Millis, wait: Millis) -> int:
    """Return how urgent a request is at its engine.

    What can still be on time goes before what can't, and short prompts before
    long ones.  What is late anyway is served behind, not dropped.

    Parameters
    ----------
    elapsed
        Time since the request came.
    wait
        Predicted time to the first byte.
    """
    if elapsed + wait > rule.objective:
        return LATE_RANK
    return LONG_RANK if wait > _LONG_READING else SHORT_RANK


def find_return(wait: Millis, left: Millis, rng: random.Random) -> Millis:
    """Return when a refused caller should come back.

    Parameters
    ----------
    wait
        Time until there is room, as far as is known.
    left
        Time until the request's end.
    """
    spread = rng.uniform(1.0 - _SPREAD, 1.0 + _SPREAD)
    return max(_LEAST_RETURN, min(wait, left * _RETURN_PART) * spread)


_EVENTS_ON_THE_WAY = 2
"""Events that an engine makes at the most while its caller's close reaches it: they
are at least 20 ms apart, and a close takes 5."""
NO_ENGINE_RETURN: Millis = 0.7 * SECOND
"""A restart or a hand-over of an engine takes about as long."""


def count_left(prompt: int, events: int, tokens_an_event: int, most: int) -> int:
    """Return the tokens of a stream whose caller left.

    Parameters
    ----------
    most
        What was set aside for the request.

    Examples
    --------
    >>> count_left(prompt=100, events=4, tokens_an_event=5, most=400)
    130
    """
    return min(most, prompt + (events + _EVENTS_ON_THE_WAY) * tokens_an_event)
