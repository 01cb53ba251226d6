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
    BODY_REVISION,
    BodyPart,
    CallRefused,
    CancelCall,
    Hello,
    Ping,
    RequestPart,
    RunCall,
    RunLongCall,
)
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.protocol.frames import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameDecoder,
    FrameEncoder,
)
from daisyline.transport.long_bodies import LONG_BODY_BYTES
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.stream import Identity
from daisyline.transport.streams import Streams
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

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


HELLO = Hello('c', PROTOCOL_VERSION, 'n0', 1)
FIRST, SECOND, END = (letter * 1000 for letter in (b'a', b'b', b'c'))


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
    receiver.calls.record = pair.logged.append
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


def _send_messages(peer: Peer, *messages: Any) -> None:
    peer.send(b''.join(map(FrameEncoder().encode, messages)))


def _runs(pair: Pair) -> list[RunCall]:
    """Return the calls that the receiver got to run."""
    messages = [
        event.message for event in pair.driver.events_of(CallMessageReceived)
    ]
    return [one for one in messages if isinstance(one, RunCall)]


def test_a_call_cancelled_on_a_newer_stream_runs_with_no_part_of_its_body(
    pair: Pair,
) -> None:
    # Guards against a target that runs a request without the start of its body,
    # whose end a slow node reads after the cancellation (review/6).
    older, newer = (pair.driver.connect(pair.port) for _ in range(2))
    _send_messages(older, HELLO, RequestPart('c1', FIRST))
    pair.driver.run_until(lambda: pair.account.held_bytes == len(FIRST))
    _send_messages(newer, HELLO, CancelCall('c1'))
    pair.driver.run_until(lambda: pair.driver.events_of(CallMessageReceived))
    run = attrs.evolve(RUN, body=END)
    _send_messages(older, RequestPart('c1', SECOND), run)
    pair.driver.run_for(0.1)
    assert not _runs(pair)
    assert not pair.account.held_bytes
    older.read_until_end()


def test_a_long_body_from_a_node_of_the_build_before_arrives_whole(
    pair: Pair,
) -> None:
    # Such a node states neither the length nor the attempt, during a rollout.
    peer = pair.driver.connect(pair.port)
    parts = (RequestPart('c1', FIRST), RequestPart('c1', SECOND))
    _send_messages(peer, HELLO, *parts, attrs.evolve(RUN, body=END))
    pair.driver.run_until(lambda: _runs(pair))
    assert _runs(pair) == [attrs.evolve(RUN, body=FIRST + SECOND + END)]


def _frames_of_long_body(pair: Pair, *opening: Any) -> list[Any]:
    """Return what a node that opens so is sent for a call with a long body."""
    listener = pair.driver.listen()
    # The test answers no pings.
    pair.sender.awaits_reply = lambda _node: False
    pair.sender.send_to_address(HOST, listener.getsockname()[1], RUN)
    peer = pair.driver.accept(listener)
    _send_messages(peer, *opening)
    decoder = FrameDecoder()
    messages: list[Any] = []

    def has_run() -> bool:
        peer.read_now()
        messages.extend(decoder.feed(bytes(peer.received)))
        peer.received.clear()
        return any(isinstance(one, RunCall) for one in messages)

    pair.driver.run_until(has_run)
    return [message for message in messages if hasattr(message, 'call')]


def test_a_node_of_the_build_before_gets_the_messages_that_it_reads(
    pair: Pair,
) -> None:
    # Guards against a stream that such a node closes for an unknown message.
    *parts, run = _frames_of_long_body(pair, attrs.evolve(HELLO, node='n1'))
    assert all(isinstance(part, RequestPart) for part in parts)
    assert not isinstance(run, RunLongCall)
    body = b''.join(message.body for message in (*parts, run))
    assert attrs.evolve(run, body=body) == RUN


def test_a_node_that_reads_them_gets_the_length_and_attempt_of_a_body(
    pair: Pair,
) -> None:
    *parts, run = _frames_of_long_body(
        pair, attrs.evolve(HELLO, node='n1'), Ping(0, BODY_REVISION)
    )
    starts = range(0, len(LONGEST_BODY), len(parts[0].body))
    length = len(LONGEST_BODY)
    stated = [(part.attempt, part.start, part.body_length) for part in parts]
    assert stated == [(1, start, length) for start in starts[: len(parts)]]
    assert all(isinstance(part, BodyPart) for part in parts)
    assert isinstance(run, RunLongCall)
    assert (run.attempt, run.body_length) == (1, length)
    assert sum(len(message.body) for message in (*parts, run)) == length
