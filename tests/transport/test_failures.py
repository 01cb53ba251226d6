"""Failures between real processes.

Their effect is limited, they are detected, and no call runs twice.
"""

import collections
import contextlib
import functools
import signal
import threading
import time
from collections.abc import Iterator

import attrs

from standins.processes import HOST
from tests.fixtures import (
    Place,
    SmallFleet,
    fetch,
    send_and_read,
    wait_until,
)
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

ANNOUNCE_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 9
ORDERS = ('o0', 'o1', 'o2', 'o3')
READS = ('r0', 'r1', 'r2', 'r3')
BUDGET_CALLS = 20
POISON_REQUESTS = 8


def _request(
    path: str, call: str, extra: str = '', method: str = 'GET'
) -> bytes:
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: docs',
        f'X-Call-Id: {call}',
        'Connection: close',
        'Content-Length: 0',
        extra,
    )
    head = '\r\n'.join(line for line in lines if line)
    return f'{head}\r\n\r\n'.encode()


def _status(answer: bytes) -> str:
    return answer.split(b' ')[1].decode() if answer else 'none'


class Callers:
    """Concurrent callers; their answers are stored by call."""

    def __init__(self) -> None:
        """Start without callers."""
        self.answers: dict[str, bytes] = {}
        self._threads: list[threading.Thread] = []

    def call(self, port: int, call: str, sent: bytes) -> None:
        """Start one call."""
        thread = threading.Thread(
            target=lambda: self.answers.update(
                {call: send_and_read(port, sent, CALL_TIMEOUT_S)}
            )
        )
        self._threads.append(thread)
        thread.start()

    def join(self) -> None:
        """Wait for all calls."""
        for thread in self._threads:
            thread.join()


def _runs(places: list[Place]) -> collections.Counter[str]:
    """Return how often each call ran on the targets together."""
    ran: collections.Counter[str] = collections.Counter()
    for place in places:
        calls = fetch(place.control_port, '/control/calls')['calls']
        ran.update({name: one['runs'] for name, one in calls.items()})
    return ran


def _restart_crashed(fleet: SmallFleet) -> int:
    """Restart the targets that have crashed; return their number."""
    crashed = [
        place
        for place in fleet.places
        if place.target is not None and place.target.popen.poll() is not None
    ]
    for place in crashed:
        fleet.start_target(place)
    return len(crashed)


def test_a_repeated_poison_request_crashes_at_most_three_targets(
    fleet: SmallFleet,
) -> None:
    entry = fleet.places[0].callers_port
    crashes = 0
    answers = []
    for number in range(POISON_REQUESTS):
        send_and_read(entry, _request('/poison', f'p{number}'), CALL_TIMEOUT_S)
        crashes += _restart_crashed(fleet)
        _wait_until_answering(entry)
        answers += [
            _status(send_and_read(entry, _request('/x', f'x{number}-{again}')))
            for again in range(4)
        ]
    crashes += _restart_crashed(fleet)
    last = send_and_read(entry, _request('/poison', 'last'), CALL_TIMEOUT_S)
    assert 0 < crashes <= 3, crashes
    assert b'Daisyline-Reason: quarantined' in last
    assert set(answers) == {'200'}


def _wait_until_answering(port: int) -> None:
    wait_until(lambda: _is_answering(port))


def _is_answering(port: int) -> bool:
    return _status(send_and_read(port, _request('/x', 'again'))) == '200'


def _call_while_paused(
    fleet: SmallFleet,
) -> tuple[dict[str, bytes], collections.Counter[str]]:
    """Call while one of two nodes is paused; return answers and runs."""
    entry, other = fleet.places
    for place in fleet.places:
        place.set_faults(slow_factor=4)
    assert other.node is not None
    # The retry budget is a fraction of the served calls; these calls suffice
    # for a retry of each read that may be lost.
    for number in range(BUDGET_CALLS):
        send_and_read(entry.callers_port, _request('/x', f'earn{number}'))
    callers = Callers()
    other.node.signal(signal.SIGSTOP)
    started = time.monotonic()
    for order in ORDERS:
        sent = _request('/order', order, method='POST')
        callers.call(entry.callers_port, order, sent)
    for read in READS:
        callers.call(entry.callers_port, read, _request('/x', read))
    callers.join()
    took_s = time.monotonic() - started
    other.node.signal(signal.SIGCONT)
    time.sleep(1)
    ran = _runs(fleet.places)
    assert took_s < 6
    return callers.answers, ran


