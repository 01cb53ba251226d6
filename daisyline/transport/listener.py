"""TCP listeners on the loop."""

import errno
import socket
from collections.abc import Callable

from daisyline.transport.loop import Loop
from daisyline.transport.poller import READABLE
from daisyline.transport.socket_options import ACCEPTED_TIMEOUTS, set_options
from daisyline.transport.sockets import Connection

_BACKLOG = 1024
_ACCEPTS_PER_ITERATION = 64
# Without a free descriptor a listener stays readable, so it is not watched for
# this time.
_NO_DESCRIPTOR_CODES = frozenset((errno.EMFILE, errno.ENFILE))
_ACCEPT_PAUSE_S = 0.1


class Listener:
    """Accepts TCP connections."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_accept: Callable[[Connection], None],
    ) -> None:
        """Watch a listening socket."""
        self._loop = loop
        self._sock = sock
        self._on_accept = on_accept
        self.is_open = True
        loop.poller.watch(sock.fileno(), self, READABLE)

    @classmethod
    def open(
        cls,
        loop: Loop,
        host: str,
        port: int,
        on_accept: Callable[[Connection], None],
        receive_buffer_bytes: int = 0,
    ) -> 'Listener':
        """Listen on an address; with port 0 the kernel chooses the port.

        Args:
            loop: The loop.
            host: The IP address.
            port: The TCP port.
            on_accept: Called with each connection.
            receive_buffer_bytes: How many bytes the kernel holds of each
                connection until they are read; 0 for its default.

        Raises:
            OSError: If the address can't be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer_bytes:
            # The kernel doubles this number for its own records.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes // 2
            )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(_BACKLOG)
        return cls(loop, sock, on_accept)

    @property
    def port(self) -> int:
        """Return the TCP port that it listens on."""
        return int(self._sock.getsockname()[1])

    def close(self) -> None:
        """Stop accepting; accepted connections stay open."""
        if self.is_open:
            self.is_open = False
            self._loop.poller.unwatch(self._sock.fileno())
            self._sock.close()

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Accept a bounded number of waiting connections."""
        for _ in range(_ACCEPTS_PER_ITERATION):
            if not self.is_open:
                return
            try:
                sock, address = self._sock.accept()
            except OSError as error:
                if error.errno in _NO_DESCRIPTOR_CODES:
                    self._pause()
                return
            set_options(sock, ACCEPTED_TIMEOUTS)
            connection = Connection(self._loop, sock, is_connecting=False)
            connection.peer_host = address[0]
            self._on_accept(connection)

    def _pause(self) -> None:
        """Accept nothing for a short time."""
        self._loop.poller.change(self._sock.fileno(), 0)
        self._loop.call_later(_ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.is_open:
            self._loop.poller.change(self._sock.fileno(), READABLE)
