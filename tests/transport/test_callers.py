"""Callers receive complete answers in order and detect aborted ones."""

import socket
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import attrs

from daisyline.coordination.calls.call_events import (
    AbortCaller,
    AnswerCaller,
    AnswerCallerPart,
)
from daisyline.coordination.calls.caller_events import (
    AnswerBytesDelivered,
    CallerDisconnected,
)
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.transport import delayed_reset
from daisyline.transport.callers import CallerConnection
from daisyline.transport.effect_handlers import perform
from daisyline.transport.listener import Listener
from daisyline.transport.socket_options import ACCEPTED_TIMEOUTS
from daisyline.transport.sockets import Connection
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)

MODULE = 'daisyline.transport.caller_answers'
BODY_LIMIT_BYTES = 4096
PART = bytes(50_000)
PART_COUNT = 100
# So many of them fit into the buffers of the kernel.
WHOLE_PARTS = 20
READING_PAUSE_S = 12.0
MAX_BUFFERED_BYTES = 400_000
EXPECTING = (
    b'POST / HTTP/1.1\r\nHost: docs\r\nContent-Length: 2\r\n'
    b'Expect: 100-continue\r\n\r\n'
)


@attrs.define
class CallersPort:
    """A listener for callers; the test answers their requests."""

    driver: LoopDriver
    port: int = 0
    connections: list[CallerConnection] = attrs.field(factory=list)
    requests: list[Request] = attrs.field(factory=list)
    on_request: Callable[[CallerConnection, Request], None] | None = None

    def accept(self, connection: Connection) -> None:
        """Accept a caller's connection."""
        caller = CallerConnection(
            self.driver.loop,
            connection,
            BODY_LIMIT_BYTES,
            self.record_request,
            self.driver.events.append,
        )
        self.connections.append(caller)

    def record_request(
        self, caller: CallerConnection, request: Request
    ) -> None:
        """Record a request and call the test's handler, if there is one."""
        self.requests.append(request)
        caller.call = f'c{len(self.requests)}'
        if self.on_request is not None:
            self.on_request(caller, request)

    def call(self, octets: bytes) -> Peer:
        """Send a request and wait until it is in progress."""
        peer = self.driver.connect(self.port)
        count = len(self.requests)
        peer.send(octets)
        self.wait_for_requests(count + 1)
        return peer

    def wait_for_requests(self, count: int) -> None:
        """Wait until a number of requests has been received."""
        self.driver.run_until(lambda: len(self.requests) >= count)

    @property
    def caller(self) -> CallerConnection:
        """Return the newest connection."""
        return self.connections[-1]

    @property
    def buffered(self) -> int:
        """Return the number of bytes buffered for the newest caller."""
        return self.caller._connection.buffered_bytes


@fixture
def callers_port(driver: LoopDriver) -> Iterator[CallersPort]:
    """A port that accepts callers."""
    created = CallersPort(driver)
    created.port = Listener.open(driver.loop, HOST, 0, created.accept).port
    yield created


def _get(number: int) -> bytes:
    return b'GET /%d HTTP/1.1\r\nHost: docs\r\n\r\n' % number


def _complete_answer(
    body: bytes, status: int = 200, headers: Any = ()
) -> AnswerCaller:
    return AnswerCaller('', status, headers, body, last=True)


def _first_part(headers: Any = ()) -> AnswerCaller:
    return AnswerCaller('', 200, headers, b'half', last=False)


def _broken(call: str = '') -> AbortCaller:
    return AbortCaller(call, Failure(Reason.TARGET_LOST, Outcome.UNKNOWN))


def _run_until_disconnected(driver: LoopDriver) -> None:
    driver.run_until(lambda: driver.events_of(CallerDisconnected))


