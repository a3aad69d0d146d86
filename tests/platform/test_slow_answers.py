"""Plain answers that arrive in parts, over more time than their beginning is given."""

from tests.platform.gatewaycase import GatewayCase
from tests.platform.rawtarget import End, Frame, RawAnswer, RawTarget

PARTS = [b"part %d;" % number for number in range(9)]
PACE_S = 0.15
DEADLINE_MS = 2_000
"""Of this, 0.4 are given to the beginning of an answer: less than all parts take."""


class SlowAnswerTest(GatewayCase):
    async def add_raw(self, name: str, answer: RawAnswer) -> None:
        target = RawTarget(name, answer)
        self.targets[name] = target
        self.register(name, "desk", await target.start())

    def count_requests(self) -> int:
        return sum(len(target.requests) for target in self.targets.values())

    async def test_answer_that_arrives_steadily_is_not_left(self):
        """Guards against a second run of a request whose answer is on its way."""
        parts = RawAnswer(PARTS, Frame.LENGTH, End.KEEP, "text/plain", pace=PACE_S)
        for name in ("d1", "d2"):
            await self.add_raw(name, parts)
        await self.start_node()
        status, _, body = await self.call("/read/1", deadline=DEADLINE_MS)
        self.assertEqual((status, body), (200, b"".join(PARTS)))
        self.assertEqual(self.count_requests(), 1)

    async def test_answer_that_stops_midway_is_left(self):
        """Guards against a wait for a target that hangs inside a plain answer."""
        half = ["Content-Length: 9"]
        stopped = RawAnswer([b"half"], Frame.NONE, End.WAIT, "text/plain", headers=half)
        await self.add_raw("d1", stopped)
        await self.add_raw("d2", stopped)
        await self.start_node()
        for target in list(self.targets.values())[1:]:
            target.answer = RawAnswer([b"whole"], Frame.LENGTH, End.KEEP, "text/plain")
        answers = [await self.call(f"/read/{n}", deadline=6_000) for n in range(4)]
        self.assertEqual({one[0] for one in answers}, {200})
        self.assertEqual({one[2] for one in answers}, {b"whole"})
        self.assertGreater(self.count_requests(), len(answers))
