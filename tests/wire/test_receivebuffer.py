import asyncio
import threading
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.receivebuffer import RECEIVE_BUFFER
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)
THREADS = 4
CALLS = 150
BODY_BYTES = 40_000


class ThreadsTest(unittest.IsolatedAsyncioTestCase):
    async def test_programs_with_a_loop_in_each_thread_get_their_own_answers(self):
        """Guards against a caller that gets the answer of another thread's caller."""
        server = HttpServer(echo)
        address = await server.start(LOOPBACK)
        calls = [
            asyncio.to_thread(asyncio.run, keep_calling(address, str(number)))
            for number in range(THREADS)
        ]
        wrong = await asyncio.gather(*calls)
        await server.close()
        self.assertEqual(wrong, [0] * THREADS)

    async def test_each_thread_has_one_buffer(self):
        views = []
        thread = threading.Thread(target=lambda: views.append(RECEIVE_BUFFER.view))
        thread.start()
        thread.join()
        self.assertIs(RECEIVE_BUFFER.view, RECEIVE_BUFFER.view)
        self.assertIsNot(RECEIVE_BUFFER.view, views[0])


async def echo(request: HttpRequest, responder: Responder) -> None:
    await responder.send(Reply(200, [], request.body))


async def keep_calling(address: Address, mark: str) -> int:
    """Return how many of a thread's calls got something else back."""
    client, wrong = HttpClient(), 0
    body = mark.encode() * BODY_BYTES
    for _ in range(CALLS):
        answer = await client.call(address, "POST", "/", body=body, timeout=5_000.0)
        wrong += answer.body != body
    client.close()
    return wrong
