"""Connections to the target are limited and not reused after a failure."""

import itertools
from unittest import mock

from daisyline.coordination.calls.call_events import (
    StartTargetCall,
    TargetAnswerHead,
    TargetAnswerPart,
    TargetCallFailed,
)
from daisyline.state.targets import Target
from daisyline.transport import target_connection
from daisyline.transport.target_pool import TargetPool
from tests.builders import run_message
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver, Peer, answer_to

load_tests = function_tests(__name__)

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HEAD_END = b'\r\n\r\n'


def _start(call: str, body: bytes = b'') -> StartTargetCall:
    run = run_message(call, may_move=True, method=b'POST', body=body)
    return StartTargetCall(call, run, 5)


def _target(port: int, instance: str = 'i-1') -> Target:
    return Target('docs', 'v1', instance, HOST, port)


def _pool(driver: LoopDriver, port: int, limit: int = 4) -> TargetPool:
    pool = TargetPool(driver.loop, driver.events.append)
    pool.connection_limit = lambda: limit
    pool.update_target(_target(port))
    return pool


def _answer_call(driver: LoopDriver, peer: Peer, call: str) -> None:
    """Answer one call completely from the peer's side."""
    _send_answer(driver, peer)
    driver.run_until(
        lambda: any(
            event.call == call and event.last
            for event in driver.events_of(TargetAnswerHead)
        )
    )


def _wait_for_failures(
    driver: LoopDriver, wait_s: float = 6
) -> list[TargetCallFailed]:
    driver.run_until(lambda: driver.events_of(TargetCallFailed), wait_s)
    return driver.events_of(TargetCallFailed)


