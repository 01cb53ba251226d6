"""A loop that a test turns by hand, and the far ends of its connections."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from tests.support import fixture

HOST = '127.0.0.1'
TURN_S = 0.01
WAIT_S = 6.0
READ_BYTES = 65_536


@attrs.define
class Far:
    """The far end of a connection, read while the loop turns."""

    turning: 'Turning'
    sock: socket.socket
    came: bytearray = attrs.field(factory=bytearray)
    ended: bool = False
    broken: bool = False

    def send(self, octets: bytes) -> None:
        """Send bytes; those that don't fit wait for the loop to turn."""
        left = memoryview(octets)
        while left:
            with contextlib.suppress(BlockingIOError):
                left = left[self.sock.send(left) :]
            self.turning.turn()

    def until(self, wanted: bytes) -> bytes:
        """Read until certain bytes have come."""
        self.turning.until(lambda: self._read() and wanted in self.came)
        return bytes(self.came)

    def until_end(self) -> bytes:
        """Read until the other end closes; `broken` says if by a reset."""
        self.turning.until(lambda: self._read() and self.ended)
        return bytes(self.came)

    def reset(self) -> None:
        """Close so that the other end sees an error."""
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()

    def _read(self) -> bool:
        try:
            chunk = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            self.broken = True
            self.ended = True
            return True
        self.came += chunk
        self.ended = not chunk
        return True


@attrs.define
class Turning:
    """The real loop, turned by the test that scripts its peers.

    Attributes:
        loop: The loop.
        seen: What the part under test reported.
    """

    loop: Loop
    stack: contextlib.ExitStack
    seen: list[Any] = attrs.field(factory=list)

    def turn(self) -> None:
        """Turn the loop once."""
        self.loop._running = True
        self.loop.tick(TURN_S)
        self.loop._running = False
        assert self.loop.exception_count == 0, 'no exception reached the loop'

    def turn_for(self, seconds: float) -> None:
        """Turn the loop for some time."""
        last_by = time.monotonic() + seconds
        while time.monotonic() < last_by:
            self.turn()

    def until(self, holds: Callable[[], Any], wait_s: float = WAIT_S) -> float:
        """Turn the loop until something holds; return after how long."""
        started = time.monotonic()
        while not holds():
            assert time.monotonic() < started + wait_s, self.seen
            self.turn()
        return time.monotonic() - started

    def of(self, kind: type) -> list[Any]:
        """Return the events of one kind that were reported."""
        return [event for event in self.seen if isinstance(event, kind)]

    def listen(self, backlog: int = 16) -> socket.socket:
        """Listen on a free port."""
        sock = self.stack.enter_context(socket.socket())
        sock.bind((HOST, 0))
        sock.listen(backlog)
        sock.setblocking(False)
        return sock

    def accept(self, listener: socket.socket) -> Far:
        """Wait for a connection."""
        accepted: list[socket.socket] = []

        def is_there() -> bool:
            with contextlib.suppress(BlockingIOError):
                accepted.append(listener.accept()[0])
            return bool(accepted)

        self.until(is_there)
        return self._far(accepted[0])

    def connect(self, port: int) -> Far:
        """Connect to a port."""
        return self._far(socket.create_connection((HOST, port)))

    def full(self) -> int:
        """Return a port on which a connection is never made."""
        listener = self.listen(0)
        port = int(listener.getsockname()[1])
        for _ in range(2):
            sock = self.stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex((HOST, port))
        return port

    def closed_port(self) -> int:
        """Return a port on which nobody listens."""
        listener = self.listen()
        port = int(listener.getsockname()[1])
        listener.close()
        return port

    def _far(self, sock: socket.socket) -> Far:
        sock.setblocking(False)
        self.stack.callback(sock.close)
        return Far(self, sock)


@fixture
def turning() -> Iterator[Turning]:
    """A loop whose peers are scripted by the test."""
    with contextlib.ExitStack() as stack:
        yield Turning(Loop.create(), stack)
