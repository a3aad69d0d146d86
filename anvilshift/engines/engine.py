"""Interfaces between the router and its targets, independent of their protocol."""

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
        The attempt's id at the engine.  It is a digest that no request of
        another organisation can have, so resuming and cancelling affect only
        the organisation's own requests.
    body
        The caller's JSON, already validated.
    received
        Text of the answer that the caller already has; the engine continues
        after it.
    """

    attempt: str
    body: dict[str, Any]
    priority: int = 0
    received: str = ""


@dataclass(frozen=True)
class Piece:
    """A part of a streamed answer.

    Parameters
    ----------
    text
        Generated text.
    tokens
        Number of tokens of the text.
    finish
        Reason for which the answer ended; None except on the last part.
    usage
        Prompt and answer tokens, on the last part, if the engine counts them.
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
        """Return the sum of prompt and answer tokens."""
        return self.prompt + self.answer


@dataclass(frozen=True)
class Order:
    """A command that gives an engine the state that it must reach.

    Parameters
    ----------
    fencing
        Fencing number, which increases with each owner of the orders.  An
        engine that checks it refuses the orders of earlier owners.
    desired
        The desired state.
    """

    fencing: int
    desired: dict[str, Any] = field(default_factory=dict)


class ModelEngine(Protocol):
    """Adapter of a model engine."""

    def generate(
        self, call: ModelCall, timeout: Millis
    ) -> AbstractAsyncContextManager[AsyncGenerator[list[Piece]]]:
        """Start an answer; parts that arrived together form one list."""

    async def cancel(self, attempt: str) -> None:
        """Cancel an attempt at the engine."""

    async def load(self) -> LoadReport:
        """Return the engine's load report, which lags behind its actual load."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number; some may be missing."""

    async def give(self, order: Order) -> bool:
        """Send an order; return False if its fencing number is outdated."""

    async def state(self) -> dict[str, Any]:
        """Return the engine's own report of what it has loaded."""


class PlainService(Protocol):
    """Adapter of a plain service."""

    async def call(
        self, method: str, path: str, headers: Fields, body: bytes, timeout: Millis
    ) -> HttpAnswer:
        """Forward a call and return the complete answer."""


class Connector(Protocol):
    """Factory of the adapters of declared targets."""

    def engine(self, engine: Engine) -> ModelEngine:
        """Return the adapter of a model engine."""

    def service(self, engine: Engine) -> PlainService:
        """Return the adapter of a plain service."""
