"""Bound what this gateway holds in memory for slow callers and targets.

Without the host's memory in the settings nothing is counted or refused.
"""

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.admission.heldbytes import HeldBytes, Use
from anvilshift.core.clock import SECOND, Millis
from anvilshift.gateway.shared import RouterContext
from anvilshift.wire.client import HttpClient
from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.server import HttpServer

_LOGGED_INTERVAL: Millis = 1 * SECOND


class HeldMemory:
    """What this gateway holds in memory for slow callers and targets.

    Attributes
    ----------
    room
        Room for these bytes; None where the host's memory isn't known.
    refused, cut
        Bodies that were refused, and answers that were cut off, so far.
    """

    def __init__(self, limits: HostLimits, shared: RouterContext) -> None:
        self._clock, self._journal = shared.clock, shared.journal
        self.refused = self.cut = 0
        self._log_due: Millis = 0.0
        held = HeldBytes.from_limits(limits)
        self.room: HeldRoom | None = None
        if held is not None:
            self.room = HeldRoom(
                held, shared.clock, shared.rng, self.note_refusal, self.note_cut
            )

    def attach(self, server: HttpServer, client: HttpClient) -> None:
        """Let a server and a client take room."""
        server.room = client.room = self.room

    def note_refusal(self, size: int) -> None:
        """Record that a body was refused; the log has one line a second."""
        self.refused += 1
        now = self._clock.now()
        if now >= self._log_due:
            self._log_due = now + _LOGGED_INTERVAL
            self._log("bodies_refused", size)

    def note_cut(self, size: int) -> None:
        """Record that an unread answer was cut off."""
        self.cut += 1
        self._log("unread_answer_cut", size)

    def _log(self, event: str, size: int) -> None:
        assert self.room is not None
        held = self.room.held
        self._journal.write(
            event,
            bytes=size,
            **{use.value: held.get(use) for use in Use},
            budget=round(held.limit),
            refused=self.refused,
            cut=self.cut,
        )

    def list_gauges(self) -> dict[str, float]:
        """Return present values for monitoring, by metric."""
        if self.room is None:
            return {}
        held = self.room.held
        return {
            "anvilshift_held_bodies_bytes": held.get(Use.BODY),
            "anvilshift_held_ahead_bytes": held.get(Use.AHEAD),
            "anvilshift_held_unread_bytes": held.get(Use.UNREAD),
            "anvilshift_held_percent": held.total / held.limit * 100,
            "anvilshift_bodies_refused": self.refused,
            "anvilshift_unread_answers_cut": self.cut,
        }