def test_calls_on_a_paused_node_end_in_time_and_run_once(
    fleet: SmallFleet,
) -> None:
    answers, ran = _call_while_paused(fleet)
    assert set(answers) == {*ORDERS, *READS}
    assert all(answers.values())
    for order in ORDERS:
        assert ran[order] <= 1, order
        if b'Daisyline-Outcome: not-run' in answers[order]:
            assert not ran[order], order
        if _status(answers[order]) == '200':
            assert ran[order] == 1, order


def test_reads_on_a_paused_node_are_answered_by_another(
    fleet: SmallFleet,
) -> None:
    answers, _ran = _call_while_paused(fleet)
    assert {_status(answers[read]) for read in READS} == {'200'}


@attrs.define
class Relayed:
    """A target whose node connects to it through a relay."""

    place: Place
    control: int

    def silence(self) -> int:
        """Silence the open connections for good; return their number."""
        fields = {'freeze': True}
        return int(fetch(self.control, '/faults', 'POST', fields)['hit'])


@fixture
def relayed(fleet: SmallFleet) -> Iterator[Relayed]:
    """The only target of the service, connected through a relay."""
    place, other = fleet.places
    for one in fleet.places:
        assert one.target is not None
        one.target.kill()
    port, control, unused_port = (fleet.ports.take() for _ in range(3))
    fleet.start_program(
        'standins.relay',
        port=port,
        control_port=control,
        to_port=place.calls_port,
    )
    fleet.start_program(
        'standins.target',
        port=place.calls_port,
        control_port=place.control_port,
        node_target_port=unused_port,
        service='docs',
        slots=2,
        cold_calls=0,
    )
    ended = threading.Event()
    thread = threading.Thread(target=_announce, args=(place, port, ended))
    thread.start()
    with contextlib.ExitStack() as stack:
        stack.callback(thread.join)
        stack.callback(ended.set)
        # The node that is called learns of the lapsed target by gossip. Until
        # then it may send a call with a key there, which is refused as not run.
        for node in fleet.places:
            wait_until(functools.partial(_lacks_target, node, other.name))
        wait_until(lambda: _is_answering(place.callers_port))
        yield Relayed(place, control)


def _announce(place: Place, port: int, ended: threading.Event) -> None:
    announcement = {
        'service': 'docs',
        'version': 'v1',
        'instance': 'relayed',
        'host': HOST,
        'port': port,
        'phase': 'ready',
    }
    while not ended.wait(ANNOUNCE_INTERVAL_S):
        with contextlib.suppress(OSError):
            fetch(place.node_target_port, '/announce', 'POST', announcement)


def _lacks_target(place: Place, name: str) -> bool:
    """Return whether a node lists another one without a target."""
    members = place.status()['members']
    return not any(one['name'] == name and one['service'] for one in members)


def test_connections_of_a_silent_target_fail_one_call_per_caller(
    relayed: Relayed,
) -> None:
    port = relayed.place.callers_port
    callers = Callers()
    for number in range(6):
        callers.call(port, f'w{number}', _request('/x', f'w{number}'))
    callers.join()
    silenced = relayed.silence()
    assert silenced >= 2
    short_deadline = 'X-Deadline-Ms: 1500'
    started = time.monotonic()
    first = send_and_read(
        port, _request('/x', 'first', short_deadline), CALL_TIMEOUT_S
    )
    took_s = time.monotonic() - started
    assert took_s < 3
    assert b'Daisyline-Outcome: not-run' not in first
    # The call occupies its slot until the connection is closed; then further
    # calls succeed.
    answers = [
        _status(
            send_and_read(
                port,
                _request('/x', f'n{again}', short_deadline),
                CALL_TIMEOUT_S,
            )
        )
        for again in range(6)
    ]
    assert set(answers) == {'200'}
    assert set(_runs([relayed.place]).values()) == {1}
