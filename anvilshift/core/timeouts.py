"""Timeouts at targets, priorities of requests at engines, and retry delays.

Load pattern: engines hang, stop in the middle of a stream, or lose an answer that
they produced, while callers have seconds left.  Without timeouts a caller would wait
until its deadline for an answer that never comes, although another target could
serve it.  A timeout alone ends no answer: timeouts apply only where the request may
continue on another target.
"""

import random

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.routing import RequestKind, Rule

_ATTEMPT_FRACTION = 0.4
"""Fraction of the remaining time that one attempt of an idempotent request may take:
an attempt at a target that hangs must leave time for another."""
_MIN_ATTEMPT_TIMEOUT: Millis = 300.0
"""Shortest timeout of an attempt: about twice the 99th percentile of the answer times
of the users' plain services."""
_FIRST_TOKEN_FACTOR = 2.0
_FIRST_TOKEN_SLACK: Millis = 600.0
"""The timeout of the first token is twice the predicted time plus this: of the first
tokens that arrived, 99 in 100 took at most 480 ms longer than predicted."""
_PAUSE_FACTOR = 4.0
"""Timeout between the events of a stream, as a multiple of its pause objective: 99 in
100 pauses are under two times the objective, and callers disconnect after eight."""
_DEFAULT_PAUSE_TIMEOUT: Millis = 1_200.0
"""Timeout between the events of a stream whose route has no pause objective."""
SHORT_PRIORITY, LONG_PRIORITY, LATE_PRIORITY = 1, 3, 7
"""Priorities of requests at an engine; 0 is served first and 9 last."""
_LONG_PROMPT_WAIT: Millis = 60.0
"""A prompt whose first byte is expected later than this gets a lower priority than
shorter ones: four short prompts delay it less than it would delay each of them."""
_MIN_RETRY_DELAY: Millis = 150.0
_RETRY_FRACTION = 0.3
"""Largest retry delay as a fraction of the caller's remaining time: callers follow
a delay of up to a third of it."""
_JITTER = 0.2
"""Random variation of the retry delay, as a fraction in either direction, so that
callers that were refused together do not return together."""


def find_attempt_timeout(rule: Rule, wait: Millis, left: Millis) -> Millis:
    """Return the timeout for the start of a target's answer.

    Parameters
    ----------
    wait
        Predicted time to the first byte.
    left
        Time until the request's deadline.

    Examples
    --------
    >>> streaming = Rule("a", "h", "/", RequestKind.STREAMING, (), 15e3, 400.0)
    >>> find_attempt_timeout(streaming, wait=100.0, left=15_000.0)
    800.0
    """
    if rule.kind is RequestKind.STREAMING:
        return wait * _FIRST_TOKEN_FACTOR + _FIRST_TOKEN_SLACK
    return max(_MIN_ATTEMPT_TIMEOUT, left * _ATTEMPT_FRACTION)


def find_pause_timeout(rule: Rule) -> Millis:
    """Return the longest pause in a stream before its engine counts as hung."""
    pause = rule.pause_objective
    return pause * _PAUSE_FACTOR if pause else _DEFAULT_PAUSE_TIMEOUT


def rank(rule: Rule, elapsed: Millis, wait: Millis) -> int:
    """Return the priority of a request at its engine; lower is served earlier.

    Requests that can still meet the route's objective come before those that can't,
    and short prompts before long ones.  A late request is served last, not dropped.

    Parameters
    ----------
    elapsed
        Time since the request arrived.
    wait
        Predicted time to the first byte.
    """
    if elapsed + wait > rule.objective:
        return LATE_PRIORITY
    return LONG_PRIORITY if wait > _LONG_PROMPT_WAIT else SHORT_PRIORITY


def find_return(wait: Millis, left: Millis, rng: random.Random) -> Millis:
    """Return the retry delay for a refused caller, with random jitter.

    Parameters
    ----------
    wait
        Expected time until capacity is available.
    left
        Time until the request's deadline.
    """
    jitter = rng.uniform(1.0 - _JITTER, 1.0 + _JITTER)
    return max(_MIN_RETRY_DELAY, min(wait, left * _RETRY_FRACTION) * jitter)


def bound_return(place: Millis, left: Millis, rng: random.Random) -> Millis:
    """Return the retry delay for a refused caller that has a place of its own.

    Parameters
    ----------
    place
        Time after which there is room for it, and not for all others.
    left
        Time until the request's deadline.

    Examples
    --------
    >>> bound_return(place=400.0, left=2_000.0, rng=random.Random(1))
    400.0
    """
    if _MIN_RETRY_DELAY <= place <= left * _RETRY_FRACTION:
        return place
    return find_return(place, left, rng)


_MAX_EVENTS_IN_TRANSIT = 2
"""Upper bound of the events that an engine produces until it learns that the
connection was closed: events are at least 20 ms apart, and a close takes 5 ms."""
ANSWER_TRANSIT: Millis = 0.2 * SECOND
"""How long an answer may be on its way at the deadline: targets stop work then, and a
full link holds what they have sent for about as long."""
NO_ENGINE_RETRY: Millis = 0.7 * SECOND
"""Retry delay when no engine is available: a restart or a hand-over of an engine takes
about this long."""


def bound_abandoned_tokens(
    prompt: int, events: int, tokens_per_event: int, most: int
) -> int:
    """Return an upper bound of the tokens used by a stream whose caller disconnected.

    Parameters
    ----------
    prompt
        Tokens of the prompt.
    events
        Events that were received before the disconnect.
    most
        Tokens reserved for the request.

    Examples
    --------
    >>> bound_abandoned_tokens(prompt=100, events=4, tokens_per_event=5, most=400)
    130
    """
    return min(most, prompt + (events + _MAX_EVENTS_IN_TRANSIT) * tokens_per_event)
