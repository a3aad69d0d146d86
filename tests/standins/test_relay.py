"""Test that the relay forwards bytes and applies each of its faults."""

import asyncio
import contextlib
import unittest

from anvilshift.standins.relay import Relay
from anvilshift.wire.messages import Address

ANY_PORT = Address("127.0.0.1", 0)
_ARRIVAL_TIMEOUT_S = 5.0


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = b""
        self.arrived = asyncio.Event()
        self.echo = await asyncio.start_server(self.echo_back, "127.0.0.1", 0)
        port = self.echo.sockets[0].getsockname()[1]
        self.relay = Relay(Address("127.0.0.1", port))
        self.address = await self.relay.start(ANY_PORT)

    async def asyncTearDown(self):
        await self.relay.close()
        self.echo.close()

    async def echo_back(self, reader, writer):
        with contextlib.suppress(ConnectionResetError):
            while data := await reader.read(100):
                self.received += data
                self.arrived.set()
                writer.write(data)
        writer.close()

    async def test_open_connections_may_fall_silent_while_new_ones_work(self):
        ip, port = self.address.ip, self.address.port
        silent_reader, silent = await asyncio.open_connection(ip, port)
        silent.write(b"a")
        self.assertEqual(await silent_reader.read(1), b"a")
        self.relay.silence()
        silent.write(b"b")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(silent_reader.read(1), 0.1)
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"c")
        self.assertEqual(await reader.read(1), b"c")
        self.assertEqual(self.received, b"ac")
        for one in (silent, writer):
            one.close()

    async def connect(self):
        return await asyncio.open_connection(self.address.ip, self.address.port)

    async def receives_nothing(self, reader) -> bool:
        try:
            await asyncio.wait_for(reader.read(1), 0.1)
        except TimeoutError:
            return True
        return False

    async def test_bytes_are_forwarded_in_both_directions(self):
        reader, writer = await self.connect()
        writer.write(b"hello")
        self.assertEqual(await reader.readexactly(5), b"hello")
        writer.close()

    async def test_cut_drops_only_one_direction(self):
        reader, writer = await self.connect()
        self.relay.faults.cut_back = True
        writer.write(b"there")
        async with asyncio.timeout(_ARRIVAL_TIMEOUT_S):
            await self.arrived.wait()
        self.assertTrue(await self.receives_nothing(reader))
        self.assertEqual(self.received, b"there")
        self.relay.faults.cut_back, self.relay.faults.cut_there = False, True
        writer.write(b"lost")
        self.assertTrue(await self.receives_nothing(reader))
        self.assertEqual(self.received, b"there")
        writer.close()

    async def test_reset_raises_connection_reset(self):
        reader, writer = await self.connect()
        writer.write(b"x")
        await reader.readexactly(1)
        self.relay.reset()
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        writer.close()

    async def test_half_open_accepts_and_never_answers(self):
        self.relay.faults.half_open = True
        reader, writer = await self.connect()
        writer.write(b"x")
        self.assertTrue(await self.receives_nothing(reader))
        self.assertEqual(self.received, b"")
        writer.close()

    async def test_drip_forwards_a_few_bytes_at_a_time(self):
        self.relay.faults.drip = 2
        reader, writer = await self.connect()
        writer.write(b"abcdef")
        self.assertEqual(await reader.read(100), b"ab")
        self.assertEqual(await reader.readexactly(4), b"cdef")
        writer.close()
