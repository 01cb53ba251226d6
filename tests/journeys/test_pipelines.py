"""Clients that pipeline get every whole answer, over processes."""

import contextlib
import functools
import itertools
import socket
import time
from collections.abc import Iterator
from http.client import parse_headers
from typing import Any

import attrs

from standins.processes import HOST
from tests.fixtures import wait_until
from tests.journeys.raw_target import RawPlace, Received
from tests.support import function_tests

load_tests = function_tests(__name__)

OK = 200
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
CLIENT_TIMEOUT_S = 10.0
REQUESTS = 7
POSITIONS = (0, REQUESTS // 2, REQUESTS - 1)
BROKEN = 'broken'
WHOLE_BODY = bytes(range(256)) * 400
# Longer than what the node holds for a retry.
PART = bytes(75_000)
# Other answers are whole by then.
BREAK_AFTER_S = 0.2
# The framing of an answer, and whether its target resets the connection.
BREAKS = (
    (b'Content-Length: 150000', PART, False),
    (b'Content-Length: 150000', PART, True),
    (b'Transfer-Encoding: chunked', b'%x\r\n%s' % (len(PART) + 1, PART), False),
    (b'X-Filler: 1', PART, True),
)


@attrs.define
class PipeliningClient:
    """One connection of a client that sends requests without waiting."""

    sock: socket.socket
    stream: Any

    def send(self, calls: list[str]) -> None:
        """Send requests together."""
        request = (
            'GET /pages/{0} HTTP/1.1\r\nHost: shop.example\r\n'
            'Deadline-Ms: 2000\r\nAttempt-Id: {0}\r\n\r\n'
        )
        self.sock.sendall(''.join(map(request.format, calls)).encode())

    def read_answer(self) -> tuple[int, bytes] | None:
        """Return the status and body of an answer; None if it is not whole."""
        with contextlib.suppress(OSError):
            status_line = self.stream.readline().split()
            length = int(parse_headers(self.stream).get('Content-Length', '-1'))
            body = self.stream.read(length)
            if len(body) == length:
                return int(status_line[1]), body
        return None


@contextlib.contextmanager
def _connect(place: RawPlace) -> Iterator[PipeliningClient]:
    address = (HOST, place.callers)
    with socket.create_connection(address, CLIENT_TIMEOUT_S) as sock:
        yield PipeliningClient(sock, sock.makefile('rb'))


def _answer(
    framing: bytes,
    part: bytes,
    resets: bool,
    received: Received,
    silent_s: float = BREAK_AFTER_S,
) -> None:
    """Break one answer off, and send the others whole."""
    if received.call.startswith(BROKEN.encode()):
        received.send(received.head(b'200 OK', framing) + part)
        time.sleep(silent_s)
        if resets:
            received.reset()
        return
    length = b'Content-Length: %d' % len(WHOLE_BODY)
    head = received.head(b'200 OK', length, b'Connection: close')
    received.send(head + WHOLE_BODY)


def test_an_answer_that_breaks_off_takes_no_other_of_its_connection_along(
    raw_place: RawPlace,
) -> None:
    # Guards against whole answers that are lost with their connection because
    # another answer of it breaks off, wherever that one stands (review/9).
    for number, case in enumerate(itertools.product(POSITIONS, BREAKS)):
        position, broken = case
        calls = [f'call{number}-{place}' for place in range(REQUESTS)]
        calls[position] = f'{BROKEN}{number}'
        wait_until(raw_place.is_answering)
        raw_place.target.answer = functools.partial(_answer, *broken)
        with _connect(raw_place) as client:
            client.send(calls)
            answers = [client.read_answer() for _ in calls]
        refusal = answers.pop(position)
        lost = REQUESTS - 1 - answers.count((OK, WHOLE_BODY))
        assert not lost, f'{lost} lost, {case[0]}, {broken[0]!r}'
        if refusal is None:
            # The last answer is sent as it comes, and its part was reset.
            assert position == REQUESTS - 1
        else:
            assert refusal[0] == BAD_GATEWAY
        assert set(calls) <= set(raw_place.target.requests)


def test_answers_behind_one_that_stands_still_wait_until_its_deadline(
    raw_place: RawPlace,
) -> None:
    # Guards against whole answers that are kept back for much longer than
    # their clients wait, as the target of another one stands still.
    raw_place.use_slots(2 * REQUESTS, usable=REQUESTS)
    calls = [BROKEN, *(f'call{place}' for place in range(1, REQUESTS))]
    raw_place.target.answer = functools.partial(
        _answer, *BREAKS[0], silent_s=2 * CLIENT_TIMEOUT_S
    )
    with _connect(raw_place) as client:
        client.send(calls)
        refusal = client.read_answer()
        answers = [client.read_answer() for _ in calls[1:]]
    assert refusal is not None
    assert refusal[0] == GATEWAY_TIMEOUT
    assert answers.count((OK, WHOLE_BODY)) == REQUESTS - 1
