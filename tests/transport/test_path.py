"""The whole path over real processes: callers, two nodes and two targets."""

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


def _send_in_thread(
    answers: list[bytes], port: int, sent: bytes
) -> threading.Thread:
    thread = threading.Thread(
        target=lambda: answers.append(send_and_read(port, sent, 9))
    )
    thread.start()
    return thread


def test_the_path_reaches_the_target_byte_for_byte(fleet: SmallFleet) -> None:
    port = fleet.places[0].callers_port
    path = '/a%2Fb/../c//d*?x=%20&y'
    answer = send_and_read(port, _get(path, 'one', 'Connection: close\r\n'))
    assert answer.startswith(b'HTTP/1.1 200')
    assert path.encode() in answer


def test_requests_sent_without_waiting_are_answered_in_order(
    fleet: SmallFleet,
) -> None:
    port = fleet.places[0].callers_port
    calls = [f'call-{number}' for number in range(8)]
    sent = b''.join(_get('/x', call) for call in calls[:-1])
    answer = send_and_read(
        port, sent + _get('/x', calls[-1], 'Connection: close\r\n')
    )
    places = [answer.index(f'X-Call-Id: {call}\r'.encode()) for call in calls]
    assert places == sorted(places)
    assert answer.count(b'HTTP/1.1 200') == len(calls)


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
        answer = send_and_read(port, (head + framing).encode())
        assert answer.startswith(b'HTTP/1.1 400'), framing
        assert b'Daisyline-Outcome: not-run' in answer
        assert answer.count(b'HTTP/1.1') == 1, framing
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
    # Only the well-formed request ran. Its entry proves that the record would
    # list the others as well.
    assert runs == [1]


def test_head_expect_chunks_and_hop_by_hop_headers(fleet: SmallFleet) -> None:
    port = fleet.places[0].callers_port
    close = 'Connection: close\r\n'
    answer = send_and_read(
        port, f'HEAD /x HTTP/1.1\r\nHost: docs\r\n{close}\r\n'.encode()
    )
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.endswith(b'\r\n\r\n')
    chunked = (
        'POST /x HTTP/1.1\r\nHost: docs\r\nTransfer-Encoding: chunked\r\n'
        f'Expect: 100-continue\r\n{close}\r\n3\r\nabc\r\n0\r\n\r\n'
    )
    answer = send_and_read(port, chunked.encode())
    assert b'HTTP/1.1 200' in answer


def test_a_body_over_the_limit_is_refused_as_not_run(fleet: SmallFleet) -> None:
    port = fleet.places[0].callers_port
    head = 'POST /x HTTP/1.1\r\nHost: docs\r\nContent-Length: 99999999\r\n\r\n'
    answer = send_and_read(port, head.encode())
    assert answer.startswith(b'HTTP/1.1 413')
    assert b'Daisyline-Outcome: not-run' in answer


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
    answers: list[bytes] = []
    threads = [
        _send_in_thread(answers, entry.callers_port, sent % number)
        for number in range(4)
    ]
    wait_until(lambda: other.run_calls())
    ran = len(other.run_calls())
    assert other.node is not None
    other.node.kill()
    for thread in threads:
        thread.join()
    unknown = [
        answer for answer in answers if b'Daisyline-Outcome: unknown' in answer
    ]
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


def test_a_stopping_node_completes_its_calls(fleet: SmallFleet) -> None:
    entry, other = fleet.places
    entry.set_faults(slow_factor=60)
    other.set_faults(slow_factor=60)
    answers: list[bytes] = []
    sent = _get('/x', 'slow', 'Connection: close\r\n')
    threads = [
        _send_in_thread(answers, place.callers_port, sent)
        for place in fleet.places
    ]
    time.sleep(0.2)
    assert other.node is not None
    assert other.node.stop() == 0
    for thread in threads:
        thread.join()
    assert [answer.split(b' ')[1] for answer in answers] == [b'200', b'200']


def test_calls_succeed_while_a_node_is_paused_and_it_rejoins(
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
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    wait_until(lambda: fetch(entry.operators_port, '/status')['members'][1:])
