"""Connections of callers hold no more than the account of memory allows."""

import contextlib
import tracemalloc
from collections.abc import Callable, Iterator

import attrs

from daisyline.coordination.calls.call_events import (
    AnswerCaller,
    AnswerCallerPart,
)
from daisyline.coordination.calls.caller_events import (
    CallerDisconnected,
)
from daisyline.coordination.memory.costly_bodies import MAX_COSTLY_BODIES
from daisyline.coordination.memory.memory_account import Kind, MemoryAccount
from daisyline.state.failures import Reason
from daisyline.transport.memory_guard import MemoryGuard
from tests.support import fixture, function_tests
from tests.transport.rig import Peer
from tests.transport.test_callers import CallersPort, _first_part, _get

load_tests = function_tests(__name__)

LIMIT_BYTES = 4000
BODY = b'x' * 3000
HEAD = b'POST / HTTP/1.1\r\nHost: docs\r\n%s\r\n\r\n'
UNFINISHED = HEAD % b'Content-Length: 3001' + BODY
WAITING_BODY = bytes(1_000_000)
FOLLOWING_PART = bytes(65_536)
FOLLOWING_PARTS = 100
TINY_CHUNK_COUNT = 4000
TINY_CHUNKS = (
    HEAD % b'Transfer-Encoding: chunked' + b'1\r\nx\r\n' * TINY_CHUNK_COUNT
)


