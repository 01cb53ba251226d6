"""Callers get whole answers, in order, and see each one that is cut."""

from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import attrs

from daisyline.coordination.call_events import (
    AnswerBytesDelivered,
    AnswerCaller,
    AnswerCallerPart,
    CallerDisconnected,
)
from daisyline.protocol.http_messages import Request
from daisyline.transport.callers import CallerConnection
from daisyline.transport.sockets import Connection, Listener
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)

MODULE = 'daisyline.transport.callers'
LIMIT_BYTES = 4096
PART = bytes(50_000)
PART_COUNT = 100
BUFFERED_BYTES = 400_000


@attrs.define
class Door:
    """A listener for callers, whose requests wait for the test's answers."""

    driver: LoopDriver
    port: int = 0
    connections: list[CallerConnection] = attrs.field(factory=list)
    requests: list[Request] = attrs.field(factory=list)
    on_request: Callable[[CallerConnection, Request], None] | None = None

    def accept(self, connection: Connection) -> None:
        """Take a caller's connection."""
        caller = CallerConnection(
            self.driver.loop,
            connection,
            LIMIT_BYTES,
            self.take,
            self.driver.events.append,
        )
        self.connections.append(caller)

    def take(self, caller: CallerConnection, request: Request) -> None:
        """Note a request, and answer it if the test says how."""
        self.requests.append(request)
        caller.call = f'c{len(self.requests)}'
        if self.on_request is not None:
            self.on_request(caller, request)

    def call(self, octets: bytes) -> Peer:
        """Send a request and wait until it is under way."""
        peer = self.driver.connect(self.port)
        count = len(self.requests)
        peer.send(octets)
        self.until_requests(count + 1)
        return peer

    def until_requests(self, count: int) -> None:
        """Wait until so many requests have come."""
        self.driver.run_until(lambda: len(self.requests) >= count)

    @property
    def caller(self) -> CallerConnection:
        """Return the connection that came last."""
        return self.connections[-1]

    @property
    def buffered(self) -> int:
        """Return how many bytes wait for the caller that came last."""
        return self.caller._connection.buffered


@fixture
def door(driver: LoopDriver) -> Iterator[Door]:
    """A port for callers."""
    made = Door(driver)
    made.port = Listener.open(driver.loop, HOST, 0, made.accept).port
    yield made


def _get(number: int) -> bytes:
    return b'GET /%d HTTP/1.1\r\nHost: docs\r\n\r\n' % number


def _whole(body: bytes, status: int = 200, headers: Any = ()) -> AnswerCaller:
    return AnswerCaller('', status, headers, body, last=True)


def _begin(headers: Any = ()) -> AnswerCaller:
    return AnswerCaller('', 200, headers, b'half', last=False)


def _until_lost(driver: LoopDriver) -> None:
    driver.run_until(lambda: driver.events_of(CallerDisconnected))


def test_a_request_sent_too_slowly_closes_the_connection(
    driver: LoopDriver, door: Door
) -> None:
    with mock.patch(f'{MODULE}._REQUEST_TIMEOUT_S', 0.3):
        peer = driver.connect(door.port)
        for octet in (b'G', b'E', b'T', b' '):
            peer.send(octet)
            driver.run_for(0.05)
        peer.read_until_end()
    assert not door.requests


def test_a_caller_that_stops_reading_pauses_its_answer(
    driver: LoopDriver, door: Door
) -> None:
    peer = door.call(_get(1))
    door.caller.send_answer(_begin())
    for _ in range(PART_COUNT * 3):
        taken = len(driver.events_of(AnswerBytesDelivered))
        door.caller.send_part(AnswerCallerPart('', PART, last=False))
        if len(driver.events_of(AnswerBytesDelivered)) == taken:
            break
    assert 0 < door.buffered < BUFFERED_BYTES
    driver.run_for(0.1)
    taken = len(driver.events_of(AnswerBytesDelivered))
    driver.run_until(
        lambda: (
            peer._read() and len(driver.events_of(AnswerBytesDelivered)) > taken
        )
    )
    door.caller.send_part(AnswerCallerPart('', b'end', last=True))
    came = peer.read_until(b'0\r\n\r\n')
    assert b'end' in came
    assert not driver.events_of(CallerDisconnected)


