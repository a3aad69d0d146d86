"""Ports to listen on, for fleets on the loopback interface."""

import random
import socket

_PORTS = range(12_000, 32_000)
"""Below the ephemeral ports of outgoing connections: the system may assign one of
those between the check here and the start of the process that will listen."""
_SLICE_PORTS = 100
_CLAIM_IP = "127.255.255.254"
"""A loopback address that nothing listens on."""
_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
_RNG = random.SystemRandom()


class PortSlices:
    """Ports that no other process of this machine draws.

    A process claims a slice of the ports by binding a socket to the slice's first
    port, which it never gives out.  The system ends the claim with the process.
    """

    def __init__(self) -> None:
        self._ports: list[int] = []

    def draw(self) -> int:
        """Return a port, and never the same one twice.

        Raises
        ------
        RuntimeError
            If other processes have claimed all slices.
        """
        while not self._ports:
            self._ports = self._claim_slice()
        return self._ports.pop()

    def _claim_slice(self) -> list[int]:
        firsts = list(_PORTS[::_SLICE_PORTS])
        _RNG.shuffle(firsts)
        for first in firsts:
            claim = socket.socket()
            try:
                claim.bind((_CLAIM_IP, first))
            except OSError:
                claim.close()
                continue
            claim.detach()  # It stays open as long as the process.
            ports = list(range(first + 1, first + _SLICE_PORTS))
            _RNG.shuffle(ports)
            return ports
        raise RuntimeError("every slice of ports is claimed by a process")

    def draw_adjacent(self, count: int) -> range:
        """Return ports that follow each other, and never one of them twice.

        Raises
        ------
        RuntimeError
            If other processes have claimed all slices.
        """
        while True:
            for first in self._ports:
                found = range(first, first + count)
                if set(found) <= set(self._ports):
                    self._ports = [one for one in self._ports if one not in found]
                    return found
            self._ports = self._claim_slice()


_SLICES = PortSlices()


def take_free_port() -> int:
    """Return a port without a listener, and never the same one twice.

    It is free for streams and for datagrams, on every loopback address.  A returned
    port stays unbound for about half a second until its process listens on it.  If
    the same port were drawn again in that time, here or by another process, two
    processes would get it and the second would exit: address already in use.
    """
    while True:
        port = _SLICES.draw()
        if all(_is_free(port, kind) for kind in _KINDS):
            return port


def take_adjacent_ports(count: int) -> range:
    """Return ports that follow each other, each as from `take_free_port`."""
    while True:
        ports = _SLICES.draw_adjacent(count)
        if all(_is_free(port, kind) for port in ports for kind in _KINDS):
            return ports


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True
