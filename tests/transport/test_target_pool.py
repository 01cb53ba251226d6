"""Connections to the target are bounded, and never reused after a failure."""

import itertools
from unittest import mock

from daisyline.coordination.call_events import (
    StartTargetCall,
    TargetAnswerHead,
    TargetAnswerPart,
    TargetCallFailed,
)
from daisyline.state.targets import Target
from daisyline.transport import target_exchange
from daisyline.transport.target_pool import TargetPool
from tests.builders import run_message
from tests.support import function_tests
from tests.transport.rig import HOST, Far, Turning

load_tests = function_tests(__name__)

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HEAD_END = b'\r\n\r\n'


def _start(call: str, body: bytes = b'') -> StartTargetCall:
    run = run_message(call, may_move=True, method=b'POST', body=body)
    return StartTargetCall(call, run, 5)


def _target(port: int, instance: str = 'i-1') -> Target:
    return Target('docs', 'v1', instance, HOST, port)


def _pool(turning: Turning, port: int, limit: int = 4) -> TargetPool:
    pool = TargetPool(turning.loop, turning.seen.append)
    pool.limit = lambda: limit
    pool.use_target(_target(port))
    return pool


def _answered(turning: Turning, far: Far, call: str) -> None:
    """Let the far end answer one call whole."""
    far.until(HEAD_END)
    far.came.clear()
    far.send(OK)
    turning.until(
        lambda: any(
            event.call == call and event.last
            for event in turning.of(TargetAnswerHead)
        )
    )


def _failures(turning: Turning, wait_s: float = 6) -> list[TargetCallFailed]:
    turning.until(lambda: turning.of(TargetCallFailed), wait_s)
    return turning.of(TargetCallFailed)


