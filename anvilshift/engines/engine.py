"""What the router needs of a target, whatever dialect it speaks."""

from collections.abc import AsyncGenerator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Any, Protocol

from anvilshift.core.clock import Millis
from anvilshift.core.declarations import Engine
from anvilshift.core.work import CacheEvent, LoadReport
from anvilshift.wire.messages import Fields, HttpAnswer


@dataclass(frozen=True)
class ModelCall:
    """One attempt at a model request.

    Parameters
    ----------
    attempt
        The attempt's id at the engine: a digest that no other organisation's
        request can have, so that resuming and cancelling reach only one's own.
    body
        The caller's JSON, already checked.
    received
        Text of the answer that the caller has already; the engine goes on
        from there.
    """

    attempt: str
    body: dict[str, Any]
    priority: int = 0
    received: str = ""


@dataclass(frozen=True)
class Piece:
    """A piece of an answer.

    Parameters
    ----------
    text
        What was generated.
    tokens
        How many tokens that is.
    finish
        Why the answer ended, on its last piece.
    usage
        Prompt and answer tokens, on the last piece of an engine that counts.
    """

    text: str
    tokens: int = 1
    finish: str | None = None
    usage: "Usage | None" = None


@dataclass(frozen=True)
class Usage:
    """Tokens that an engine counted for one answer."""

    prompt: int
    answer: int

    @property
    def total(self) -> int:
        """Return prompt and answer together."""
        return self.prompt + self.answer


@dataclass(frozen=True)
class Order:
    """A change that an engine shall make, stated as the desired end.

    Parameters
    ----------
    fencing
        Number that grows with each owner; an engine that checks it refuses
        an order of an earlier owner.
    """

    fencing: int
    desired: dict[str, Any] = field(default_factory=dict)


class ModelEngine(Protocol):
    """A model engine."""

    def generate(
        self, call: ModelCall, timeout: Millis
    ) -> AbstractAsyncContextManager[AsyncGenerator[list[Piece]]]:
        """Begin an answer; pieces that arrived together come together."""

    async def cancel(self, attempt: str) -> None:
        """Stop an attempt."""

    async def load(self) -> LoadReport:
        """Return the engine's late report of its load."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return cache events after a sequence number, perhaps with gaps."""

    async def give(self, order: Order) -> bool:
        """Give an order; False when its fencing number is too old."""

    async def state(self) -> dict[str, Any]:
        """Return what the engine says that it has loaded."""


class PlainService(Protocol):
    """A plain service."""

    async def call(
        self, method: str, path: str, headers: Fields, body: bytes, timeout: Millis
    ) -> HttpAnswer:
        """Pass a call through and return the whole answer."""


class Connector(Protocol):
    """Make the adapter of a declared target."""

    def engine(self, engine: Engine) -> ModelEngine:
        """Return the adapter of a model engine."""

    def service(self, engine: Engine) -> PlainService:
        """Return the adapter of a plain service."""
