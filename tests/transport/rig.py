"""A loop that a test runs step by step, and the peers of its connections."""

import contextlib
import re
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from tests.support import fixture

HOST = '127.0.0.1'
ITERATION_S = 0.01
WAIT_S = 6.0
READ_BYTES = 65_536


def answer_to(request: bytes, body: bytes) -> bytes:
    """Return an answer that repeats the id of the call in a request."""
    found = re.search(rb'daisyline-call: *([^\r]*)', request, re.IGNORECASE)
    assert found is not None
    answer = (
        b'HTTP/1.1 200 OK\r\nDaisyline-Call: %s\r\nContent-Length: %d\r\n\r\n%s'
    )
    return answer % (found.group(1), len(body), body)


@attrs.define
class Peer:
    """The other end of a connection, which the test reads and writes.

    Attributes:
        driver: Runs the loop while the peer waits.
        sock: The socket of the peer.
        received: All bytes that were read.
        ended: Whether the loop's side closed the connection or its sending
            side.
        was_reset: Whether the connection was reset.
    """

    driver: 'LoopDriver'
    sock: socket.socket
    received: bytearray = attrs.field(factory=bytearray)
    ended: bool = False
    was_reset: bool = False

    def send(self, octets: bytes) -> None:
        """Send bytes; run the loop while the kernel accepts no more."""
        left = memoryview(octets)
        while left:
            with contextlib.suppress(BlockingIOError):
                left = left[self.sock.send(left) :]
            self.driver.run_once()

    def read_until(self, wanted: bytes) -> bytes:
        """Read until the wanted bytes are received; return all bytes."""
        self.driver.run_until(lambda: self._read() and wanted in self.received)
        return bytes(self.received)

    def read_now(self) -> bytes:
        """Return all bytes that have arrived so far."""
        self._read()
        return bytes(self.received)

    def read_until_end(self) -> bytes:
        """Read until the connection is closed or reset; return all bytes."""
        self.driver.run_until(lambda: self._read() and self.ended)
        return bytes(self.received)

    def reset(self) -> None:
        """Reset the connection."""
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()

    def _read(self) -> bool:
        try:
            chunk = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            self.was_reset = True
            self.ended = True
            return True
        self.received += chunk
        self.ended = not chunk
        return True


@attrs.define
class LoopDriver:
    """The real loop, run step by step by a test that plays its peers.

    Attributes:
        loop: The loop.
        stack: Closes the sockets at the end of the test.
        events: The events that the part under test reported.
    """

    loop: Loop
    stack: contextlib.ExitStack
    events: list[Any] = attrs.field(factory=list)

    def run_once(self) -> None:
        """Run one iteration of the loop."""
        self.loop._running = True
        self.loop.tick(ITERATION_S)
        self.loop._running = False
        assert self.loop.exception_count == 0, 'no exception reached the loop'

    def run_for(self, seconds: float) -> None:
        """Run the loop for a time in seconds."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.run_once()

    def run_until(
        self, holds: Callable[[], Any], wait_s: float = WAIT_S
    ) -> float:
        """Run the loop until a condition holds; return the time in seconds."""
        started = time.monotonic()
        while not holds():
            assert time.monotonic() < started + wait_s, self.events
            self.run_once()
        return time.monotonic() - started

    def events_of(self, kind: type) -> list[Any]:
        """Return the reported events of one kind."""
        return [event for event in self.events if isinstance(event, kind)]

    def listen(self, backlog: int = 16) -> socket.socket:
        """Return a socket that listens on a free port."""
        sock = self.stack.enter_context(socket.socket())
        sock.bind((HOST, 0))
        sock.listen(backlog)
        sock.setblocking(False)
        return sock

    def accept(self, listener: socket.socket) -> Peer:
        """Wait for a connection and return its other end."""
        accepted: list[socket.socket] = []

        def has_accepted() -> bool:
            with contextlib.suppress(BlockingIOError):
                accepted.append(listener.accept()[0])
            return bool(accepted)

        self.run_until(has_accepted)
        return self._make_peer(accepted[0])

    def connect(self, port: int) -> Peer:
        """Connect to a port and return the new peer."""
        return self._make_peer(socket.create_connection((HOST, port)))

    def unconnectable_port(self) -> int:
        """Return a port on which no connection is ever established."""
        listener = self.listen(0)
        port = int(listener.getsockname()[1])
        for _ in range(2):
            sock = self.stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex((HOST, port))
        return port

    def closed_port(self) -> int:
        """Return a port on which no process listens."""
        listener = self.listen()
        port = int(listener.getsockname()[1])
        listener.close()
        return port

    def _make_peer(self, sock: socket.socket) -> Peer:
        sock.setblocking(False)
        self.stack.callback(sock.close)
        return Peer(self, sock)


@fixture
def driver() -> Iterator[LoopDriver]:
    """A loop that the test runs step by step."""
    with contextlib.ExitStack() as stack:
        yield LoopDriver(Loop.create(), stack)
