"""A TCP relay that does nothing else: the floor of an extra process."""

import contextlib
import select
import socket
from collections.abc import Iterator

import attrs
import cyclopts

from standins.processes import HOST

READ_BYTES = 65_536
BACKLOG = 256


@attrs.define
class BareRelay:
    """Passes bytes between callers and one address, by epoll alone.

    It is made for measurements of small messages on loopback: it connects
    and sends without waiting for room, and ends both ends together.
    """

    _listener: socket.socket
    _to: tuple[str, int]
    _epoll: select.epoll = attrs.field(factory=select.epoll, init=False)
    _ends: dict[int, tuple[socket.socket, socket.socket]] = attrs.field(
        factory=dict, init=False
    )

    @classmethod
    def listen(cls, port: int, to_port: int) -> 'BareRelay':
        """Listen on a port of loopback."""
        listener = socket.create_server((HOST, port), backlog=BACKLOG)
        relay = cls(listener, (HOST, to_port))
        relay.watch(listener)
        return relay

    def run(self) -> None:
        """Relay until the listener is closed, as the process ends."""
        while self._listener.fileno() >= 0:
            for fileno, _mask in self._epoll.poll():
                self.ready(fileno)

    def ready(self, fileno: int) -> None:
        """Accept, or pass on what has come."""
        if fileno == self._listener.fileno():
            self._accept()
            return
        ends = self._ends.get(fileno)
        if ends is not None:
            self._pass_on(*ends)

    def watch(self, sock: socket.socket) -> None:
        """Wait for what a socket brings."""
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def _accept(self) -> None:
        near, _address = self._listener.accept()
        far = socket.create_connection(self._to)
        for sock, other in _both_ways(near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._ends[sock.fileno()] = (sock, other)
            self.watch(sock)

    def _pass_on(self, sock: socket.socket, other: socket.socket) -> None:
        octets = b''
        with contextlib.suppress(OSError):
            octets = sock.recv(READ_BYTES)
        with contextlib.suppress(OSError):
            other.sendall(octets)
        if not octets:
            self._close(sock, other)

    def _close(self, *ends: socket.socket) -> None:
        for sock in ends:
            self._ends.pop(sock.fileno())
            sock.close()


def _both_ways(
    near: socket.socket, far: socket.socket
) -> Iterator[tuple[socket.socket, socket.socket]]:
    yield near, far
    yield far, near


def main(*, port: int, to_port: int) -> None:
    """Relay from a port to another on loopback.

    Args:
        port: The TCP port listened on.
        to_port: The TCP port that everything goes to.
    """
    BareRelay.listen(port, to_port).run()


if __name__ == '__main__':
    cyclopts.run(main)