@contextlib.contextmanager
def tracing() -> Iterator[Callable[[], int]]:
    """Provide a function that returns the bytes allocated since the start."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@attrs.define
class GuardedPort:
    """A port for callers whose connections share one account."""

    callers: CallersPort
    account: MemoryAccount

    def connect(self) -> Peer:
        """Connect a caller whose bytes are counted."""
        count = len(self.callers.connections)
        peer = self.callers.driver.connect(self.callers.port)
        self.callers.driver.run_until(
            lambda: len(self.callers.connections) > count
        )
        self.callers.caller.use_memory(MemoryGuard(self.account))
        return peer


@fixture
def guarded_port(callers_port: CallersPort) -> Iterator[GuardedPort]:
    """Provide a port whose account holds one body."""
    yield GuardedPort(callers_port, MemoryAccount(LIMIT_BYTES))


def test_a_body_without_room_is_refused_as_not_run(
    guarded_port: GuardedPort,
) -> None:
    first, second = guarded_port.connect(), guarded_port.connect()
    for peer in (first, second):
        peer.send(UNFINISHED)
    refused = second.read_until(b'memory is short')
    assert refused.startswith(b'HTTP/1.1 503')
    assert b'Daisyline-Outcome: not-run' in refused
    assert b'Retry-After: ' in refused
    assert not guarded_port.callers.requests
    assert guarded_port.account.held_bytes == len(UNFINISHED)
    first.send(b'x')
    guarded_port.callers.wait_for_requests(1)


def test_the_bytes_of_a_caller_that_disconnects_are_released(
    guarded_port: GuardedPort,
) -> None:
    peer = guarded_port.connect()
    peer.send(UNFINISHED)
    account = guarded_port.account
    guarded_port.callers.driver.run_until(lambda: account.held_bytes)
    peer.reset()
    guarded_port.callers.driver.run_until(lambda: not account.held_bytes)


def test_an_answer_that_is_not_read_gives_way_to_a_request(
    guarded_port: GuardedPort,
) -> None:
    # Guards against answers to many callers that read nothing.
    callers, account = guarded_port.callers, guarded_port.account
    account.limit_bytes = 40_000_000
    peer = guarded_port.connect()
    peer.send(_get(1))
    callers.wait_for_requests(1)
    part = attrs.evolve(_first_part(), body=bytes(30_000_000))
    callers.caller.send_answer(part)
    assert account.by_kind[Kind.ANSWERS]
    account.limit_bytes = LIMIT_BYTES
    guarded_port.connect().send(UNFINISHED)
    callers.driver.run_until(
        lambda: callers.driver.events_of(CallerDisconnected)
    )
    assert not account.by_kind[Kind.ANSWERS]


def test_answers_that_wait_for_an_earlier_one_are_refused_in_a_shortage(
    guarded_port: GuardedPort,
) -> None:
    # Guards against a caller that reads and loses all answers with its
    # connection, as some of them wait for their turn.
    callers, account = guarded_port.callers, guarded_port.account
    account.limit_bytes = 40_000_000
    peer = guarded_port.connect()
    caller = callers.caller
    caller.may_overlap = lambda _request: True
    peer.send(_get(1) + _get(2) + _get(3))
    callers.wait_for_requests(3)
    for call, last in (('c2', True), ('c3', False)):
        caller.send_answer(AnswerCaller(call, 200, (), WAITING_BODY, last))
    account.limit_bytes = LIMIT_BYTES
    guarded_port.connect().send(UNFINISHED)
    callers.driver.run_until(lambda: account.revocations)
    caller.send_answer(AnswerCaller('c1', 200, (), b'first', last=True))
    received = peer.read_until(b'Daisyline-Call: c3')
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.count(b'Daisyline-Outcome: unknown') == 2
    assert received.count(b'HTTP/1.1') == 3
    disconnected = callers.driver.events_of(CallerDisconnected)
    assert disconnected == [CallerDisconnected('c3')]
    caller.send_part(AnswerCallerPart('c3', b'late', last=True))
    assert account.by_kind[Kind.ANSWERS] == 0
    assert not peer.ended


def test_a_shortage_leaves_no_connection_open_behind_its_last_answer(
    guarded_port: GuardedPort,
) -> None:
    callers, account = guarded_port.callers, guarded_port.account
    account.limit_bytes = 40_000_000
    peer = guarded_port.connect()
    caller = callers.caller
    caller.may_overlap = lambda _request: True
    closing = b'GET /2 HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    peer.send(_get(1) + closing)
    callers.wait_for_requests(2)
    for call, last in (('c2', True), ('c1', False)):
        caller.send_answer(AnswerCaller(call, 200, (), WAITING_BODY, last))
    account.limit_bytes = LIMIT_BYTES
    guarded_port.connect().send(UNFINISHED)
    assert peer.read_until_end().count(b'HTTP/1.1 502 ') == 2


def test_answers_count_in_the_account_after_a_shortage(
    guarded_port: GuardedPort,
) -> None:
    callers, account = guarded_port.callers, guarded_port.account
    peer = guarded_port.connect()
    caller = callers.caller
    caller.may_overlap = lambda _request: True
    peer.send(_get(1) + _get(2) + _get(3))
    callers.wait_for_requests(3)
    for call in ('c2', 'c3'):
        caller.send_answer(AnswerCaller(call, 200, (), WAITING_BODY, True))
        assert 0 < account.by_kind[Kind.ANSWERS] < LIMIT_BYTES
    assert sum(account.revocations.values()) == 2


def test_a_single_body_in_tiny_chunks_is_decoded_in_turns(
    guarded_port: GuardedPort,
) -> None:
    # Guards against one connection that keeps the loop busy, and against a
    # refusal of a body that is within all limits.
    guarded_port.account.limit_bytes = 1_000_000
    peer = guarded_port.connect()
    peer.sock.send(TINY_CHUNKS)
    driver = guarded_port.callers.driver
    driver.run_until(lambda: guarded_port.account.held_bytes)
    assert guarded_port.callers.caller._awaits_turn
    peer.send(b'0\r\n\r\n')
    guarded_port.callers.wait_for_requests(1)
    assert guarded_port.callers.requests[0].body == b'x' * TINY_CHUNK_COUNT


def test_one_of_too_many_bodies_in_tiny_chunks_is_refused_as_not_run(
    guarded_port: GuardedPort,
) -> None:
    # Guards against connections that together keep the loop busy.
    guarded_port.account.limit_bytes = 10_000_000
    account = guarded_port.account
    peers = [guarded_port.connect() for _ in range(MAX_COSTLY_BODIES + 1)]
    for peer in peers:
        peer.send(TINY_CHUNKS)
    guarded_port.callers.driver.run_until(lambda: account.refusals)
    assert account.refusals == {Reason.OVERLOADED.value: 1}
    for sender in peers:
        sender.send(b'0\r\n\r\n')
    guarded_port.callers.wait_for_requests(MAX_COSTLY_BODIES)
    answered = [client.read_now() for client in peers]
    refused = next(answer for answer in answered if answer)
    assert refused.startswith(b'HTTP/1.1 503')
    assert b'Daisyline-Outcome: not-run' in refused
    assert b'Retry-After: ' in refused


def test_what_follows_a_refused_body_behind_a_request_is_not_kept(
    guarded_port: GuardedPort,
) -> None:
    # Guards against memory without bound for one client: the refusal waits for
    # an earlier answer while the client goes on sending (review/8).
    peer = guarded_port.connect()
    caller = guarded_port.callers.caller
    caller.may_overlap = lambda _request: True
    peer.send(_get(1) + HEAD % b'Content-Length: 10000000')
    guarded_port.callers.wait_for_requests(1)
    with tracing() as traced_bytes:
        for _ in range(FOLLOWING_PARTS):
            peer.send(FOLLOWING_PART)
        assert traced_bytes() < len(FOLLOWING_PART) * FOLLOWING_PARTS / 2
    caller.send_answer(_first_part())
    caller.send_part(AnswerCallerPart('', b'', last=True))
    received = peer.read_until_end()
    assert received.count(b'HTTP/1.1 200') == 1
    assert received.count(b'HTTP/1.1 413') == 1
