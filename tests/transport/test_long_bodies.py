"""Long bodies reach other nodes in parts, and only while there is room."""

from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.calls.call_events import (
    CallBodyRefused,
    CallMessageReceived,
)
from daisyline.coordination.calls.messages import (
    CallRefused,
    CancelCall,
    RunCall,
)
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.protocol.frames import MAX_FRAME_BYTES
from daisyline.transport.long_bodies import LONG_BODY_BYTES
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.stream import Identity
from daisyline.transport.streams import Streams
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

LIMIT_BYTES = 64_000_000
LONGEST_BODY = b'x' * (MAX_FRAME_BYTES + 1)
RUN = RunCall(
    call='c1',
    attempt=1,
    service='docs',
    tenant='t',
    budget_ms=9000,
    repeatable=False,
    key='',
    retried=False,
    may_move=False,
    accepts_slow_target=False,
    settings_version=1,
    priority=0,
    objective_ms=-1,
    method=b'POST',
    path=b'/',
    headers=(),
    body=LONGEST_BODY,
)


@attrs.define
class Pair:
    """Two nodes on one loop; the first one sends, the other one receives."""

    driver: LoopDriver
    sender: Streams
    receiver: Streams
    port: int
    account: MemoryAccount
    logged: list[log.BodyMoved] = attrs.field(factory=list)

    def send(self, message: Any) -> None:
        """Send a message from the first node to the other one."""
        self.sender.send_to_address(HOST, self.port, message)


@fixture
def pair(driver: LoopDriver) -> Iterator[Pair]:
    """Provide two nodes without an open stream."""
    account = MemoryAccount(LIMIT_BYTES)
    receiver = Streams(
        driver.loop,
        Identity('c', 'n1', 1),
        driver.events.append,
        MemoryGuard(account),
    )
    receiver.listen(HOST, 0)
    assert receiver._listener is not None
    port = receiver._listener.port
    sender = Streams(driver.loop, Identity('c', 'n0', 1), bool)
    pair = Pair(driver, sender, receiver, port, account)
    receiver.bodies.record = pair.logged.append
    yield pair
    sender.close()
    receiver.close()


def test_a_body_longer_than_a_frame_arrives_whole(pair: Pair) -> None:
    # Guards against a stream that is closed by one long body.
    pair.send(RUN)
    pair.driver.run_until(lambda: pair.driver.events_of(CallMessageReceived))
    assert pair.driver.events[-1].message == RUN
    assert pair.account.held_bytes == len(LONGEST_BODY)
    pair.receiver.reply('n0', CallRefused('c1', 'overloaded', 'not-run'))
    assert not pair.account.held_bytes


def test_the_log_tells_on_which_stream_a_long_body_came(pair: Pair) -> None:
    pair.send(RUN)
    pair.driver.run_until(lambda: len(pair.logged) == 2)
    number = pair.receiver._inbound['n0'][0].number
    assert [
        (event.call, event.node, event.stream, event.state)
        for event in pair.logged
    ] == [('c1', 'n0', number, 'begun'), ('c1', 'n0', number, 'complete')]
    assert pair.logged[-1].attempt == RUN.attempt
    assert pair.logged[-1].octets == len(LONGEST_BODY)


def test_a_body_without_room_is_refused_and_leaves_no_bytes(
    pair: Pair,
) -> None:
    pair.account.limit_bytes = LONG_BODY_BYTES
    pair.send(RUN)
    pair.driver.run_until(lambda: pair.driver.events_of(CallBodyRefused))
    assert pair.driver.events == [CallBodyRefused('n0', 'c1')]
    assert not pair.account.held_bytes


def test_a_cancelled_body_is_neither_sent_on_nor_kept(pair: Pair) -> None:
    pair.send(RUN)
    pair.driver.run_until(lambda: pair.account.held_bytes)
    pair.sender.send('n1', CancelCall('c1'))
    pair.driver.run_until(lambda: not pair.account.held_bytes)
    pair.driver.run_for(0.1)
    assert not any(
        isinstance(event.message, RunCall)
        for event in pair.driver.events_of(CallMessageReceived)
    )


def test_a_lost_stream_releases_the_body_and_reports_the_call_unsent(
    pair: Pair,
) -> None:
    pair.send(RUN)
    pair.driver.run_until(lambda: pair.account.held_bytes)
    stream = next(iter(pair.sender._outbound.values()))
    assert stream.undelivered == [RUN]
    stream.close()
    pair.driver.run_until(lambda: not pair.account.held_bytes)
