"""TCP listeners and connections on the loop."""

import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Protocol

from daisyline.transport.loop import Loop
from daisyline.transport.poller import READABLE, WRITABLE

_BACKLOG = 1024
_READ_BYTES = 65_536
_ACCEPTS_PER_TURN = 64
# Nobody waits on the connection of a quiet caller, so probes of it are rare.
_KEEPALIVE_IDLE_ACCEPTED_S = 15
_KEEPALIVE_IDLE_DIALLED_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_UNACKNOWLEDGED_MS = 5_000
_UNDER_WAY = frozenset((0, errno.EINPROGRESS))
_NOT_YET = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR))


class ConnectionHandler(Protocol):
    """What a connection tells the part that uses it."""

    def handle_connected(self) -> None:
        """Note that a dialled connection is made."""

    def handle_bytes(self, octets: bytes) -> None:
        """Take bytes that arrived, in order."""

    def handle_eof(self) -> None:
        """Note that the other end sends no more; it may still read."""

    def handle_drained(self) -> None:
        """Note that everything written was handed to the kernel."""

    def handle_closed(self) -> None:
        """Note that the connection is gone; called once."""


class Connection:
    """One TCP connection; writes at once and buffers what does not fit."""

    def __init__(
        self, loop: Loop, sock: socket.socket, is_connecting: bool
    ) -> None:
        """Start to watch a socket that is connected or connecting."""
        self._loop = loop
        self._sock = sock
        self._is_connecting = is_connecting
        self._pending = bytearray()
        self._closing = False
        self._reading = True
        self._ending = False
        self._mask = WRITABLE if is_connecting else READABLE
        self.handler: ConnectionHandler | None = None
        self.is_open = True
        loop.poller.watch(sock.fileno(), self, self._mask)

    @classmethod
    def dial(cls, loop: Loop, host: str, port: int) -> 'Connection':
        """Begin to connect.

        The handler's `handle_connected` or `handle_closed` is called later.
        """
        sock = _make_socket()
        code = sock.connect_ex((host, port))
        connection = cls(loop, sock, is_connecting=True)
        if code not in _UNDER_WAY:
            # The socket would report itself as writable and without an error.
            loop.defer(connection.abort)
        return connection

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes wait to be sent."""
        return len(self._pending)

    @property
    def is_connecting(self) -> bool:
        """Return whether the connection is still being made."""
        return self._is_connecting

    def write(self, octets: bytes) -> None:
        """Send bytes now as far as the kernel takes them, the rest later."""
        if not self.is_open or self._closing:
            return
        if self._is_connecting or self._pending:
            self._pending += octets
            return
        sent = self._send(octets)
        if self.is_open and sent < len(octets):
            self._pending += memoryview(octets)[sent:]
            self._update_mask()

    def end(self) -> None:
        """Send what is buffered, then say that no more will follow."""
        self._ending = True
        if self.is_open and not self._pending and not self._is_connecting:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Send what is buffered, then close."""
        if self._pending and not self._is_connecting:
            self._closing = True
        else:
            self.abort()

    def reset(self) -> None:
        """Close so that the other end sees an error, not an end."""
        if self.is_open:
            linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.abort()

    def abort(self) -> None:
        """Close at once; what is buffered is lost."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.poller.unwatch(self._sock.fileno())
        self._sock.close()
        self._pending.clear()
        if self.handler is not None:
            self.handler.handle_closed()

    def pause(self) -> None:
        """Stop reading, so that the other end is slowed down."""
        self._reading = False
        self._update_mask()

    def resume(self) -> None:
        """Read again."""
        self._reading = True
        self._update_mask()

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Use the socket; called by the poller."""
        if self._is_connecting:
            self._finish_connecting()
            return
        if writable and self._pending:
            self._flush()
        if not readable or not self.is_open:
            return
        if self._reading:
            self._receive()
        else:
            # Not asked for, so it is broken; epoll would say so for ever.
            self.abort()

    def _finish_connecting(self) -> None:
        failed = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self.abort()
            return
        self._is_connecting = False
        if self.handler is not None:
            self.handler.handle_connected()
        if self.is_open:
            self._flush()
            self._update_mask()

    def _receive(self) -> None:
        try:
            octets = self._sock.recv(_READ_BYTES)
        except OSError as error:
            if error.errno not in _NOT_YET:
                self.abort()
            return
        if self.handler is None:
            return
        if octets:
            self.handler.handle_bytes(octets)
            return
        self._reading = False
        self._update_mask()
        self.handler.handle_eof()

    def _flush(self) -> None:
        """Send what is buffered, then do what waited for it."""
        while self.is_open and self._pending:
            sent = self._send(memoryview(self._pending)[:_READ_BYTES].tobytes())
            if not sent:
                return
            self._pending = self._pending[sent:]
        if not self.is_open:
            return
        if self._closing:
            self.abort()
            return
        if self._ending:
            self.end()
        self._update_mask()
        if self.handler is not None:
            self.handler.handle_drained()

    def _send(self, octets: bytes) -> int:
        try:
            return self._sock.send(octets)
        except OSError as error:
            if error.errno not in _NOT_YET:
                self._loop.defer(self.abort)
            return 0

    def _update_mask(self) -> None:
        if not self.is_open or self._is_connecting:
            return
        mask = READABLE * self._reading + WRITABLE * bool(self._pending)
        if mask != self._mask:
            self._mask = mask
            self._loop.poller.change(self._sock.fileno(), mask)


class Listener:
    """Accepts TCP connections."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_accept: Callable[[Connection], None],
    ) -> None:
        """Start to watch a listening socket."""
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
    ) -> 'Listener':
        """Listen on an address; port 0 lets the kernel choose.

        Raises:
            OSError: If the address can't be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(_BACKLOG)
        return cls(loop, sock, on_accept)

    @property
    def port(self) -> int:
        """Return the port it listens on."""
        return int(self._sock.getsockname()[1])

    def close(self) -> None:
        """Stop accepting; connections already accepted go on."""
        if self.is_open:
            self.is_open = False
            self._loop.poller.unwatch(self._sock.fileno())
            self._sock.close()

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Accept what waits, a bounded number a turn."""
        for _ in range(_ACCEPTS_PER_TURN):
            if not self.is_open:
                return
            try:
                sock, _address = self._sock.accept()
            except OSError:
                return
            _prepare(sock, _KEEPALIVE_IDLE_ACCEPTED_S)
            self._on_accept(Connection(self._loop, sock, is_connecting=False))


def _make_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _prepare(sock, _KEEPALIVE_IDLE_DIALLED_S)
    return sock


def _prepare(sock: socket.socket, idle_s: int) -> None:
    """Set what makes a connection prompt, and a silent one be found.

    Keep-alive probes find a connection that something between the two ends
    has lost track of, at no cost to the target's process.
    """
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
