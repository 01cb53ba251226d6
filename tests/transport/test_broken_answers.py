"""An answer that its target breaks off or garbles never looks whole."""

import functools
import socket

from daisyline.coordination.calls.call_events import (
    StartTargetCall,
    TargetAnswerHead,
    TargetAnswerPart,
    TargetCallFailed,
)
from daisyline.coordination.effects import PlatformReply, PlatformWrite
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.platform import NO_ANSWER_STATUS
from daisyline.state.targets import Target
from daisyline.transport.platform_client import PlatformClient
from daisyline.transport.target_pool import TargetPool
from tests.builders import run_message
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)

CALL = 'upload'
HEAD_END = b'\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\nDaisyline-Call: upload\r\n\r\n'
PART = b'a part of the body'
SMALL_BUFFER_BYTES = 4096
# More than the kernel buffers for a peer that does not read.
UPLOAD_BYTES = 16_000_000
# A dialect whose answers are passed on at once, and one that holds them.
DIALECTS = (Dialect(), Dialect(retry_buffer_bytes=65_536))


def _start_upload(driver: LoopDriver, dialect: Dialect) -> Peer:
    """Return a target that has read the head of an upload and no more."""
    listener = driver.listen()
    _shrink_buffer(listener)
    pool = TargetPool(driver.loop, driver.events.append, dialect)
    pool.connection_limit = lambda: 4
    port = listener.getsockname()[1]
    pool.update_target(Target('docs', 'v1', 'i-1', HOST, port))
    run = run_message(
        CALL, repeatable=False, method=b'POST', body=bytes(UPLOAD_BYTES)
    )
    pool.start_call(StartTargetCall(CALL, run, 5))
    peer = driver.accept(listener)
    peer.read_until(HEAD_END)
    # The rest of the body fills the buffers.
    driver.run_for(0.05)
    connection = next(iter(pool._open))
    assert connection._connection.buffered_bytes
    return peer


def _shrink_buffer(listener: socket.socket) -> None:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)


def _has_read(driver: LoopDriver) -> bool:
    """Return whether the node has reported the part of the body."""
    return _reported_body(driver) == PART


def _reported_body(driver: LoopDriver) -> bytes:
    return b''.join(event.body for event in _answer_events(driver))


def _has_ended(driver: LoopDriver) -> bool:
    """Return whether the node has reported a whole answer."""
    return any(event.last for event in _answer_events(driver))


def _answer_events(
    driver: LoopDriver,
) -> list[TargetAnswerHead | TargetAnswerPart]:
    return [
        event
        for event in driver.events
        if isinstance(event, (TargetAnswerHead, TargetAnswerPart))
    ]


def _assert_not_whole(driver: LoopDriver) -> None:
    """Wait for the end of the call, which must be a failure."""
    driver.run_until(
        lambda: driver.events_of(TargetCallFailed) or _has_ended(driver)
    )
    assert not _has_ended(driver)
    assert driver.events_of(TargetCallFailed)[0].sent


def test_an_answer_without_a_length_is_not_whole_after_a_reset(
    driver: LoopDriver,
) -> None:
    # Guards against an upload whose next write takes the error of the reset,
    # so that the next read finds an orderly end.
    for dialect in DIALECTS:
        for wait_s in (0, 0.02):
            peer = _start_upload(driver, dialect)
            sent = peer.sock.send(UNFRAMED + PART)
            assert sent == len(UNFRAMED + PART)
            driver.run_for(wait_s)
            if wait_s and not dialect.retry_buffer_bytes:
                assert _has_read(driver)
            peer.reset()
            _assert_not_whole(driver)
            driver.events.clear()


def test_an_early_answer_without_a_length_ends_with_an_orderly_close(
    driver: LoopDriver,
) -> None:
    for is_reset in (False, True):
        peer = _start_upload(driver, Dialect())
        peer.send(UNFRAMED + PART)
        driver.run_until(functools.partial(_has_read, driver))
        peer.sock.shutdown(socket.SHUT_WR)
        if is_reset:
            # The target has ended its answer before.
            peer.reset()
        driver.run_until(functools.partial(_has_ended, driver))
        assert _reported_body(driver) == PART
        driver.events.clear()


def test_a_reply_of_the_platform_is_none_after_a_reset(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    _shrink_buffer(listener)
    address = (HOST, listener.getsockname()[1])
    write = PlatformWrite('t', 'settings', 'tree', 6, 'x' * UPLOAD_BYTES)
    client = PlatformClient(driver.loop, address, driver.events.append)
    client.call(write)
    peer = driver.accept(listener)
    peer.read_until(HEAD_END)
    peer.send(b'HTTP/1.1 200 OK\r\n\r\n{"version": 7}')
    driver.run_for(0.02)
    assert not driver.events
    peer.reset()
    driver.run_until(lambda: driver.events)
    assert driver.events == [PlatformReply('t', NO_ANSWER_STATUS)]
