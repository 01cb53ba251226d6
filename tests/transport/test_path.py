"""The whole path, over real processes: callers, two nodes, two targets."""

import signal
import threading
import time

from tests.fixtures import SmallFleet, fetch, send_and_read, wait_until
from tests.support import function_tests

load_tests = function_tests(__name__)


def _get(path: str, call: str, extra: str = '') -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: docs\r\nX-Call-Id: {call}\r\n{extra}\r\n'
    ).encode()


def _sending(came: list[bytes], port: int, sent: bytes) -> threading.Thread:
    thread = threading.Thread(
        target=lambda: came.append(send_and_read(port, sent, 9))
    )
    thread.start()
    return thread


def test_the_path_reaches_the_target_byte_for_byte(fleet: SmallFleet) -> None:
    port = fleet.places[0].callers_port
    path = '/a%2Fb/../c//d*?x=%20&y'
    came = send_and_read(port, _get(path, 'one', 'Connection: close\r\n'))
    assert came.startswith(b'HTTP/1.1 200')
    assert path.encode() in came


def test_requests_sent_back_to_back_are_answered_in_order(
    fleet: SmallFleet,
) -> None:
    port = fleet.places[0].callers_port
    calls = [f'call-{number}' for number in range(8)]
    sent = b''.join(_get('/x', call) for call in calls[:-1])
    came = send_and_read(
        port, sent + _get('/x', calls[-1], 'Connection: close\r\n')
    )
    places = [came.index(f'X-Call-Id: {call}\r'.encode()) for call in calls]
    assert places == sorted(places)
    assert came.count(b'HTTP/1.1 200') == len(calls)


def test_ambiguous_framing_is_refused_and_reaches_no_target(
    fleet: SmallFleet,
) -> None:
    port = fleet.places[0].callers_port
    framings = (
        'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        'Content-Length: abc\r\n\r\nabc',
        'Content-Length: -1\r\n\r\nabc',
        'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n',
    )
    for framing in framings:
        head = (
            'POST /smuggled HTTP/1.1\r\nHost: docs\r\nX-Call-Id: smuggled\r\n'
        )
        came = send_and_read(port, (head + framing).encode())
        assert came.startswith(b'HTTP/1.1 400'), framing
        assert b'Daisyline-Outcome: not-run' in came
        assert came.count(b'HTTP/1.1') == 1, framing
    whole = f'{head}Connection: close\r\nContent-Length: 3\r\n\r\nabc'
    assert send_and_read(port, whole.encode()).startswith(b'HTTP/1.1 200')
    calls = [
        fetch(place.control_port, '/control/calls') for place in fleet.places
    ]
    runs = [
        one['calls']['smuggled']['runs']
        for one in calls
        if 'smuggled' in one['calls']
    ]
    # The whole one alone, which shows that the record would have told.
    assert runs == [1]


def test_head_expect_chunks_and_hop_by_hop_headers(fleet: SmallFleet) -> None:
    port = fleet.places[0].callers_port
    close = 'Connection: close\r\n'
    came = send_and_read(
        port, f'HEAD /x HTTP/1.1\r\nHost: docs\r\n{close}\r\n'.encode()
    )
    assert came.startswith(b'HTTP/1.1 200')
    assert came.endswith(b'\r\n\r\n')
    chunked = (
        'POST /x HTTP/1.1\r\nHost: docs\r\nTransfer-Encoding: chunked\r\n'
        f'Expect: 100-continue\r\n{close}\r\n3\r\nabc\r\n0\r\n\r\n'
    )
    came = send_and_read(port, chunked.encode())
    assert b'HTTP/1.1 200' in came


def test_a_body_over_the_limit_is_refused_as_not_run(fleet: SmallFleet) -> None:
    port = fleet.places[0].callers_port
    head = 'POST /x HTTP/1.1\r\nHost: docs\r\nContent-Length: 99999999\r\n\r\n'
    came = send_and_read(port, head.encode())
    assert came.startswith(b'HTTP/1.1 413')
    assert b'Daisyline-Outcome: not-run' in came


def test_an_order_whose_node_is_killed_is_unknown_and_not_run_again(
    fleet: SmallFleet,
) -> None:
    entry, other = fleet.places
    other.set_faults(slow_factor=400)
    entry.set_faults(slow_factor=400)
    sent = (
        b'POST /order HTTP/1.1\r\nHost: docs\r\nX-Call-Id: order-%d\r\n'
        b'Connection: close\r\nContent-Length: 0\r\n\r\n'
    )
    came: list[bytes] = []
    threads = [
        _sending(came, entry.callers_port, sent % number) for number in range(4)
    ]
    wait_until(lambda: other.run_calls())
    ran = len(other.run_calls())
    assert other.node is not None
    other.node.kill()
    for thread in threads:
        thread.join()
    unknown = [one for one in came if b'Daisyline-Outcome: unknown' in one]
    assert len(unknown) >= ran
    assert len(other.run_calls()) == ran
    calls = [
        fetch(place.control_port, '/control/calls') for place in fleet.places
    ]
    runs = {
        name: record['runs']
        for one in calls
        for name, record in one['calls'].items()
    }
    assert set(runs.values()) == {1}
    assert len(runs) == sum(len(one['calls']) for one in calls)


def test_a_node_told_to_stop_cuts_no_call(fleet: SmallFleet) -> None:
    entry, other = fleet.places
    entry.set_faults(slow_factor=60)
    other.set_faults(slow_factor=60)
    came: list[bytes] = []
    sent = _get('/x', 'slow', 'Connection: close\r\n')
    threads = [
        _sending(came, place.callers_port, sent) for place in fleet.places
    ]
    time.sleep(0.2)
    assert other.node is not None
    assert other.node.stop() == 0
    for thread in threads:
        thread.join()
    assert [one.split(b' ')[1] for one in came] == [b'200', b'200']


def test_a_frozen_node_does_no_harm_and_takes_part_again(
    fleet: SmallFleet,
) -> None:
    entry, other = fleet.places
    assert other.node is not None
    other.node.signal(signal.SIGSTOP)
    answers = [
        send_and_read(
            entry.callers_port,
            _get('/x', f'f{number}', 'Connection: close\r\n'),
            8,
        )
        for number in range(6)
    ]
    other.node.signal(signal.SIGCONT)
    assert all(one.startswith(b'HTTP/1.1 200') for one in answers)
    wait_until(lambda: fetch(entry.operators_port, '/status')['members'][1:])
