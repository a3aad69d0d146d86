"""Send a request to the fleet from the command line, as a client program does."""

import asyncio
import sys
import uuid

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.clock import SECOND, Millis

EXIT_NOT_RUN = 5
EXIT_RAN = 6
EXIT_UNKNOWN = 7
_EXIT_CODES = {"not run": EXIT_NOT_RUN, "ran": EXIT_RAN}


def make_conversation(
    model: str,
    prompt: str,
    tokens: int,
    deadline: Millis,
    key: str,
    non_idempotent: bool,
) -> Conversation:
    """Build the request of a command line, with a random key if none is given.

    Parameters
    ----------
    tokens
        Upper limit on the tokens of the answer.
    key
        Idempotency key; a random one is generated if it is empty.
    non_idempotent
        Whether the request is not idempotent and so must run at most once.
    """
    message = {"role": "user", "content": prompt}
    key = key or uuid.uuid4().hex
    return Conversation(model, [message], tokens, deadline, key, non_idempotent)


async def print_answer(client: Client, conversation: Conversation) -> int:
    """Print a model's answer as it is streamed and return the exit code.

    The exit code distinguishes *not run*, *ran* and *unknown*, so that a script
    can decide whether it may resend a non-idempotent request.
    """
    try:
        async for text in client.stream(conversation):
            print(text, end="", flush=True)
        print()
        return 0
    except CallError as error:
        print(error, file=sys.stderr)
        if error.retry_after is not None:
            print(f"retry after {error.retry_after:.0f} ms", file=sys.stderr)
        return _EXIT_CODES.get(error.fate, EXIT_UNKNOWN)
    finally:
        client.close()


class CallCommand:
    """The command that sends a request to the fleet."""

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
        """Send a prompt to a model through the fleet and stream its answer.

        On failure, exit code 5 means that the request did not run, 6 that it
        ran, and 7 that its outcome is unknown. After 5 it is safe to send the
        request again; after 6 or 7 resend a non-idempotent request only with
        the same `--key`.

        Example: anvilshift call advice "How warm must the tank be?" \
--seeds 127.0.0.1:8011,127.0.0.1:8021 --token "$TOKEN"
        """
        # Fire parses a comma-separated list of addresses into a tuple.
        addresses = seeds.split(",") if isinstance(seeds, str) else list(seeds)
        client = Client.from_config({"seeds": addresses, "token": str(token)})
        conversation = make_conversation(
            str(model), str(prompt), tokens, deadline, str(key), non_idempotent
        )
        sys.exit(asyncio.run(print_answer(client, conversation)))
