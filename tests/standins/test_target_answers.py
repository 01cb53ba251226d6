"""A stand-in target repeats answers, breaks them off or never ends them."""

import functools
from collections.abc import Iterator

import attrs

from daisyline.transport.sockets import Connection
from standins.http import Message
from standins.processes import HOST
from standins.target import TargetConfig
from standins.target_answers import ENDLESS_CHUNK_BYTES, FAULTY
from tests.standins.fixtures import Testbed
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

REQUEST = b'GET /instant HTTP/1.1\r\nHost: docs\r\nX-Call-Id: a\r\n\r\n'
MANY_BYTES = 8 * ENDLESS_CHUNK_BYTES
ENDLESS = tuple(name for name in FAULTY if name.startswith('endless'))


@attrs.define
class RawCaller:
    """A connection to a target, with the bytes received on it."""

    testbed: Testbed
    port: int
    received: bytearray = attrs.field(factory=bytearray)
    is_closed: bool = False

    def send(self) -> Connection:
        """Open a connection and send a request."""
        self.received.clear()
        self.is_closed = False
        connection = Connection.dial(self.testbed.loop, HOST, self.port)
        connection.handler = self
        connection.write(REQUEST)
        return connection

    def has_received_much(self) -> bool:
        """Return whether more was received than any answer has."""
        return len(self.received) > MANY_BYTES

    def handle_connected(self) -> None:
        """Do nothing; the request is written already."""

    def handle_drained(self) -> None:
        """Do nothing; the request is small."""

    def handle_bytes(self, octets: bytes) -> None:
        """Store the bytes."""
        self.received += octets

    def handle_eof(self) -> None:
        """Record that the target has closed the connection."""
        self.is_closed = True

    def handle_closed(self) -> None:
        """Record that the connection is closed."""
        self.is_closed = True


@fixture
def raw_caller(
    testbed: Testbed, target_config: TargetConfig
) -> Iterator[RawCaller]:
    yield RawCaller(testbed, target_config.port)


@fixture
def faulty_target(
    testbed: Testbed, target_config: TargetConfig
) -> Iterator[functools.partial[None]]:
    def set_answers(answers: str) -> None:
        fault = Message.post_json('/control/faults', {'answers': answers})
        testbed.send_request(target_config.control_port, fault)

    yield functools.partial(set_answers)


def test_a_repeated_answer_is_the_same_twice(
    testbed: Testbed,
    raw_caller: RawCaller,
    faulty_target: functools.partial[None],
) -> None:
    faulty_target('repeated')
    raw_caller.send()
    testbed.run_until(lambda: raw_caller.received.count(b'HTTP/1.1 200') == 2)
    first, second = raw_caller.received.split(b'HTTP/1.1 200')[1:]
    assert first == second


def test_a_broken_off_answer_ends_within_its_body(
    testbed: Testbed,
    raw_caller: RawCaller,
    faulty_target: functools.partial[None],
) -> None:
    faulty_target('broken-off')
    raw_caller.send()
    testbed.run_until(lambda: raw_caller.is_closed)
    head, body = bytes(raw_caller.received).split(b'\r\n\r\n')
    assert int(head.lower().split(b'content-length: ')[1].split()[0]) > len(
        body
    )


def test_an_endless_answer_goes_on_until_the_caller_closes(
    testbed: Testbed,
    raw_caller: RawCaller,
    faulty_target: functools.partial[None],
) -> None:
    for answers in ENDLESS:
        faulty_target(answers)
        connection = raw_caller.send()
        testbed.run_until(raw_caller.has_received_much)
        assert not raw_caller.is_closed, answers
        connection.abort()
