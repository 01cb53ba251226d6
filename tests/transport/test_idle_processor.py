"""The loop rests whatever state its connections are in."""

import contextlib
import time
from typing import Any

from daisyline.transport.sockets import Connection, Listener
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

WATCHED_S = 0.3
MOST_CPU_S = 0.15


class _Paused:
    """Takes a connection and reads nothing from it."""

    def __init__(self, connection: Connection) -> None:
        self.was_closed = False
        self.was_opened = False
        connection.handler = self

    def handle_connected(self) -> None:
        """Note that a dialled connection is made."""
        self.was_opened = True

    def handle_bytes(self, octets: bytes) -> None:
        """Do nothing."""

    def handle_eof(self) -> None:
        """Do nothing; the connection stays half open."""

    def handle_drained(self) -> None:
        """Do nothing."""

    def handle_closed(self) -> None:
        """Note that the connection is gone."""
        self.was_closed = True


def _accepted(driver: LoopDriver) -> tuple[Connection, Any]:
    connections: list[Connection] = []
    listener = Listener.open(driver.loop, HOST, 0, connections.append)
    far = driver.connect(listener.port)
    driver.run_until(lambda: connections)
    listener.close()
    return connections[0], far


def _cpu_s(driver: LoopDriver) -> float:
    """Return the processor time that the loop takes for a moment."""
    driver.loop.call_later(WATCHED_S, bool)
    before = time.process_time()
    last_by = time.monotonic() + WATCHED_S
    while time.monotonic() < last_by:
        driver.loop._running = True
        driver.loop.tick()
        driver.loop._running = False
    return time.process_time() - before


def test_a_paused_connection_whose_peer_resets_does_not_spin(
    driver: LoopDriver,
) -> None:
    connection, far = _accepted(driver)
    _Paused(connection)
    connection.pause()
    far.reset()
    assert _cpu_s(driver) < MOST_CPU_S


def test_a_connection_ended_on_both_sides_does_not_spin(
    driver: LoopDriver,
) -> None:
    connection, far = _accepted(driver)
    _Paused(connection)
    connection.end()
    far.sock.close()
    assert _cpu_s(driver) < MOST_CPU_S


def test_a_connection_that_fails_at_once_was_never_made(
    driver: LoopDriver,
) -> None:
    with contextlib.suppress(OSError):
        connection = Connection.dial(driver.loop, '255.255.255.255', 9)
        handler = _Paused(connection)
        driver.run_until(lambda: handler.was_closed or handler.was_opened)
        assert not handler.was_opened
