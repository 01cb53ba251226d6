"""Each report ends in one reply and is sent only within the lease."""

import time

import attrs

from daisyline.coordination.duties.duty_events import ReportUsage, UsageReply
from daisyline.platform.duty_api import DutyCodec
from daisyline.transport.duty_client import DutyClient
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

ANSWER = b'HTTP/1.1 429 x\r\nRetry-After: 0.5\r\nContent-Length: 2\r\n\r\n{}'


def _report(lease_s: float) -> ReportUsage:
    return ReportUsage(
        'c',
        'n1',
        3,
        7,
        {'acme': 1},
        time.monotonic() + lease_s,
        time.time() + lease_s,
    )


def test_a_report_is_sent_and_its_answer_is_one_reply(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    address = (HOST, listener.getsockname()[1])
    client = DutyClient(driver.loop, address, driver.events.append, DutyCodec())
    client.call(_report(5))
    peer = driver.accept(listener)
    assert b'Fencing-Token: 3' in peer.read_until(b'}}')
    client.drop_unsent()
    peer.send(ANSWER)
    driver.run_until(lambda: driver.events)
    driver.run_for(0.05)
    assert driver.events == [UsageReply('c', 429, 0.5)]


def test_an_answer_without_a_status_confirms_no_report(
    driver: LoopDriver,
) -> None:
    listener = driver.listen()
    address = (HOST, listener.getsockname()[1])
    client = DutyClient(driver.loop, address, driver.events.append, DutyCodec())
    for status in (b'000', b'00', b'2 0'):
        client.call(_report(5))
        peer = driver.accept(listener)
        peer.read_until(b'}}')
        peer.send(ANSWER.replace(b'429', status, 1))
        driver.run_until(driver.events.copy)
        assert driver.events == [UsageReply('c', 0)], status
        driver.events.clear()


def test_a_report_is_not_sent_after_the_lease_or_a_pause(
    driver: LoopDriver,
) -> None:
    # Guards against a call that waits for its connection longer than the
    # lease lasts, by either clock.
    listener = driver.listen()
    address = (HOST, listener.getsockname()[1])
    client = DutyClient(driver.loop, address, driver.events.append, DutyCodec())
    valid = _report(5)
    for report in (
        attrs.evolve(valid, expires_at=time.monotonic()),
        attrs.evolve(valid, expires_wall=time.time()),
    ):
        client.call(report)
        driver.run_until(driver.events.copy)
        assert driver.events.pop() == UsageReply('c', 0)
    client.call(valid)
    client.drop_unsent()
    driver.run_until(driver.events.copy)
    assert driver.events == [UsageReply('c', 0)]