def test_a_caller_that_disconnects_is_reported_once(
    driver: LoopDriver, door: Door
) -> None:
    for leave in (Peer.reset, lambda peer: peer.sock.close()):
        peer = door.call(_get(1))
        door.caller.send_answer(_begin())
        leave(peer)
        _until_lost(driver)
        door.caller.send_part(AnswerCallerPart('', PART, last=True))
        driver.run_for(0.05)
        assert len(driver.events_of(CallerDisconnected)) == 1
        driver.events.clear()


def test_an_aborted_answer_resets_the_connection_in_each_framing(
    driver: LoopDriver, door: Door
) -> None:
    old = b'GET / HTTP/1.0\r\nHost: docs\r\n\r\n'
    length = ((b'Content-Length', b'100'),)
    for sent, headers in ((_get(1), ()), (_get(1), length), (old, ())):
        peer = door.call(sent)
        door.caller.send_answer(_begin(headers))
        peer.read_until(b'half')
        door.caller.abort_answer()
        peer.read_until_end()
        assert peer.was_reset, headers
        assert not driver.events_of(CallerDisconnected)


def test_requests_after_an_aborted_answer_are_not_executed(
    driver: LoopDriver, door: Door
) -> None:
    peer = door.call(_get(1) + _get(2))
    door.caller.send_answer(_begin())
    peer.read_until(b'half')
    door.caller.abort_answer()
    peer.read_until_end()
    assert [request.path for request in door.requests] == [b'/1']


def test_an_answer_that_violates_its_length_is_aborted(
    driver: LoopDriver, door: Door
) -> None:
    for body, last in ((b'abc', True), (b'abcdefgh', False)):
        peer = door.call(_get(1))
        headers = ((b'Content-Length', b'5'),)
        door.caller.send_answer(AnswerCaller('', 200, headers, body, last))
        peer.read_until_end()
        assert peer.was_reset


