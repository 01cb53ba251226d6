"""Requests become calls, with bounds on the values of callers' headers."""

import types
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.calls.call_events import (
    AnswerCaller,
    RequestReceived,
)
from daisyline.coordination.calls.caller_events import CallerDisconnected
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.state.settings import Settings
from daisyline.transport.ports import Ports
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)

# More than the kernel takes for a caller that does not read.
LONG_BODY = b'x' * 16_000_000
BODY = b'x' * 100_000


@attrs.define
class CallersPort:
    """The port for callers of a node that has no target."""

    driver: LoopDriver
    ports: Ports

    def receive(self, *lines: str) -> RequestReceived:
        """Send a request with some headers; return its event."""
        count = len(self.driver.events)
        self.connect().send(_request(*lines))
        self.driver.run_until(lambda: len(self.driver.events) > count)
        event: RequestReceived = self.driver.events[-1]
        answer = AnswerCaller(event.call, 200, (), b'', last=True)
        connection = self.ports.find_caller(event.call, last=True)
        assert connection is not None
        connection.send_answer(answer)
        return event

    def connect(self) -> Peer:
        """Connect as a caller."""
        listener: Any = self.ports._listeners[0]
        return self.driver.connect(listener.port)


def _request(*lines: str) -> bytes:
    head = '\r\n'.join(('GET / HTTP/1.1', 'Host: docs', *lines, '', ''))
    return head.encode()


@fixture
def port(driver: LoopDriver) -> Iterator[CallersPort]:
    """A node's port for callers; its core has settings and nothing else."""
    settings = Settings.from_tree(
        1,
        {
            'defaults': {'tenant_header': 'X-Tenant', 'deadline_ms': 5000},
            'services': {'docs': {}},
        },
    )
    core: Any = types.SimpleNamespace(
        name='n0',
        fleet=types.SimpleNamespace(settings=settings),
        target_side=types.SimpleNamespace(calls={}, target=None),
        memory=MemoryAccount.from_config(None),
    )
    ports = Ports(driver.loop, core, 1, driver.events.append)
    ports.listen_to_callers(HOST, 0)
    yield CallersPort(driver, ports)


def test_a_deadline_is_bounded_for_any_header_value(port: CallersPort) -> None:
    now = port.driver.loop.now()
    for header in ('9' * 5000, '', '-1', 'soon'):
        event = port.receive(f'X-Deadline-Ms: {header}')
        assert event.deadline - now < 6
    event = port.receive('X-Deadline-Ms: 9')
    assert event.deadline - now < 1


def test_keys_differ_unless_tenant_and_whole_key_are_the_same(
    port: CallersPort,
) -> None:
    long = 'k' * 300
    keys = [
        port.receive(f'X-Tenant: {tenant}', f'Idempotency-Key: {key}').key
        for tenant, key in (
            ('a', long),
            ('a', f'{long}2'),
            ('b', long),
            ('a', long),
        )
    ]
    assert len(set(keys)) == 3
    assert keys[0] == keys[3]
    assert port.receive('X-Tenant: a').key == ''


def test_the_length_of_a_tenant_name_is_bounded(port: CallersPort) -> None:
    long = 't' * 5000
    event = port.receive(f'x-TENANT: {long}')
    assert event.tenant.startswith('ttt')
    assert len(event.tenant) <= 128


def test_a_stop_accepts_the_connections_that_wait(port: CallersPort) -> None:
    peers = [port.connect() for _ in range(100)]
    for peer in peers:
        peer.sock.send(_request())
    port.ports.stop_accepting()
    port.driver.run_until(lambda: len(port.driver.events) == len(peers))
    assert port.ports.busy_connections == len(peers)


def test_a_partly_received_request_counts_as_busy(port: CallersPort) -> None:
    peer = port.connect()
    peer.send(_request()[:-2])
    port.driver.run_until(lambda: port.ports.busy_connections)
    peer.sock.close()
    port.driver.run_until(lambda: not port.ports.busy_connections)


def _start_long_answer(port: CallersPort, head: str) -> Peer:
    """Answer a request whose caller does not read, and return the caller."""
    peer = port.connect()
    peer.send(head.encode())
    port.driver.run_until(lambda: port.driver.events)
    call = port.driver.events[-1].call
    answer = AnswerCaller(call, 200, (), LONG_BODY, last=True)
    connection = port.ports.find_caller(call, last=True)
    assert connection is not None
    connection.send_answer(answer)
    return peer


def test_a_connection_is_busy_until_its_last_byte_is_sent(
    port: CallersPort,
) -> None:
    # Guards against answers that are cut short as a node that is stopped ends
    # with them in its own buffers.
    for version in ('1.0', '1.1'):
        head = f'GET / HTTP/{version}\r\nHost: docs\r\n\r\n'
        peer = _start_long_answer(port, head)
        assert port.ports.busy_connections == 1
        peer.read_until(LONG_BODY)
        port.driver.run_for(0.05)
        assert port.ports.busy_connections == 0
        port.driver.events.clear()


def test_an_answer_that_is_unfinished_when_a_node_ends_is_reset(
    port: CallersPort,
) -> None:
    # Guards against an answer without a length that looks whole to its caller
    # as its node ends.
    peer = _start_long_answer(port, 'GET / HTTP/1.0\r\nHost: docs\r\n\r\n')
    port.ports.close()
    port.driver.run_for(0.05)
    try:
        while peer.sock.recv(65_536):
            port.driver.run_once()
    except ConnectionResetError:
        return
    raise AssertionError('the connection ended in order')


def test_whole_answers_behind_one_in_progress_are_sent_as_a_node_ends(
    port: CallersPort,
) -> None:
    # Guards against whole answers that are lost with an earlier one that is
    # not whole by the end of a planned stop.
    port.ports._may_overlap = lambda _request: True
    peer = port.connect()
    peer.send(3 * _request())
    port.driver.run_until(lambda: len(port.driver.events) == 3)
    calls = [event.call for event in port.driver.events]
    connection = port.ports.find_caller(calls[1], last=True)
    assert connection is not None
    whole = AnswerCaller(calls[1], 200, (), BODY, last=True)
    connection.send_answer(whole)
    port.ports.close()
    received = peer.read_until_end()
    assert not peer.was_reset
    refusal, _, answer = received.partition(b'HTTP/1.1 200 ')
    assert refusal.startswith(b'HTTP/1.1 502 ')
    assert b'Daisyline-Outcome: unknown' in refusal
    assert answer.partition(b'HTTP/1.1 502 ')[0].endswith(BODY)
    lost = port.driver.events_of(CallerDisconnected)
    assert {event.call for event in lost} == {calls[0], calls[2]}


def test_no_request_is_received_while_a_node_ends(port: CallersPort) -> None:
    # Guards against a request on a kept connection that is sent on while the
    # node closes its streams, and is cut off as it ends.
    peer = port.connect()
    peer.send(_request())
    port.driver.run_until(lambda: port.driver.events)
    call = port.driver.events[-1].call
    connection = port.ports.find_caller(call, last=True)
    assert connection is not None
    connection.send_answer(AnswerCaller(call, 200, (), b'first', last=True))
    peer.read_until(b'first')
    peer.sock.send(_request())
    port.ports.close()
    port.driver.run_for(0.05)
    assert len(port.driver.events) == 1
    assert port.ports.busy_connections == 0
