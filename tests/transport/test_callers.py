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
from tests.transport.rig import HOST, Far, Turning

load_tests = function_tests(__name__)

MODULE = 'daisyline.transport.callers'
LIMIT_BYTES = 4096
PART = bytes(50_000)
PART_COUNT = 100
BUFFERED_BYTES = 400_000


@attrs.define
class Door:
    """A listener for callers, whose requests wait for the test's answers."""

    turning: Turning
    port: int = 0
    connections: list[CallerConnection] = attrs.field(factory=list)
    requests: list[Request] = attrs.field(factory=list)
    on_request: Callable[[CallerConnection, Request], None] | None = None

    def accept(self, connection: Connection) -> None:
        """Take a caller's connection."""
        caller = CallerConnection(
            self.turning.loop,
            connection,
            LIMIT_BYTES,
            self.take,
            self.turning.seen.append,
        )
        self.connections.append(caller)

    def take(self, caller: CallerConnection, request: Request) -> None:
        """Note a request, and answer it if the test says how."""
        self.requests.append(request)
        caller.call = f'c{len(self.requests)}'
        if self.on_request is not None:
            self.on_request(caller, request)

    def call(self, octets: bytes) -> Far:
        """Send a request and wait until it is under way."""
        far = self.turning.connect(self.port)
        count = len(self.requests)
        far.send(octets)
        self.until_requests(count + 1)
        return far

    def until_requests(self, count: int) -> None:
        """Wait until so many requests have come."""
        self.turning.until(lambda: len(self.requests) >= count)

    @property
    def caller(self) -> CallerConnection:
        """Return the connection that came last."""
        return self.connections[-1]

    @property
    def buffered(self) -> int:
        """Return how many bytes wait for the caller that came last."""
        return self.caller._connection.buffered_bytes


@fixture
def door(turning: Turning) -> Iterator[Door]:
    """A port for callers."""
    made = Door(turning)
    made.port = Listener.open(turning.loop, HOST, 0, made.accept).port
    yield made


def _get(number: int) -> bytes:
    return b'GET /%d HTTP/1.1\r\nHost: docs\r\n\r\n' % number


def _whole(body: bytes, status: int = 200, headers: Any = ()) -> AnswerCaller:
    return AnswerCaller('', status, headers, body, last=True)


def _begin(headers: Any = ()) -> AnswerCaller:
    return AnswerCaller('', 200, headers, b'half', last=False)


def _until_lost(turning: Turning) -> None:
    turning.until(lambda: turning.of(CallerDisconnected))


def test_a_request_that_trickles_in_is_cut_off(
    turning: Turning, door: Door
) -> None:
    with mock.patch(f'{MODULE}._REQUEST_S', 0.3):
        far = turning.connect(door.port)
        for octet in (b'G', b'E', b'T', b' '):
            far.send(octet)
            turning.turn_for(0.05)
        far.until_end()
    assert not door.requests


def test_a_caller_that_stops_reading_holds_the_answer_up(
    turning: Turning, door: Door
) -> None:
    far = door.call(_get(1))
    door.caller.answer(_begin())
    for _ in range(PART_COUNT * 3):
        taken = len(turning.of(AnswerBytesDelivered))
        door.caller.part(AnswerCallerPart('', PART, last=False))
        if len(turning.of(AnswerBytesDelivered)) == taken:
            break
    assert 0 < door.buffered < BUFFERED_BYTES
    turning.turn_for(0.1)
    taken = len(turning.of(AnswerBytesDelivered))
    turning.until(
        lambda: far._read() and len(turning.of(AnswerBytesDelivered)) > taken
    )
    door.caller.part(AnswerCallerPart('', b'end', last=True))
    came = far.until(b'0\r\n\r\n')
    assert b'end' in came
    assert not turning.of(CallerDisconnected)


def test_a_caller_that_goes_away_is_reported_once(
    turning: Turning, door: Door
) -> None:
    for leave in (Far.reset, lambda far: far.sock.close()):
        far = door.call(_get(1))
        door.caller.answer(_begin())
        leave(far)
        _until_lost(turning)
        door.caller.part(AnswerCallerPart('', PART, last=True))
        turning.turn_for(0.05)
        assert len(turning.of(CallerDisconnected)) == 1
        turning.seen.clear()


