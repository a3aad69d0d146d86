"""How callers are told of errors."""

import asyncio
import unittest

from anvilshift.core.errors import OVERLOADED, AnvilshiftError, ShortRoomError
from anvilshift.gateway.answering import send_error
from anvilshift.wire.messages import Reply
from tests.gateway.silent import SilentJournal


class _Responder:
    """Keeps the answer that is sent to a caller."""

    started = False

    async def send(self, reply: Reply) -> None:
        self.reply = reply


class RefusalTest(unittest.TestCase):
    def refuse(self, error: AnvilshiftError) -> dict[str, str]:
        responder = _Responder()
        asyncio.run(send_error(responder, error, SilentJournal()))
        return dict(responder.reply.headers)

    def test_caller_refused_for_want_of_room_can_choose_another_router(self):
        """Guards against refused callers that come back to the router that is full."""
        headers = self.refuse(ShortRoomError(OVERLOADED, "no room", 400.0))
        self.assertEqual(headers["connection"], "close")
        self.assertEqual(headers["retry-after"], "0.400")

    def test_connection_is_kept_after_another_refusal(self):
        """Guards against a new connection for each refusal that names its reason."""
        headers = self.refuse(AnvilshiftError(OVERLOADED, "a long wait", 400.0))
        self.assertNotIn("connection", headers)
