"""Connections send long messages at a cost that grows with their bytes."""

import time
from unittest import mock

from daisyline.transport.sockets import (
    WRITE_BYTES,
    WRITES_PER_ITERATION,
    Connection,
)
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

# The longest body that a manifest of the users' platform allows.
LONG = b'x' * 67_108_864
# A call of the users' shortest route waits no longer for its answer.
MAX_PROCESSOR_S = 1.5


class _Kernel:
    """Takes all bytes of a connection, as a fast network does."""

    def __init__(self) -> None:
        self.taken = 0

    def send(self, octets: bytes) -> int:
        self.taken += len(octets)
        return len(octets)


def _buffering_connection(driver: LoopDriver) -> Connection:
    """Return a connection that has the long message in its buffer."""
    connection = Connection.dial(
        driver.loop, HOST, driver.listen().getsockname()[1]
    )
    connection.write(LONG)
    assert connection.buffered_bytes == len(LONG)
    return connection


def test_one_connection_sends_a_bounded_number_of_bytes_at_a_time(
    driver: LoopDriver,
) -> None:
    # Guards against one long body that stops the loop for seconds.
    connection = _buffering_connection(driver)
    kernel = _Kernel()
    connection._is_connecting = False
    with mock.patch.object(connection, '_send', kernel.send):
        connection.handle_ready(readable=False, writable=True)
    assert kernel.taken == WRITES_PER_ITERATION * WRITE_BYTES
    assert connection.buffered_bytes == len(LONG) - kernel.taken
    connection.abort()


def test_a_long_message_costs_no_more_than_its_bytes(
    driver: LoopDriver,
) -> None:
    # Guards against a cost that grows with the square of the length.
    connection = _buffering_connection(driver)
    kernel = _Kernel()
    connection._is_connecting = False
    started = time.process_time()
    with mock.patch.object(connection, '_send', kernel.send):
        while connection.buffered_bytes:
            connection.handle_ready(readable=False, writable=True)
    assert time.process_time() - started < MAX_PROCESSOR_S
    assert kernel.taken == len(LONG)
    connection.abort()
