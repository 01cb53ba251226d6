"""Targets that repeat, break off or never end answers, over processes."""

import functools
import re
from concurrent.futures import ThreadPoolExecutor

from tests.fixtures import SmallFleet, send_and_read
from tests.support import function_tests

load_tests = function_tests(__name__)

CALLERS = 4
CALLS_PER_CALLER = 15
ENDLESS_HEADS = ('endless-status', 'endless-head', 'endless-interim')
READ_S = 9
# Fewer failures in a row than those that stop the calls to a target.
BROKEN_CALLS = 4


def _call(fleet: SmallFleet, method: str, call: str) -> bytes:
    port = fleet.places[0].callers_port
    request = (
        f'{method} /x HTTP/1.1\r\nHost: docs\r\nX-Call-Id: {call}\r\n'
        'Content-Length: 0\r\nConnection: close\r\n\r\n'
    )
    try:
        return send_and_read(port, request.encode(), READ_S)
    except ConnectionResetError:
        return b''


def _is_complete(answer: bytes) -> bool:
    head, _, body = answer.partition(b'\r\n\r\n')
    length = re.search(rb'content-length: (\d+)', head, re.IGNORECASE)
    return length is not None and len(body) == int(length.group(1))


def _is_own(answer: bytes, call: str) -> bool:
    return (
        answer.startswith(b'HTTP/1.1 200')
        and answer.count(b'HTTP/1.1') == 1
        and f'"call": "{call}"'.encode() in answer
    )


def _call_in_turn(fleet: SmallFleet, method: str, caller: int) -> list[str]:
    """Make calls one after the other; return those without an own answer."""
    calls = [
        f'{method}-{caller}-{number}' for number in range(CALLS_PER_CALLER)
    ]
    return [
        call for call in calls if not _is_own(_call(fleet, method, call), call)
    ]


def test_targets_that_repeat_each_answer_fail_no_call(
    fleet: SmallFleet,
) -> None:
    for place in fleet.places:
        place.set_faults(answers='repeated')
    with ThreadPoolExecutor(CALLERS) as pool:
        for method in ('GET', 'POST'):
            make_calls = functools.partial(_call_in_turn, fleet, method)
            failed = list(pool.map(make_calls, range(CALLERS)))
            assert not any(failed)


def test_reads_are_answered_beside_a_target_that_ends_no_head(
    fleet: SmallFleet,
) -> None:
    for answers in ENDLESS_HEADS:
        fleet.places[1].set_faults(answers=answers)
        for number in range(4):
            call = f'{answers}-{number}'
            assert _is_own(_call(fleet, 'GET', call), call), call


def test_an_answer_that_breaks_off_in_its_body_never_looks_complete(
    fleet: SmallFleet,
) -> None:
    for place in fleet.places:
        place.set_faults(answers='broken-off')
    for method in ('GET', 'POST'):
        answer = _call(fleet, method, f'{method}-call')
        is_success = answer.startswith(b'HTTP/1.1 200')
        assert not (is_success and _is_complete(answer))
    records = [target.run_calls() for target in fleet.places]
    runs = [run['POST-call']['runs'] for run in records if 'POST-call' in run]
    assert runs == [1]


def test_answers_that_break_off_block_no_request(fleet: SmallFleet) -> None:
    # Guards against a sound request that is refused everywhere, as its answers
    # broke off at targets that run on and report no start time.
    for place in fleet.places:
        place.set_faults(answers='broken-off')
    for number in range(BROKEN_CALLS):
        assert not _is_complete(_call(fleet, 'GET', f'broken-{number}'))
    for healed in fleet.places:
        healed.set_faults(answers='whole')
    answer = _call(fleet, 'GET', 'after')
    assert _is_own(answer, 'after'), answer
