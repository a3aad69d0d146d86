"""Call the fleet from the command line, as a caller's program would."""

import asyncio
import sys
import uuid

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.clock import SECOND, Millis

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


class Calls:
    """The verb that calls the fleet."""

    def call(
        self,
        model: str,
        prompt: str,
        seeds: str,
        token: str,
        tokens: int = 256,
        deadline: float = 30 * SECOND,
        key: str = "",
        non_idempotent: bool = False,
    ) -> None:
        """Ask a model through the fleet and print its answer as it comes.

        Exit code 5 says that the work was not run, 6 that it ran, 7 that it
        isn't known; 5 may be sent again, an order with 6 or 7 only under its
        own `--key`.

        Example: anvilshift call advice "How warm must the tank be?" \
--seeds 127.0.0.1:8011,127.0.0.1:8021 --token "$TOKEN"
        """
        # Fire reads a list of addresses as a tuple.
        found = seeds.split(",") if isinstance(seeds, str) else list(seeds)
        client = Client.from_config({"seeds": found, "token": str(token)})
        asked = make_conversation(
            str(model), str(prompt), tokens, deadline, str(key), non_idempotent
        )
        sys.exit(asyncio.run(print_answer(client, asked)))