def test_a_request_sent_too_slowly_closes_the_connection(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    with mock.patch(f'{MODULE}._REQUEST_TIMEOUT_S', 0.3):
        peer = driver.connect(callers_port.port)
        for octet in (b'G', b'E', b'T', b' '):
            peer.send(octet)
            driver.run_for(0.05)
        peer.read_until_end()
    assert not callers_port.requests


def test_a_caller_that_stops_reading_pauses_its_answer(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = callers_port.call(_get(1))
    callers_port.caller.send_answer(_first_part())
    for _ in range(PART_COUNT * 3):
        delivered = len(driver.events_of(AnswerBytesDelivered))
        callers_port.caller.send_part(AnswerCallerPart('', PART, last=False))
        if len(driver.events_of(AnswerBytesDelivered)) == delivered:
            break
    assert 0 < callers_port.buffered < MAX_BUFFERED_BYTES
    driver.run_for(0.1)
    delivered = len(driver.events_of(AnswerBytesDelivered))
    driver.run_until(
        lambda: (
            peer._read()
            and len(driver.events_of(AnswerBytesDelivered)) > delivered
        )
    )
    callers_port.caller.send_part(AnswerCallerPart('', b'end', last=True))
    answer = peer.read_until(b'0\r\n\r\n')
    assert b'end' in answer
    assert not driver.events_of(CallerDisconnected)


def test_a_caller_that_disconnects_is_reported_once(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    for disconnect in (Peer.reset, lambda peer: peer.sock.close()):
        peer = callers_port.call(_get(1))
        callers_port.caller.send_answer(_first_part())
        disconnect(peer)
        _run_until_disconnected(driver)
        callers_port.caller.send_part(AnswerCallerPart('', PART, last=True))
        driver.run_for(0.05)
        assert len(driver.events_of(CallerDisconnected)) == 1
        driver.events.clear()


def test_an_aborted_answer_resets_the_connection_in_each_framing(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    old_request = b'GET / HTTP/1.0\r\nHost: docs\r\n\r\n'
    length = ((b'Content-Length', b'100'),)
    for sent, headers in ((_get(1), ()), (_get(1), length), (old_request, ())):
        peer = callers_port.call(sent)
        callers_port.caller.send_answer(_first_part(headers))
        peer.read_until(b'half')
        callers_port.caller.abort_answer(_broken())
        peer.read_until_end()
        assert peer.was_reset, headers
        assert not driver.events_of(CallerDisconnected)


def test_requests_after_an_aborted_answer_are_not_executed(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = callers_port.call(_get(1) + _get(2))
    callers_port.caller.send_answer(_first_part())
    peer.read_until(b'half')
    callers_port.caller.abort_answer(_broken())
    peer.read_until_end()
    assert [request.path for request in callers_port.requests] == [b'/1']


def test_an_answer_that_violates_its_length_is_aborted(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    headers = ((b'Content-Length', b'5'),)
    for body, last in ((b'c', True), (b'cdefgh', False)):
        peer = callers_port.call(_get(1))
        callers_port.caller.send_answer(
            AnswerCaller('', 200, headers, b'ab', last=False)
        )
        peer.read_until(b'ab')
        callers_port.caller.send_part(AnswerCallerPart('', body, last))
        peer.read_until_end()
        assert peer.was_reset


def test_an_answer_that_violates_its_length_at_once_is_refused(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    headers = ((b'Content-Length', b'5'),)
    for body, last in ((b'abc', True), (b'abcdefgh', False)):
        driver.events.clear()
        peer = callers_port.call(_get(1))
        callers_port.caller.send_answer(
            AnswerCaller('', 200, headers, body, last)
        )
        received = peer.read_until(b'violates its framing')
        assert received.startswith(b'HTTP/1.1 502 ')
        assert b'Daisyline-Outcome: unknown' in received
        assert received.count(b'HTTP/1.1') == 1
        assert len(driver.events_of(CallerDisconnected)) == 1


def test_answers_to_pipelined_requests_are_sent_in_order(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = driver.connect(callers_port.port)
    peer.send(b''.join(_get(number) for number in range(5)))
    for number in range(5):
        callers_port.wait_for_requests(number + 1)
        callers_port.caller.send_answer(_complete_answer(b'<%d>' % number))
    answer = peer.read_until(b'<4>')
    places = [answer.index(b'<%d>' % place) for place in range(5)]
    assert places == sorted(places)


def test_a_caller_that_pipelines_without_reading_is_paused(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    callers_port.on_request = lambda caller, _request: caller.send_answer(
        _complete_answer(PART)
    )
    count = 200
    peer = driver.connect(callers_port.port)
    for number in range(count):
        peer.send(_get(number))
    driver.run_for(0.1)
    assert len(callers_port.requests) < count
    assert callers_port.buffered < MAX_BUFFERED_BYTES
    driver.run_until(
        lambda: peer._read() and peer.received.count(b'HTTP/1.1 200') == count
    )
    paths = [request.path for request in callers_port.requests]
    assert paths == [b'/%d' % number for number in range(count)]


def test_a_last_answer_is_complete_although_more_was_sent(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    body = bytes(3_000_000)
    closing = b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    old_request = b'GET /1 HTTP/1.0\r\n\r\n'
    for sent in (closing, old_request):
        peer = callers_port.call(sent + _get(2))
        for number in (3, 4):
            peer.send(_get(number))
        with mock.patch(f'{MODULE}._LINGER_S', 0.1):
            callers_port.caller.send_answer(_complete_answer(body))
            # The caller reads more slowly than the linger time.
            driver.run_for(0.3)
            answer = peer.read_until_end()
        assert not peer.was_reset
        assert b'Connection: close' in answer
        assert answer.endswith(body)
    assert {request.path for request in callers_port.requests} == {b'/1'}


def test_an_answer_without_length_to_an_old_caller_ends_by_closing(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = callers_port.call(b'GET / HTTP/1.0\r\n\r\n')
    callers_port.caller.send_answer(_first_part())
    callers_port.caller.send_part(AnswerCallerPart('', b'-rest', last=True))
    answer = peer.read_until_end()
    assert answer.endswith(b'\r\n\r\nhalf-rest')
    assert b'Transfer-Encoding' not in answer
    assert not peer.was_reset


def test_answers_without_a_body_keep_the_framing_in_sync(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    length = ((b'Content-Length', b'5'),)
    head = b'HEAD /1 HTTP/1.1\r\nHost: docs\r\n\r\n'
    for sent, status in ((head, 200), (_get(1), 204), (_get(1), 304)):
        peer = callers_port.call(sent)
        callers_port.caller.send_answer(_complete_answer(b'', status, length))
        peer.read_until(b'\r\n\r\n')
        peer.send(_get(2))
        callers_port.wait_for_requests(2)
        callers_port.caller.send_answer(_complete_answer(b'next'))
        answer = peer.read_until(b'next')
        rest = answer.partition(b'\r\n\r\n')[2]
        assert rest.startswith(b'HTTP/1.1 200')
        callers_port.requests.clear()


def test_a_caller_that_expects_to_continue_is_answered(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = driver.connect(callers_port.port)
    peer.send(EXPECTING)
    assert peer.read_until(b'\r\n\r\n').startswith(b'HTTP/1.1 100')
    peer.send(b'ab')
    driver.run_until(lambda: callers_port.requests)
    callers_port.caller.send_answer(_complete_answer(b'done'))
    assert peer.read_until(b'done').count(b'HTTP/1.1') == 2


def test_a_request_to_continue_is_answered_after_the_answers_before_it(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against an interim response in the middle of the body of another
    # answer, which looks whole (review/7).
    peer = callers_port.call(_get(1))
    peer.send(EXPECTING)
    length = ((b'Content-Length', b'10'),)
    callers_port.caller.send_answer(_first_part(length))
    peer.read_until(b'half')
    driver.run_for(0.05)
    assert b'HTTP/1.1 100' not in peer.read_now()
    callers_port.caller.send_part(AnswerCallerPart('', b'-whole', last=True))
    received = peer.read_until(b'HTTP/1.1 100')
    assert b'half-wholeHTTP/1.1 100' in received
    peer.send(b'ab')
    callers_port.wait_for_requests(2)
    assert callers_port.requests[1].body == b'ab'


def test_an_upgrade_is_answered_and_the_connection_stays_open(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = callers_port.call(
        b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: upgrade\r\n'
        b'Upgrade: h2c\r\n\r\n'
    )
    callers_port.caller.send_answer(_complete_answer(b'first'))
    peer.read_until(b'first')
    peer.send(_get(2))
    driver.run_until(lambda: len(callers_port.requests) == 2)
    callers_port.caller.send_answer(_complete_answer(b'second'))
    peer.read_until(b'second')


def test_a_stop_answers_a_request_that_is_partly_received(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = driver.connect(callers_port.port)
    peer.send(b'POST / HTTP/1.1\r\nHost: docs\r\nContent-Length: 4\r\n\r\nab')
    driver.run_until(lambda: callers_port.connections)
    driver.run_for(0.05)
    callers_port.caller.close_gracefully()
    assert callers_port.caller.is_busy
    driver.run_for(1.2)
    peer.send(b'cd')
    driver.run_until(lambda: callers_port.requests)
    callers_port.caller.send_answer(_complete_answer(b'done'))
    answer = peer.read_until_end()
    assert answer.endswith(b'done')
    assert b'Connection: close' in answer
    assert not peer.was_reset


def test_a_stop_closes_idle_connections_after_a_delay(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = driver.connect(callers_port.port)
    driver.run_until(lambda: callers_port.connections)
    callers_port.caller.close_gracefully()
    peer.send(_get(1))
    driver.run_until(lambda: callers_port.requests)
    callers_port.caller.send_answer(_complete_answer(b'done'))
    assert peer.read_until_end().endswith(b'done')
    peer = driver.connect(callers_port.port)
    driver.run_until(lambda: len(callers_port.connections) == 2)
    callers_port.caller.close_gracefully()
    peer.read_until_end()
    assert not peer.was_reset


def test_a_disconnect_after_the_last_request_is_reported(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    last = b'GET / HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    peer = callers_port.call(last)
    peer.sock.close()
    driver.run_until(lambda: driver.events_of(CallerDisconnected))
    assert driver.events_of(CallerDisconnected) == [CallerDisconnected('c1')]


def test_pipelined_safe_requests_overlap_and_are_answered_in_order(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = driver.connect(callers_port.port)
    driver.run_until(lambda: callers_port.connections)
    callers_port.caller.may_overlap = lambda request: request.method == b'GET'
    peer.send(_get(1) + _get(2))
    callers_port.wait_for_requests(2)
    second = AnswerCaller('c2', 200, (), b'second', last=True)
    callers_port.caller.send_answer(second)
    driver.run_for(0.05)
    assert not peer.received
    callers_port.caller.send_answer(
        AnswerCaller('c1', 200, (), b'first', last=True)
    )
    answer = peer.read_until(b'second')
    assert answer.index(b'first') < answer.index(b'second')


def test_a_request_that_may_not_overlap_waits_for_the_answers_before_it(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = driver.connect(callers_port.port)
    driver.run_until(lambda: callers_port.connections)
    callers_port.caller.may_overlap = lambda request: request.path != b'/2'
    peer.send(_get(1) + _get(2) + _get(3))
    callers_port.wait_for_requests(1)
    driver.run_for(0.05)
    assert len(callers_port.requests) == 1
    callers_port.caller.send_answer(AnswerCaller('c1', 200, (), b'', last=True))
    callers_port.wait_for_requests(2)
    driver.run_for(0.05)
    assert len(callers_port.requests) == 2


def test_an_answer_that_breaks_off_unsent_is_refused_in_its_turn(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = _pipeline_two_calls(callers_port)
    callers_port.caller.abort_answer(_broken('c2'))
    driver.run_for(0.05)
    assert not peer.read_now()
    callers_port.caller.send_answer(
        AnswerCaller('c1', 200, (), b'first', last=True)
    )
    received = peer.read_until(b'target-lost')
    first, _, refusal = received.partition(b'firstHTTP/1.1 502 ')
    assert first.startswith(b'HTTP/1.1 200')
    assert b'Daisyline-Outcome: unknown' in refusal
    peer.send(_get(3))
    callers_port.wait_for_requests(3)
    assert not peer.ended


def test_an_answer_that_breaks_off_takes_no_earlier_one_along(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against the loss of a sound answer: the one to a later request of
    # its connection breaks off before it is sent.
    peer = _pipeline_two_calls(callers_port)
    callers_port.caller.send_answer(AnswerCaller('c2', 200, (), b'2', False))
    ports = mock.Mock(find_caller=lambda _call, last: callers_port.caller)
    perform(_broken('c2'), mock.Mock(ports=ports))
    callers_port.caller.send_answer(
        AnswerCaller('c1', 200, (), b'first', last=True)
    )
    received = peer.read_until(b'target-lost')
    assert received.startswith(b'HTTP/1.1 200')
    assert received.count(b'firstHTTP/1.1 502 ') == 1
    assert received.count(b'HTTP/1.1') == 2
    assert not peer.ended


def _pipeline_two_calls(callers_port: CallersPort) -> Peer:
    """Return a caller whose calls c1 and c2 are in progress."""
    connections = callers_port.connections
    count = len(connections)
    peer = callers_port.driver.connect(callers_port.port)
    callers_port.driver.run_until(lambda: len(connections) > count)
    callers_port.caller.may_overlap = lambda _request: True
    peer.send(_get(1) + _get(2))
    callers_port.wait_for_requests(2)
    return peer


def test_an_answer_that_breaks_off_waits_until_earlier_ones_are_delivered(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against whole answers that the reset for a later one discards, as
    # the caller's kernel has not taken them yet (review/9).
    peer = _pipeline_two_calls(callers_port)
    body = b'x' * len(PART) * PART_COUNT
    for call, part, last in (('c1', body, True), ('c2', b'half', False)):
        answer = AnswerCaller(call, 200, (), part, last)
        callers_port.caller.send_answer(answer)
    callers_port.caller.abort_answer(_broken('c2'))
    driver.run_for(0.1)
    assert peer.read_until_end().count(b'x') == len(body)
    assert peer.was_reset


def test_earlier_answers_are_delivered_if_the_kernel_counts_no_bytes(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against an error that leaves a broken answer without its reset.
    peer = _pipeline_two_calls(callers_port)
    body = b'x' * len(PART) * PART_COUNT
    refused = mock.patch('fcntl.ioctl', side_effect=OSError)
    with mock.patch.object(delayed_reset, 'STALL_TIMEOUT_S', 2.0), refused:
        for call, part, last in (('c1', body, True), ('c2', b'half', False)):
            answer = AnswerCaller(call, 200, (), part, last)
            callers_port.caller.send_answer(answer)
        callers_port.caller.abort_answer(_broken('c2'))
        received = peer.read_until_end()
    assert received.count(b'x') == len(body)
    assert peer.was_reset


def test_callers_that_stop_reading_for_a_while_get_their_whole_answers(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against answers that are discarded since their caller reads
    # nothing for some seconds, with and without one that breaks off behind.
    body = b'x' * len(PART) * PART_COUNT
    peers = []
    for is_broken in (False, True):
        peers.append(_pipeline_two_calls(callers_port))
        whole = AnswerCaller('c1', 200, (), body, last=True)
        callers_port.caller.send_answer(whole)
        second = AnswerCaller('c2', 200, (), b'second', last=not is_broken)
        callers_port.caller.send_answer(second)
        callers_port.requests.clear()
    callers_port.caller.abort_answer(_broken('c2'))
    driver.run_for(READING_PAUSE_S)
    intact, broken = peers
    assert intact.read_until(b'second').count(b'x') == len(body)
    assert broken.read_until_end().count(b'x') == len(body)
    assert broken.was_reset


def test_a_caller_that_reads_nothing_delays_a_reset_for_a_bounded_time(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = _pipeline_two_calls(callers_port)
    with mock.patch.object(delayed_reset, 'STALL_TIMEOUT_S', 0.2):
        body = PART * PART_COUNT
        for call, part, last in (('c1', body, True), ('c2', b'half', False)):
            answer = AnswerCaller(call, 200, (), part, last)
            callers_port.caller.send_answer(answer)
        callers_port.caller.abort_answer(_broken('c2'))
        assert callers_port.caller._connection.is_open
        driver.run_until(lambda: not callers_port.caller._connection.is_open)
    peer.read_until_end()
    assert peer.was_reset


def test_a_caller_that_never_reads_loses_its_connection(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    short = attrs.evolve(ACCEPTED_TIMEOUTS, unread_s=1.0)
    with mock.patch(f'{Listener.__module__}.ACCEPTED_TIMEOUTS', short):
        peer = callers_port.call(_get(1))
    callers_port.caller.send_answer(_complete_answer(PART * PART_COUNT))
    driver.run_until(lambda: not callers_port.caller._connection.is_open)
    peer.sock.close()


def test_a_caller_that_ends_its_data_gets_the_whole_answers_before_it(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against whole answers that are discarded with the connection, as a
    # caller that sends no more requests may still read.
    closing = b'GET /1 HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    body = b'x' * len(PART) * PART_COUNT
    for sent in (_get(1), closing, b'GET /1 HTTP/1.0\r\n\r\n'):
        peer = callers_port.call(sent)
        callers_port.caller.send_answer(_complete_answer(body))
        peer.sock.shutdown(socket.SHUT_WR)
        driver.run_for(0.1)
        assert peer.read_until_end().endswith(body)
        assert not peer.was_reset


def test_a_caller_that_ends_its_data_gets_no_part_of_an_answer_as_whole(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    # Guards against a part without framing that looks like a whole answer.
    peer = callers_port.call(b'GET / HTTP/1.0\r\n\r\n')
    callers_port.caller.send_answer(_first_part())
    peer.read_until(b'half')
    peer.sock.shutdown(socket.SHUT_WR)
    peer.read_until_end()
    assert peer.was_reset
    assert driver.events_of(CallerDisconnected) == [CallerDisconnected('c1')]


def test_a_caller_that_ends_its_data_gets_the_whole_answers_before_a_part(
    driver: LoopDriver, callers_port: CallersPort
) -> None:
    peer = _pipeline_two_calls(callers_port)
    body = b'x' * len(PART) * WHOLE_PARTS
    for call, part, last in (('c1', body, True), ('c2', b'half', False)):
        answer = AnswerCaller(call, 200, (), part, last)
        callers_port.caller.send_answer(answer)
    assert not callers_port.buffered
    peer.sock.shutdown(socket.SHUT_WR)
    _run_until_disconnected(driver)
    driver.run_for(0.1)
    assert peer.read_until_end().count(b'x') == len(body)
    assert peer.was_reset
    assert driver.events_of(CallerDisconnected) == [CallerDisconnected('c2')]
