"""The loop does not spin, whatever the state of its connections."""

import contextlib
import time
from typing import Any

from daisyline.transport.listener import Listener
from daisyline.transport.sockets import Connection
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

WATCHED_S = 0.3
MAX_CPU_S = 0.15


class _RecordingHandler:
    """Records the connect and the close; ignores all data."""

    def __init__(self, connection: Connection) -> None:
        self.was_closed = False
        self.was_connected = False
        connection.handler = self

    def handle_connected(self) -> None:
        """Record that the connection is established."""
        self.was_connected = True

    def handle_bytes(self, octets: bytes) -> None:
        """Do nothing."""

    def handle_eof(self) -> None:
        """Do nothing; the connection stays half open."""

    def handle_drained(self) -> None:
        """Do nothing."""

    def handle_closed(self) -> None:
        """Record that the connection is closed."""
        self.was_closed = True


def _accepted(driver: LoopDriver) -> tuple[Connection, Any]:
    connections: list[Connection] = []
    listener = Listener.open(driver.loop, HOST, 0, connections.append)
    peer = driver.connect(listener.port)
    driver.run_until(lambda: connections)
    listener.close()
    return connections[0], peer


def _cpu_s(driver: LoopDriver) -> float:
    """Return the CPU time that the loop uses in `WATCHED_S`, in seconds."""
    driver.loop.call_later(WATCHED_S, bool)
    before = time.process_time()
    deadline = time.monotonic() + WATCHED_S
    while time.monotonic() < deadline:
        driver.loop._running = True
        driver.loop.tick()
        driver.loop._running = False
    return time.process_time() - before


def test_a_paused_connection_whose_peer_resets_does_not_spin(
    driver: LoopDriver,
) -> None:
    connection, peer = _accepted(driver)
    _RecordingHandler(connection)
    connection.pause_reading()
    peer.reset()
    assert _cpu_s(driver) < MAX_CPU_S


def test_a_connection_shut_down_by_both_ends_does_not_spin(
    driver: LoopDriver,
) -> None:
    connection, peer = _accepted(driver)
    _RecordingHandler(connection)
    connection.write_eof()
    peer.sock.close()
    assert _cpu_s(driver) < MAX_CPU_S


def test_a_connect_that_fails_at_once_is_not_reported_as_made(
    driver: LoopDriver,
) -> None:
    with contextlib.suppress(OSError):
        connection = Connection.dial(driver.loop, '255.255.255.255', 9)
        handler = _RecordingHandler(connection)
        driver.run_until(lambda: handler.was_closed or handler.was_connected)
        assert not handler.was_connected
