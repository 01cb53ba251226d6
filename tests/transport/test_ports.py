"""Requests become calls, with bounds on what callers say of themselves."""

import types
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.call_events import AnswerCaller, RequestReceived
from daisyline.state.settings import Settings
from daisyline.transport.ports import Ports
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)


@attrs.define
class Gate:
    """The port for callers of a node that has no target."""

    driver: LoopDriver
    ports: Ports

    def arrived(self, *lines: str) -> RequestReceived:
        """Send a request with some headers; return the call it became."""
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
def gate(driver: LoopDriver) -> Iterator[Gate]:
    """A node's port for callers, over decisions that only hold settings."""
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
    )
    ports = Ports(driver.loop, core, 1, driver.events.append)
    ports.listen_to_callers(HOST, 0)
    yield Gate(driver, ports)


def test_a_deadline_is_bounded_however_long_its_number(gate: Gate) -> None:
    now = gate.driver.loop.now()
    for asked in ('9' * 5000, '', '-1', 'soon'):
        event = gate.arrived(f'X-Deadline-Ms: {asked}')
        assert event.deadline - now < 6
    event = gate.arrived('X-Deadline-Ms: 9')
    assert event.deadline - now < 1


def test_keys_differ_unless_tenant_and_whole_key_are_the_same(
    gate: Gate,
) -> None:
    long = 'k' * 300
    keys = [
        gate.arrived(f'X-Tenant: {tenant}', f'Idempotency-Key: {key}').key
        for tenant, key in (
            ('a', long),
            ('a', f'{long}2'),
            ('b', long),
            ('a', long),
        )
    ]
    assert len(set(keys)) == 3
    assert keys[0] == keys[3]
    assert gate.arrived('X-Tenant: a').key == ''


def test_the_name_of_a_tenant_is_bounded(gate: Gate) -> None:
    long = 't' * 5000
    event = gate.arrived(f'x-TENANT: {long}')
    assert event.tenant.startswith('ttt')
    assert len(event.tenant) <= 128


def test_a_stop_takes_the_callers_that_wait_to_be_accepted(gate: Gate) -> None:
    fars = [gate.connect() for _ in range(100)]
    for far in fars:
        far.sock.send(_request())
    gate.ports.stop_accepting()
    gate.driver.run_until(lambda: len(gate.driver.events) == len(fars))
    assert gate.ports.busy_connections == len(fars)


def test_a_request_on_its_way_counts_as_busy(gate: Gate) -> None:
    far = gate.connect()
    far.send(_request()[:-2])
    gate.driver.run_until(lambda: gate.ports.busy_connections)
    far.sock.close()
    gate.driver.run_until(lambda: not gate.ports.busy_connections)
