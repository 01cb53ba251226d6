"""What the page for callers says holds on real processes."""

import re
import signal
import threading

from tests.fixtures import Place, SmallFleet, send_and_read, wait_until
from tests.journeys.rig import count_started_calls
from tests.support import function_tests

load_tests = function_tests(__name__)


def _call(place: Place, method: str, *headers: str) -> bytes:
    lines = (f'{method} /x HTTP/1.1', 'Host: docs', 'Connection: close')
    sent = '\r\n'.join((*lines, 'Content-Length: 0', *headers, '', ''))
    return send_and_read(place.callers_port, sent.encode(), 8)


def _header(came: bytes, name: str) -> str:
    found = re.search(rf'{name}: (\S+)'.encode(), came, re.IGNORECASE)
    return found[1].decode() if found else ''


def test_a_re_send_under_a_key_gets_the_answer_of_the_first(
    fleet: SmallFleet,
) -> None:
    first, second = fleet.places
    key = 'Idempotency-Key: order-1'
    came = _call(first, 'POST', key, 'X-Call-Id: a')
    again = _call(second, 'POST', key, 'X-Call-Id: b')
    assert came.startswith(b'HTTP/1.1 200')
    assert again.startswith(b'HTTP/1.1 200')
    assert _header(again, 'X-Call-Id') == 'a'
    assert sum(map(count_started_calls, fleet.places)) == 1


def test_a_re_send_while_the_first_runs_is_refused_as_unknown(
    fleet: SmallFleet,
) -> None:
    for place in fleet.places:
        place.set_faults(slow_factor=100)
    key = 'Idempotency-Key: order-1'
    first = threading.Thread(target=_call, args=(fleet.places[0], 'POST', key))
    first.start()
    wait_until(lambda: sum(map(count_started_calls, fleet.places)))
    again = _call(fleet.places[1], 'POST', key)
    first.join()
    assert again.startswith(b'HTTP/1.1 409')
    assert _header(again, 'Daisyline-Outcome') == 'unknown'
    assert _header(again, 'Daisyline-Reason') == 'duplicate'
    assert sum(map(count_started_calls, fleet.places)) == 1


def test_a_deadline_of_the_caller_holds_and_is_told_truly(
    fleet: SmallFleet,
) -> None:
    _signal_targets(fleet, signal.SIGSTOP)
    came = _call(fleet.places[0], 'POST', 'X-Deadline-Ms: 300')
    _signal_targets(fleet, signal.SIGCONT)
    assert came.startswith(b'HTTP/1.1 504')
    assert _header(came, 'Daisyline-Reason') == 'deadline'
    assert _header(came, 'Daisyline-Outcome') == 'unknown'
    assert _header(came, 'Daisyline-Call').startswith('n0-')


def _signal_targets(fleet: SmallFleet, number: int) -> None:
    for place in fleet.places:
        assert place.target is not None
        place.target.signal(number)