def test_an_incomplete_answer_fails_with_an_unknown_outcome(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    incomplete_answers = (
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
        b'HTTP/1.1 200 OK\r\nConte',
        b'',
    )
    for number, incomplete in enumerate(incomplete_answers):
        call = f'c{number}'
        pool.start_call(_start(call))
        peer = driver.accept(listener)
        peer.read_until(HEAD_END)
        peer.send(incomplete)
        peer.sock.close()
        failed = _wait_for_failures(driver)
        assert [(one.call, one.sent, one.crashed) for one in failed] == [
            (call, True, True)
        ]
        assert not any(
            event.last
            for event in driver.events_of(TargetAnswerHead)
            + driver.events_of(TargetAnswerPart)
        )
        assert pool.connection_count == 0
        driver.events.clear()


def test_a_connection_is_reused_and_replaced_once_the_target_closes_it(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a'))
    peer = driver.accept(listener)
    _answer_call(driver, peer, 'a')
    pool.start_call(_start('b'))
    _answer_call(driver, peer, 'b')
    peer.sock.close()
    driver.run_until(lambda: pool.connection_count == 0)
    pool.start_call(_start('c'))
    _answer_call(driver, driver.accept(listener), 'c')
    assert not driver.events_of(TargetCallFailed)


def test_bytes_on_an_idle_connection_close_it(driver: LoopDriver) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a'))
    peer = driver.accept(listener)
    _answer_call(driver, peer, 'a')
    peer.send(OK)
    driver.run_until(lambda: pool.connection_count == 0)
    peer.read_until_end()
    assert len(driver.events) == 1


def test_a_late_answer_after_an_abort_reaches_no_other_call(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a'))
    first = driver.accept(listener)
    first.read_until(HEAD_END)
    pool.abort_call('a')
    pool.start_call(_start('b'))
    second = driver.accept(listener)
    first.read_until_end()
    first.send(answer_to(bytes(first.received), b'no'))
    _answer_call(driver, second, 'b')
    driver.run_until(lambda: pool.connection_count == 1, 1)
    heads = {
        event.call: event.body for event in driver.events_of(TargetAnswerHead)
    }
    assert heads == {'a': b'no', 'b': b'ok'}


def test_a_target_that_ignores_a_cancellation_is_disconnected_in_time(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a'))
    driver.accept(listener).read_until(HEAD_END)
    pool.abort_call('a')
    took_s = driver.run_until(lambda: driver.events_of(TargetCallFailed))
    assert took_s < 3
    assert pool.connection_count == 0


def test_a_close_while_a_request_is_being_sent_has_an_unknown_outcome(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a', bytes(8_000_000)))
    peer = driver.accept(listener)
    peer.read_until(HEAD_END)
    peer.reset()
    driver.run_until(lambda: driver.events_of(TargetCallFailed))
    assert driver.events_of(TargetCallFailed)[0].sent


def test_an_answer_before_the_whole_request_closes_the_connection(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a', bytes(30_000_000)))
    peer = driver.accept(listener)
    peer.read_until(HEAD_END)
    peer.send(OK)
    driver.run_until(lambda: pool.connection_count == 0, 1)
    assert [event.last for event in driver.events] == [True]


def test_a_call_whose_connection_is_not_established_is_not_run(
    driver: LoopDriver,
) -> None:
    with mock.patch.object(target_connection, 'CONNECT_TIMEOUT_S', 0.3):
        for port in (driver.closed_port(), driver.unconnectable_port()):
            pool = _pool(driver, port)
            pool.start_call(_start('a'))
            failed = _wait_for_failures(driver, 1.5)[0]
            driver.events.clear()
            assert not failed.sent
            assert not failed.crashed
            assert pool.connection_count == 0


def test_no_connection_to_an_older_instance_is_used_again(
    driver: LoopDriver,
) -> None:
    old, new = driver.listen(), driver.listen()
    pool = _pool(driver, old.getsockname()[1])
    pool.start_call(_start('idle'))
    pool.start_call(_start('busy'))
    peers = [driver.accept(old), driver.accept(old)]
    first, second = sorted(
        peers, key=lambda peer: b'busy' in peer.read_until(HEAD_END)
    )
    _answer_call(driver, first, 'idle')
    pool.update_target(None)
    pool.update_target(_target(new.getsockname()[1], 'i-2'))
    _answer_call(driver, second, 'busy')
    pool.start_call(_start('c'))
    _answer_call(driver, driver.accept(new), 'c')
    assert pool.connection_count == 1


def test_a_call_without_a_target_is_not_run(driver: LoopDriver) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a'))
    _answer_call(driver, driver.accept(listener), 'a')
    pool.update_target(None)
    pool.start_call(_start('b'))
    driver.run_until(lambda: driver.events_of(TargetCallFailed))
    assert not driver.events_of(TargetCallFailed)[0].sent


def test_the_bound_on_connections_holds_while_calls_are_aborted(
    driver: LoopDriver,
) -> None:
    listener = driver.listen(64)
    pool = _pool(driver, listener.getsockname()[1], limit=2)
    calls = [f'c{number}' for number in range(6)]
    for call in calls:
        pool.start_call(_start(call))
    peers = [driver.accept(listener), driver.accept(listener)]
    for peer in peers:
        peer.read_until(HEAD_END)
    # The pool itself asserts the limit for each new connection.
    for call in calls[:4]:
        pool.abort_call(call)
        assert pool.connection_count <= 2
    for peer in peers:
        peer.sock.close()
    for _ in calls[4:]:
        _send_answer(driver, driver.accept(listener))
    driver.run_until(lambda: _ended_calls(driver) == set(calls))
    sent = {
        event.call: event.sent for event in driver.events_of(TargetCallFailed)
    }
    assert sent == {'c0': True, 'c1': True, 'c2': False, 'c3': False}


def _send_answer(driver: LoopDriver, peer: Peer) -> None:
    """Answer the request that the peer received, with the id of its call."""
    request = peer.read_until(HEAD_END)
    peer.received.clear()
    peer.send(answer_to(request, b'ok'))


def _ended_calls(driver: LoopDriver) -> set[str]:
    return {
        event.call
        for event in driver.events
        if isinstance(event, TargetCallFailed) or event.last
    }


def test_a_waiting_call_can_be_aborted_as_a_connection_becomes_free(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1], limit=1)
    pool.start_call(_start('a'))
    pool.start_call(_start('b'))
    driver.accept(listener).read_until(HEAD_END)
    connection = next(iter(pool._open))
    connection.close()
    pool.abort_call('b')
    driver.run_until(lambda: len(driver.events_of(TargetCallFailed)) == 2)
    driver.run_for(0.05)
    assert pool.connection_count == 0
    assert {one.call: one.sent for one in driver.events} == {
        'a': True,
        'b': False,
    }


def test_a_waiting_call_starts_once_a_target_is_known_again(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    port = listener.getsockname()[1]
    pool = _pool(driver, port, limit=1)
    pool.start_call(_start('a'))
    pool.start_call(_start('b'))
    peer = driver.accept(listener)
    peer.read_until(HEAD_END)
    pool.update_target(None)
    peer.sock.close()
    driver.run_until(lambda: pool.connection_count == 0)
    pool.update_target(_target(port, 'i-2'))
    _answer_call(driver, driver.accept(listener), 'b')


def test_a_lowered_limit_closes_connections_as_they_become_idle(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1], limit=2)
    pool.start_call(_start('a'))
    pool.start_call(_start('b'))
    peers = [driver.accept(listener), driver.accept(listener)]
    pool.connection_limit = lambda: 1
    for peer in peers:
        _send_answer(driver, peer)
    driver.run_until(lambda: pool.connection_count == 1)
    assert not driver.events_of(TargetCallFailed)


def test_connections_last_used_before_a_silent_call_are_not_reused(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    peers = []
    for call in 'abc':
        pool.start_call(_start(call))
        peers.append(driver.accept(listener))
    for peer, call in zip(peers, 'abc', strict=True):
        _answer_call(driver, peer, call)
    assert pool.connection_count == 3
    with mock.patch.object(target_connection, 'SUSPECT_SILENCE_S', 0.2):
        pool.start_call(_start('silent'))
        driver.run_for(0.3)
        pool.abort_call('silent')
    pool.start_call(_start('d'))
    _answer_call(driver, driver.accept(listener), 'd')


def test_a_long_answer_can_be_paused_and_resumed(driver: LoopDriver) -> None:
    listener = driver.listen()
    pool = _pool(driver, listener.getsockname()[1])
    pool.start_call(_start('a'))
    peer = driver.accept(listener)
    peer.read_until(HEAD_END)
    length = 40_000_000
    peer.sock.send(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length)
    driver.run_until(lambda: driver.events)
    pool.pause_read('a')
    sent = _send_until_full(peer, length)
    driver.run_for(0.1)
    assert len(driver.events) == 1
    pool.resume_read('a')
    peer.send(bytes(length - sent))
    driver.run_until(lambda: driver.events[-1].last)
    assert sum(len(event.body) for event in driver.events) == length


def _send_until_full(peer: Peer, max_bytes: int) -> int:
    """Send as much as the kernel accepts; return the number of bytes."""
    sent = 0
    for _ in itertools.count():
        try:
            sent += peer.sock.send(bytes(min(65_536, max_bytes - sent)))
        except BlockingIOError:
            return sent
    return sent
