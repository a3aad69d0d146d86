"""What a caller asks of a model."""

import uuid
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.jsons import dump_json

DEFAULT_DEADLINE: Millis = 30 * SECOND


@dataclass(frozen=True)
class Conversation:
    """A model request of a caller.

    Parameters
    ----------
    deadline
        Milliseconds from the call until the answer must be complete.
    key
        Idempotency key of every attempt; a random one by default.
    non_idempotent
        Whether the work must run at most once; sent to the router in a header.
    """

    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 256
    deadline: Millis = DEFAULT_DEADLINE
    key: str = field(default_factory=lambda: uuid.uuid4().hex)
    non_idempotent: bool = False

    def make_body(self, received: str) -> bytes:
        """Return the request as JSON, with the part of the answer already received."""
        body: dict[str, Any] = {
            "model": self.model,
            "messages": self.messages,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        if received:
            body["anvilshift"] = {"received": received}
        return dump_json(body)
