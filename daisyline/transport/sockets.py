"""TCP connections on the loop."""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import Protocol

from daisyline.transport.loop import Loop
from daisyline.transport.poller import READABLE, WRITABLE
from daisyline.transport.send_buffer import SendBuffer
from daisyline.transport.socket_options import DIALLED_TIMEOUTS, set_options

_READ_BYTES = 65_536
_DISCARDED_READS = 4
# Bounds what one connection sends before others get their turn: 1 MiB.
WRITES_PER_ITERATION = 16
WRITE_BYTES = 65_536
_CONNECT_STARTED_CODES = frozenset((0, errno.EINPROGRESS))
_INT = struct.Struct('i')
# More than any kernel buffers for a connection.
_UNKNOWN_BYTES = 2_147_483_648
_RETRY_CODES = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR))


class ConnectionHandler(Protocol):
    """Receives the events of a connection."""

    def handle_connected(self) -> None:
        """Handle the completion of an outgoing connection."""

    def handle_bytes(self, octets: bytes) -> None:
        """Handle received bytes; they arrive in order."""

    def handle_eof(self) -> None:
        """Handle the end of the peer's data; the peer may still read."""

    def handle_drained(self) -> None:
        """Handle the transfer of all buffered bytes to the kernel."""

    def handle_closed(self) -> None:
        """Handle the close of the connection; called once."""


