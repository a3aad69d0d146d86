"""Call the fleet from the command line, as a caller's program would."""

import sys
import uuid

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.clock import Millis

EXIT_NOT_RUN = 5
EXIT_RAN = 6
EXIT_UNKNOWN = 7
_EXITS = {"not run": EXIT_NOT_RUN, "ran": EXIT_RAN}


def make_conversation(
    model: str, prompt: str, tokens: int, deadline: Millis, key: str, once: bool
) -> Conversation:
    """Return what a command line asks for; without a key it gets a fresh one."""
    question = {"role": "user", "content": prompt}
    key = key or uuid.uuid4().hex
    return Conversation(model, [question], tokens, deadline, key, once)


async def print_answer(client: Client, asked: Conversation) -> int:
    """Print a model's answer as it comes; return the exit code.

    The exit code tells *not run*, *ran* and *unknown* apart, so that a script
    knows whether it may send an order again.
    """
    try:
        async for text in client.stream(asked):
            print(text, end="", flush=True)
        print()
        return 0
    except CallError as error:
        print(error, file=sys.stderr)
        if error.retry_after is not None:
            print(f"come back in {error.retry_after:.0f} ms", file=sys.stderr)
        return _EXITS.get(error.fate, EXIT_UNKNOWN)
    finally:
        client.close()
