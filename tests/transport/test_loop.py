"""The loop neither spins nor forgets what is due."""

import contextlib
import os
import socket
import time
from collections.abc import Iterator

from daisyline.transport.deadlines import Deadlines
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection, Listener
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

RUN_S = 0.6
IDLE_CPU_S = 0.2


class Keeper:
    """A handler that keeps its connection after the other end has ended."""

    def handle_bytes(self, octets: bytes) -> None:
        """Take no notice."""

    def handle_eof(self) -> None:
        """Keep the connection, to write on it."""

    def handle_drained(self) -> None:
        """Take no notice."""

    def handle_closed(self) -> None:
        """Take no notice."""


@fixture
def loop() -> Iterator[Loop]:
    """A loop that stops by itself."""
    made = Loop.create()
    made.call_later(RUN_S, made.stop)
    yield made


def test_a_function_that_fails_does_not_hold_up_the_next(loop: Loop) -> None:
    called = []
    loop.call_later(0, lambda: called[0])
    loop.call_later(0.05, lambda: called.append(time.monotonic()))
    with open(os.devnull, 'w', encoding='utf-8') as quiet:
        with contextlib.redirect_stderr(quiet):
            loop.run()
    assert called
    assert loop.exception_count == 1


def test_an_ended_then_reset_connection_does_not_spin(loop: Loop) -> None:
    kept: list[Connection] = []

    def accept(connection: Connection) -> None:
        connection.handler = Keeper()
        kept.append(connection)

    listener = Listener.open(loop, '127.0.0.1', 0, accept)
    client = socket.create_connection(('127.0.0.1', listener.port))
    client.shutdown(socket.SHUT_WR)
    linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'

    def reset() -> None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.close()

    loop.call_later(0.1, reset)
    before = time.process_time()
    loop.run()
    assert kept
    assert time.process_time() - before < IDLE_CPU_S


def test_an_idle_loop_uses_no_processor_time(loop: Loop) -> None:
    before = time.process_time()
    loop.run()
    assert time.process_time() - before < IDLE_CPU_S / 4


def test_many_live_deadlines_are_not_walked_at_each_new_one(
    loop: Loop,
) -> None:
    deadlines = Deadlines()
    walks = []
    walk = deadlines._compact

    def counted() -> None:
        walks.append(1)
        walk()

    deadlines._compact = counted
    for number in range(20_000):
        deadlines.call_at(loop.now() + number, loop.stop)
    assert len(walks) < 10
