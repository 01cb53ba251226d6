"""The loop uses no processor time while idle and calls each timer."""

import contextlib
import os
import socket
import time
import types
from collections.abc import Iterator
from typing import Any

from daisyline.transport.deadlines import Deadlines
from daisyline.transport.listener import Listener
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from tests.support import fixture, function_tests
from tests.transport.rig import LoopDriver

load_tests = function_tests(__name__)

RUN_S = 0.6
MAX_IDLE_CPU_S = 0.2


class HalfOpenHandler:
    """A handler that keeps its connection open after the peer's EOF."""

    def handle_bytes(self, octets: bytes) -> None:
        """Do nothing."""

    def handle_eof(self) -> None:
        """Do nothing; the connection stays open for writes."""

    def handle_drained(self) -> None:
        """Do nothing."""

    def handle_closed(self) -> None:
        """Do nothing."""


@fixture
def loop() -> Iterator[Loop]:
    """A loop that stops after `RUN_S`."""
    loop = Loop.create()
    loop.call_later(RUN_S, loop.stop)
    yield loop


def test_an_exception_does_not_delay_the_next_function(loop: Loop) -> None:
    called = []
    loop.call_later(0, lambda: called[0])
    loop.call_later(0.05, lambda: called.append(time.monotonic()))
    with open(os.devnull, 'w', encoding='utf-8') as devnull:
        with contextlib.redirect_stderr(devnull):
            loop.run()
    assert called
    assert loop.exception_count == 1


def test_an_exception_drops_no_deferred_function(loop: Loop) -> None:
    # Guards against messages that are never written, as their write was
    # deferred beside a function that raised an exception.
    called: list[str] = []

    def defer_two() -> None:
        loop.defer(lambda: called.pop())
        loop.defer(lambda: called.append('second'))

    loop.call_later(0, defer_two)
    with open(os.devnull, 'w', encoding='utf-8') as devnull:
        with contextlib.redirect_stderr(devnull):
            loop.run()
    assert called == ['second']
    assert loop.exception_count == 1


def test_an_ended_then_reset_connection_does_not_spin(loop: Loop) -> None:
    accepted: list[Connection] = []

    def accept(connection: Connection) -> None:
        connection.handler = HalfOpenHandler()
        accepted.append(connection)

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
    assert accepted
    assert time.process_time() - before < MAX_IDLE_CPU_S


def test_an_idle_loop_uses_no_processor_time(loop: Loop) -> None:
    before = time.process_time()
    loop.run()
    assert time.process_time() - before < MAX_IDLE_CPU_S / 4


def test_a_new_deadline_does_not_scan_a_large_heap(
    loop: Loop,
) -> None:
    deadlines = Deadlines()
    scans = []
    compact = deadlines._compact

    def count_scan() -> None:
        scans.append(1)
        compact()

    deadlines._compact = count_scan
    for number in range(20_000):
        deadlines.call_at(loop.now() + number, loop.stop)
    assert len(scans) < 10


def test_a_function_for_the_next_iteration_waits_for_no_timer(
    driver: LoopDriver,
) -> None:
    # Guards against a long body that is sent at the pace of other timers: the
    # loop has computed its wait already when deferred functions are called.
    loop = driver.loop
    waits: list[float] = []
    called: list[float] = []
    poll = loop.poller._poller.poll

    def record_poll(wait_s: float) -> Any:
        waits.append(wait_s)
        return poll(0)

    loop.poller._poller = types.SimpleNamespace(poll=record_poll)
    loop.defer(lambda: loop.call_next(lambda: called.append(len(waits))))
    driver.run_once()
    driver.run_once()
    assert called == [1]
    assert waits[0] == 0
