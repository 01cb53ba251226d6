"""Each call on the platform ends in exactly one reply."""

from unittest import mock

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWatch,
)
from daisyline.protocol.platform import NO_ANSWER_STATUS
from daisyline.transport.platform_client import PlatformClient
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

MODULE = 'daisyline.transport.platform_client'
READ = PlatformRead('t', 'settings', 'tree')
NO_REPLY = PlatformReply('t', NO_ANSWER_STATUS)
VALUE = b'{"version": 7, "value": 1}'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'


def _reply_to(driver: LoopDriver, answer: bytes, closes: bool) -> PlatformReply:
    listener = driver.listen()
    address = (HOST, listener.getsockname()[1])
    PlatformClient(driver.loop, address, driver.events.append).call(READ)
    peer = driver.accept(listener)
    peer.read_until(b'\r\n\r\n')
    peer.send(answer)
    if closes:
        peer.sock.close()
    driver.run_until(lambda: driver.events)
    driver.run_for(0.05)
    assert len(driver.events) == 1
    reply: PlatformReply = driver.events.pop()
    return reply


def test_complete_answers_are_read_in_each_framing(driver: LoopDriver) -> None:
    complete = PlatformReply('t', 200, 7, 1)
    framed = HEAD % (len(VALUE), VALUE)
    assert _reply_to(driver, framed, closes=False) == complete
    until_close = b'HTTP/1.0 200 OK\r\n\r\n%s' % VALUE
    assert _reply_to(driver, until_close, closes=True) == complete


def test_an_incomplete_answer_counts_as_none(driver: LoopDriver) -> None:
    truncated = HEAD % (len(VALUE) + 1, VALUE)
    assert _reply_to(driver, truncated, closes=True) == NO_REPLY
    assert _reply_to(driver, b'', closes=True) == NO_REPLY
    assert _reply_to(driver, b'nonsense\r\n\r\n', closes=False) == NO_REPLY
    # Otherwise a list that is cut behind its head would be an empty one.
    cut_behind_head = b'HTTP/1.1 200 OK\r\n\r\n'
    assert _reply_to(driver, cut_behind_head, closes=True) == NO_REPLY


def test_an_answer_without_a_status_counts_as_none(driver: LoopDriver) -> None:
    whole = HEAD % (len(VALUE), VALUE)
    for status in (b'000', b'099', b'00', b'2 0'):
        broken = whole.replace(b'200', status, 1)
        assert _reply_to(driver, broken, closes=False) == NO_REPLY, status


def test_an_endless_answer_is_aborted(driver: LoopDriver) -> None:
    with mock.patch(f'{MODULE}._MAX_ANSWER_BYTES', 100_000):
        endless = b'HTTP/1.1 200 OK\r\n\r\n%s' % bytes(300_000)
        assert _reply_to(driver, endless, closes=False) == NO_REPLY


def test_a_call_to_an_unresponsive_platform_times_out(
    driver: LoopDriver,
) -> None:
    with mock.patch(f'{MODULE}._ANSWER_TIMEOUT_S', 0.2):
        assert _reply_to(driver, b'', closes=False) == NO_REPLY


def test_an_unreachable_platform_gives_a_reply(
    driver: LoopDriver,
) -> None:
    watch = PlatformWatch('t', 'settings', 1, 100)
    with mock.patch(f'{MODULE}._ANSWER_TIMEOUT_S', 0.2):
        for port in (driver.closed_port(), driver.unconnectable_port()):
            client = PlatformClient(
                driver.loop, (HOST, port), driver.events.append
            )
            client.call(watch)
            driver.run_until(driver.events.copy)
            assert driver.events.pop() == NO_REPLY


def test_a_process_without_descriptors_gives_a_reply(
    driver: LoopDriver,
) -> None:
    with mock.patch(f'{MODULE}.Connection.dial', side_effect=OSError):
        client = PlatformClient(driver.loop, (HOST, 1), driver.events.append)
        client.call(READ)
        assert not driver.events
    driver.run_until(driver.events.copy)
    assert driver.events == [NO_REPLY]
