"""Clients get no broken answer of a target, over processes."""

import functools
import itertools
import time
from collections.abc import Iterable

from tests.fixtures import wait_until
from tests.journeys.memory_rig import MACHINE_MB, peak_bytes
from tests.journeys.raw_target import RawPlace, Received
from tests.support import function_tests

load_tests = function_tests(__name__)

OK = 200
BAD_GATEWAY = 502
# Parts of a body within and beyond what a node holds for a retry.
PARTS = (b'a part of the body', bytes(200_000))
# Longer than what the kernels on the way to the target buffer.
UPLOAD = bytes(8_000_000)
# The reset comes with the part, or after it was read.
WAITS_S = (0, 0.005, 0.02, 0.05)
GARBLED = b'\x01' * 60_000
GARBLED_ANSWERS = 400
# Fewer failures in a row than those that stop the calls to a target.
CALLS_BETWEEN_CHECKS = 4
BYTES_PER_MB = 1_000_000
CHUNKED = b'Transfer-Encoding: chunked'
ENDLESS_BYTES = 2 * MACHINE_MB * BYTES_PER_MB
BLOCK_BYTES = 65_536


def _reset_after(part: bytes, wait_s: float, received: Received) -> None:
    received.send(received.head(b'200 OK') + part)
    time.sleep(wait_s)
    received.reset()


def test_an_upload_whose_answer_is_reset_gets_no_part_of_it_as_whole(
    raw_place: RawPlace,
) -> None:
    got = {}
    for number, case in enumerate(itertools.product(PARTS, WAITS_S, range(2))):
        part, wait_s, _ = case
        call = f'u{number}'
        # A target that fails several calls in a row gets none for a while.
        wait_until(raw_place.is_answering)
        raw_place.target.answer = functools.partial(_reset_after, part, wait_s)
        answer = raw_place.send(call, body=UPLOAD)
        assert raw_place.target.count_sent(call) > len(part)
        got[len(part), wait_s, call] = answer and answer[0]
    assert OK not in got.values(), got


def _answer_with(
    status: bytes, line: bytes, body: bytes, received: Received
) -> None:
    head = received.head(status, b'X-First: 1', line, b'X-Last: 1')
    received.send(head + body)


def _collect_answers(
    place: RawPlace, heads: Iterable[tuple[bytes, bytes, bytes]]
) -> dict[tuple[bytes, ...], int | None]:
    """Return the status that a client got for each answer of the target.

    Args:
        place: The node and the target.
        heads: The status, a line and the body of each answer.
    """
    got: dict[tuple[bytes, ...], int | None] = {}
    for number, head in enumerate(heads):
        call = f'c{number}'
        wait_until(place.is_answering)
        place.target.answer = functools.partial(_answer_with, *head)
        answer = place.send(call)
        assert place.target.count_sent(call), head
        got[head] = answer and answer[0]
    return got


def test_an_answer_whose_status_is_no_status_reaches_no_client(
    raw_place: RawPlace,
) -> None:
    heads = itertools.product(
        (b'000 Trouble', b'000', b'099 Trouble', b'00 Trouble', b'2 0 OK'),
        (b'Content-Length: 2', b'X-Filler: 1'),
        (b'ok',),
    )
    got = _collect_answers(raw_place, heads)
    assert set(got.values()) == {BAD_GATEWAY}, got


def test_an_answer_with_a_garbled_field_name_reaches_no_client(
    raw_place: RawPlace,
) -> None:
    # Guards against a line that is passed on, and against a body that a
    # client finds in another way than the target meant.
    names = (
        b'X Filler',
        b'X-Filler ',
        b' X-Filler',
        b'\tX-Filler',
        b'X\x01Filler',
        b'X\x7fFiller',
        b'X-Filler\r',
    )
    lines = [b'%s: 1' % name for name in names]
    heads = [(b'200 OK', line, b'ok') for line in lines]
    heads += [
        (b'200 OK', b' Content-Length: 2', b'ok and more'),
        (b'200 OK', b'Content Length: 2', b'ok and more'),
        (b'200 OK', b' Transfer-Encoding: chunked', b'2\r\nok\r\n0\r\n\r\n'),
    ]
    got = _collect_answers(raw_place, heads)
    assert set(got.values()) == {BAD_GATEWAY}, got


def test_garbled_answers_take_no_memory_of_a_node(raw_place: RawPlace) -> None:
    # Guards against errors that quote what was received and are kept.
    answer_garbled = functools.partial(_answer_with, b'200 OK', GARBLED, b'')
    for number in range(GARBLED_ANSWERS):
        if number % CALLS_BETWEEN_CHECKS == 0:
            wait_until(raw_place.is_answering)
        call = f'g{number}'
        raw_place.target.answer = answer_garbled
        assert raw_place.send(call) is not None
        assert raw_place.target.count_sent(call) > len(GARBLED)
    assert peak_bytes(raw_place.node) < MACHINE_MB * BYTES_PER_MB


def _write_without_end(
    lines: tuple[bytes, ...] | None,
    start: bytes,
    rest: bytes,
    received: Received,
) -> None:
    """Write more than the machine's memory, until the node closes.

    Args:
        lines: Further lines of the answer's head; None for no head.
        start: The bytes after the head.
        rest: The bytes that follow again and again.
        received: The request.
    """
    head = b'' if lines is None else received.head(b'200 OK', *lines)
    received.send(head + start)
    block = rest * (BLOCK_BYTES // len(rest))
    while received.sent_bytes < ENDLESS_BYTES:
        received.send(block)


def test_bytes_without_end_take_no_memory_of_a_node(
    raw_place: RawPlace,
) -> None:
    endless = (
        (None, b'HTTP/1.1 200 ', b'x'),
        (None, b'HTTP/1.1 200 OK\r\n', b'X-Filler: x\r\n'),
        (None, b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        (None, b'', bytes(range(256))),
        ((), b'', b'x'),
        ((CHUNKED,), b'', b'0'),
        ((CHUNKED,), b'', b'1\r\nx\r\n'),
        ((CHUNKED,), b'1;', b'x'),
        ((CHUNKED,), b'0\r\n', b'X-Filler: x\r\n'),
    )
    target = raw_place.target
    for number, written in enumerate(endless):
        call = f'e{number}'
        wait_until(raw_place.is_answering)
        target.answer = functools.partial(_write_without_end, *written)
        raw_place.send_and_discard(call)
        assert target.count_sent(call), written
        peak_mb = peak_bytes(raw_place.node) / BYTES_PER_MB
        assert peak_mb < MACHINE_MB, written
    wait_until(raw_place.is_answering)