def test_a_cut_answer_is_seen_in_each_framing(
    turning: Turning, door: Door
) -> None:
    old = b'GET / HTTP/1.0\r\nHost: docs\r\n\r\n'
    length = ((b'Content-Length', b'100'),)
    for sent, headers in ((_get(1), ()), (_get(1), length), (old, ())):
        far = door.call(sent)
        door.caller.answer(_begin(headers))
        far.until(b'half')
        door.caller.cut()
        far.until_end()
        assert far.broken, headers
        assert not turning.of(CallerDisconnected)


def test_requests_behind_a_cut_answer_are_not_taken(
    turning: Turning, door: Door
) -> None:
    far = door.call(_get(1) + _get(2))
    door.caller.answer(_begin())
    far.until(b'half')
    door.caller.cut()
    far.until_end()
    assert [request.path for request in door.requests] == [b'/1']


def test_an_answer_that_breaks_its_own_length_is_cut(
    turning: Turning, door: Door
) -> None:
    for body, last in ((b'abc', True), (b'abcdefgh', False)):
        far = door.call(_get(1))
        headers = ((b'Content-Length', b'5'),)
        door.caller.answer(AnswerCaller('', 200, headers, body, last))
        far.until_end()
        assert far.broken


def test_answers_to_pipelined_requests_come_in_order(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    far.send(b''.join(_get(number) for number in range(5)))
    for number in range(5):
        door.until_requests(number + 1)
        door.caller.answer(_whole(b'<%d>' % number))
    came = far.until(b'<4>')
    places = [came.index(b'<%d>' % place) for place in range(5)]
    assert places == sorted(places)


def test_a_caller_that_sends_ahead_and_never_reads_is_held_up(
    turning: Turning, door: Door
) -> None:
    door.on_request = lambda caller, _request: caller.answer(_whole(PART))
    count = 200
    far = turning.connect(door.port)
    for number in range(count):
        far.send(_get(number))
    turning.turn_for(0.1)
    assert len(door.requests) < count
    assert door.buffered < BUFFERED_BYTES
    turning.until(
        lambda: far._read() and far.came.count(b'HTTP/1.1 200') == count
    )
    paths = [request.path for request in door.requests]
    assert paths == [b'/%d' % number for number in range(count)]


def test_a_last_answer_is_whole_although_more_was_sent(
    turning: Turning, door: Door
) -> None:
    body = bytes(3_000_000)
    closing = b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    old = b'GET /1 HTTP/1.0\r\n\r\n'
    for sent in (closing, old):
        far = door.call(sent + _get(2))
        for number in (3, 4):
            far.send(_get(number))
        with mock.patch(f'{MODULE}._LINGER_S', 0.1):
            door.caller.answer(_whole(body))
            # The caller is slower than the time for which it is read on.
            turning.turn_for(0.3)
            came = far.until_end()
        assert not far.broken
        assert b'Connection: close' in came
        assert came.endswith(body)
    assert {request.path for request in door.requests} == {b'/1'}


def test_an_answer_without_length_to_an_old_caller_ends_by_closing(
    turning: Turning, door: Door
) -> None:
    far = door.call(b'GET / HTTP/1.0\r\n\r\n')
    door.caller.answer(_begin())
    door.caller.part(AnswerCallerPart('', b'-rest', last=True))
    came = far.until_end()
    assert came.endswith(b'\r\n\r\nhalf-rest')
    assert b'Transfer-Encoding' not in came
    assert not far.broken


def test_answers_without_a_body_keep_the_connection_in_step(
    turning: Turning, door: Door
) -> None:
    length = ((b'Content-Length', b'5'),)
    head = b'HEAD /1 HTTP/1.1\r\nHost: docs\r\n\r\n'
    for sent, status in ((head, 200), (_get(1), 204), (_get(1), 304)):
        far = door.call(sent)
        door.caller.answer(_whole(b'', status, length))
        far.until(b'\r\n\r\n')
        far.send(_get(2))
        door.until_requests(2)
        door.caller.answer(_whole(b'next'))
        came = far.until(b'next')
        rest = came.partition(b'\r\n\r\n')[2]
        assert rest.startswith(b'HTTP/1.1 200')
        door.requests.clear()


def test_a_caller_that_waits_to_send_its_body_is_told_to(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    far.send(
        b'POST / HTTP/1.1\r\nHost: docs\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    assert far.until(b'\r\n\r\n').startswith(b'HTTP/1.1 100')
    far.send(b'ab')
    turning.until(lambda: door.requests)
    door.caller.answer(_whole(b'done'))
    assert far.until(b'done').count(b'HTTP/1.1') == 2


def test_an_upgrade_is_answered_and_the_connection_goes_on(
    turning: Turning, door: Door
) -> None:
    far = door.call(
        b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: upgrade\r\n'
        b'Upgrade: h2c\r\n\r\n'
    )
    door.caller.answer(_whole(b'first'))
    far.until(b'first')
    far.send(_get(2))
    turning.until(lambda: len(door.requests) == 2)
    door.caller.answer(_whole(b'second'))
    far.until(b'second')


def test_a_stop_lets_a_request_that_is_being_sent_be_answered(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    far.send(b'POST / HTTP/1.1\r\nHost: docs\r\nContent-Length: 4\r\n\r\nab')
    turning.until(lambda: door.connections)
    turning.turn_for(0.05)
    door.caller.finish()
    assert door.caller.busy
    turning.turn_for(1.2)
    far.send(b'cd')
    turning.until(lambda: door.requests)
    door.caller.answer(_whole(b'done'))
    came = far.until_end()
    assert came.endswith(b'done')
    assert b'Connection: close' in came
    assert not far.broken


def test_a_stop_lets_idle_callers_go_after_a_moment(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    turning.until(lambda: door.connections)
    door.caller.finish()
    far.send(_get(1))
    turning.until(lambda: door.requests)
    door.caller.answer(_whole(b'done'))
    assert far.until_end().endswith(b'done')
    far = turning.connect(door.port)
    turning.until(lambda: len(door.connections) == 2)
    door.caller.finish()
    far.until_end()
    assert not far.broken


def test_a_caller_that_leaves_is_noticed_also_after_its_last_request(
    turning: Turning, door: Door
) -> None:
    last = b'GET / HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    far = door.call(last)
    far.sock.close()
    turning.until(lambda: turning.of(CallerDisconnected))
    assert turning.of(CallerDisconnected) == [CallerDisconnected('c1')]


def test_safe_requests_sent_ahead_run_at_once_and_are_answered_in_order(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    turning.until(lambda: door.connections)
    door.caller.may_overlap = lambda request: request.method == b'GET'
    far.send(_get(1) + _get(2))
    door.until_requests(2)
    second = AnswerCaller('c2', 200, (), b'second', last=True)
    door.caller.answer(second)
    turning.turn_for(0.05)
    assert not far.came
    door.caller.answer(AnswerCaller('c1', 200, (), b'first', last=True))
    came = far.until(b'second')
    assert came.index(b'first') < came.index(b'second')


def test_a_request_that_may_not_overlap_waits_for_the_answers_before_it(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    turning.until(lambda: door.connections)
    door.caller.may_overlap = lambda request: request.path != b'/2'
    far.send(_get(1) + _get(2) + _get(3))
    door.until_requests(1)
    turning.turn_for(0.05)
    assert len(door.requests) == 1
    door.caller.answer(AnswerCaller('c1', 200, (), b'', last=True))
    door.until_requests(2)
    turning.turn_for(0.05)
    assert len(door.requests) == 2


def test_an_answer_cut_behind_another_breaks_the_connection_after_it(
    turning: Turning, door: Door
) -> None:
    far = turning.connect(door.port)
    turning.until(lambda: door.connections)
    door.caller.may_overlap = lambda _request: True
    far.send(_get(1) + _get(2))
    door.until_requests(2)
    door.caller.cut('c2')
    turning.turn_for(0.05)
    assert not far.broken
    door.caller.answer(AnswerCaller('c1', 200, (), b'first', last=True))
    came = far.until_end()
    assert came.endswith(b'first')
    assert far.broken
