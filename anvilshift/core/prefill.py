"""How long an engine computes a prompt, and what that does to the streams beside it."""

from anvilshift.core.clock import Millis

PREFILL_TOKENS_PER_MS = 64.2
"""Prefill throughput of the users' engines, in prompt tokens a millisecond."""
_PAIRS_MS = 0.647e-6
"""Attention time for a pair of a prompt token and one before it: prefill time grows
with the square of the prompt's length."""
_DECODE_OVERHEAD = 1.13
"""Factor on the prefill time: prefill runs in chunks of 2,048 tokens, about 32 ms
each, and between two chunks the concurrent requests decode for 4.2 ms."""
_CHUNK = 2048
"""Prompt tokens that an engine computes in one step beside the running requests."""
_STEP: Millis = 4.3
"""Duration of a step without prefill."""
FETCH_SETUP: Millis = 3.0
"""Latency until cache entries from another engine begin to arrive."""


def prefill_time(new: int, cached: int) -> Millis:
    """Return the prefill time of a prompt at an idle engine.

    Parameters
    ----------
    new
        Tokens to compute.
    cached
        Tokens before them that the engine has in its KV cache.

    Examples
    --------
    >>> round(prefill_time(6_420, 0)), round(prefill_time(642, 5_778))
    (126, 14)
    """
    pairs = new * (cached + new / 2)
    return _DECODE_OVERHEAD * (new / PREFILL_TOKENS_PER_MS) + pairs * _PAIRS_MS


def longest_pause(new: int, cached: int, steps: int) -> Millis:
    """Return the longest pause of concurrent streams during a prefill.

    During a prefill each step computes one chunk of the prompt; the last chunks of
    a long prompt take longest, since they attend to all tokens before them.

    Parameters
    ----------
    new
        Tokens to compute.
    cached
        Tokens before them that the engine has in its KV cache.
    steps
        Engine steps between two events of a stream.

    Examples
    --------
    >>> round(longest_pause(12_000, 0, 5)), round(longest_pause(40_000, 0, 5))
    (227, 412)
    """
    last = min(new, steps * _CHUNK)
    before = cached + new - last
    prefill = last / PREFILL_TOKENS_PER_MS + last * (before + last / 2) * _PAIRS_MS
    return prefill + steps * _STEP
