"""Each call on the platform ends in one reply, whatever comes of it."""

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
LOST = PlatformReply('t', NO_ANSWER_STATUS)
VALUE = b'{"version": 7, "value": 1}'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'


def _reply_to(driver: LoopDriver, answer: bytes, closes: bool) -> PlatformReply:
    listener = driver.listen()
    address = (HOST, listener.getsockname()[1])
    PlatformClient(driver.loop, address, driver.events.append).call(READ)
    far = driver.accept(listener)
    far.read_until(b'\r\n\r\n')
    far.send(answer)
    if closes:
        far.sock.close()
    driver.run_until(lambda: driver.events)
    driver.run_for(0.05)
    assert len(driver.events) == 1
    reply: PlatformReply = driver.events.pop()
    return reply


def test_whole_answers_are_read_in_each_framing(driver: LoopDriver) -> None:
    whole = PlatformReply('t', 200, 7, 1)
    framed = HEAD % (len(VALUE), VALUE)
    assert _reply_to(driver, framed, closes=False) == whole
    old = b'HTTP/1.0 200 OK\r\n\r\n%s' % VALUE
    assert _reply_to(driver, old, closes=True) == whole


def test_an_answer_that_is_not_whole_counts_as_none(driver: LoopDriver) -> None:
    cut = HEAD % (len(VALUE) + 1, VALUE)
    assert _reply_to(driver, cut, closes=True) == LOST
    assert _reply_to(driver, b'', closes=True) == LOST
    assert _reply_to(driver, b'nonsense\r\n\r\n', closes=False) == LOST


def test_an_answer_without_end_is_given_up(driver: LoopDriver) -> None:
    with mock.patch(f'{MODULE}._MAX_ANSWER_BYTES', 100_000):
        endless = b'HTTP/1.1 200 OK\r\n\r\n%s' % bytes(300_000)
        assert _reply_to(driver, endless, closes=False) == LOST


def test_a_silent_platform_is_given_up(driver: LoopDriver) -> None:
    with mock.patch(f'{MODULE}._ANSWER_S', 0.2):
        assert _reply_to(driver, b'', closes=False) == LOST


def test_a_platform_that_is_not_reached_gives_a_reply(
    driver: LoopDriver,
) -> None:
    watch = PlatformWatch('t', 'settings', 1, 100)
    with mock.patch(f'{MODULE}._ANSWER_S', 0.2):
        for port in (driver.closed_port(), driver.unconnectable_port()):
            client = PlatformClient(
                driver.loop, (HOST, port), driver.events.append
            )
            client.call(watch)
            driver.run_until(driver.events.copy)
            assert driver.events.pop() == LOST


def test_a_process_without_descriptors_gives_a_reply(
    driver: LoopDriver,
) -> None:
    with mock.patch(f'{MODULE}.Connection.dial', side_effect=OSError):
        client = PlatformClient(driver.loop, (HOST, 1), driver.events.append)
        client.call(READ)
        assert not driver.events
    driver.run_until(driver.events.copy)
    assert driver.events == [LOST]