def test_answers_to_pipelined_requests_are_sent_in_order(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    peer.send(b''.join(_get(number) for number in range(5)))
    for number in range(5):
        door.until_requests(number + 1)
        door.caller.send_answer(_whole(b'<%d>' % number))
    came = peer.read_until(b'<4>')
    places = [came.index(b'<%d>' % place) for place in range(5)]
    assert places == sorted(places)


def test_a_caller_that_pipelines_without_reading_is_paused(
    driver: LoopDriver, door: Door
) -> None:
    door.on_request = lambda caller, _request: caller.send_answer(_whole(PART))
    count = 200
    peer = driver.connect(door.port)
    for number in range(count):
        peer.send(_get(number))
    driver.run_for(0.1)
    assert len(door.requests) < count
    assert door.buffered < BUFFERED_BYTES
    driver.run_until(
        lambda: peer._read() and peer.received.count(b'HTTP/1.1 200') == count
    )
    paths = [request.path for request in door.requests]
    assert paths == [b'/%d' % number for number in range(count)]


def test_a_last_answer_is_complete_although_more_was_sent(
    driver: LoopDriver, door: Door
) -> None:
    body = bytes(3_000_000)
    closing = b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    old = b'GET /1 HTTP/1.0\r\n\r\n'
    for sent in (closing, old):
        peer = door.call(sent + _get(2))
        for number in (3, 4):
            peer.send(_get(number))
        with mock.patch(f'{MODULE}._LINGER_S', 0.1):
            door.caller.send_answer(_whole(body))
            # The caller is slower than the time for which it is read on.
            driver.run_for(0.3)
            came = peer.read_until_end()
        assert not peer.was_reset
        assert b'Connection: close' in came
        assert came.endswith(body)
    assert {request.path for request in door.requests} == {b'/1'}


def test_an_answer_without_length_to_an_old_caller_ends_by_closing(
    driver: LoopDriver, door: Door
) -> None:
    peer = door.call(b'GET / HTTP/1.0\r\n\r\n')
    door.caller.send_answer(_begin())
    door.caller.send_part(AnswerCallerPart('', b'-rest', last=True))
    came = peer.read_until_end()
    assert came.endswith(b'\r\n\r\nhalf-rest')
    assert b'Transfer-Encoding' not in came
    assert not peer.was_reset


def test_answers_without_a_body_keep_the_framing_in_sync(
    driver: LoopDriver, door: Door
) -> None:
    length = ((b'Content-Length', b'5'),)
    head = b'HEAD /1 HTTP/1.1\r\nHost: docs\r\n\r\n'
    for sent, status in ((head, 200), (_get(1), 204), (_get(1), 304)):
        peer = door.call(sent)
        door.caller.send_answer(_whole(b'', status, length))
        peer.read_until(b'\r\n\r\n')
        peer.send(_get(2))
        door.until_requests(2)
        door.caller.send_answer(_whole(b'next'))
        came = peer.read_until(b'next')
        rest = came.partition(b'\r\n\r\n')[2]
        assert rest.startswith(b'HTTP/1.1 200')
        door.requests.clear()


def test_a_caller_that_expects_to_continue_is_answered(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    peer.send(
        b'POST / HTTP/1.1\r\nHost: docs\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    assert peer.read_until(b'\r\n\r\n').startswith(b'HTTP/1.1 100')
    peer.send(b'ab')
    driver.run_until(lambda: door.requests)
    door.caller.send_answer(_whole(b'done'))
    assert peer.read_until(b'done').count(b'HTTP/1.1') == 2


def test_an_upgrade_is_answered_and_the_connection_stays_open(
    driver: LoopDriver, door: Door
) -> None:
    peer = door.call(
        b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: upgrade\r\n'
        b'Upgrade: h2c\r\n\r\n'
    )
    door.caller.send_answer(_whole(b'first'))
    peer.read_until(b'first')
    peer.send(_get(2))
    driver.run_until(lambda: len(door.requests) == 2)
    door.caller.send_answer(_whole(b'second'))
    peer.read_until(b'second')


def test_a_stop_answers_a_request_that_is_partly_received(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    peer.send(b'POST / HTTP/1.1\r\nHost: docs\r\nContent-Length: 4\r\n\r\nab')
    driver.run_until(lambda: door.connections)
    driver.run_for(0.05)
    door.caller.close_gracefully()
    assert door.caller.is_busy
    driver.run_for(1.2)
    peer.send(b'cd')
    driver.run_until(lambda: door.requests)
    door.caller.send_answer(_whole(b'done'))
    came = peer.read_until_end()
    assert came.endswith(b'done')
    assert b'Connection: close' in came
    assert not peer.was_reset


def test_a_stop_closes_idle_connections_after_a_delay(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    driver.run_until(lambda: door.connections)
    door.caller.close_gracefully()
    peer.send(_get(1))
    driver.run_until(lambda: door.requests)
    door.caller.send_answer(_whole(b'done'))
    assert peer.read_until_end().endswith(b'done')
    peer = driver.connect(door.port)
    driver.run_until(lambda: len(door.connections) == 2)
    door.caller.close_gracefully()
    peer.read_until_end()
    assert not peer.was_reset


def test_a_disconnect_after_the_last_request_is_reported(
    driver: LoopDriver, door: Door
) -> None:
    last = b'GET / HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    peer = door.call(last)
    peer.sock.close()
    driver.run_until(lambda: driver.events_of(CallerDisconnected))
    assert driver.events_of(CallerDisconnected) == [CallerDisconnected('c1')]


def test_pipelined_safe_requests_overlap_and_are_answered_in_order(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    driver.run_until(lambda: door.connections)
    door.caller.may_overlap = lambda request: request.method == b'GET'
    peer.send(_get(1) + _get(2))
    door.until_requests(2)
    second = AnswerCaller('c2', 200, (), b'second', last=True)
    door.caller.send_answer(second)
    driver.run_for(0.05)
    assert not peer.received
    door.caller.send_answer(AnswerCaller('c1', 200, (), b'first', last=True))
    came = peer.read_until(b'second')
    assert came.index(b'first') < came.index(b'second')


def test_a_request_that_may_not_overlap_waits_for_the_answers_before_it(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    driver.run_until(lambda: door.connections)
    door.caller.may_overlap = lambda request: request.path != b'/2'
    peer.send(_get(1) + _get(2) + _get(3))
    door.until_requests(1)
    driver.run_for(0.05)
    assert len(door.requests) == 1
    door.caller.send_answer(AnswerCaller('c1', 200, (), b'', last=True))
    door.until_requests(2)
    driver.run_for(0.05)
    assert len(door.requests) == 2


def test_an_answer_aborted_behind_another_resets_the_connection_after_it(
    driver: LoopDriver, door: Door
) -> None:
    peer = driver.connect(door.port)
    driver.run_until(lambda: door.connections)
    door.caller.may_overlap = lambda _request: True
    peer.send(_get(1) + _get(2))
    door.until_requests(2)
    door.caller.abort_answer('c2')
    driver.run_for(0.05)
    assert not peer.was_reset
    door.caller.send_answer(AnswerCaller('c1', 200, (), b'first', last=True))
    came = peer.read_until_end()
    assert came.endswith(b'first')
    assert peer.was_reset
