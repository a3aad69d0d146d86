"""The receive buffer that all connections of a thread share.

An asyncio stream allocates a new 256 KB buffer for each read, which for a token of
100 bytes costs more than the read itself.  Each connection copies its data out before
its event loop reads the next socket.
"""

import threading

_SIZE_BYTES = 64 * 1024


class _ReceiveBuffer(threading.local):
    """A buffer for each thread.

    Two threads that shared one would read each other's answers: the system writes into
    it while another thread's event loop still has to copy its data out.
    """

    def __init__(self) -> None:
        self.view = memoryview(bytearray(_SIZE_BYTES))


RECEIVE_BUFFER = _ReceiveBuffer()
"""The buffer of the current thread is its `view`."""