def test_an_answer_cut_in_the_middle_fails_as_perhaps_run(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    cuts = (
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
        b'HTTP/1.1 200 OK\r\nConte',
        b'',
    )
    for number, cut in enumerate(cuts):
        call = f'c{number}'
        pool.start(_start(call))
        far = turning.accept(listener)
        far.until(HEAD_END)
        far.send(cut)
        far.sock.close()
        failed = _failures(turning)
        assert [(one.call, one.sent, one.crashed) for one in failed] == [
            (call, True, True)
        ]
        assert not any(
            event.last
            for event in turning.of(TargetAnswerHead)
            + turning.of(TargetAnswerPart)
        )
        assert pool.connections == 0
        turning.seen.clear()


def test_a_connection_is_reused_and_replaced_once_the_target_closes_it(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a'))
    far = turning.accept(listener)
    _answered(turning, far, 'a')
    pool.start(_start('b'))
    _answered(turning, far, 'b')
    far.sock.close()
    turning.until(lambda: pool.connections == 0)
    pool.start(_start('c'))
    _answered(turning, turning.accept(listener), 'c')
    assert not turning.of(TargetCallFailed)


def test_bytes_on_an_idle_connection_end_it(turning: Turning) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a'))
    far = turning.accept(listener)
    _answered(turning, far, 'a')
    far.send(OK)
    turning.until(lambda: pool.connections == 0)
    far.until_end()
    assert len(turning.seen) == 1


def test_a_late_answer_after_an_abort_reaches_no_other_call(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a'))
    first = turning.accept(listener)
    first.until(HEAD_END)
    pool.abort('a')
    pool.start(_start('b'))
    second = turning.accept(listener)
    first.until_end()
    first.send(OK.replace(b'ok', b'no'))
    _answered(turning, second, 'b')
    turning.until(lambda: pool.connections == 1, 1)
    heads = {event.call: event.body for event in turning.of(TargetAnswerHead)}
    assert heads == {'a': b'no', 'b': b'ok'}


def test_a_target_that_does_not_stop_is_cut_off_in_time(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a'))
    turning.accept(listener).until(HEAD_END)
    pool.abort('a')
    took_s = turning.until(lambda: turning.of(TargetCallFailed))
    assert took_s < 3
    assert pool.connections == 0


def test_a_close_while_a_request_is_being_sent_is_perhaps_run(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a', bytes(8_000_000)))
    far = turning.accept(listener)
    far.until(HEAD_END)
    far.reset()
    turning.until(lambda: turning.of(TargetCallFailed))
    assert turning.of(TargetCallFailed)[0].sent


def test_an_answer_ahead_of_the_whole_request_ends_the_connection(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a', bytes(30_000_000)))
    far = turning.accept(listener)
    far.until(HEAD_END)
    far.send(OK)
    turning.until(lambda: pool.connections == 0, 1)
    assert [event.last for event in turning.seen] == [True]


def test_a_connection_refused_or_never_made_is_not_run(
    turning: Turning,
) -> None:
    with mock.patch.object(target_exchange, 'CONNECT_S', 0.3):
        for port in (turning.closed_port(), turning.full()):
            pool = _pool(turning, port)
            pool.start(_start('a'))
            failed = _failures(turning, 1.5)[0]
            turning.seen.clear()
            assert not failed.sent
            assert not failed.crashed
            assert pool.connections == 0


def test_no_connection_to_an_older_instance_is_used_again(
    turning: Turning,
) -> None:
    old, new = turning.listen(), turning.listen()
    pool = _pool(turning, old.getsockname()[1])
    pool.start(_start('idle'))
    pool.start(_start('busy'))
    fars = [turning.accept(old), turning.accept(old)]
    first, second = sorted(fars, key=lambda far: b'busy' in far.until(HEAD_END))
    _answered(turning, first, 'idle')
    pool.use_target(None)
    pool.use_target(_target(new.getsockname()[1], 'i-2'))
    _answered(turning, second, 'busy')
    pool.start(_start('c'))
    _answered(turning, turning.accept(new), 'c')
    assert pool.connections == 1


def test_a_call_without_a_target_is_not_run(turning: Turning) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a'))
    _answered(turning, turning.accept(listener), 'a')
    pool.use_target(None)
    pool.start(_start('b'))
    turning.until(lambda: turning.of(TargetCallFailed))
    assert not turning.of(TargetCallFailed)[0].sent


def test_the_bound_on_connections_holds_while_calls_are_aborted(
    turning: Turning,
) -> None:
    listener = turning.listen(64)
    pool = _pool(turning, listener.getsockname()[1], limit=2)
    calls = [f'c{number}' for number in range(6)]
    for call in calls:
        pool.start(_start(call))
    fars = [turning.accept(listener), turning.accept(listener)]
    for far in fars:
        far.until(HEAD_END)
    # The pool's own assertion holds at each dial; here from outside.
    for call in calls[:4]:
        pool.abort(call)
        assert pool.connections <= 2
    for far in fars:
        far.sock.close()
    for _ in calls[4:]:
        _answer_next(turning, turning.accept(listener))
    turning.until(lambda: _ended(turning) == set(calls))
    sent = {event.call: event.sent for event in turning.of(TargetCallFailed)}
    assert sent == {'c0': True, 'c1': True, 'c2': False, 'c3': False}


def _answer_next(turning: Turning, far: Far) -> None:
    far.until(HEAD_END)
    far.send(OK)


def _ended(turning: Turning) -> set[str]:
    return {
        event.call
        for event in turning.seen
        if isinstance(event, TargetCallFailed) or event.last
    }


def test_a_waiting_call_can_be_aborted_in_the_turn_that_frees_its_room(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1], limit=1)
    pool.start(_start('a'))
    pool.start(_start('b'))
    turning.accept(listener).until(HEAD_END)
    exchange = next(iter(pool._open))
    exchange.close()
    pool.abort('b')
    turning.until(lambda: len(turning.of(TargetCallFailed)) == 2)
    turning.turn_for(0.05)
    assert pool.connections == 0
    assert {one.call: one.sent for one in turning.seen} == {
        'a': True,
        'b': False,
    }


def test_a_waiting_call_starts_once_a_target_is_there_again(
    turning: Turning,
) -> None:
    listener = turning.listen()
    port = listener.getsockname()[1]
    pool = _pool(turning, port, limit=1)
    pool.start(_start('a'))
    pool.start(_start('b'))
    far = turning.accept(listener)
    far.until(HEAD_END)
    pool.use_target(None)
    far.sock.close()
    turning.until(lambda: pool.connections == 0)
    pool.use_target(_target(port, 'i-2'))
    _answered(turning, turning.accept(listener), 'b')


def test_a_lowered_limit_closes_connections_as_they_fall_idle(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1], limit=2)
    pool.start(_start('a'))
    pool.start(_start('b'))
    fars = [turning.accept(listener), turning.accept(listener)]
    pool.limit = lambda: 1
    for far in fars:
        _answer_next(turning, far)
    turning.until(lambda: pool.connections == 1)
    assert not turning.of(TargetCallFailed)


def test_connections_older_than_a_silent_call_are_not_used(
    turning: Turning,
) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    fars = []
    for call in 'abc':
        pool.start(_start(call))
        fars.append(turning.accept(listener))
    for far, call in zip(fars, 'abc', strict=True):
        _answered(turning, far, call)
    assert pool.connections == 3
    with mock.patch.object(target_exchange, 'SILENT_S', 0.2):
        pool.start(_start('silent'))
        turning.turn_for(0.3)
        pool.abort('silent')
    pool.start(_start('d'))
    _answered(turning, turning.accept(listener), 'd')


def test_a_long_answer_is_held_and_read_again(turning: Turning) -> None:
    listener = turning.listen()
    pool = _pool(turning, listener.getsockname()[1])
    pool.start(_start('a'))
    far = turning.accept(listener)
    far.until(HEAD_END)
    length = 40_000_000
    far.sock.send(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length)
    turning.until(lambda: turning.seen)
    pool.hold('a')
    sent = _fill(far, length)
    turning.turn_for(0.1)
    assert len(turning.seen) == 1
    pool.resume('a')
    far.send(bytes(length - sent))
    turning.until(lambda: turning.seen[-1].last)
    assert sum(len(event.body) for event in turning.seen) == length


def _fill(far: Far, most: int) -> int:
    """Send as much as the kernel takes; return how much that is."""
    sent = 0
    for _ in itertools.count():
        try:
            sent += far.sock.send(bytes(min(65_536, most - sent)))
        except BlockingIOError:
            return sent
    return sent
