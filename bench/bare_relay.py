"""A minimal TCP relay: the least latency that an extra process adds."""

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
    """Forwards bytes between callers and one address with a bare epoll loop.

    It serves only to measure small messages on loopback: it connects and
    sends with blocking calls, and closes both sockets of a pair together.
    """

    _listener: socket.socket
    _destination: tuple[str, int]
    _epoll: select.epoll = attrs.field(factory=select.epoll, init=False)
    _pairs: dict[int, tuple[socket.socket, socket.socket]] = attrs.field(
        factory=dict, init=False
    )

    @classmethod
    def listen(cls, port: int, to_port: int) -> 'BareRelay':
        """Listen on a loopback port."""
        listener = socket.create_server((HOST, port), backlog=BACKLOG)
        relay = cls(listener, (HOST, to_port))
        relay.watch(listener)
        return relay

    def run(self) -> None:
        """Relay until the listener is closed."""
        while self._listener.fileno() >= 0:
            for fileno, _event_mask in self._epoll.poll():
                self.handle_readable(fileno)

    def handle_readable(self, fileno: int) -> None:
        """Accept a connection or forward the bytes received on a socket."""
        if fileno == self._listener.fileno():
            self._accept()
            return
        pair = self._pairs.get(fileno)
        if pair is not None:
            self._forward(*pair)

    def watch(self, sock: socket.socket) -> None:
        """Register a socket for read events."""
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def _accept(self) -> None:
        near, _address = self._listener.accept()
        far = socket.create_connection(self._destination)
        for sock, other in _both_directions(near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pairs[sock.fileno()] = (sock, other)
            self.watch(sock)

    def _forward(self, sock: socket.socket, other: socket.socket) -> None:
        octets = b''
        with contextlib.suppress(OSError):
            octets = sock.recv(READ_BYTES)
        with contextlib.suppress(OSError):
            other.sendall(octets)
        if not octets:
            self._close(sock, other)

    def _close(self, *pair: socket.socket) -> None:
        for sock in pair:
            self._pairs.pop(sock.fileno())
            sock.close()


def _both_directions(
    near: socket.socket, far: socket.socket
) -> Iterator[tuple[socket.socket, socket.socket]]:
    yield near, far
    yield far, near


def main(*, port: int, to_port: int) -> None:
    """Relay from one loopback port to another.

    Args:
        port: The TCP port listened on.
        to_port: The TCP port to which connections are relayed.
    """
    BareRelay.listen(port, to_port).run()


if __name__ == '__main__':
    cyclopts.run(main)
