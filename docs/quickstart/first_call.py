"""Ask the fleet one question through the caller's library."""

import asyncio

from anvilshift.client.client import Client, Conversation


async def ask() -> None:
    """Stream one answer."""
    config = {"seeds": ["127.0.0.1:8011", "127.0.0.1:8021"], "token": "shop-token"}
    client = Client.from_config(config)
    question = {"role": "user", "content": "How warm must the tank be?"}
    try:
        async for text in client.stream(
            Conversation("advice", [question], max_tokens=8, deadline=5_000.0)
        ):
            print(text, end="", flush=True)
        print()
    finally:
        client.close()


asyncio.run(ask())