class Connection:
    """One TCP connection; buffers what the kernel does not accept at once.

    Attributes:
        handler: Receives the events of the connection.
        is_open: Whether it is open.
        peer_host: The IP address of the client of an accepted connection.
        on_progress: Called when some of the buffered bytes were sent.
    """

    def __init__(
        self, loop: Loop, sock: socket.socket, is_connecting: bool
    ) -> None:
        """Watch a socket that is connected or connecting."""
        self._loop = loop
        self._sock = sock
        self._is_connecting = is_connecting
        self._send_buffer = SendBuffer()
        self._close_pending = False
        self._is_reading = True
        self._is_broken = False
        self._shutdown_pending = False
        self._mask = WRITABLE if is_connecting else READABLE
        self.handler: ConnectionHandler | None = None
        self.is_open = True
        self.peer_host = ''
        self.on_progress: Callable[[], None] = bool
        loop.poller.watch(sock.fileno(), self, self._mask)

    @classmethod
    def dial(cls, loop: Loop, host: str, port: int) -> 'Connection':
        """Begin to connect.

        The handler's `handle_connected` or `handle_closed` is called later.
        """
        sock = _make_socket()
        code = sock.connect_ex((host, port))
        connection = cls(loop, sock, is_connecting=True)
        if code not in _CONNECT_STARTED_CODES:
            # The poller would report this socket as writable and without an
            # error, as if it were connected.
            loop.defer(connection.abort)
        return connection

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return len(self._send_buffer)

    @property
    def undelivered_bytes(self) -> int:
        """Return how many written bytes the peer has not acknowledged.

        It is a number that is too large if the kernel does not tell.
        """
        if not self.is_open:
            return 0
        try:
            field = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(_INT.size))
        except OSError:
            return len(self._send_buffer) + _UNKNOWN_BYTES
        return len(self._send_buffer) + int(_INT.unpack(field)[0])

    @property
    def is_connecting(self) -> bool:
        """Return whether the connection is not established yet."""
        return self._is_connecting

    def write(self, octets: bytes) -> None:
        """Send what the kernel accepts now and buffer the rest.

        After `close`, bytes are discarded.
        """
        if not self.is_open or self._close_pending:
            return
        if self._is_connecting or self._send_buffer:
            self._send_buffer.append(octets)
            return
        sent = self._send(octets)
        if self.is_open and sent < len(octets):
            self._send_buffer.append(memoryview(octets)[sent:])
            self._update_mask()

    def write_eof(self) -> None:
        """Send the buffered bytes, then shut down the write side."""
        self._shutdown_pending = True
        if self.is_open and not self._send_buffer and not self._is_connecting:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Send the buffered bytes, then close."""
        if self._send_buffer and not self._is_connecting:
            self._close_pending = True
        else:
            self.abort()

    def reset(self) -> None:
        """Close with a TCP reset, so that the peer sees an error."""
        if self.is_open:
            # A `struct linger` that is on, with a timeout of 0 seconds.
            linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.abort()

    def abort(self) -> None:
        """Close at once and discard the buffered bytes."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.poller.unwatch(self._sock.fileno())
        self._sock.close()
        self._send_buffer.clear()
        if self.handler is not None:
            self.handler.handle_closed()

    def discard_received(self) -> None:
        """Discard what the peer has sent, up to a bound.

        A socket that is closed with unread bytes resets its connection, and
        the peer then takes an orderly end for a failure.
        """
        with contextlib.suppress(OSError):
            for _ in range(_DISCARDED_READS):
                if not self._sock.recv(_READ_BYTES):
                    return

    def pause_reading(self) -> None:
        """Stop reading, so that TCP flow control slows the peer down."""
        self._is_reading = False
        self._update_mask()

    def resume_reading(self) -> None:
        """Read again after `pause_reading`."""
        self._is_reading = True
        self._update_mask()

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Read and write as the socket allows; called by the poller."""
        if self._is_connecting:
            self._finish_connecting()
            return
        if writable and self._send_buffer:
            self._flush()
        if not readable or not self.is_open:
            return
        if self._is_reading:
            self._receive()
        else:
            # The socket isn't watched for reading, so this is an error or a
            # hang-up, which epoll would report on every iteration.
            self.abort()

    def _finish_connecting(self) -> None:
        """Call the handler and send buffered bytes; abort on an error."""
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
        """Read once; pass the bytes, or the end of the data, to the handler."""
        try:
            octets = self._sock.recv(_READ_BYTES)
        except OSError as error:
            if error.errno not in _RETRY_CODES:
                self.abort()
            return
        if self.handler is None:
            return
        if octets:
            self.handler.handle_bytes(octets)
            return
        if self._is_broken:
            # The kernel reports an error once and an end of the data after it.
            # A write took the error, so this is no orderly end.
            self.abort()
            return
        self._is_reading = False
        self._update_mask()
        self.handler.handle_eof()

    def _flush(self) -> None:
        """Send the buffered bytes, then run a postponed close or shutdown.

        The bytes that are sent at a time are bounded; the poller calls again
        for the rest.
        """
        for _ in range(min(WRITES_PER_ITERATION, len(self._send_buffer))):
            sent = self._send(self._send_buffer.first(WRITE_BYTES))
            self._send_buffer.remove(sent)
            if not (sent and self._send_buffer):
                break
        if self._send_buffer or not self.is_open:
            self.on_progress()
            return
        if self._close_pending:
            self.abort()
            return
        if self._shutdown_pending:
            self.write_eof()
        self._update_mask()
        if self.handler is not None:
            self.handler.handle_drained()

    def _send(self, octets: bytes | memoryview) -> int:
        """Return the number of bytes that the kernel accepted.

        It is 0 if the kernel's buffer is full. It is 0 as well on an error,
        which aborts the connection at the end of the loop iteration.
        """
        try:
            return self._sock.send(octets)
        except OSError as error:
            if error.errno not in _RETRY_CODES:
                # EPIPE comes first only if the peer had ended its data before.
                is_after_end = error.errno == errno.EPIPE
                self._is_broken = self._is_broken or not is_after_end
                self._loop.defer(self.abort)
            return 0

    def _update_mask(self) -> None:
        if not self.is_open or self._is_connecting:
            return
        mask = READABLE * self._is_reading + WRITABLE * bool(self._send_buffer)
        if mask != self._mask:
            self._mask = mask
            self._loop.poller.change(self._sock.fileno(), mask)


def _make_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_options(sock, DIALLED_TIMEOUTS)
    return sock
