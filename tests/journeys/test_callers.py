"""Idempotency keys and deadlines of callers with real processes."""

import re
import signal
import threading

from tests.fixtures import Place, SmallFleet, send_and_read, wait_until
from tests.journeys.rig import count_started_calls
from tests.support import function_tests

load_tests = function_tests(__name__)


def _call(place: Place, method: str, *headers: str) -> bytes:
    lines = (f'{method} /x HTTP/1.1', 'Host: docs', 'Connection: close')
    request = '\r\n'.join((*lines, 'Content-Length: 0', *headers, '', ''))
    return send_and_read(place.callers_port, request.encode(), 8)


def _header(answer: bytes, name: str) -> str:
    found = re.search(rf'{name}: (\S+)'.encode(), answer, re.IGNORECASE)
    return found[1].decode() if found else ''


def test_a_repeated_call_with_a_key_gets_the_first_answer(
    fleet: SmallFleet,
) -> None:
    first, second = fleet.places
    key = 'Idempotency-Key: order-1'
    answer = _call(first, 'POST', key, 'X-Call-Id: a')
    second_answer = _call(second, 'POST', key, 'X-Call-Id: b')
    assert answer.startswith(b'HTTP/1.1 200')
    assert second_answer.startswith(b'HTTP/1.1 200')
    assert _header(second_answer, 'X-Call-Id') == 'a'
    assert sum(map(count_started_calls, fleet.places)) == 1


def test_a_repeated_call_while_the_first_runs_is_refused_as_unknown(
    fleet: SmallFleet,
) -> None:
    for place in fleet.places:
        place.set_faults(slow_factor=100)
    key = 'Idempotency-Key: order-1'
    first = threading.Thread(target=_call, args=(fleet.places[0], 'POST', key))
    first.start()
    wait_until(lambda: sum(map(count_started_calls, fleet.places)))
    second_answer = _call(fleet.places[1], 'POST', key)
    first.join()
    assert second_answer.startswith(b'HTTP/1.1 409')
    assert _header(second_answer, 'Daisyline-Outcome') == 'unknown'
    assert _header(second_answer, 'Daisyline-Reason') == 'duplicate'
    assert sum(map(count_started_calls, fleet.places)) == 1


def test_a_callers_deadline_applies_and_its_outcome_is_unknown(
    fleet: SmallFleet,
) -> None:
    _send_signal_to_targets(fleet, signal.SIGSTOP)
    answer = _call(fleet.places[0], 'POST', 'X-Deadline-Ms: 300')
    _send_signal_to_targets(fleet, signal.SIGCONT)
    assert answer.startswith(b'HTTP/1.1 504')
    assert _header(answer, 'Daisyline-Reason') == 'deadline'
    assert _header(answer, 'Daisyline-Outcome') == 'unknown'
    assert _header(answer, 'Daisyline-Call').startswith('n0-')


def _send_signal_to_targets(fleet: SmallFleet, number: int) -> None:
    for place in fleet.places:
        assert place.target is not None
        place.target.signal(number)
